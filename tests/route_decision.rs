//! Dispatch checks, the choice among replicas, and the credit under concurrency.

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
use yuccareel::route_decision::{RouteDispatch, RouteRequest, RouteTables, decide};

const NOW: Duration = Duration::from_secs(100);

struct Setting {
    snapshot: ConfigSnapshot,
    table: ReplicaTable,
    subset: ReplicaSubset,
    shares: ShareTable,
    fresh: bool,
    pool: ReplicaPool,
    customer: &'static str,
    deadline: Duration,
    excluded: Vec<ids::ReplicaName>,
    prefix_bonus: Vec<(usize, f64)>,
}

impl Setting {
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
        let mut setting = Self {
            snapshot,
            table,
            subset: ReplicaSubset::default(),
            shares,
            fresh: true,
            pool: version_pool("m", "v1"),
            customer: "c",
            deadline: NOW + ms(1),
            excluded: Vec::new(),
            prefix_bonus: Vec::new(),
        };
        setting.rebuild();
        setting
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
            nodes: 2,
            fresh: self.fresh,
        }
    }

    fn decide(&self, seed: u64) -> Result<RouteDispatch, RefusalReason> {
        let request = RouteRequest {
            customer: self.customer,
            pool: &self.pool,
            deadline: self.deadline,
            excluded: &self.excluded,
            prefix_bonus: &self.prefix_bonus,
        };
        decide(self.tables(), request, NOW, &mut rand::rngs::StdRng::seed_from_u64(seed))
    }
}

/// Guards against an attempt that is sent although a dispatch check fails.
#[test]
fn each_check_refuses() {
    use RefusalReason as Reason;
    struct Case {
        name: &'static str,
        change: fn(&mut Setting),
        reason: Option<Reason>,
    }
    fn case(name: &'static str, change: fn(&mut Setting), reason: Option<Reason>) -> Case {
        Case { name, change, reason }
    }
    let cases = [
        case("all pass", |_| (), None),
        case("isolated", |s| s.fresh = false, Some(Reason::Isolated)),
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
        case("leaving", |s| s.set_rows(|row| row.leaving = true), Some(Reason::NoReplica)),
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
                s.set_rows(|row| row.leaving = &*row.data_centre == "far");
            },
            Some(Reason::DataCentreDrained),
        ),
        case("one tried", |s| s.excluded = vec!["a".into()], None),
        case(
            "all tried",
            |s| s.excluded = vec!["a".into(), "b".into()],
            Some(Reason::BackendFailed),
        ),
        case(
            "credit in use",
            |s| s.set_rows(|row| row.in_flight.store(2, Ordering::Relaxed)),
            Some(Reason::Overloaded),
        ),
        case(
            "cold credit in use",
            |s| {
                let leases = [("a", 1, 2, true), ("b", 1, 2, true)];
                s.shares = leased_shares(ReplicaConcurrency, &leases, NOW);
                s.set_rows(|row| row.in_flight.store(1, Ordering::Relaxed));
            },
            Some(Reason::ColdStart),
        ),
        case(
            "no share asked",
            |s| s.shares = ShareTable::new("node".into(), 1),
            Some(Reason::ColdStart),
        ),
        case(
            "lease over while idle, reported warm",
            |s| {
                s.shares = idle_until(NOW);
                s.set_rows(|row| row.report = Some(load_report(0, false, "b1", NOW)));
            },
            Some(Reason::ColdStart),
        ),
        case(
            "lease over, state unknown",
            |s| s.shares = leased_until(NOW),
            Some(Reason::ColdStart),
        ),
        case(
            "lease over, reported cold",
            |s| {
                s.shares = leased_until(NOW);
                s.set_rows(|row| row.report = Some(load_report(0, true, "b1", NOW)));
            },
            Some(Reason::ColdStart),
        ),
        case(
            "lease over, reported warm",
            |s| {
                s.shares = leased_until(NOW);
                s.set_rows(|row| row.report = Some(load_report(0, false, "b1", NOW)));
            },
            None,
        ),
        case(
            "lease over, floor in use",
            |s| {
                s.shares = leased_until(NOW);
                s.set_rows(|row| row.report = Some(load_report(0, false, "b1", NOW)));
                s.set_rows(|row| row.in_flight.store(4, Ordering::Relaxed));
            },
            Some(Reason::Overloaded),
        ),
    ];
    for case in cases {
        let mut setting = Setting::new();
        (case.change)(&mut setting);
        for seed in 0..16 {
            let outcome = setting.decide(seed).map(|dispatch| dispatch.epoch);
            assert_eq!(outcome.err(), case.reason, "{}", case.name);
        }
    }
}

