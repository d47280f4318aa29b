//! Division of a quantity, first shares, settling, handover and cold signs at the home.

mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::{customer, load_report, model, ms, replica, replica_table, version_pool};
use yuccareel::cold_start::WarmupSignal;
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::quota_allocator::{QuotaAllocator, QuotaTables};
use yuccareel::quota_lease::{ShareState, ShareTable, ShareUse};
use yuccareel::quota_message::ResourceKind::{self, CustomerConcurrency, CustomerSpend};
use yuccareel::quota_message::{GrantOutcome, ResourceKey};
use yuccareel::replica_table::ReplicaTable;
use yuccareel::{ids, rendezvous};

const REPLICA: ResourceKind = ResourceKind::ReplicaConcurrency;

struct Group {
    snapshot: ConfigSnapshot,
    table: ReplicaTable,
    home: QuotaAllocator,
    nodes: Vec<ShareTable>,
    members: Vec<ids::InstanceName>,
    now: Duration,
}

impl Group {
    /// Nodes and the settled home of `c`, which may run 64 requests at once, as a replica 2 to 64.
    fn new(nodes: usize, kind: ResourceKind) -> Self {
        let members: Vec<ids::InstanceName> =
            (0..nodes).map(|index| format!("n{index}").into()).collect();
        let name = rendezvous::home(&ResourceKey::new(kind, "c").hash_key(), &members).unwrap();
        let mut home = QuotaAllocator::new(name.clone(), 1, Duration::ZERO);
        home.set_members(&members, &[], Duration::ZERO);
        let names = members.clone().into_iter();
        let mut group = Self {
            snapshot: ConfigSnapshot::from_records(
                1,
                [model("m", 2, 64), customer("c", 1, 10.0, 64)],
            ),
            table: replica_table([replica("c", "dc", version_pool("m", "v1"))]),
            home,
            nodes: names.map(|name| ShareTable::new(name, 1)).collect(),
            members,
            now: Duration::ZERO,
        };
        group.advance(ms(10_000));
        group
    }

    fn advance(&mut self, time: Duration) {
        let ends_at = self.now + time;
        while self.now < ends_at {
            self.now += ms(500);
            self.home.tick(true, self.now);
        }
    }

    fn exchange(&mut self, node: usize, kind: ResourceKind, use_now: ShareUse) -> u64 {
        let shares = &mut self.nodes[node];
        shares.record_use(kind, &Arc::from("c"), use_now, self.now);
        let tables = QuotaTables { snapshot: &self.snapshot, table: &self.table };
        for (home, request) in shares.renewal_requests(self.now, &self.members) {
            let reply = self.home.answer_request(&request, tables, true, self.now);
            shares.apply_reply(&home, &reply);
        }
        shares.leased_amount(kind, "c", self.now)
    }

    fn sign(&mut self, sign: WarmupSignal) -> bool {
        let tables = QuotaTables { snapshot: &self.snapshot, table: &self.table };
        self.home.apply_warmup_signal(&"c".into(), sign, tables, self.now)
    }
}

fn wants(wanted: u64) -> ShareUse {
    ShareUse { wanted, ..ShareUse::default() }
}

/// Guards against nodes left without a share in a surge, and against a division that ignores
/// demand once it is known.
#[test]
fn quantity_is_divided_by_demand() {
    struct Case {
        name: &'static str,
        demand: &'static [u64],
        first: &'static [u64],
        settled: &'static [u64],
    }
    let cases = [
        Case { name: "one node", demand: &[100], first: &[16], settled: &[64] },
        Case { name: "little demand", demand: &[3, 5], first: &[3, 5], settled: &[3, 5] },
        Case { name: "weights", demand: &[300, 100], first: &[16, 12], settled: &[48, 16] },
        Case {
            name: "surge on 8 nodes",
            demand: &[100; 8],
            first: &[16, 12, 9, 7, 5, 4, 3, 2],
            settled: &[8; 8],
        },
    ];
    for case in cases {
        let mut group = Group::new(case.demand.len(), CustomerConcurrency);
        let round = |group: &mut Group| -> Vec<u64> {
            let demand = case.demand.iter().enumerate();
            demand
                .map(|(node, demand)| group.exchange(node, CustomerConcurrency, wants(*demand)))
                .collect()
        };
        assert_eq!(round(&mut group), case.first, "{}", case.name);
        let mut last = Vec::new();
        for _ in 0..12 {
            group.advance(ms(1_000));
            last = round(&mut group);
        }
        assert_eq!(last, case.settled, "{}", case.name);
    }
}

