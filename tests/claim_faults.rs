//! Claims under faults of the key-value service, of owners and of serving nodes.

mod ledger_support;

use std::time::Duration;

use bytes::Bytes;
use ledger_support::{Node, World, answer, claim, verdict_name};
use tokio::time::sleep;
use yuccareel::claim_table::{ClaimEnd, ClaimEndError, ClaimVerdict};
use yuccareel::error_body::RunState;
use yuccareel::standins::kv::KvFaults;
use yuccareel::{claim_log, claim_record, claim_shard, claim_table, ids, rendezvous};

// Ends between two renewals of the lease, so that a fault meets the claim and not a renewal.
const SETTLE: Duration = Duration::from_millis(3_500);
const LEASE_OVER: Duration = Duration::from_secs(13);

async fn one_owner() -> (World, Node) {
    let kv = World::new();
    let node = Node::start(&kv, "a", &["a"]);
    sleep(SETTLE).await;
    (kv, node)
}

/// Successor of a killed owner, after its lease.
async fn successor(kv: &World, owner: Node, members: &[&str]) -> Node {
    owner.task.abort();
    let node = Node::start(kv, "b", members);
    sleep(LEASE_OVER).await;
    node
}

/// Guards against a start that is granted without being stored, and against a refusal that
/// blocks its key, when any write fails in any way.
#[tokio::test(start_paused = true)]
async fn faults_during_the_start_run_at_most_once() {
    /// Name, faults of the service, late commits and their delay in ms, expected verdict.
    struct Case(&'static str, KvFaults, u32, u64, &'static str);
    let none = KvFaults::default;
    let cases = [
        Case("outage", KvFaults { outage: true, ..none() }, 0, 0, "unavailable"),
        Case("slow", KvFaults { delay_ms: 300, ..none() }, 0, 0, "run"),
        Case("too slow", KvFaults { delay_ms: 9_000, ..none() }, 0, 0, "unavailable"),
        Case("answer lost", KvFaults { lose_answers: 1, ..none() }, 0, 0, "run"),
        Case("write lost", KvFaults { lose_writes: 1, ..none() }, 0, 0, "run"),
        Case("writes lost", KvFaults { lose_writes: 8, ..none() }, 0, 0, "unavailable"),
        Case("write late before the retry", none(), 1, 50, "run"),
        Case("write late after the retry", none(), 1, 500, "run"),
        Case("writes late after the refusal", none(), 4, 700, "unavailable"),
    ];
    for Case(name, faults, late_commits, late_ms, expected) in cases {
        let (kv, node) = one_owner().await;
        *kv.faults.lock() = faults;
        node.kv.delay_commits(late_commits, Duration::from_millis(late_ms));
        let first = node.claims.claim(claim(1, 1, "a")).await;
        let left = std::mem::take(&mut *kv.faults.lock());
        assert!(left.lose_answers == 0 && left.lose_writes <= 4, "{}: {left:?}", name);
        sleep(LEASE_OVER).await;
        assert_eq!(verdict_name(&first), expected, "{}", name);
        let again = node.claims.claim(claim(1, 2, "a")).await;
        let second = if expected == "run" { "in progress" } else { "run" };
        assert_eq!(verdict_name(&again), second, "{}: again", name);
        let runner = if expected == "run" { 1 } else { 2 };
        node.claims.finish(claim(1, 0, "a").key, runner, answer("booked")).unwrap();
        sleep(SETTLE).await;
        let node = successor(&kv, node, &["b"]).await;
        let last = node.claims.claim(claim(1, 3, "b")).await;
        assert_eq!(verdict_name(&last), "replay", "{}: successor", name);
    }
}

