//! Heap allocations of the routing decision.

mod fixtures;

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::time::Duration;

use fixtures::{
    customer, data_centre, leased_shares, load_report, model, ms, replica, replica_table,
    version_pool,
};
use rand::SeedableRng as _;
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::quota_message::ResourceKind;
use yuccareel::replica_subset::ReplicaSubset;
use yuccareel::route_decision::{RouteRequest, RouteTables, choose_replica};

const NOW: Duration = Duration::from_secs(100);

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

struct CountingAllocator;

// SAFETY: every call is passed to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Guards against heap allocations in a routing decision, which runs for every attempt.
#[test]
fn decision_allocates_nothing() {
    let records = [model("m", 2, 64), customer("c", 1, 10.0, 10), data_centre("dc", false, &[])];
    let snapshot = ConfigSnapshot::from_records(1, records);
    let names: Vec<_> = (0..200).map(|index| format!("replica-{index}")).collect();
    let table = replica_table(names.iter().map(|name| {
        let mut row = replica(name, "dc", version_pool("m", "v1"));
        row.report = Some(load_report(3, false, "boot", NOW));
        row
    }));
    let subset = ReplicaSubset::build(&snapshot, &table, &"node".into(), &"dc".into());
    let leases: Vec<_> =
        subset.all_members().map(|member| (names[member.index].as_str(), 2, 64, false)).collect();
    let shares = leased_shares(ResourceKind::ReplicaConcurrency, &leases, NOW);
    let node_count = 8;
    let tables = RouteTables {
        snapshot: &snapshot,
        table: &table,
        subset: &subset,
        shares: &shares,
        node_count,
        is_fresh: true,
    };
    let pool = version_pool("m", "v1");
    let excluded = [table.row(subset.members(&pool)[0].index).name.clone()];
    let prefix_bonuses = [(subset.members(&pool)[1].index, 0.2)];
    let mut random = rand::rngs::SmallRng::seed_from_u64(1);
    let mut outcomes = Vec::with_capacity(100);
    let before = ALLOCATIONS.with(Cell::get);
    for _ in 0..100 {
        let request = RouteRequest {
            customer: "c",
            pool: &pool,
            deadline: NOW + ms(1_000),
            excluded_replicas: &excluded,
            prefix_bonuses: &prefix_bonuses,
        };
        outcomes.push(choose_replica(tables, request, NOW, &mut random));
    }
    assert_eq!(ALLOCATIONS.with(Cell::get), before);
    // 7 replicas with a share of 2 each; the other decisions refuse.
    assert_eq!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), 14);
}
