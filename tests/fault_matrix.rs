//! Fault matrix: every step of callers and operators with every fault in its middle.

mod fault_world;

use fault_world::cell::FaultCell;
use fault_world::faults::Fault;
use fault_world::matrix;
use fault_world::steps::Step;

/// Seeds of the pairs; a finding names its step and faults.
const PAIR_SEEDS: [u64; 12] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

/// Guards against promises that hold without faults only.
#[tokio::test(flavor = "multi_thread", worker_threads = 10)]
async fn every_promise_holds_under_every_fault() {
    let cells = matrix::single_faults();
    for skipped in &matrix::SKIPPED {
        println!("skipped {:?} x {:?}: {}", skipped.step, skipped.fault, skipped.reason);
    }
    check(cells).await;
}

/// Guards against faults that are survived one at a time only.
#[tokio::test(flavor = "multi_thread", worker_threads = 10)]
async fn every_promise_holds_under_pairs_of_faults() {
    check(PAIR_SEEDS.map(matrix::pair_of_faults).into()).await;
}

/// Guards against shares of a cold replica that together exceed what it bears.
#[tokio::test(flavor = "multi_thread", worker_threads = 10)]
async fn a_burst_does_not_overload_cold_replicas() {
    let steps = [Step::ChatWhole, Step::Session, Step::Bill];
    check(steps.map(|step| FaultCell { step, faults: vec![Fault::ColdBurst] }).into()).await;
}

/// `FAULT_CELL` selects cells by a part of their printed form and `FAULT_REPEAT` runs each
/// several times, to repeat a finding.
async fn check(mut cells: Vec<FaultCell>) {
    if let Ok(name) = std::env::var("FAULT_CELL") {
        cells.retain(|cell| format!("{cell:?}").contains(&name));
    }
    if let Some(times) = std::env::var("FAULT_REPEAT").ok().and_then(|times| times.parse().ok()) {
        cells = cells.into_iter().flat_map(|cell| vec![cell; times]).collect();
    }
    let lines = matrix::report(&matrix::run(cells).await);
    assert!(lines.is_empty(), "{} findings:\n{}", lines.len(), lines.join("\n"));
}
