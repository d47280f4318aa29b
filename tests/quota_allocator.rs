//! Division of a quantity by its allocator, settling, handover and signals of cold replicas.

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
    allocator: QuotaAllocator,
    nodes: Vec<ShareTable>,
    members: Vec<ids::InstanceName>,
    now: Duration,
}

impl Group {
    /// Creates nodes and the settled allocator of resource `c`: a customer with at most 64 requests
    /// in flight, or a replica with at most 2 while cold and 64 while warm.
    fn new(nodes: usize, kind: ResourceKind) -> Self {
        let members: Vec<ids::InstanceName> =
            (0..nodes).map(|index| format!("n{index}").into()).collect();
        let name =
            rendezvous::highest_ranked(&ResourceKey::new(kind, "c").hash_key(), &members).unwrap();
        let mut allocator = QuotaAllocator::new(name.clone(), 1, Duration::ZERO);
        allocator.set_members(&members, &[], Duration::ZERO);
        let names = members.clone().into_iter();
        let mut group = Self {
            snapshot: ConfigSnapshot::from_records(
                1,
                [model("m", 2, 64), customer("c", 1, 10.0, 64)],
            ),
            table: replica_table([replica("c", "dc", version_pool("m", "v1"))]),
            allocator,
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
            self.allocator.tick(true, self.now);
        }
    }

    fn exchange(&mut self, node: usize, kind: ResourceKind, use_now: ShareUse) -> u64 {
        let shares = &mut self.nodes[node];
        shares.record_use(kind, &Arc::from("c"), use_now, self.now);
        let tables = QuotaTables { snapshot: &self.snapshot, table: &self.table };
        for (allocator, request) in shares.renewal_requests(self.now, &self.members) {
            let reply = self.allocator.answer_request(&request, tables, true, self.now);
            shares.apply_reply(&allocator, &reply);
        }
        shares.leased_amount(kind, "c", self.now)
    }

    fn apply_signal(&mut self, signal: WarmupSignal) -> bool {
        let tables = QuotaTables { snapshot: &self.snapshot, table: &self.table };
        self.allocator.apply_warmup_signal(&"c".into(), signal, tables, self.now)
    }
}

fn demand_of(wanted: u64) -> ShareUse {
    ShareUse { wanted, ..ShareUse::default() }
}

/// Guards against nodes that get no share in a surge, and against a division that ignores the
/// demand of the nodes.
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
                .map(|(node, demand)| group.exchange(node, CustomerConcurrency, demand_of(*demand)))
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

/// Guards against nodes that never get a unit if there are fewer units than nodes.
#[test]
fn single_units_rotate() {
    let mut group = Group::new(6, REPLICA);
    let mut held = [0; 6];
    for _ in 0..60 {
        group.advance(ms(1_000));
        for (node, held) in held.iter_mut().enumerate() {
            *held += group.exchange(node, REPLICA, demand_of(5));
        }
    }
    assert!(held.iter().all(|held| *held >= 5), "{held:?}");
}

/// Guards against a spend limit that is granted again after a node has spent its share, or has
/// disappeared with it.
#[test]
fn spent_money_does_not_come_back() {
    let mut group = Group::new(2, CustomerSpend);
    let spend = |wanted, used| ShareUse { wanted, in_use: 0, used, period: 1 };
    assert_eq!(group.exchange(0, CustomerSpend, spend(10_000, 0)), 2_500);
    group.advance(ms(1_000));
    assert_eq!(group.exchange(0, CustomerSpend, spend(10_000, 2_500)), 5_000);
    // Node 0 has disappeared with a share of 5,000 whose use it did not report.
    group.advance(ms(4_000));
    for _ in 0..20 {
        group.exchange(1, CustomerSpend, spend(10_000, 0));
        group.advance(ms(500));
    }
    assert_eq!(group.exchange(1, CustomerSpend, spend(10_000, 0)), 2_500);
    let next_day = ShareUse { wanted: 10_000, in_use: 0, used: 0, period: 2 };
    assert!(group.exchange(1, CustomerSpend, next_day) > 2_500);
}