/// Guards against an earlier attempt of one shard that is taken for a later transaction over
/// several shards, of which nothing was stored.
#[tokio::test(start_paused = true)]
async fn late_attempt_does_not_confirm_the_next_transaction() {
    for (first_key, second_key) in [(1, 2), (2, 1)] {
        let (kv, node) = one_owner().await;
        node.kv.delay_commits(1, Duration::from_millis(80));
        kv.faults.lock().lose_writes = 1;
        let second = async {
            sleep(Duration::from_millis(20)).await;
            node.claims.claim(claim(second_key, 2, "a")).await
        };
        let outage = async {
            sleep(Duration::from_millis(101)).await;
            kv.faults.lock().outage = true;
            sleep(Duration::from_millis(500)).await;
        };
        let first = node.claims.claim(claim(first_key, 1, "a"));
        let (first, second, ()) = tokio::join!(first, second, outage);
        kv.faults.lock().outage = false;
        let node = successor(&kv, node, &["b"]).await;
        for (key, verdict) in [(first_key, first), (second_key, second)] {
            let again = node.claims.claim(claim(key, 3, "b")).await;
            let ran = matches!(verdict, ClaimVerdict::Run);
            assert!(!ran || verdict_name(&again) == "unknown", "key {key}: {verdict:?}, {again:?}");
        }
    }
}

/// Guards against a delayed earlier write that replaces a later one, a refused start that
/// blocks its key at the successor, and a key held by a claimant that is gone.
#[tokio::test(start_paused = true)]
async fn delayed_writes_change_nothing() {
    enum Course {
        /// The call is answered before its first write arrives.
        Finished,
        /// All writes arrive after the refusal.
        Refused,
        /// An outage refuses the claim, then its first write arrives, then another key is used.
        RefusedThenOther,
        /// The claimant goes away before the write is confirmed.
        ClaimantGone,
    }
    let shard = |key| claim_record::shard_of(&claim(key, 0, "").key);
    let other = (2..=u8::MAX).find(|key| shard(*key) == shard(1)).unwrap();
    for (course, expected) in [
        (Course::Finished, "replay"),
        (Course::Refused, "run"),
        (Course::RefusedThenOther, "run"),
        (Course::ClaimantGone, "run"),
    ] {
        let (kv, node) = one_owner().await;
        let refused = matches!(course, Course::Refused);
        node.kv.delay_commits(if refused { 4 } else { 1 }, Duration::from_millis(600));
        let start = node.claims.claim(claim(1, 1, "a"));
        match course {
            Course::Finished => {
                assert_eq!(verdict_name(&start.await), "run");
                node.claims.finish(claim(1, 0, "a").key, 1, answer("booked")).unwrap();
            }
            Course::Refused => assert_eq!(verdict_name(&start.await), "unavailable"),
            Course::RefusedThenOther => {
                kv.faults.lock().delay_ms = 30;
                let outage = async {
                    // The read at 50 ms finds no write; the second write at 80 ms is refused.
                    sleep(Duration::from_millis(65)).await;
                    kv.faults.lock().outage = true;
                };
                let (verdict, ()) = tokio::join!(start, outage);
                assert_eq!(verdict_name(&verdict), "unavailable");
                *kv.faults.lock() = KvFaults::default();
                sleep(SETTLE).await;
                assert_eq!(verdict_name(&node.claims.claim(claim(other, 2, "a")).await), "run");
            }
            Course::ClaimantGone => {
                assert!(tokio::time::timeout(Duration::from_millis(10), start).await.is_err());
            }
        }
        sleep(SETTLE).await;
        let node = successor(&kv, node, &["b"]).await;
        let verdict = node.claims.claim(claim(1, 3, "b")).await;
        assert_eq!(verdict_name(&verdict), expected);
    }
}

