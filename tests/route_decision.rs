//! Dispatch checks, the choice among replicas, and limits under concurrent decisions.

mod fixtures;

use std::sync::atomic::Ordering;
use std::time::Duration;

use fixtures::{
    customer, data_centre, leased_shares, load_report, model, ms, replica, replica_table,
    version_pool,
};
use rand::SeedableRng as _;
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::ids;
use yuccareel::quota_lease::ShareTable;
use yuccareel::quota_message::ResourceKind::ReplicaConcurrency;
use yuccareel::records::{self, RoutingRecord};
use yuccareel::refusal_reason::RefusalReason;
use yuccareel::replica_subset::ReplicaSubset;
use yuccareel::replica_table::{ReplicaPool, ReplicaTable};
use yuccareel::route_decision::{RouteDispatch, RouteRequest, RouteTables, choose_replica};

const NOW: Duration = Duration::from_secs(100);

struct RouteFixture {
    snapshot: ConfigSnapshot,
    table: ReplicaTable,
    subset: ReplicaSubset,
    shares: ShareTable,
    is_fresh: bool,
    pool: ReplicaPool,
    customer: &'static str,
    deadline: Duration,
    excluded_replicas: Vec<ids::ReplicaName>,
    prefix_bonuses: Vec<(usize, f64)>,
}

impl RouteFixture {
    /// Two warm replicas in different data centres, with 2 of 8 requests leased at each.
    fn new() -> Self {
        let service = RoutingRecord::Service(records::service::ServiceRecord {
            name: "stock".into(),
            path_prefix: "/stock".to_owned(),
            routes: Vec::new(),
            timeout_ms: 1_000,
        });
        let snapshot = ConfigSnapshot::from_records(
            1,
            [
                model("m", 2, 8),
                customer("c", 1, 10.0, 10),
                service,
                data_centre("near", false, &[("far", 46_000)]),
                data_centre("far", false, &[]),
            ],
        );
        let rows = [("a", "near"), ("b", "far")];
        let table = replica_table(
            rows.map(|(name, data_centre)| replica(name, data_centre, version_pool("m", "v1"))),
        );
        let shares =
            leased_shares(ReplicaConcurrency, &[("a", 2, 8, false), ("b", 2, 8, false)], NOW);
        let mut fixture = Self {
            snapshot,
            table,
            subset: ReplicaSubset::default(),
            shares,
            is_fresh: true,
            pool: version_pool("m", "v1"),
            customer: "c",
            deadline: NOW + ms(1),
            excluded_replicas: Vec::new(),
            prefix_bonuses: Vec::new(),
        };
        fixture.rebuild();
        fixture
    }

    fn rebuild(&mut self) {
        let (node, near) = ("node".into(), "near".into());
        self.subset = ReplicaSubset::build(&self.snapshot, &self.table, &node, &near);
    }

    fn set_rows(&mut self, change: impl Fn(&mut yuccareel::replica_table::ReplicaRow)) {
        let mut rows = self.table.rows().to_vec();
        rows.iter_mut().for_each(change);
        self.table = replica_table(rows);
    }

    fn tables(&self) -> RouteTables<'_> {
        RouteTables {
            snapshot: &self.snapshot,
            table: &self.table,
            subset: &self.subset,
            shares: &self.shares,
            node_count: 2,
            is_fresh: self.is_fresh,
        }
    }

    fn choose_replica(&self, seed: u64) -> Result<RouteDispatch, RefusalReason> {
        let request = RouteRequest {
            customer: self.customer,
            pool: &self.pool,
            deadline: self.deadline,
            excluded_replicas: &self.excluded_replicas,
            prefix_bonuses: &self.prefix_bonuses,
        };
        choose_replica(self.tables(), request, NOW, &mut rand::rngs::StdRng::seed_from_u64(seed))
    }
}