/// Guards against nodes that never get a unit when there are fewer units than nodes.
#[test]
fn single_units_rotate() {
    let mut group = Group::new(6, REPLICA);
    let mut held = [0; 6];
    for _ in 0..60 {
        group.advance(ms(1_000));
        for (node, held) in held.iter_mut().enumerate() {
            *held += group.exchange(node, REPLICA, wants(5));
        }
    }
    assert!(held.iter().all(|held| *held >= 5), "{held:?}");
}

/// Guards against money that is granted again after a node spent it, or after the node is gone.
#[test]
fn spent_money_does_not_come_back() {
    let mut group = Group::new(2, CustomerSpend);
    let spend = |wanted, used| ShareUse { wanted, in_use: 0, used, period: 1 };
    assert_eq!(group.exchange(0, CustomerSpend, spend(10_000, 0)), 2_500);
    group.advance(ms(1_000));
    assert_eq!(group.exchange(0, CustomerSpend, spend(10_000, 2_500)), 5_000);
    // Node 0 is gone with 5,000 unreported.
    group.advance(ms(4_000));
    for _ in 0..20 {
        group.exchange(1, CustomerSpend, spend(10_000, 0));
        group.advance(ms(500));
    }
    assert_eq!(group.exchange(1, CustomerSpend, spend(10_000, 0)), 2_500);
    let next_day = ShareUse { wanted: 10_000, in_use: 0, used: 0, period: 2 };
    assert!(group.exchange(1, CustomerSpend, next_day) > 2_500);
}

/// Guards against a quantity that stays high after a cold sign, or rises by answers of before.
#[test]
fn cold_sign_reduces_the_quantity() {
    let mut group = Group::new(1, REPLICA);
    let answers = |used, period| ShareUse { wanted: 100, in_use: 0, used, period };
    group.exchange(0, REPLICA, answers(0, 0));
    let epoch = |group: &Group| match group.nodes[0].share_state(REPLICA, "c", group.now) {
        ShareState::Leased { epoch, quantity, cold, .. } => (epoch, quantity, cold),
        state => panic!("{state:?}"),
    };
    let (first, quantity, cold) = epoch(&group);
    assert_eq!((quantity, cold), (2, true));
    group.exchange(0, REPLICA, answers(62, first));
    assert_eq!(epoch(&group), (first, 64, false));
    assert!(group.sign(WarmupSignal::Boot("b1".into())) || group.sign(WarmupSignal::Refused));
    group.exchange(0, REPLICA, answers(500, first));
    let (second, quantity, cold) = epoch(&group);
    assert_eq!((quantity, cold), (2, true));
    assert_ne!(first, second);
    group.exchange(0, REPLICA, answers(2, second));
    assert_eq!(epoch(&group), (second, 4, true));
}

/// Guards against load of unheard nodes that a new home does not see, and against holding its
/// place for longer than a report shows it.
#[test]
fn load_report_shows_unheard_requests() {
    for (reported, granted) in [(0, 1), (1, 1), (2, 0)] {
        let mut group = Group::new(1, REPLICA);
        group.table.record_report("c", load_report(reported, true, "b1", group.now));
        let use_now = wants(1);
        assert_eq!(group.exchange(0, REPLICA, use_now), granted, "{reported} reported");
        group.advance(ms(3_000));
        let tables = QuotaTables { snapshot: &group.snapshot, table: &group.table };
        let idle = load_report(0, true, "b1", group.now);
        group.home.apply_load_report(&"c".into(), &idle, tables, group.now);
        assert_eq!(group.exchange(0, REPLICA, use_now), 1, "{reported} reported");
    }
}

/// Guards against requests of a leaving node that are forgotten while it finishes them.
#[test]
fn leaving_node_keeps_its_use() {
    for (leaving, left) in [(true, 24), (false, 64)] {
        let mut group = Group::new(2, REPLICA);
        let warm = WarmupSignal::Report { boot: "b1".into(), cold: false };
        group.sign(warm);
        let key = ResourceKey::new(REPLICA, "c").hash_key();
        let home = rendezvous::home(&key, &group.members).unwrap().clone();
        let leaver = usize::from(home == group.members[0]);
        let use_now = ShareUse { wanted: 40, in_use: 40, ..ShareUse::default() };
        group.exchange(leaver, REPLICA, use_now);
        let gone = vec![group.members[leaver].clone()];
        let gone = if leaving { gone } else { Vec::new() };
        group.home.set_members(std::slice::from_ref(&home), &gone, group.now);
        let mut held = 0;
        for _ in 0..12 {
            group.advance(ms(1_000));
            held = group.exchange(1 - leaver, REPLICA, wants(64));
        }
        assert_eq!(held, left, "leaving node listed: {leaving}");
    }
}

