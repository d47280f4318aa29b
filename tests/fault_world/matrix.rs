//! Cells of the matrix: which run, which have no meaning, and how they run together.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt as _;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::time::Instant;

use super::cell::{CellOutcome, FaultCell};
use super::faults::Fault;
use super::steps::Step;

/// Cells at once. A cell waits most of its time, but 3 instances each of 126 cells at once
/// would exhaust the machine.
const CELLS_AT_ONCE: usize = 24;

/// Cell without meaning.
pub struct SkippedCell {
    pub step: Step,
    pub fault: Fault,
    pub reason: &'static str,
}

/// Cells without meaning.
pub const SKIPPED: [SkippedCell; 5] = [
    skipped(Step::DrainReturn, Fault::DataCentreDrained, "the step is the fault"),
    skipped(Step::Booking, Fault::VersionBad, "a booking uses no model"),
    skipped(Step::Booking, Fault::PoolExhausted, "a booking uses no engine"),
    skipped(Step::Booking, Fault::ColdAgain, "plain services have no cold start"),
    skipped(Step::Booking, Fault::RatingGone, "a booking is not rated"),
];

const fn skipped(step: Step, fault: Fault, reason: &'static str) -> SkippedCell {
    SkippedCell { step, fault, reason }
}

fn has_meaning(step: Step, fault: Fault) -> bool {
    !SKIPPED.iter().any(|cell| (cell.step, cell.fault) == (step, fault))
}

/// Cells with one fault.
pub fn single_faults() -> Vec<FaultCell> {
    let all = Step::ALL.into_iter().flat_map(|step| Fault::ALL.map(|fault| (step, fault)));
    let meant = all.filter(|(step, fault)| has_meaning(*step, *fault));
    meant.map(|(step, fault)| FaultCell { step, faults: vec![fault] }).collect()
}

/// Cell with two faults that follow from a seed.
pub fn pair_of_faults(seed: u64) -> FaultCell {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        let step = Step::ALL[random.random_range(0..Step::ALL.len())];
        let mut pick = || Fault::ALL[random.random_range(0..Fault::ALL.len())];
        let mut faults = vec![pick(), pick()];
        if faults[0] != faults[1] && faults.iter().all(|fault| has_meaning(step, *fault)) {
            // Operators change nothing while the store is at fault.
            faults.sort_by_key(|fault| fault.hits_store());
            return FaultCell { step, faults };
        }
    }
}

/// Runs cells, a bounded number at once, and prints a summary.
pub async fn run(cells: Vec<FaultCell>) -> Vec<CellOutcome> {
    let started = Instant::now();
    let count = cells.len();
    let runs = cells.into_iter().map(|cell| async move {
        tokio::spawn(cell.clone().run()).await.unwrap_or_else(|error| CellOutcome {
            cell,
            breaches: Vec::new(),
            unsettled: vec![format!("cell failed: {error}")],
            whole_answers: 0,
            ends: Default::default(),
            took: Duration::ZERO,
        })
    });
    let outcomes: Vec<_> =
        futures::stream::iter(runs).buffer_unordered(CELLS_AT_ONCE).collect().await;
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    for (end, calls) in outcomes.iter().flat_map(|outcome| &outcome.ends) {
        *ends.entry(end).or_default() += calls;
    }
    let longest = outcomes.iter().map(|outcome| outcome.took).max().unwrap_or_default();
    println!("{count} cells in {:?}, longest {longest:?}, calls: {ends:?}", started.elapsed());
    let mut slow: Vec<_> = outcomes.iter().collect();
    slow.sort_by_key(|outcome| std::cmp::Reverse(outcome.took));
    for outcome in slow.iter().take(6) {
        println!("slow: {:?} {:?} {:?}", outcome.took, outcome.cell, outcome.ends);
    }
    outcomes
}

/// Lines that tell what went wrong; empty when every promise was kept.
pub fn report(outcomes: &[CellOutcome]) -> Vec<String> {
    let mut lines = Vec::new();
    for outcome in outcomes {
        let name = format!("{:?} x {:?}", outcome.cell.step, outcome.cell.faults);
        let breaches = outcome.breaches.iter();
        lines.extend(
            breaches.map(|breach| format!("{name}: {:?}: {}", breach.promise, breach.detail)),
        );
        lines.extend(outcome.unsettled.iter().map(|text| format!("{name}: unsettled: {text}")));
        if outcome.whole_answers == 0 {
            lines.push(format!("{name}: no whole answer"));
        }
    }
    lines
}
