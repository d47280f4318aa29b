//! Random schedules of renewals, losses, kills, cuts, pauses and shutdowns over pure nodes.

mod fixtures;
mod quota_harness;

use std::collections::BTreeMap;

use proptest::prelude::*;
use quota_harness::{Fault, QuotaHarness, STEPS, Schedule};
use yuccareel::quota_message::ResourceKind;

fn faults() -> impl Strategy<Value = Fault> {
    let node = 0..5_usize;
    // Whole steps, so that the end of a fault falls on one.
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

fn schedules(kind: ResourceKind, first_fault: u32) -> impl Strategy<Value = Schedule> {
    let faults = prop::collection::btree_map(first_fault..STEPS, faults(), 0..8);
    (any::<u64>(), 5..7_usize, 1..9_u32, 0.0..0.3, any::<bool>(), faults).prop_map(
        move |(seed, nodes, limit, loss, warms, faults)| Schedule {
            seed,
            nodes,
            limit,
            loss,
            kind,
            warms,
            faults,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against shares that are granted twice, and against load above a cold replica's
    /// limit while homes change, nodes die or messages are lost.
    #[test]
    fn replica_shares_stay_within_limit(
        schedule in schedules(ResourceKind::ReplicaConcurrency, 50)
    ) {
        let mut harness = QuotaHarness::new(schedule);
        for step in 1..STEPS {
            harness.step(step);
            let (held, running) = harness.totals();
            prop_assert!(held <= harness.quantity(), "shares {held} at {:?}", harness.now);
            let fits = running <= harness.quantity() || !harness.cold();
            prop_assert!(fits, "requests {running} at {:?}", harness.now);
        }
    }

    /// Guards against customer limits that are exceeded in steady state.
    #[test]
    fn customer_shares_stay_within_limit(
        mut schedule in schedules(ResourceKind::CustomerRate, 50),
        kind in prop::sample::select(&ResourceKind::ALL[1..]),
    ) {
        (schedule.kind, schedule.warms) = (kind, false);
        schedule.faults.clear();
        let mut harness = QuotaHarness::new(schedule);
        for step in 1..STEPS {
            harness.step(step);
            let (held, _) = harness.totals();
            prop_assert!(held <= harness.quantity(), "shares {held} at {:?}", harness.now);
        }
    }

    /// Guards against an overshoot beyond twice a customer limit while two nodes are the home.
    #[test]
    fn customer_overshoot_is_bounded(
        mut schedule in schedules(ResourceKind::CustomerRate, 150),
        kind in prop::sample::select(&ResourceKind::ALL[1..]),
    ) {
        (schedule.kind, schedule.warms) = (kind, false);
        // One change at a time, so that at most two views differ.
        let first = schedule.faults.iter().next().map(|(step, fault)| (*step, fault.clone()));
        schedule.faults = first.into_iter().collect();
        let mut harness = QuotaHarness::new(schedule);
        for step in 1..STEPS {
            harness.step(step);
            let (held, _) = harness.totals();
            prop_assert!(held <= 2 * harness.quantity(), "shares {held} at {:?}", harness.now);
        }
    }
}

/// Guards against a check that holds only because no shares are granted.
#[test]
fn shares_are_used() {
    for kind in ResourceKind::ALL {
        let schedule = Schedule {
            seed: 7,
            nodes: 5,
            limit: 4,
            loss: 0.1,
            kind,
            warms: false,
            faults: BTreeMap::new(),
        };
        let mut harness = QuotaHarness::new(schedule);
        let mut most = 0;
        for step in 1..STEPS {
            harness.step(step);
            most = most.max(harness.totals().0);
        }
        assert!(most * 4 >= harness.quantity() * 3, "{kind:?}: {most} of {}", harness.quantity());
    }
}
