//! Bills under faults of the key-value service, of instances and of peers.

mod ledger_support;

use std::collections::BTreeMap;
use std::time::Duration;

use ledger_support::{Node, World, bill};
use tokio::time::sleep;
use yuccareel::bill_audit::{AnswerList, BillAudit, BillFinding, CustomerTotal};
use yuccareel::bill_batch::{self, BillBatch};
use yuccareel::bill_ledger::{self, BillOverflow, BillProtection};
use yuccareel::standins::kv::KvFaults;

const FLUSHED: Duration = Duration::from_secs(8);

/// Instance `a` whose copies go to `b`.
fn pair() -> (World, Node, Node) {
    let world = World::new();
    let (instance, peer) = (Node::start(&world, "a@1", &[]), Node::start(&world, "b@1", &[]));
    *instance.link.peer.lock() = Some(peer.copies.clone());
    (world, instance, peer)
}

fn audit(world: &World, answers: &AnswerList) -> BillAudit {
    BillAudit::new(&world.table.lock().with_prefix(bill_batch::BILL_PREFIX), answers)
}

fn answers(instance: &str, requests: impl IntoIterator<Item = u128>) -> AnswerList {
    BTreeMap::from([(instance.into(), requests.into_iter().collect())])
}

/// What happens after ten bills are recorded.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Lives,
    KilledBeforeFlush,
    KilledAfterFlush,
    KilledDuringFlush,
}

/// Guards against bills that are lost or billed twice when a write fails and the instance
/// lives or dies.
#[tokio::test(start_paused = true)]
async fn each_answer_is_billed_once() {
    let none = KvFaults::default;
    let outages = [
        ("no fault", none(), 0),
        ("outage", KvFaults { outage: true, ..none() }, 0),
        ("slow", KvFaults { delay_ms: 900, ..none() }, 0),
        ("answer lost", KvFaults { lose_answers: 1, ..none() }, 0),
        ("answers lost", KvFaults { lose_answers: 3, ..none() }, 0),
        ("write lost", KvFaults { lose_writes: 2, ..none() }, 0),
        ("write late", none(), 1),
        ("writes late", none(), 3),
    ];
    let fates =
        [Fate::Lives, Fate::KilledBeforeFlush, Fate::KilledAfterFlush, Fate::KilledDuringFlush];
    for (name, faults, late_commits) in outages {
        for fate in fates {
            let (world, instance, peer) = pair();
            *world.faults.lock() = faults.clone();
            instance.kv.delay_commits(late_commits, Duration::from_millis(1_500));
            for request in 1..=10 {
                let protection = instance.ledger.record(bill(request, "rungwell")).await;
                assert_eq!(protection, Ok(BillProtection::Copied), "{name} {fate:?}");
            }
            match fate {
                Fate::Lives => {}
                Fate::KilledBeforeFlush => instance.task.abort(),
                Fate::KilledDuringFlush => {
                    sleep(Duration::from_millis(1_010)).await;
                    instance.task.abort();
                }
                Fate::KilledAfterFlush => {
                    sleep(FLUSHED).await;
                    instance.task.abort();
                }
            }
            sleep(Duration::from_secs(10)).await;
            *world.faults.lock() = none();
            if fate != Fate::Lives {
                peer.copies.flush_as_successor("a@1").await.unwrap();
                peer.copies.flush_as_successor("a@1").await.unwrap();
            }
            sleep(FLUSHED).await;
            let audit = audit(&world, &answers("a@1", 1..=10));
            assert_eq!(audit.findings, vec![], "{name} {fate:?}");
            let total = audit.totals["rungwell"];
            assert_eq!(total, CustomerTotal { bills: 10, cost: 4_300 }, "{name} {fate:?}");
            assert_eq!(instance.ledger.open_bills() * usize::from(fate == Fate::Lives), 0);
        }
    }
}

