//! Random schedules of renewals, message losses, crashes, partitions, pauses and shutdowns.

mod fixtures;
mod quota_harness;

use std::collections::BTreeMap;

use proptest::prelude::*;
use quota_harness::{Fault, QuotaHarness, STEPS, Schedule};
use yuccareel::quota_message::ResourceKind;

fn faults() -> impl Strategy<Value = Fault> {
    let node = 0..5_usize;
    // Multiples of the step, so that each fault ends on a step.
    let time = (2..450_u64).prop_map(|steps| steps * 100);
    prop_oneof![
        node.clone().prop_map(|node| Fault::Kill { node }),
        node.clone().prop_map(|node| Fault::Restart { node }),
        ([node.clone(), node.clone()], time.clone())
            .prop_map(|(nodes, for_ms)| Fault::Cut { nodes, for_ms }),
        (node.clone(), time).prop_map(|(node, for_ms)| Fault::Pause { node, for_ms }),
        node.prop_map(|node| Fault::ShutDown { node }),
    ]
}

fn schedules(kind: ResourceKind, first_fault_step: u32) -> impl Strategy<Value = Schedule> {
    let faults = prop::collection::btree_map(first_fault_step..STEPS, faults(), 0..8);
    (any::<u64>(), 5..7_usize, 1..9_u32, 0.0..0.3, any::<bool>(), faults).prop_map(
        move |(seed, nodes, limit, loss, has_warmup, faults)| Schedule {
            seed,
            nodes,
            limit,
            loss,
            kind,
            has_warmup,
            faults,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against shares that are granted twice, and against load above the limit of a cold
    /// replica, while allocators change, nodes die or messages are lost.
    #[test]
    fn replica_shares_stay_within_limit(
        schedule in schedules(ResourceKind::ReplicaConcurrency, 50)
    ) {
        let mut harness = QuotaHarness::new(schedule);
        for step in 1..STEPS {
            harness.step(step);
            let (held, running) = harness.held_and_running();
            prop_assert!(held <= harness.quantity(), "shares {held} at {:?}", harness.now);
            let fits = running <= harness.quantity() || !harness.is_cold();
            prop_assert!(fits, "requests {running} at {:?}", harness.now);
        }
    }

    /// Guards against customer limits that are exceeded while no member changes.
    #[test]
    fn customer_shares_stay_within_limit(
        mut schedule in schedules(ResourceKind::CustomerRate, 50),
        kind in prop::sample::select(&ResourceKind::ALL[1..]),
    ) {
        (schedule.kind, schedule.has_warmup) = (kind, false);
        schedule.faults.clear();
        let mut harness = QuotaHarness::new(schedule);
        for step in 1..STEPS {
            harness.step(step);
            let (held, _) = harness.held_and_running();
            prop_assert!(held <= harness.quantity(), "shares {held} at {:?}", harness.now);
        }
    }

    /// Guards against more than twice a customer limit while two nodes act as the allocator.
    #[test]
    fn customer_overshoot_is_bounded(
        mut schedule in schedules(ResourceKind::CustomerRate, 150),
        kind in prop::sample::select(&ResourceKind::ALL[1..]),
    ) {
        (schedule.kind, schedule.has_warmup) = (kind, false);
        // A single fault, so that there are at most two different views.
        let first = schedule.faults.iter().next().map(|(step, fault)| (*step, fault.clone()));
        schedule.faults = first.into_iter().collect();
        let mut harness = QuotaHarness::new(schedule);
        for step in 1..STEPS {
            harness.step(step);
            let (held, _) = harness.held_and_running();
            prop_assert!(held <= 2 * harness.quantity(), "shares {held} at {:?}", harness.now);
        }
    }
}

/// Guards against schedules that keep the limits only because no shares are granted.
#[test]
fn most_of_the_quantity_is_granted() {
    for kind in ResourceKind::ALL {
        let schedule = Schedule {
            seed: 7,
            nodes: 5,
            limit: 4,
            loss: 0.1,
            kind,
            has_warmup: false,
            faults: BTreeMap::new(),
        };
        let mut harness = QuotaHarness::new(schedule);
        let mut max_held = 0;
        for step in 1..STEPS {
            harness.step(step);
            max_held = max_held.max(harness.held_and_running().0);
        }
        assert!(
            max_held * 4 >= harness.quantity() * 3,
            "{kind:?}: {max_held} of {}",
            harness.quantity()
        );
    }
}
