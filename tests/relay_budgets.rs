//! Shares of the bounds that all relay instances keep together.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use yuccareel::ids;
use yuccareel::relay::attempt_budget::{AttemptBudget, RepeatCause};
use yuccareel::relay::cold_budget::{COLD_SEND_INTERVAL, ColdRateLimit, ColdSpacing};

const WINDOW: Duration = Duration::from_secs(10);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against instances that together repeat more than the bound in any window.
#[test]
fn repeats_of_all_instances_keep_the_bound() {
    struct BudgetCase {
        name: &'static str,
        instances: usize,
        ratio: f64,
        slack: f64,
        /// Calls of each instance in each 100 ms.
        calls: u32,
        cause: RepeatCause,
    }
    let cases = [
        BudgetCase {
            name: "failures of all calls",
            instances: 8,
            ratio: 0.9,
            slack: 56.0,
            calls: 2,
            cause: RepeatCause::Failure,
        },
        BudgetCase {
            name: "steps of all calls",
            instances: 8,
            ratio: 0.9,
            slack: 56.0,
            calls: 2,
            cause: RepeatCause::Escalation,
        },
        BudgetCase {
            name: "many instances, no calls",
            instances: 90,
            ratio: 0.9,
            slack: 220.0,
            calls: 0,
            cause: RepeatCause::Failure,
        },
        BudgetCase {
            name: "strict",
            instances: 3,
            ratio: 0.1,
            slack: 3.0,
            calls: 10,
            cause: RepeatCause::Failure,
        },
    ];
    let service: ids::ServiceName = "s".into();
    for case in cases {
        let start = Instant::now();
        let mut repeats = Vec::new();
        for _ in 0..case.instances {
            let mut budget = AttemptBudget::new(case.ratio, case.slack, WINDOW);
            for step in 0..400_u64 {
                let now = start + ms(step * 100);
                for _ in 0..case.calls {
                    budget.record_call(&service, now);
                }
                // Every call and more is repeated as often as the budget allows.
                for _ in 0..case.calls * 2 + 1 {
                    if budget.take_repeat(&service, case.cause, case.instances, now) {
                        repeats.push(step);
                    }
                }
            }
        }
        assert!(!repeats.is_empty(), "{}: nothing is repeated", case.name);
        for first in 0..300_u64 {
            let made = repeats.iter().filter(|step| (first..first + 100).contains(step)).count();
            let calls = f64::from(case.calls) * 100.0 * case.instances as f64;
            let bound = case.ratio * calls + case.slack;
            assert!(made as f64 <= bound, "{}: {made} repeats, bound {bound}", case.name);
        }
    }
}

/// Guards against steps to larger models that leave nothing for attempts after failures.
#[test]
fn steps_leave_a_part_to_failures() {
    let (service, now): (ids::ServiceName, _) = ("s".into(), Instant::now());
    let mut budget = AttemptBudget::new(0.5, 0.0, WINDOW);
    for _ in 0..100 {
        budget.record_call(&service, now);
    }
    while budget.take_repeat(&service, RepeatCause::Escalation, 1, now) {}
    assert!(budget.take_repeat(&service, RepeatCause::Failure, 1, now));
}

/// Guards against a cold replica that gets more calls in a second than it bears, counted over all
/// instances, also those that know only a part of the others.
#[test]
fn cold_replicas_get_no_more_than_they_bear() {
    struct ColdCase {
        instances: usize,
        rate_per_s: f64,
        factor: f64,
        slack: f64,
    }
    let cases = [
        ColdCase { instances: 8, rate_per_s: 6.9, factor: 1.5, slack: 5.0 },
        ColdCase { instances: 11, rate_per_s: 5.6, factor: 1.5, slack: 5.0 },
        ColdCase { instances: 90, rate_per_s: 6.9, factor: 1.5, slack: 5.0 },
        ColdCase { instances: 1_300, rate_per_s: 2.0, factor: 1.0, slack: 1.0 },
        ColdCase { instances: 8, rate_per_s: 0.0, factor: 1.5, slack: 5.0 },
    ];
    for case in cases {
        let names = (0..case.instances).map(|place| Arc::from(format!("instance-{place}")));
        let members: Vec<ids::InstanceName> = names.collect();
        let limit = ColdRateLimit { factor: case.factor, slack: case.slack };
        let most = case.rate_per_s * case.factor + case.slack;
        for replica in 0..20 {
            let replica: ids::ReplicaName = format!("replica-{replica}").into();
            let senders = members
                .iter()
                .filter(|name| limit.allows_sender(&replica, case.rate_per_s, name, &members))
                .count();
            assert!(senders > 0 && senders as f64 <= most, "{senders} senders, bound {most}");
            // One in ten of the members is not known to the others yet.
            let known = &members[..members.len() - members.len() / 10];
            let senders = members
                .iter()
                .filter(|name| limit.allows_sender(&replica, case.rate_per_s, name, known))
                .count();
            assert!(senders as f64 <= most, "{senders} senders, bound {most}");
        }
    }
}

/// Guards against two calls of one instance to a cold replica within one second.
#[test]
fn calls_to_a_cold_replica_keep_their_distance() {
    let start = Instant::now();
    let mut spacing = ColdSpacing::default();
    let mut sent = Vec::new();
    for step in 0..500 {
        let now = start + ms(step * 10);
        if spacing.allows_send(now) {
            spacing.record_send(now);
            sent.push(now);
        }
    }
    assert!(sent.len() >= 4);
    assert!(sent.windows(2).all(|pair| pair[1] - pair[0] >= COLD_SEND_INTERVAL));
    assert!(COLD_SEND_INTERVAL > Duration::from_secs(1));
}