/// Guards against overlapping ranges when a peer takes a live instance for dead, with any part
/// of its bills, before or after the instance's own write.
#[tokio::test(start_paused = true)]
async fn successor_races_the_live_instance() {
    /// Name, requests that the peer has, whether the instance flushes first, late commits.
    struct Case(&'static str, std::ops::RangeInclusive<u128>, bool, u32);
    let cases = [
        Case("successor first, all copies", 1..=10, false, 0),
        Case("successor first, early copies", 1..=4, false, 0),
        Case("successor first, late copies", 6..=10, false, 0),
        Case("instance first, late copies", 6..=10, true, 0),
        Case("late write of the instance", 3..=8, false, 1),
    ];
    for Case(name, copied, instance_first, late_commits) in cases {
        let (world, instance, peer) = pair();
        instance.kv.delay_commits(late_commits, Duration::from_millis(600));
        let link = instance.link.peer.lock().take();
        let (first, last) = (*copied.start(), *copied.end());
        for request in 1..=10 {
            instance.ledger.record(bill(request, "authority")).await.unwrap();
        }
        let bills = (first..=last).map(|n| (n as u64, bill(n, "authority"))).collect();
        let copy = bill_ledger::BillCopy { instance: "a@1".into(), flushed: 0, bills };
        peer.copies.accept(copy).unwrap();
        *instance.link.peer.lock() = link;
        if instance_first || late_commits > 0 {
            sleep(Duration::from_millis(1_100)).await;
        }
        peer.copies.flush_as_successor("a@1").await.unwrap();
        for request in 11..=15 {
            instance.ledger.record(bill(request, "authority")).await.unwrap();
        }
        sleep(FLUSHED).await;
        peer.copies.flush_as_successor("a@1").await.unwrap();
        let audit = audit(&world, &answers("a@1", 1..=15));
        let faults = audit.findings.iter();
        let faults: Vec<_> =
            faults.filter(|found| !matches!(found, BillFinding::NumbersMissing(..))).collect();
        assert!(faults.is_empty(), "{}: {faults:?}", name);
        assert_eq!(audit.totals["authority"].bills, 15, "{}", name);
        assert_eq!(peer.copies.open_bills("a@1"), 0, "{}", name);
    }
}

/// Guards against loss when two peers hold different copies of a dead instance.
#[tokio::test(start_paused = true)]
async fn two_successors_complete_each_other() {
    for first_is_late in [false, true] {
        let (world, instance, peer) = pair();
        let other = Node::start(&world, "c@1", &[]);
        for request in 1..=10 {
            if request == 6 {
                *instance.link.peer.lock() = Some(other.copies.clone());
            }
            instance.ledger.record(bill(request, "rungwell")).await.unwrap();
        }
        instance.task.abort();
        let mut order = [&peer, &other];
        if first_is_late {
            order.reverse();
        }
        for successor in order {
            successor.copies.flush_as_successor("a@1").await.unwrap();
        }
        let audit = audit(&world, &answers("a@1", 1..=10));
        assert_eq!(audit.totals["rungwell"].bills, 10, "{first_is_late}");
        let unbilled = |found: &&BillFinding| !matches!(found, BillFinding::NumbersMissing(..));
        assert_eq!(audit.findings.iter().filter(unbilled).count(), 0, "{:?}", audit.findings);
    }
}

/// Guards against a second bill for a request that is recorded again, before or after the flush.
#[tokio::test(start_paused = true)]
async fn repeated_request_has_one_bill() {
    let (world, instance, _peer) = pair();
    for wait in [Duration::ZERO, FLUSHED, FLUSHED] {
        let protection = instance.ledger.record(bill(1, "rungwell")).await.unwrap();
        assert_eq!(protection == BillProtection::Copied, wait.is_zero());
        sleep(wait).await;
    }
    let audit = audit(&world, &answers("a@1", [1]));
    assert_eq!(audit.findings, vec![]);
    assert_eq!(audit.totals["rungwell"], CustomerTotal { bills: 1, cost: 430 });
}

/// Guards against an answer that waits for a slow peer, and a bill that then stays unprotected.
#[tokio::test(start_paused = true)]
async fn slow_peer_delays_at_most_five_ms() {
    let (_world, instance, peer) = pair();
    *instance.link.delay.lock() = Duration::from_millis(40);
    let begun = tokio::time::Instant::now();
    let protection = instance.ledger.record(bill(1, "rungwell")).await;
    assert_eq!(protection, Ok(BillProtection::Unprotected));
    assert!(begun.elapsed() <= Duration::from_millis(6), "{:?}", begun.elapsed());
    *instance.link.delay.lock() = Duration::ZERO;
    instance.ledger.record(bill(2, "rungwell")).await.unwrap();
    assert_eq!(peer.copies.open_bills("a@1"), 2);
    sleep(FLUSHED).await;
    assert_eq!(peer.copies.open_bills("a@1"), 0, "flushed bills stay at the peer");
}

/// Guards against bills that are protected only by a peer that is gone.
#[tokio::test(start_paused = true)]
async fn new_peer_receives_open_bills() {
    let (world, instance, _peer) = pair();
    let other = Node::start(&world, "c@1", &[]);
    for request in 1..=3 {
        instance.ledger.record(bill(request, "rungwell")).await.unwrap();
    }
    *instance.link.peer.lock() = Some(other.copies.clone());
    instance.ledger.peer_changed();
    instance.ledger.record(bill(4, "rungwell")).await.unwrap();
    assert_eq!(other.copies.open_bills("a@1"), 4);
}

/// Guards against memory that grows without bound in a long outage, values over the limit of
/// the service, and loss when it returns.
#[tokio::test(start_paused = true)]
async fn long_outage_is_bounded() {
    let (world, instance, _peer) = pair();
    world.faults.lock().outage = true;
    let mut recorded = 0;
    let overflow = loop {
        match instance.ledger.record(bill(recorded + 1, "rungwell")).await {
            Ok(_) => recorded += 1,
            Err(overflow) => break overflow,
        }
    };
    assert!(matches!(overflow, BillOverflow { bills: bill_ledger::OPEN_BILLS, .. }));
    assert!(overflow.bytes <= bill_ledger::OPEN_BYTES, "{overflow}");
    assert_eq!(instance.ledger.check_room(), Err(overflow));
    world.faults.lock().outage = false;
    sleep(FLUSHED).await;
    assert_eq!(instance.ledger.check_room(), Ok(()));
    let values = world.table.lock().with_prefix(bill_batch::BILL_PREFIX);
    let longest = values.iter().map(|entry| entry.value.len()).max().unwrap();
    assert!(longest <= 1_000_000, "{longest}");
    assert_eq!(audit(&world, &answers("a@1", 1..=recorded)).findings, vec![]);
}

/// Guards against an audit that passes over a fault, or reports only the first.
#[test]
fn audit_reports_every_fault() {
    let name: yuccareel::ids::InstanceName = "a@1".into();
    let batch = |first: u64, requests: &[u128]| {
        let lines: Vec<_> = requests.iter().map(|request| bill(*request, "rungwell")).collect();
        BillBatch::collect(first, (first..).zip(&lines)).unwrap()
    };
    let entry = |key: &str, value: bytes::Bytes| yuccareel::kv_store::KvEntry {
        key: key.to_owned(),
        value,
        create_revision: 1,
        mod_revision: 1,
        lease: 0,
    };
    let key = |first| bill_batch::key("a@1", first);
    let entries = [
        entry(&key(1), batch(1, &[1, 2]).to_bytes()),
        entry(&key(5), batch(5, &[5, 6, 1]).to_bytes()),
        entry(&key(7), batch(7, &[8]).to_bytes()),
        entry(&key(9), batch(10, &[9]).to_bytes()),
        entry("bill/a@1/x", bytes::Bytes::new()),
        entry(&bill_batch::key("b@1", 1), bytes::Bytes::from_static(b"{")),
    ];
    let audit = BillAudit::new(&entries, &answers("a@1", [1, 2, 5, 6, 8, 12]));
    let expected = [
        BillFinding::RangeInvalid(key(9)),
        BillFinding::KeyInvalid("bill/a@1/x".to_owned()),
        BillFinding::RangeGap(name.clone(), 3, 4),
        BillFinding::RangeOverlap(name.clone(), 7, 7),
        BillFinding::RangeGap(name.clone(), 8, 9),
        BillFinding::BilledAgain(1, 2),
        BillFinding::AnswerUnbilled(name.clone(), 12),
        BillFinding::BillUnanswered(name.clone(), 9),
    ];
    for finding in &expected {
        assert!(audit.findings.contains(finding), "{finding} not in {:?}", audit.findings);
    }
    let unreadable = |found: &&BillFinding| matches!(found, BillFinding::BatchUnreadable(..));
    assert_eq!(audit.findings.iter().filter(unreadable).count(), 1);
    assert_eq!(audit.findings.len(), expected.len() + 1, "{:?}", audit.findings);
}

/// Guards against more key-value writes than the budget allows as the fleet grows.
#[test]
fn flush_interval_follows_the_fleet() {
    for (nodes, seconds) in [(0, 1), (8, 1), (100, 1), (200, 2), (1_300, 13)] {
        assert_eq!(bill_ledger::flush_interval(nodes), Duration::from_secs(seconds), "{nodes}");
    }
}