/// Guards against a quantity that stays high after a replica turns cold, or that rises by answers
/// to earlier requests.
#[test]
fn cold_signals_reduce_the_quantity() {
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
    assert!(
        group.apply_signal(WarmupSignal::Boot("b1".into()))
            || group.apply_signal(WarmupSignal::Refused)
    );
    group.exchange(0, REPLICA, answers(500, first));
    let (second, quantity, cold) = epoch(&group);
    assert_eq!((quantity, cold), (2, true));
    assert_ne!(first, second);
    group.exchange(0, REPLICA, answers(2, second));
    assert_eq!(epoch(&group), (second, 4, true));
}

/// Guards against a new allocator that ignores requests of nodes that have not reported to it, and
/// that counts them after a later load report no longer has them.
#[test]
fn load_reports_show_unattributed_requests() {
    for (reported, granted) in [(0, 1), (1, 1), (2, 0)] {
        let mut group = Group::new(1, REPLICA);
        group.table.record_report("c", load_report(reported, true, "b1", group.now));
        let use_now = demand_of(1);
        assert_eq!(group.exchange(0, REPLICA, use_now), granted, "{reported} reported");
        group.advance(ms(3_000));
        let tables = QuotaTables { snapshot: &group.snapshot, table: &group.table };
        let idle = load_report(0, true, "b1", group.now);
        group.allocator.apply_load_report(&"c".into(), &idle, tables, group.now);
        assert_eq!(group.exchange(0, REPLICA, use_now), 1, "{reported} reported");
    }
}

/// Guards against an allocator that no longer counts the requests of a leaving node while the node
/// finishes them.
#[test]
fn use_of_a_leaving_node_counts() {
    for (is_leaving_listed, expected_share) in [(true, 24), (false, 64)] {
        let mut group = Group::new(2, REPLICA);
        let warm = WarmupSignal::Report { boot: "b1".into(), cold: false };
        group.apply_signal(warm);
        let key = ResourceKey::new(REPLICA, "c").hash_key();
        let allocator = rendezvous::highest_ranked(&key, &group.members).unwrap().clone();
        let leaver = usize::from(allocator == group.members[0]);
        let use_now = ShareUse { wanted: 40, in_use: 40, ..ShareUse::default() };
        group.exchange(leaver, REPLICA, use_now);
        let leaving = vec![group.members[leaver].clone()];
        let leaving = if is_leaving_listed { leaving } else { Vec::new() };
        group.allocator.set_members(std::slice::from_ref(&allocator), &leaving, group.now);
        let mut held = 0;
        for _ in 0..12 {
            group.advance(ms(1_000));
            held = group.exchange(1 - leaver, REPLICA, demand_of(64));
        }
        assert_eq!(held, expected_share, "leaving node listed: {is_leaving_listed}");
    }
}

