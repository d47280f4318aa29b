//! The checks of the fault matrix notice a breach of every promise.

mod fault_world;

use std::time::Duration;

use fault_world::observation::{
    BackendArrival, BanPeriod, CallEnd, CallerCall, CellObservations, ConfigSample, StopPeriod,
    WorkBan,
};
use fault_world::promises::{self, Promise};

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn arrival() -> BackendArrival {
    BackendArrival {
        at: at(100),
        replica: "e1".into(),
        data_centre: "dc-a".into(),
        version: "v1".into(),
        request_id: "1".into(),
        idempotency_key: None,
        admitted: true,
        cold: false,
        concurrency: 1,
        cold_concurrency: 2,
    }
}

fn call() -> CallerCall {
    CallerCall {
        started: at(90),
        ended: at(200),
        instance: "entry-1".into(),
        customer: "acme".into(),
        request_id: Some("1".into()),
        session: Some("s".into()),
        version: Some("v1".into()),
        tokens: 4,
        idempotency_key: None,
        end: CallEnd::Whole("good: small/v1 model=small ability=2.0000 ".into()),
    }
}

/// One answered request, one booking, and a ban of each kind that nothing breaks.
fn clean() -> CellObservations {
    let ban = |ban, until| BanPeriod { ban, from: at(1_000), until };
    CellObservations {
        arrivals: vec![arrival(), booking_run("7")],
        calls: vec![call(), booking_call()],
        bans: vec![
            ban(WorkBan::Version("v1".into()), None),
            ban(WorkBan::DataCentre("dc-a".into()), Some(at(9_000))),
            ban(WorkBan::Replica("e1".into()), None),
        ],
        allowed: vec![("acme".into(), vec!["v1".into(), "v2".into()])],
        turned_cold: vec![("e1".into(), at(50))],
        billed: vec!["1".into()],
        bill_findings: Vec::new(),
        accepted: vec![(2, at(1_000))],
        samples: vec![sample(2_900, 1), sample(3_100, 2)],
        stops: vec![StopPeriod {
            instance: "entry-1".into(),
            from: at(150),
            leave_time: at(1_000),
        }],
    }
}

fn sample(ms: u64, sequence: u64) -> ConfigSample {
    ConfigSample { at: at(ms), instance: "entry-1".into(), sequence }
}

fn booking_run(request: &str) -> BackendArrival {
    let (request_id, idempotency_key) = (request.into(), Some("k".into()));
    BackendArrival { request_id, idempotency_key, version: String::new(), ..arrival() }
}

fn booking_call() -> CallerCall {
    CallerCall {
        request_id: Some("7".into()),
        session: None,
        version: None,
        tokens: 0,
        idempotency_key: Some("k".into()),
        end: CallEnd::Whole("k".into()),
        ..call()
    }
}

fn refusal(code: &str) -> CallEnd {
    CallEnd::Refused { code: code.into(), ran_no: true }
}

