//! Cost of merging membership and size of heartbeats, at 8 and at 1,300 nodes.

use std::net::SocketAddr;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use yuccareel::member_age::MemberAge;
use yuccareel::member_row::MemberRow;
use yuccareel::member_table::MemberTable;
use yuccareel::peer_message::{AgedRow, Heartbeat, HeartbeatReply, NodeStatus};
use yuccareel::peer_wire;

const SIZES: [usize; 2] = [8, 1_300];
const NOW: Duration = Duration::from_secs(100);
/// Members that are replaced at once: those of one data centre at 1,300 nodes.
const REPLACED: usize = 81;

fn row(index: usize) -> MemberRow {
    let port = u16::try_from(1_024 + index).expect("few nodes");
    MemberRow {
        incarnation: 1_800_000_000_000,
        leaving: false,
        name: format!("entry-colombo-a-{index:04}").into(),
        address: SocketAddr::from(([10, 1, 2, 3], port)),
        peer_address: SocketAddr::from(([10, 1, 2, 4], port)),
        data_centre: format!("colombo-{}", index % 16).into(),
    }
}

/// Table of one node that has heard of all others and passed their rows on.
fn settled_table(own: usize, size: usize) -> MemberTable {
    let mut table = MemberTable::new(row(own), Duration::ZERO);
    let age = MemberAge::from_byte(0);
    let rows = (0..size).map(|index| AgedRow { row: row(index), age }).collect();
    let reply = HeartbeatReply { rows, ..HeartbeatReply::default() };
    let sent = table.heartbeat(NOW, NodeStatus::default());
    table.merge_reply(NOW, &sent, &reply);
    while table.heartbeat(NOW, NodeStatus::default()).rows.len() > 1 {}
    table
}

/// Heartbeat and reply of two tables.
fn exchange(left: &mut MemberTable, right: &mut MemberTable) -> (Heartbeat, HeartbeatReply) {
    let sent = left.heartbeat(NOW, NodeStatus::default());
    let reply = right.receive(NOW, &sent, NodeStatus::default());
    (sent, reply)
}

fn print_sizes(size: usize) {
    let (mut left, mut right) = (settled_table(0, size), settled_table(1, size));
    let mut former = settled_table(0, size - REPLACED.min(size / 2));
    for (state, left) in [("settled", &mut left), ("after a mass start", &mut former)] {
        let (sent, reply) = exchange(left, &mut right);
        println!(
            "{size} nodes, {state}: heartbeat {} bytes, reply {} bytes",
            peer_wire::heartbeat_bytes(&sent),
            peer_wire::reply_bytes(&reply)
        );
    }
}

fn membership(criterion: &mut Criterion) {
    for size in SIZES {
        print_sizes(size);
        let (mut left, mut right) = (settled_table(0, size), settled_table(1, size));
        let (sent, reply) = exchange(&mut left, &mut right);
        criterion.bench_function(&format!("receive heartbeat, {size} nodes"), |bencher| {
            bencher.iter(|| right.receive(NOW, &sent, NodeStatus::default()));
        });
        criterion.bench_function(&format!("merge reply, {size} nodes"), |bencher| {
            bencher.iter(|| left.merge_reply(NOW, &sent, &reply));
        });
        let mut former = settled_table(0, size - REPLACED.min(size / 2));
        let (sent, reply) = exchange(&mut former, &mut right);
        criterion.bench_function(&format!("merge changed rows, {size} nodes"), |bencher| {
            bencher.iter_batched_ref(
                || former.clone(),
                |table| table.merge_reply(NOW, &sent, &reply),
                criterion::BatchSize::SmallInput,
            );
        });
    }
}

criterion_group!(benches, membership);
criterion_main!(benches);
