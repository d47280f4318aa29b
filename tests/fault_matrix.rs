//! Fault matrix: every step of callers and operators with every fault in its middle.

mod fault_world;

use fault_world::cell::FaultCell;
use fault_world::matrix;

/// Guards against promises that hold without faults only.
#[tokio::test(flavor = "multi_thread", worker_threads = 10)]
async fn every_promise_holds_under_every_fault() {
    let cells = matrix::single_faults();
    let cells = match std::env::var("FAULT_CELL") {
        Ok(name) => cells.into_iter().filter(|cell| format!("{cell:?}").contains(&name)).collect(),
        Err(_) => cells,
    };
    for skipped in &matrix::SKIPPED {
        println!("skipped {:?} x {:?}: {}", skipped.step, skipped.fault, skipped.reason);
    }
    check(cells).await;
}

async fn check(cells: Vec<FaultCell>) {
    let lines = matrix::report(&matrix::run(cells).await);
    assert!(lines.is_empty(), "{} findings:\n{}", lines.len(), lines.join("\n"));
}
