//! Choice of a replica for one call, at two sizes of the fleet.

#[path = "../tests/fleet_harness/mod.rs"]
mod fleet_harness;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fleet_harness::{CallRequirements, FleetHarness, entry, long_call};
use yuccareel::relay::replica_entry::ReplicaEntry;

const FLEET_SIZES: [usize; 2] = [22, 1_000];

fn choose_replicas(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("replica_choice");
    for size in FLEET_SIZES {
        let entries: Vec<_> = (0..size)
            .map(|index| ReplicaEntry { slots: u32::MAX, ..entry(&format!("r{index}")) })
            .collect();
        for (kind, call) in [("plain", CallRequirements::default()), ("prompt", long_call())] {
            let mut harness = FleetHarness::new(&entries);
            group.bench_function(BenchmarkId::new(kind, size), |bencher| {
                bencher.iter(|| {
                    let name = harness.choose_call(&call).expect("a replica has a free slot");
                    harness.fleet.record_finish(&name);
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, choose_replicas);
criterion_main!(benches);