/// Guards against a check that accepts what its promise forbids, or that fires on
/// another promise's breach.
#[test]
fn each_planted_breach_is_noticed() {
    struct Case {
        name: &'static str,
        promise: Promise,
        plant: fn(&mut CellObservations),
    }
    let cases = [
        Case {
            name: "version outside the customer's list",
            promise: Promise::AllowedModel,
            plant: |seen| seen.allowed[0].1 = vec!["v2".into()],
        },
        Case {
            name: "engine of another version than the one allowed, caller unknown",
            promise: Promise::AllowedModel,
            plant: |seen| {
                let (version, request_id) = ("v3".into(), "9".into());
                seen.arrivals.push(BackendArrival { version, request_id, ..arrival() });
            },
        },
        Case {
            name: "arrival after a withdrawal",
            promise: Promise::Withdrawn,
            plant: |seen| {
                let (replica, data_centre) = ("e2".into(), "dc-b".into());
                let late = at(3_001);
                seen.arrivals.push(BackendArrival { at: late, replica, data_centre, ..arrival() });
            },
        },
        Case {
            name: "session changes version",
            promise: Promise::StickySession,
            plant: |seen| {
                let version = Some("v2".into());
                let end = CallEnd::Whole("good: small/v2 model=small ability=2.0000 ".into());
                let started = at(300);
                seen.calls.push(CallerCall { version, end, started, ended: at(400), ..call() });
            },
        },
        Case {
            name: "answer without bill",
            promise: Promise::BilledOnce,
            plant: |seen| seen.billed.clear(),
        },
        Case {
            name: "two bills",
            promise: Promise::BilledOnce,
            plant: |seen| seen.billed.push("1".into()),
        },
        Case {
            name: "gap between batches",
            promise: Promise::BilledOnce,
            plant: |seen| seen.bill_findings.push("gap".into()),
        },
        Case {
            name: "bill for a request that did not run",
            promise: Promise::BilledOnce,
            plant: |seen| {
                let request_id = Some("2".into());
                seen.calls.push(CallerCall { request_id, end: refusal("overloaded"), ..call() });
                seen.billed.push("2".into());
            },
        },
        Case {
            name: "too many at a cold engine",
            promise: Promise::ColdStart,
            plant: |seen| {
                let (replica, concurrency) = ("e2".into(), 3);
                seen.arrivals.push(BackendArrival {
                    replica,
                    concurrency,
                    cold: true,
                    admitted: false,
                    ..arrival()
                });
            },
        },
        Case {
            name: "too many at an engine that turned cold long ago",
            promise: Promise::ColdStart,
            plant: |seen| {
                seen.bans.clear();
                let (late, concurrency) = (at(4_051), 3);
                seen.arrivals.push(BackendArrival {
                    at: late,
                    concurrency,
                    cold: true,
                    ..arrival()
                });
            },
        },
        Case {
            name: "arrival in a drained data centre",
            promise: Promise::Drained,
            plant: |seen| {
                let (replica, version) = ("e3".into(), "v2".into());
                seen.arrivals.push(BackendArrival { at: at(4_001), replica, version, ..arrival() });
            },
        },
        Case {
            name: "arrival at a leaving backend server",
            promise: Promise::Leaving,
            plant: |seen| {
                let (version, data_centre) = ("v2".into(), "dc-b".into());
                seen.arrivals.push(BackendArrival {
                    at: at(4_001),
                    version,
                    data_centre,
                    ..arrival()
                });
            },
        },
        Case {
            name: "short answer",
            promise: Promise::WholeAnswer,
            plant: |seen| seen.calls[0].end = CallEnd::Whole("good: small/v1 model=small ".into()),
        },
        Case {
            name: "answer to another booking",
            promise: Promise::WholeAnswer,
            plant: |seen| seen.calls[1].end = CallEnd::Whole("other".into()),
        },
        Case {
            name: "refusal of a request that ran",
            promise: Promise::TrueRefusal,
            plant: |seen| {
                seen.calls[0].end = refusal("overloaded");
                seen.billed.clear();
            },
        },
        Case {
            name: "booking that ran twice",
            promise: Promise::AtMostOnce,
            plant: |seen| seen.arrivals.push(booking_run("8")),
        },
        Case {
            name: "connection cut by a graceful stop",
            promise: Promise::GracefulStop,
            plant: |seen| seen.calls[0].end = CallEnd::Broken("reset".into()),
        },
        Case {
            name: "refusal by an instance that still accepts",
            promise: Promise::GracefulStop,
            plant: |seen| {
                let (request_id, end) = (Some("2".into()), refusal("shutting_down"));
                seen.calls.push(CallerCall { request_id, end, ..call() });
            },
        },
        Case {
            name: "change not in effect in time",
            promise: Promise::Config,
            plant: |seen| seen.samples[0].at = at(3_001),
        },
        Case {
            name: "change reverted",
            promise: Promise::Config,
            plant: |seen| {
                seen.samples = vec![sample(1_100, 2), sample(1_200, 1)];
            },
        },
    ];
    assert_eq!(promises::breaches(&clean()), []);
    for case in &cases {
        let mut seen = clean();
        (case.plant)(&mut seen);
        let found: Vec<_> =
            promises::breaches(&seen).into_iter().map(|breach| breach.promise).collect();
        assert_eq!(found, [case.promise], "{}", case.name);
    }
    for (promise, _) in promises::CHECKS {
        assert!(cases.iter().any(|case| case.promise == promise), "{promise:?} has no case");
    }
}
