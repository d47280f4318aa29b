//! Time of one routing decision and of one endpoints answer.

#[path = "../tests/fixtures/mod.rs"]
mod fixtures;

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use fixtures::{
    customer, data_centre, leased_shares, load_report, model, ms, replica, replica_table,
    version_pool,
};
use rand::SeedableRng as _;
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::endpoint_answer::{EndpointDirectory, EndpointMember};
use yuccareel::quota_message::ResourceKind;
use yuccareel::replica_subset::ReplicaSubset;
use yuccareel::route_decision::{RouteRequest, RouteTables, choose_replica};

const NOW: Duration = Duration::from_secs(100);
const DATA_CENTRES: usize = 16;

fn snapshot() -> ConfigSnapshot {
    let names: Vec<_> = (0..DATA_CENTRES).map(|index| format!("dc{index}")).collect();
    let distances: Vec<_> = names.iter().map(|name| (name.as_str(), 500)).collect();
    let mut records: Vec<_> =
        names.iter().map(|name| data_centre(name, false, &distances)).collect();
    records.push(model("m", 2, 64));
    records.extend((0..1_000).map(|index| customer(&format!("c{index}"), 1, 10.0, 10)));
    ConfigSnapshot::from_records(1, records)
}

fn route(criterion: &mut Criterion) {
    let snapshot = snapshot();
    for replicas in [22, 1_000, 10_000] {
        let names: Vec<_> = (0..replicas).map(|index| format!("replica-{index}")).collect();
        let rows = names.iter().enumerate().map(|(index, name)| {
            let place = format!("dc{}", index % DATA_CENTRES);
            let mut row = replica(name, &place, version_pool("m", "v1"));
            row.report = Some(load_report(index as u32 % 40, false, "boot", NOW - ms(700)));
            row
        });
        let table = replica_table(rows);
        let subset = ReplicaSubset::build(&snapshot, &table, &"node".into(), &"dc0".into());
        let leases: Vec<_> = subset
            .all_members()
            .map(|member| (names[member.index].as_str(), 8, 64, false))
            .collect();
        let shares = leased_shares(ResourceKind::ReplicaConcurrency, &leases, NOW);
        let tables = RouteTables {
            snapshot: &snapshot,
            table: &table,
            subset: &subset,
            shares: &shares,
            node_count: 1_300,
            is_fresh: true,
        };
        let pool = version_pool("m", "v1");
        let request = RouteRequest {
            customer: "c500",
            pool: &pool,
            deadline: NOW + ms(1_000),
            excluded_replicas: &[],
            prefix_bonuses: &[(subset.members(&pool)[3].index, 0.2)],
        };
        let mut random = rand::rngs::SmallRng::seed_from_u64(1);
        criterion.bench_function(&format!("route/{replicas}"), |bencher| {
            bencher.iter(|| choose_replica(tables, black_box(request), NOW, &mut random).unwrap());
        });
        criterion.bench_function(&format!("subset/{replicas}"), |bencher| {
            bencher.iter(|| {
                ReplicaSubset::build(&snapshot, &table, black_box(&"node".into()), &"dc0".into())
            });
        });
    }
}

fn endpoints(criterion: &mut Criterion) {
    let snapshot = snapshot();
    for members in [8_u16, 1_300] {
        let rows: Vec<_> = (0..members)
            .map(|index| EndpointMember {
                address: ([127, 0, 0, 1], index).into(),
                data_centre: format!("dc{}", usize::from(index) % DATA_CENTRES).into(),
                live: true,
            })
            .collect();
        let directory = EndpointDirectory::build(&rows, &snapshot, "dc0");
        let mut caller = 0_u64;
        criterion.bench_function(&format!("endpoints/{members}"), |bencher| {
            bencher.iter(|| {
                caller = caller.wrapping_add(0x9e37_79b9_7f4a_7c15);
                directory.answer(black_box(caller))
            });
        });
    }
}

criterion_group!(benches, route, endpoints);
criterion_main!(benches);