/// Guards against a second run after the owner was killed between two steps, and against a
/// call that is taken for lost while its serving node lives.
#[tokio::test(start_paused = true)]
async fn owner_killed_at_each_step() {
    /// Name; whether the call is claimed, finished and stored; members afterwards; verdict.
    struct Case(&'static str, bool, bool, bool, &'static [&'static str], &'static str);
    let cases = [
        Case("before the claim", false, false, false, &["b"], "run"),
        Case("serving node died too", true, false, false, &["b"], "unknown"),
        Case("serving node lives", true, false, false, &["b", "s"], "in progress"),
        Case("answer not stored", true, true, false, &["b"], "unknown"),
        Case("answer stored", true, true, true, &["b"], "replay"),
    ];
    for Case(name, claimed, finished, stored, members, expected) in cases {
        let (kv, node) = one_owner().await;
        node.set_members(&["a", "s"]);
        let key = (0..255).find(|key| {
            let request = claim(*key, 0, "s");
            let shard = claim_record::shard_of(&request.key);
            let home = |members: &[&str]| {
                yuccareel::rendezvous::highest_ranked(
                    &yuccareel::claim_table::owner_key(shard),
                    members.to_vec(),
                )
                .map(str::to_owned)
            };
            home(&["a", "s"]).as_deref() == Some("a") && home(&["b", "s"]).as_deref() == Some("b")
        });
        let key = key.unwrap();
        if claimed {
            let verdict = node.claims.claim(claim(key, 1, "s")).await;
            assert_eq!(verdict_name(&verdict), "run", "{}", name);
        }
        if finished {
            node.claims.finish(claim(key, 0, "s").key, 1, answer("booked")).unwrap();
        }
        if stored {
            sleep(SETTLE).await;
        }
        let node = successor(&kv, node, members).await;
        let verdict = node.claims.claim(claim(key, 2, "b")).await;
        assert_eq!(verdict_name(&verdict), expected, "{}", name);
    }
}

/// Guards against shards that stay without an owner after an instance has joined or announced
/// that it leaves, and against a call that runs twice by the change of its owner.
#[tokio::test(start_paused = true)]
async fn shards_pass_on_at_once() {
    /// Name, whether the former owner leaves, whether it is paused meanwhile.
    struct Case(&'static str, bool, bool);
    let cases = [
        Case("joined", false, false),
        Case("leaves", true, false),
        Case("leaves while it is paused", true, true),
    ];
    let members = ["a", "b"].map(ids::InstanceName::from);
    let homed = |number: &ids::ShardNumber| {
        rendezvous::highest_ranked(&claim_table::owner_key(*number), &members) == Some(&members[1])
    };
    for Case(name, leaves, paused) in cases {
        let (kv, old) = one_owner().await;
        let first = claim(1, 1, "a");
        assert_eq!(verdict_name(&old.claims.claim(first.clone()).await), "run", "{name}");
        old.claims.finish(first.key, 1, answer("booked")).unwrap();
        sleep(SETTLE).await;
        old.kv.paused.send_replace(paused);
        let new = Node::start(&kv, "b", &["a", "b"]);
        for node in [&old, &new] {
            node.claims.set_leaving(members[..usize::from(leaves)].iter().cloned());
            node.set_members(&["a", "b"]);
        }
        let shards = match leaves {
            true => usize::from(claim_record::SHARDS),
            false => (0..claim_record::SHARDS).filter(homed).count(),
        };
        let taken = async {
            // The claims are asked for at the new owner, as serving nodes do.
            for key in 2.. {
                let _ = new.claims.claim(claim(key % 200 + 2, u128::from(key), "b")).await;
                if new.claims.owned_shards().len() == shards {
                    return;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        let taken = tokio::time::timeout(Duration::from_millis(600), taken).await;
        assert_eq!(taken.is_ok(), !paused, "{name}");
        sleep(if paused { LEASE_OVER } else { Duration::ZERO }).await;
        let moved = new.claims.owned_shards().contains(&claim_record::shard_of(&first.key));
        let owner = if moved { &new } else { &old };
        let again = claim_record::ClaimRequest { request: 9, ..first.clone() };
        assert_eq!(verdict_name(&owner.claims.claim(again.clone()).await), "replay", "{name}");
        old.kv.paused.send_replace(false);
        sleep(LEASE_OVER).await;
        let verdict = old.claims.claim(claim_record::ClaimRequest { request: 10, ..again }).await;
        assert!(!matches!(verdict, ClaimVerdict::Run), "{name}: {verdict:?}");
    }
}

/// Guards against a paused owner that wakes up and writes, or grants, under a lapsed lease.
#[tokio::test(start_paused = true)]
async fn paused_owner_is_fenced() {
    for (name, in_flight) in [("idle", false), ("write in flight", true)] {
        let (kv, old) = one_owner().await;
        if in_flight {
            old.kv.delay_commits(4, Duration::from_secs(20));
            let claims = old.claims.clone();
            tokio::spawn(async move { claims.claim(claim(1, 1, "a")).await });
            sleep(Duration::from_millis(10)).await;
        }
        old.kv.paused.send_replace(true);
        let new = Node::start(&kv, "b", &["b"]);
        sleep(LEASE_OVER).await;
        let verdict = new.claims.claim(claim(1, 2, "b")).await;
        assert_eq!(verdict_name(&verdict), "run", "{name}");
        let waiting = tokio::spawn({
            let claims = old.claims.clone();
            async move { claims.claim(claim(1, 3, "a")).await }
        });
        old.kv.paused.send_replace(false);
        let verdict = waiting.await.unwrap();
        assert!(!matches!(verdict, ClaimVerdict::Run), "{name}: {verdict:?}");
        sleep(LEASE_OVER * 2).await;
        new.claims.finish(claim(1, 0, "b").key, 2, answer("booked")).unwrap();
        let verdict = new.claims.claim(claim(1, 4, "b")).await;
        assert_eq!(verdict_name(&verdict), "replay", "{name}");
    }
}

/// Guards against two runs for claimants at once, a key reused for another request, and a
/// waiter that is never told.
#[tokio::test(start_paused = true)]
async fn claimants_at_once() {
    let (_kv, node) = one_owner().await;
    let (first, second) =
        tokio::join!(node.claims.claim(claim(1, 1, "a")), node.claims.claim(claim(1, 2, "a")));
    assert_eq!(verdict_name(&first), "run");
    let ClaimVerdict::InProgress(waiting) = second else { panic!("{second:?}") };
    let repeated = node.claims.claim(claim(1, 1, "a")).await;
    assert_eq!(verdict_name(&repeated), "run", "same request id, answer lost between nodes");
    let other = claim_record::ClaimRequest { fingerprint: [7; 32], ..claim(1, 3, "a") };
    assert_eq!(verdict_name(&node.claims.claim(other).await), "conflict");

    let key = claim(1, 0, "a").key;
    assert_eq!(node.claims.abandon(key, 2), Err(ClaimEndError::NotHeld));
    node.claims.abandon(key, 1).unwrap();
    assert_eq!(waiting.await.unwrap(), ClaimEnd::NotRun);
    let spent = node.claims.claim(claim(1, 1, "a")).await;
    assert_eq!(verdict_name(&spent), "unavailable");
    assert_eq!(verdict_name(&node.claims.claim(claim(1, 4, "a")).await), "run");
    let ClaimVerdict::InProgress(waiting) = node.claims.claim(claim(1, 5, "a")).await else {
        panic!("duplicate did not wait");
    };
    node.claims.finish(key, 4, answer("booked")).unwrap();
    assert_eq!(waiting.await.unwrap(), ClaimEnd::Finished(answer("booked")));
}

/// Guards against shards without an owner, or with two, after any write of a takeover fails.
#[tokio::test(start_paused = true)]
async fn faults_during_takeover_leave_one_owner() {
    let none = KvFaults::default;
    for (name, faults) in [
        ("outage", KvFaults { outage: true, ..none() }),
        ("slow", KvFaults { delay_ms: 1_500, ..none() }),
        ("one answer lost", KvFaults { lose_answers: 1, ..none() }),
        ("two answers lost", KvFaults { lose_answers: 2, ..none() }),
        ("two writes lost", KvFaults { lose_writes: 2, ..none() }),
    ] {
        let kv = World::new();
        *kv.faults.lock() = faults;
        let nodes = ["a", "b"].map(|node| Node::start(&kv, node, &["a", "b"]));
        sleep(SETTLE).await;
        *kv.faults.lock() = none();
        sleep(LEASE_OVER).await;
        let [a, b] = &nodes;
        assert_eq!(a.claims.owned_shards().len() + b.claims.owned_shards().len(), 64, "{name}");
        let verdicts =
            [a.claims.claim(claim(1, 1, "a")).await, b.claims.claim(claim(1, 2, "b")).await];
        let (owner, other) = match verdicts {
            [ClaimVerdict::Run, other] => ("a", other),
            [other, verdict] => {
                assert_eq!(verdict_name(&verdict), "run", "{name}");
                ("b", other)
            }
        };
        assert!(matches!(other, ClaimVerdict::NotOwner(Some(named)) if &*named == owner), "{name}");
    }
}

/// Guards against answers to known claims that stop, and new claims that start, during an
/// outage longer than the lease, and against an answer lost with it.
#[tokio::test(start_paused = true)]
async fn long_outage_answers_from_memory() {
    let (kv, node) = one_owner().await;
    for key in [1, 2] {
        assert_eq!(verdict_name(&node.claims.claim(claim(key, 1, "a")).await), "run");
    }
    node.claims.finish(claim(1, 0, "a").key, 1, answer("booked")).unwrap();
    sleep(SETTLE).await;
    kv.faults.lock().outage = true;
    node.claims.finish(claim(2, 0, "a").key, 1, answer("booked late")).unwrap();
    for _ in 0..10 {
        sleep(Duration::from_secs(6)).await;
        for (key, verdict) in [(1, "replay"), (2, "replay"), (3, "unavailable")] {
            let found = node.claims.claim(claim(key, 9, "a")).await;
            assert_eq!(verdict_name(&found), verdict, "key {key}");
            let ran = found.refusal().map(|refusal| (refusal.reason.code(), refusal.ran));
            let refused =
                (verdict == "unavailable").then_some(("claims_unavailable", RunState::No));
            assert_eq!(ran, refused, "key {key}");
        }
    }
    kv.faults.lock().outage = false;
    sleep(LEASE_OVER).await;
    assert_eq!(verdict_name(&node.claims.claim(claim(3, 10, "a")).await), "run");
    let node = successor(&kv, node, &["b"]).await;
    let found = node.claims.claim(claim(2, 11, "b")).await;
    assert!(matches!(found, ClaimVerdict::Replay(kept) if kept == answer("booked late")));
}

/// Guards against a shutdown that loses an answer or waits for the lease.
#[tokio::test(start_paused = true)]
async fn shutdown_hands_over_at_once() {
    let (kv, old) = one_owner().await;
    assert_eq!(verdict_name(&old.claims.claim(claim(1, 1, "a")).await), "run");
    old.claims.finish(claim(1, 0, "a").key, 1, answer("booked")).unwrap();
    old.stop.cancel();
    old.task.await.unwrap();
    let new = Node::start(&kv, "b", &["b"]);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(verdict_name(&new.claims.claim(claim(1, 2, "b")).await), "replay");
    assert_eq!(verdict_name(&old.claims.claim(claim(2, 3, "a")).await), "unavailable");
}

/// Guards against segments over the size limit, answers lost between segments, large answers
/// replayed in part, and claims that outlive their retention.
#[tokio::test(start_paused = true)]
async fn segments_are_bounded_and_expire() {
    let (kv, node) = one_owner().await;
    let text = "x".repeat(claim_record::BODY_BYTES);
    let large = claim_record::ClaimAnswer::new(200, "text/plain", Bytes::from(format!("{text}y")));
    assert!(large.replay().unwrap_err().message.contains("the call ran"));
    for key in 0..60 {
        assert_eq!(verdict_name(&node.claims.claim(claim(key, 1, "a")).await), "run");
        let kept = if key % 2 == 0 { large.clone() } else { answer(&text) };
        node.claims.finish(claim(key, 0, "a").key, 1, kept).unwrap();
    }
    sleep(SETTLE).await;
    let segments = kv.table.lock().with_prefix(claim_shard::LOG_PREFIX);
    let longest = segments.iter().map(|entry| entry.value.len()).max().unwrap();
    assert!(longest > claim_log::SEGMENT_BYTES && longest < 1 << 20, "{longest}");
    let node = successor(&kv, node, &["b"]).await;
    for key in 0..60 {
        let found = node.claims.claim(claim(key, 2, "b")).await;
        let kept = if key % 2 == 0 { large.clone() } else { answer(&text) };
        assert!(matches!(found, ClaimVerdict::Replay(found) if found == kept), "key {key}");
    }
    tokio::time::advance(claim_record::RETENTION).await;
    sleep(LEASE_OVER).await;
    for key in 0..60 {
        let request = u128::from(key) + 500;
        assert_eq!(verdict_name(&node.claims.claim(claim(key, request, "b")).await), "run");
    }
    let left = kv.table.lock().with_prefix(claim_shard::LOG_PREFIX).len();
    assert!(left < segments.len(), "{left} of {} segments", segments.len());
}