/// Guards against a new home that grants before the former shares ended, and against a useless
/// wait after a handover.
#[test]
fn new_home_settles_unless_handed_over() {
    struct Case {
        name: &'static str,
        kind: ResourceKind,
        handover: bool,
        settles: Duration,
    }
    let cases = [
        Case { name: "replica", kind: REPLICA, handover: false, settles: ms(10_000) },
        Case { name: "customer", kind: CustomerConcurrency, handover: false, settles: ms(2_000) },
        Case { name: "handover", kind: REPLICA, handover: true, settles: ms(0) },
    ];
    for case in cases {
        let mut group = Group::new(1, case.kind);
        let key = ResourceKey::new(case.kind, "c").hash_key();
        let names: Vec<ids::InstanceName> = vec!["home".into(), "other".into()];
        let first = rendezvous::home(&key, &names).unwrap().clone();
        let second = names.iter().find(|name| **name != first).unwrap().clone();
        let mut homes = [first.clone(), second.clone()].map(|name| {
            let mut home = QuotaAllocator::new(name, 1, Duration::ZERO);
            home.set_members(&names, &[], Duration::ZERO);
            home
        });
        let ticks = |homes: &mut [QuotaAllocator; 2], from: Duration, to: Duration| {
            let mut now = from;
            while now < to {
                now += ms(500);
                homes.iter_mut().for_each(|home| home.tick(true, now));
            }
        };
        ticks(&mut homes, Duration::ZERO, ms(12_000));
        let changed_at = ms(12_000);
        let tables = QuotaTables { snapshot: &group.snapshot, table: &group.table };
        let shares = &mut group.nodes[0];
        shares.record_use(case.kind, &"c".into(), wants(1), changed_at);
        for (_, request) in shares.renewal_requests(changed_at, std::slice::from_ref(&first)) {
            shares
                .apply_reply(&first, &homes[0].answer_request(&request, tables, true, changed_at));
        }
        assert_eq!(shares.leased_amount(case.kind, "c", changed_at), 1, "{}", case.name);
        if case.handover {
            for (home, handovers) in homes[0].hand_over(changed_at) {
                assert_eq!(home, second);
                homes[1].accept_handover(&first, &handovers, tables, changed_at);
            }
        }
        homes[1].set_members(std::slice::from_ref(&second), &[], changed_at);
        let mut granted_at = None;
        for step in 0..30 {
            let now = changed_at + ms(step * 500);
            ticks(&mut homes, now.saturating_sub(ms(500)), now);
            for (_, request) in shares.renewal_requests(now, std::slice::from_ref(&second)) {
                let reply = homes[1].answer_request(&request, tables, true, now);
                let leased = |grant: &yuccareel::quota_message::ShareGrant| {
                    matches!(grant.outcome, GrantOutcome::Leased { amount: 1.., .. })
                };
                if reply.grants.iter().any(leased) {
                    granted_at.get_or_insert(now - changed_at);
                }
                shares.apply_reply(&second, &reply);
            }
        }
        assert_eq!(granted_at, Some(case.settles), "{}", case.name);
    }
}