/// Guards against attempts that are sent although a dispatch check fails.
#[test]
fn each_check_refuses() {
    use RefusalReason as Reason;
    struct Case {
        name: &'static str,
        change: fn(&mut RouteFixture),
        reason: Option<Reason>,
    }
    fn case(name: &'static str, change: fn(&mut RouteFixture), reason: Option<Reason>) -> Case {
        Case { name, change, reason }
    }
    let cases = [
        case("all pass", |_| (), None),
        case("isolated", |s| s.is_fresh = false, Some(Reason::Isolated)),
        case("deadline", |s| s.deadline = NOW, Some(Reason::DeadlineExceeded)),
        case(
            "customer removed",
            |s| s.snapshot.remove("customer", "c"),
            Some(Reason::TokenUnknown),
        ),
        case("model", |s| s.pool = version_pool("x", "v1"), Some(Reason::ModelUnknown)),
        case("version", |s| s.pool = version_pool("m", "v9"), Some(Reason::ModelUnknown)),
        case(
            "version not allowed",
            |s| s.pool = version_pool("m", "v2"),
            Some(Reason::ModelNotAllowed),
        ),
        case("withdrawn", |s| s.pool = version_pool("m", "old"), Some(Reason::VersionWithdrawn)),
        case("service", |s| s.pool = ReplicaPool::Service("x".into()), Some(Reason::RouteUnknown)),
        case(
            "service without replica",
            |s| s.pool = ReplicaPool::Service("stock".into()),
            Some(Reason::NoReplica),
        ),
        case("paused", |s| s.set_rows(|row| row.pause(ms(5), NOW)), Some(Reason::Overloaded)),
        case("pause has ended", |s| s.set_rows(|row| row.pause(ms(5), NOW - ms(5))), None),
        case(
            "longer pause before a shorter one",
            |s| {
                s.set_rows(|row| {
                    row.pause(ms(5_000), NOW);
                    row.pause(ms(1), NOW - ms(100));
                });
            },
            Some(Reason::Overloaded),
        ),
        case("leaving", |s| s.set_rows(|row| row.is_leaving = true), Some(Reason::NoReplica)),
        case("one drained", |s| s.snapshot.put(data_centre("near", true, &[])), None),
        case(
            "all drained",
            |s| {
                s.snapshot.put(data_centre("near", true, &[]));
                s.snapshot.put(data_centre("far", true, &[]));
            },
            Some(Reason::DataCentreDrained),
        ),
        case(
            "one drained, the other leaving",
            |s| {
                s.snapshot.put(data_centre("near", true, &[]));
                s.set_rows(|row| row.is_leaving = &*row.data_centre == "far");
            },
            Some(Reason::DataCentreDrained),
        ),
        case("one tried", |s| s.excluded_replicas = vec!["a".into()], None),
        case(
            "all tried",
            |s| s.excluded_replicas = vec!["a".into(), "b".into()],
            Some(Reason::BackendFailed),
        ),
        case(
            "limit reached",
            |s| s.set_rows(|row| row.in_flight.store(2, Ordering::Relaxed)),
            Some(Reason::Overloaded),
        ),
        case(
            "cold limit reached",
            |s| {
                let leases = [("a", 1, 2, true), ("b", 1, 2, true)];
                s.shares = leased_shares(ReplicaConcurrency, &leases, NOW);
                s.set_rows(|row| row.in_flight.store(1, Ordering::Relaxed));
            },
            Some(Reason::ColdStart),
        ),
        case(
            "first share pending",
            |s| s.shares = ShareTable::new("node".into(), 1),
            Some(Reason::ColdStart),
        ),
        case(
            "lease expired while idle, reported warm",
            |s| {
                s.shares = shares_without_renewal(NOW);
                s.set_rows(|row| row.report = Some(load_report(0, false, "b1", NOW)));
            },
            Some(Reason::ColdStart),
        ),
        case(
            "lease expired, state unknown",
            |s| s.shares = shares_with_unanswered_renewal(NOW),
            Some(Reason::ColdStart),
        ),
        case(
            "lease expired, reported cold",
            |s| {
                s.shares = shares_with_unanswered_renewal(NOW);
                s.set_rows(|row| row.report = Some(load_report(0, true, "b1", NOW)));
            },
            Some(Reason::ColdStart),
        ),
        case(
            "lease expired, reported warm",
            |s| {
                s.shares = shares_with_unanswered_renewal(NOW);
                s.set_rows(|row| row.report = Some(load_report(0, false, "b1", NOW)));
            },
            None,
        ),
        case(
            "lease expired, equal fraction in use",
            |s| {
                s.shares = shares_with_unanswered_renewal(NOW);
                s.set_rows(|row| row.report = Some(load_report(0, false, "b1", NOW)));
                s.set_rows(|row| row.in_flight.store(4, Ordering::Relaxed));
            },
            Some(Reason::Overloaded),
        ),
    ];
    for case in cases {
        let mut fixture = RouteFixture::new();
        (case.change)(&mut fixture);
        for seed in 0..16 {
            let outcome = fixture.choose_replica(seed).map(|dispatch| dispatch.epoch);
            assert_eq!(outcome.err(), case.reason, "{}", case.name);
        }
    }
}

/// Shares whose lease ends at `ends_at`, with a renewal that gets no answer.
fn shares_with_unanswered_renewal(ends_at: Duration) -> ShareTable {
    let mut table = shares_without_renewal(ends_at);
    drop(table.renewal_requests(ends_at - ms(600), &["home".into()]));
    table
}

/// Shares whose lease ends at `ends_at`, without a renewal.
fn shares_without_renewal(ends_at: Duration) -> ShareTable {
    leased_shares(
        ReplicaConcurrency,
        &[("a", 2, 8, false), ("b", 2, 8, false)],
        ends_at - ms(2_000),
    )
}