/// Shares whose lease ends at a time, with a renewal that stays without an answer.
fn leased_until(ends_at: Duration) -> ShareTable {
    let mut table = idle_until(ends_at);
    drop(table.renewal_requests(ends_at - ms(600), &["home".into()]));
    table
}

/// Shares whose lease ends at a time, without a renewal.
fn idle_until(ends_at: Duration) -> ShareTable {
    leased_shares(
        ReplicaConcurrency,
        &[("a", 2, 8, false), ("b", 2, 8, false)],
        ends_at - ms(2_000),
    )
}

/// Guards against a cost that ignores load, its age, distance or prefixes.
#[test]
fn cheaper_candidate_wins() {
    struct Case {
        name: &'static str,
        change: fn(&mut Setting),
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
            name: "faded report",
            change: |s| s.table.record_report("a", load_report(4, false, "b1", NOW - ms(16_000))),
            replica: "a",
        },
        Case { name: "prefix", change: |s| s.prefix_bonus = vec![(1, 0.3)], replica: "b" },
        Case {
            name: "prefix at a full replica",
            change: |s| {
                s.prefix_bonus = vec![(1, 9.0)];
                s.table.record_report("b", load_report(8, false, "b1", NOW));
            },
            replica: "a",
        },
    ];
    for case in cases {
        let mut setting = Setting::new();
        (case.change)(&mut setting);
        for seed in 0..16 {
            let dispatch = setting.decide(seed).unwrap();
            assert_eq!(&*setting.table.row(dispatch.replica).name, case.replica, "{}", case.name);
        }
    }
}

/// Guards against two threads that take the same last credit.
#[test]
fn concurrent_decisions_stay_within_credit() {
    let mut setting = Setting::new();
    setting.shares =
        leased_shares(ReplicaConcurrency, &[("a", 3, 8, false), ("b", 3, 8, false)], NOW);
    let running: [std::sync::atomic::AtomicU32; 2] = Default::default();
    std::thread::scope(|scope| {
        for thread in 0..8_u64 {
            let (setting, running) = (&setting, &running);
            scope.spawn(move || {
                for round in 0..2_000 {
                    let Ok(dispatch) = setting.decide(thread * 10_000 + round) else { continue };
                    let count = &running[dispatch.replica];
                    let before = count.fetch_add(1, Ordering::SeqCst);
                    std::thread::yield_now();
                    count.fetch_sub(1, Ordering::SeqCst);
                    assert!(before < 3, "{before} requests ran at once beside a new one");
                }
            });
        }
    });
    let left: u32 =
        setting.table.rows().iter().map(|row| row.in_flight.load(Ordering::Relaxed)).sum();
    assert_eq!(left, 0, "a refused decision kept its count");
    let kept: Vec<_> = (0..20).filter_map(|seed| setting.decide(seed).ok()).collect();
    assert_eq!(kept.len(), 6);
}

/// Guards against subsets that are too large, ignore the data centre or are alike on all nodes.
#[test]
fn subset_prefers_working_replicas_nearby() {
    let names: Vec<String> = (0..60).map(|index| format!("r{index}")).collect();
    let rows = names.iter().enumerate().map(|(index, name)| {
        let place = ["near", "far", "drained"][index % 3];
        let mut row = replica(name, place, version_pool("m", "v1"));
        row.leaving = index % 12 < 3;
        row
    });
    let table = replica_table(rows);
    let snapshot = ConfigSnapshot::from_records(
        1,
        [data_centre("drained", true, &[]), data_centre("near", false, &[("far", 700)])],
    );
    let build = |node: &str, place: &str| {
        let subset = ReplicaSubset::build(&snapshot, &table, &node.into(), &place.into());
        subset.members(&version_pool("m", "v1")).to_vec()
    };
    struct Case {
        place: &'static str,
        data_centre: &'static str,
        distance_us: u32,
    }
    let cases = [
        Case { place: "near", data_centre: "near", distance_us: 0 },
        Case { place: "far", data_centre: "far", distance_us: 0 },
    ];
    for case in cases {
        let members = build("n1", case.place);
        assert_eq!(members.len(), 8);
        for member in &members {
            let row = table.row(member.index);
            assert!(!row.leaving && &*row.data_centre == case.data_centre);
            assert_eq!(member.distance_us, case.distance_us);
        }
    }
    assert!(build("n1", "drained").iter().all(|member| {
        let row = table.row(member.index);
        !row.leaving && &*row.data_centre != "drained"
    }));
    assert_ne!(build("n1", "near"), build("n2", "near"));
}