/// Guards against a new home that settles although the former one could name all shares, and
/// against shares that are handed over twice, to a node that is not the home, or too late.
#[test]
fn new_home_asks_the_former_one() {
    struct Case {
        name: &'static str,
        /// Time from the change of members to the question, and from there to the answer.
        asked_after: Duration,
        answered_after: Duration,
        /// Time for which the former home does not run before the question.
        paused: Duration,
        asker: &'static str,
        released: bool,
        accepted: bool,
    }
    let usual = Case {
        name: "at once",
        asked_after: ms(0),
        answered_after: ms(10),
        paused: ms(0),
        asker: "new",
        released: true,
        accepted: true,
    };
    let cases = [
        Case { name: "after 5 s", asked_after: ms(5_000), ..usual },
        Case { name: "after 7 s", asked_after: ms(7_000), released: false, ..usual },
        Case { name: "not the home", asker: "third", released: false, ..usual },
        Case {
            name: "former home paused",
            asked_after: ms(4_000),
            paused: ms(4_000),
            released: false,
            ..usual
        },
        Case { name: "answer late", answered_after: ms(1_500), accepted: false, ..usual },
        usual,
    ];
    for case in cases {
        let mut group = Group::new(1, REPLICA);
        let key = ResourceKey::new(REPLICA, "c");
        let former = group.members[0].clone();
        // Name of the new node that ranks above the former home.
        let names = (0..).map(|number| ids::InstanceName::from(format!("m{number}")));
        let above = |name: &ids::InstanceName| {
            rendezvous::home(&key.hash_key(), [name, &former]) == Some(name)
        };
        let second = names.into_iter().find(above).unwrap();
        assert_eq!(group.exchange(0, REPLICA, wants(1)), 1, "{}", case.name);
        let both = [former.clone(), second.clone()];
        let changed_at = group.now;
        let mut home = QuotaAllocator::new(second.clone(), 1, changed_at);
        home.set_members(&both, &[], changed_at);
        group.home.set_members(&both, &[], changed_at);
        group.members = vec![second.clone()];
        let tables = QuotaTables { snapshot: &group.snapshot, table: &group.table };
        let mut asked_at = changed_at;
        while asked_at < changed_at + case.asked_after {
            asked_at += ms(500);
            home.tick(true, asked_at);
            if case.paused == ms(0) {
                group.home.tick(true, asked_at);
            }
        }
        // A first renewal makes the row known at the new home.
        let mut other = ShareTable::new("other".into(), 1);
        other.record_use(REPLICA, &"c".into(), wants(2), asked_at);
        for (_, request) in other.renewal_requests(asked_at, &group.members) {
            other.apply_reply(&second, &home.answer_request(&request, tables, true, asked_at));
        }
        assert_eq!(other.leased_amount(REPLICA, "c", asked_at), 0, "{}", case.name);
        let questions = home.handover_requests(asked_at);
        assert_eq!(questions[&former], std::slice::from_ref(&key), "{}", case.name);
        let asker = if case.asker == "new" { &second } else { &"third".into() };
        let released = group.home.release_shares(asker, &questions[&former], true, asked_at);
        assert_eq!(!released.is_empty(), case.released, "{}", case.name);
        let again = group.home.release_shares(&second, &questions[&former], true, asked_at);
        let refused = case.asker == "new" || case.asked_after > ms(6_000);
        assert_eq!(again.is_empty(), refused, "{}: released twice", case.name);
        let now = asked_at + case.answered_after;
        home.accept_released_shares(&former, &released, asked_at, tables, true, now);
        let (mut granted, now) = (0, now + ms(10));
        for (_, request) in other.renewal_requests(now, &group.members) {
            other.apply_reply(&second, &home.answer_request(&request, tables, true, now));
            granted = other.leased_amount(REPLICA, "c", now);
        }
        // The replica bears 2 while it is cold, and 1 of them is out.
        let free = u64::from(case.released && case.accepted);
        assert_eq!(granted, free, "{}", case.name);
    }
}

/// Guards against an instance that announces that it leaves, takes itself out of the members by
/// that, and then has no shares to hand over.
#[test]
fn shares_are_handed_over_after_the_announcement() {
    let mut group = Group::new(1, REPLICA);
    assert_eq!(group.exchange(0, REPLICA, wants(1)), 1);
    let former = group.members[0].clone();
    let next: ids::InstanceName = "next".into();
    group.home.set_members(std::slice::from_ref(&next), &[former], group.now);
    let handovers = group.home.hand_over(group.now);
    let shares: Vec<_> = handovers[&next].iter().flat_map(|handover| &handover.shares).collect();
    assert_eq!(shares.len(), 1);
    assert_eq!(shares[0].amount, 1);
    assert!(group.home.hand_over(group.now).is_empty(), "handed over twice");
}

/// Guards against a settling time that is shorter than the spread of a member change.
#[test]
fn settling_grows_with_the_group() {
    for (members, seconds) in [(1, 10), (8, 10), (16, 10), (17, 11), (81, 12), (1_300, 14)] {
        assert_eq!(REPLICA.settling_period(members).as_secs(), seconds, "{members} nodes");
        assert_eq!(CustomerSpend.settling_period(members).as_secs(), 2);
    }
}