/// Guards against a cost that ignores load, the age of a report, distance or prefixes.
#[test]
fn cheaper_candidate_is_chosen() {
    struct Case {
        name: &'static str,
        change: fn(&mut RouteFixture),
        replica: &'static str,
    }
    let cases = [
        Case { name: "distance", change: |_| (), replica: "a" },
        Case {
            name: "own load",
            change: |s| s.table.row(0).in_flight.store(1, Ordering::Relaxed),
            replica: "b",
        },
        Case {
            name: "fresh report",
            change: |s| s.table.record_report("a", load_report(4, false, "b1", NOW)),
            replica: "b",
        },
        Case {
            name: "old report",
            change: |s| s.table.record_report("a", load_report(4, false, "b1", NOW - ms(16_000))),
            replica: "a",
        },
        Case { name: "prefix", change: |s| s.prefix_bonuses = vec![(1, 0.3)], replica: "b" },
        Case {
            name: "prefix at a full replica",
            change: |s| {
                s.prefix_bonuses = vec![(1, 9.0)];
                s.table.record_report("b", load_report(8, false, "b1", NOW));
            },
            replica: "a",
        },
    ];
    for case in cases {
        let mut fixture = RouteFixture::new();
        (case.change)(&mut fixture);
        for seed in 0..16 {
            let dispatch = fixture.choose_replica(seed).unwrap();
            assert_eq!(&*fixture.table.row(dispatch.replica).name, case.replica, "{}", case.name);
        }
    }
}

/// Guards against more requests than a limit allows, if threads take the last one at the same time.
#[test]
fn concurrent_decisions_stay_within_limits() {
    let mut fixture = RouteFixture::new();
    fixture.shares =
        leased_shares(ReplicaConcurrency, &[("a", 3, 8, false), ("b", 3, 8, false)], NOW);
    let running: [std::sync::atomic::AtomicU32; 2] = Default::default();
    std::thread::scope(|scope| {
        for thread in 0..8_u64 {
            let (fixture, running) = (&fixture, &running);
            scope.spawn(move || {
                for round in 0..2_000 {
                    let Ok(dispatch) = fixture.choose_replica(thread * 10_000 + round) else {
                        continue;
                    };
                    let count = &running[dispatch.replica];
                    let before = count.fetch_add(1, Ordering::SeqCst);
                    std::thread::yield_now();
                    count.fetch_sub(1, Ordering::SeqCst);
                    assert!(before < 3, "{before} requests were in flight before a new one");
                }
            });
        }
    });
    let in_flight: u32 =
        fixture.table.rows().iter().map(|row| row.in_flight.load(Ordering::Relaxed)).sum();
    assert_eq!(in_flight, 0, "a refused decision is still counted in flight");
    let dispatches: Vec<_> = (0..20).filter_map(|seed| fixture.choose_replica(seed).ok()).collect();
    assert_eq!(dispatches.len(), 6);
}

/// Guards against subsets that are too large, ignore the data centre or are equal on all nodes.
#[test]
fn subset_prefers_available_replicas_nearby() {
    let names: Vec<String> = (0..60).map(|index| format!("r{index}")).collect();
    let rows = names.iter().enumerate().map(|(index, name)| {
        let data_centre = ["near", "far", "drained"][index % 3];
        let mut row = replica(name, data_centre, version_pool("m", "v1"));
        row.is_leaving = index % 12 < 3;
        row
    });
    let table = replica_table(rows);
    let snapshot = ConfigSnapshot::from_records(
        1,
        [data_centre("drained", true, &[]), data_centre("near", false, &[("far", 700)])],
    );
    let build = |node: &str, data_centre: &str| {
        let subset = ReplicaSubset::build(&snapshot, &table, &node.into(), &data_centre.into());
        subset.members(&version_pool("m", "v1")).to_vec()
    };
    struct Case {
        node_data_centre: &'static str,
        data_centre: &'static str,
        distance_us: u32,
    }
    let cases = [
        Case { node_data_centre: "near", data_centre: "near", distance_us: 0 },
        Case { node_data_centre: "far", data_centre: "far", distance_us: 0 },
    ];
    for case in cases {
        let members = build("n1", case.node_data_centre);
        assert_eq!(members.len(), 8);
        for member in &members {
            let row = table.row(member.index);
            assert!(!row.is_leaving && &*row.data_centre == case.data_centre);
            assert_eq!(member.distance_us, case.distance_us);
        }
    }
    assert!(build("n1", "drained").iter().all(|member| {
        let row = table.row(member.index);
        !row.is_leaving && &*row.data_centre != "drained"
    }));
    assert_ne!(build("n1", "near"), build("n2", "near"));
}