/// Guards against a new allocator that grants before the shares of the former one have expired, and
/// against one that settles although it has them by a handover.
#[test]
fn new_allocators_settle_without_a_handover() {
    struct Case {
        name: &'static str,
        kind: ResourceKind,
        has_handover: bool,
        settling_period: Duration,
    }
    let cases = [
        Case { name: "replica", kind: REPLICA, has_handover: false, settling_period: ms(10_000) },
        Case {
            name: "customer",
            kind: CustomerConcurrency,
            has_handover: false,
            settling_period: ms(2_000),
        },
        Case { name: "handover", kind: REPLICA, has_handover: true, settling_period: ms(0) },
    ];
    for case in cases {
        let mut group = Group::new(1, case.kind);
        let key = ResourceKey::new(case.kind, "c").hash_key();
        let names: Vec<ids::InstanceName> = vec!["home".into(), "other".into()];
        let first = rendezvous::highest_ranked(&key, &names).unwrap().clone();
        let second = names.iter().find(|name| **name != first).unwrap().clone();
        let mut allocators = [first.clone(), second.clone()].map(|name| {
            let mut allocator = QuotaAllocator::new(name, 1, Duration::ZERO);
            allocator.set_members(&names, &[], Duration::ZERO);
            allocator
        });
        let ticks = |allocators: &mut [QuotaAllocator; 2], from: Duration, to: Duration| {
            let mut now = from;
            while now < to {
                now += ms(500);
                allocators.iter_mut().for_each(|allocator| allocator.tick(true, now));
            }
        };
        ticks(&mut allocators, Duration::ZERO, ms(12_000));
        let changed_at = ms(12_000);
        let tables = QuotaTables { snapshot: &group.snapshot, table: &group.table };
        let shares = &mut group.nodes[0];
        shares.record_use(case.kind, &"c".into(), demand_of(1), changed_at);
        for (_, request) in shares.renewal_requests(changed_at, std::slice::from_ref(&first)) {
            shares.apply_reply(
                &first,
                &allocators[0].answer_request(&request, tables, true, changed_at),
            );
        }
        assert_eq!(shares.leased_amount(case.kind, "c", changed_at), 1, "{}", case.name);
        if case.has_handover {
            for (successor, handovers) in allocators[0].hand_over(changed_at) {
                assert_eq!(successor, second);
                allocators[1].accept_handover(&first, &handovers, tables, changed_at);
            }
        }
        allocators[1].set_members(std::slice::from_ref(&second), &[], changed_at);
        let mut granted_at = None;
        for step in 0..30 {
            let now = changed_at + ms(step * 500);
            ticks(&mut allocators, now.saturating_sub(ms(500)), now);
            for (_, request) in shares.renewal_requests(now, std::slice::from_ref(&second)) {
                let reply = allocators[1].answer_request(&request, tables, true, now);
                let leased = |grant: &yuccareel::quota_message::ShareGrant| {
                    matches!(grant.outcome, GrantOutcome::Leased { amount: 1.., .. })
                };
                if reply.grants.iter().any(leased) {
                    granted_at.get_or_insert(now - changed_at);
                }
                shares.apply_reply(&second, &reply);
            }
        }
        assert_eq!(granted_at, Some(case.settling_period), "{}", case.name);
    }
}

