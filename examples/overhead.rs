//! Cost of the whole path: the same requests through one instance and straight
//! to the engine stand-in, in turn within one run.
//!
//! Callers, instance and engine share this process, so that the figures of both
//! ways include the same caller and engine work, and their difference is the
//! instance's. Run it in release on a quiet machine:
//! `cargo run --release --example overhead`. An argument runs only the cases whose names
//! contain it.

#[path = "measure_world/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "overhead_load/mod.rs"]
mod overhead_load;
#[path = "measure_world/shape.rs"]
#[allow(dead_code)]
mod shape;

use std::process::ExitCode;
use std::time::Duration;

use overhead_load::{LoadCase, Pace, WayTotals};

/// Most time that the instance may add to the median.
const ADDED_P50: Duration = Duration::from_micros(300);
/// Most time that the instance may add to the 99th percentile.
const ADDED_P99: Duration = Duration::from_millis(2);
/// Time of one turn of one way; short turns expose both ways to the same machine load.
const TURN: Duration = Duration::from_secs(1);
/// Turns of each way per case.
const TURNS: usize = 5;

/// One model that answers without delay.
const SHAPE: shape::DeploymentShape = shape::DeploymentShape::local(
    "overhead",
    &[shape::model("small", 1.0, (100, 1_000), 0, &[("v1", 4)])],
    4_096,
);

const CASES: [LoadCase; 7] = [
    LoadCase {
        name: "whole, 1 connection",
        connections: 1,
        tokens: 8,
        stream: false,
        pace: Pace::Closed,
    },
    LoadCase {
        name: "whole, 64 connections",
        connections: 64,
        tokens: 8,
        stream: false,
        pace: Pace::Rate(1_000),
    },
    LoadCase {
        name: "whole, 1,000 connections",
        connections: 1_000,
        tokens: 8,
        stream: false,
        pace: Pace::Rate(1_000),
    },
    LoadCase {
        name: "stream, 1 connection",
        connections: 1,
        tokens: 32,
        stream: true,
        pace: Pace::Closed,
    },
    LoadCase {
        name: "stream, 64 connections",
        connections: 64,
        tokens: 32,
        stream: true,
        pace: Pace::Rate(500),
    },
    LoadCase {
        name: "stream, 1,000 connections",
        connections: 1_000,
        tokens: 32,
        stream: true,
        pace: Pace::Rate(500),
    },
    LoadCase {
        name: "whole, 64 connections, no pause",
        connections: 64,
        tokens: 8,
        stream: false,
        pace: Pace::Closed,
    },
];

#[tokio::main]
async fn main() -> ExitCode {
    let fleet = fleet::Fleet::start(SHAPE, 1).await;
    // The home of the replicas' concurrency grants nothing in its first 10 s.
    tokio::time::sleep(Duration::from_secs(12)).await;
    let through = fleet.first_address(0);
    let direct: Vec<_> = fleet.platform.engines.iter().map(|placed| placed.address).collect();
    println!(
        "{:33}{:>8}{:>9}{:>9}{:>9}{:>9}{:>10}{:>10}{:>10}{:>8}{:>12}",
        "case",
        "answers",
        "p50 d",
        "p50 t",
        "p99 d",
        "p99 t",
        "added p50",
        "added p99",
        "first p50",
        "failed",
        "per core-s"
    );
    let mut missed = Vec::new();
    let wanted = std::env::args().nth(1).unwrap_or_default();
    for case in CASES.iter().filter(|case| case.name.contains(&wanted)) {
        let (mut direct_totals, mut through_totals) = (WayTotals::new(), WayTotals::new());
        for turn in 0..TURNS {
            eprintln!("{} turn {}/{TURNS}", case.name, turn + 1);
            overhead_load::run(case, &direct, TURN, &mut direct_totals).await;
            overhead_load::run(case, &[through], TURN, &mut through_totals).await;
        }
        print_case(case, &direct_totals, &through_totals, &mut missed);
    }
    println!(
        "d: straight to the engine, t: through the instance; times in ms; first: added to the first byte;"
    );
    println!("per core-s: requests per second of the instance's own processor time.");
    missed.iter().for_each(|line| println!("MISSED: {line}"));
    if missed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_case(case: &LoadCase, direct: &WayTotals, through: &WayTotals, missed: &mut Vec<String>) {
    let at = |totals: &WayTotals, part| totals.whole.value_at_quantile(part) as f64 / 1_000.0;
    let added = |part| at(through, part) - at(direct, part);
    let first = |totals: &WayTotals| totals.first.value_at_quantile(0.5) as f64 / 1_000.0;
    let own = through.cpu_per_answer() - direct.cpu_per_answer();
    println!(
        "{:33}{:>8}{:>9.3}{:>9.3}{:>9.3}{:>9.3}{:>10.3}{:>10.3}{:>10.3}{:>8}{:>12.0}",
        case.name,
        through.whole.len(),
        at(direct, 0.5),
        at(through, 0.5),
        at(direct, 0.99),
        at(through, 0.99),
        added(0.5),
        added(0.99),
        first(through) - first(direct),
        through.failed.values().chain(direct.failed.values()).sum::<u64>(),
        1.0 / own
    );
    for (way, totals) in [("d", direct), ("t", through)] {
        totals.failed.iter().for_each(|(code, count)| println!("  {way}: {code}: {count}"));
    }
    // Without pauses the times show the queue at a saturated machine, not the path.
    if case.pace == Pace::Closed && case.connections > 1 {
        return;
    }
    for (name, part, limit) in [("p50", 0.5, ADDED_P50), ("p99", 0.99, ADDED_P99)] {
        if added(part) > limit.as_secs_f64() * 1_000.0 {
            missed.push(format!(
                "{}: added {name} {:.3} ms over {limit:?}",
                case.name,
                added(part)
            ));
        }
    }
}