/// Guards against a new allocator that settles although the former one could return all shares, and
/// against shares that are handed over twice, too late, or to a node that is not the allocator.
#[test]
fn new_allocators_request_the_shares_of_former_ones() {
    struct Case {
        name: &'static str,
        /// Time from the membership change to the request.
        requested_after: Duration,
        /// Time from the request to the reply.
        answered_after: Duration,
        /// Time for which the former allocator does not run before the request.
        paused: Duration,
        requester: &'static str,
        is_released: bool,
        is_accepted: bool,
    }
    let usual = Case {
        name: "at once",
        requested_after: ms(0),
        answered_after: ms(10),
        paused: ms(0),
        requester: "new",
        is_released: true,
        is_accepted: true,
    };
    let cases = [
        Case { name: "after 5 s", requested_after: ms(5_000), ..usual },
        Case { name: "after 7 s", requested_after: ms(7_000), is_released: false, ..usual },
        Case { name: "not the allocator", requester: "third", is_released: false, ..usual },
        Case {
            name: "former allocator paused",
            requested_after: ms(4_000),
            paused: ms(4_000),
            is_released: false,
            ..usual
        },
        Case { name: "late reply", answered_after: ms(1_500), is_accepted: false, ..usual },
        usual,
    ];
    for case in cases {
        let mut group = Group::new(1, REPLICA);
        let key = ResourceKey::new(REPLICA, "c");
        let former = group.members[0].clone();
        // Name of a new node that ranks above the former allocator.
        let names = (0..).map(|number| ids::InstanceName::from(format!("m{number}")));
        let above = |name: &ids::InstanceName| {
            rendezvous::highest_ranked(&key.hash_key(), [name, &former]) == Some(name)
        };
        let second = names.into_iter().find(above).unwrap();
        assert_eq!(group.exchange(0, REPLICA, demand_of(1)), 1, "{}", case.name);
        let both = [former.clone(), second.clone()];
        let changed_at = group.now;
        let mut new_allocator = QuotaAllocator::new(second.clone(), 1, changed_at);
        new_allocator.set_members(&both, &[], changed_at);
        group.allocator.set_members(&both, &[], changed_at);
        group.members = vec![second.clone()];
        let tables = QuotaTables { snapshot: &group.snapshot, table: &group.table };
        let mut requested_at = changed_at;
        while requested_at < changed_at + case.requested_after {
            requested_at += ms(500);
            new_allocator.tick(true, requested_at);
            if case.paused == ms(0) {
                group.allocator.tick(true, requested_at);
            }
        }
        // The first renewal creates the row at the new allocator.
        let mut other = ShareTable::new("other".into(), 1);
        other.record_use(REPLICA, &"c".into(), demand_of(2), requested_at);
        for (_, request) in other.renewal_requests(requested_at, &group.members) {
            other.apply_reply(
                &second,
                &new_allocator.answer_request(&request, tables, true, requested_at),
            );
        }
        assert_eq!(other.leased_amount(REPLICA, "c", requested_at), 0, "{}", case.name);
        let requests = new_allocator.handover_requests(requested_at);
        assert_eq!(requests[&former], std::slice::from_ref(&key), "{}", case.name);
        let requester = if case.requester == "new" { &second } else { &"third".into() };
        let released =
            group.allocator.release_shares(requester, &requests[&former], true, requested_at);
        assert_eq!(!released.is_empty(), case.is_released, "{}", case.name);
        let again = group.allocator.release_shares(&second, &requests[&former], true, requested_at);
        let none_left = case.requester == "new" || case.requested_after > ms(6_000);
        assert_eq!(again.is_empty(), none_left, "{}: released twice", case.name);
        let now = requested_at + case.answered_after;
        new_allocator.accept_released_shares(&former, &released, requested_at, tables, true, now);
        let (mut granted, now) = (0, now + ms(10));
        for (_, request) in other.renewal_requests(now, &group.members) {
            other.apply_reply(&second, &new_allocator.answer_request(&request, tables, true, now));
            granted = other.leased_amount(REPLICA, "c", now);
        }
        // The cold replica may have 2 requests in flight, and a share of 1 is outstanding.
        let free = u64::from(case.is_released && case.is_accepted);
        assert_eq!(granted, free, "{}", case.name);
    }
}

/// Guards against an instance that loses its role by announcing that it leaves, and then has no
/// shares to hand over.
#[test]
fn shares_are_handed_over_after_the_announcement() {
    let mut group = Group::new(1, REPLICA);
    assert_eq!(group.exchange(0, REPLICA, demand_of(1)), 1);
    let former = group.members[0].clone();
    let next: ids::InstanceName = "next".into();
    group.allocator.set_members(std::slice::from_ref(&next), &[former], group.now);
    let handovers = group.allocator.hand_over(group.now);
    let shares: Vec<_> = handovers[&next].iter().flat_map(|handover| &handover.shares).collect();
    assert_eq!(shares.len(), 1);
    assert_eq!(shares[0].amount, 1);
    assert!(group.allocator.hand_over(group.now).is_empty(), "handed over twice");
}

/// Guards against a settling period that is shorter than a membership change takes to reach all
/// nodes.
#[test]
fn settling_period_grows_with_the_group() {
    for (members, seconds) in [(1, 10), (8, 10), (16, 10), (17, 11), (81, 12), (1_300, 14)] {
        assert_eq!(REPLICA.settling_period(members).as_secs(), seconds, "{members} nodes");
        assert_eq!(CustomerSpend.settling_period(members).as_secs(), 2);
    }
}
