//! Pass rate of each model per customer and kind of request.
//!
//! Counts are Beta counts that decay with every answer, so that the table
//! follows a model whose quality changes. Answers of an escalated step are
//! counted apart from answers of an entry step: escalated requests are harder,
//! and one common count would underrate the costly model.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ids;

/// Answers after which an observation has decayed to 1/e.
const MEMORY_ANSWERS: f64 = 1_000.0;
/// Answers that the seed from the record counts for.
const SEED_ANSWERS: f64 = 10.0;
/// Largest weight of one answer; a burst of wrong ratings moves the rate by at most this
/// share of the memory per answer.
const MAX_ANSWER_WEIGHT: f64 = 1.0;
/// Most cells of one customer. Callers choose the kind in a header, so that the number of cells
/// must not follow it; five kinds of 14 models fit with their escalations.
const CUSTOMER_CELLS: usize = 300;
/// Number of parts of the exported summary; one part a second is written, all within 60 s.
pub const SUMMARY_PARTS: u64 = 60;

/// Cell of the table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QualityCell {
    /// Customer.
    pub customer: ids::CustomerName,
    /// Kind of request.
    pub kind: ids::RequestKind,
    /// Model that answered.
    pub model: ids::ModelName,
    /// Model whose answer to the same request failed just before; none at the entry step.
    pub after: Option<ids::ModelName>,
}

/// Decayed counts of good and bad answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PassCount {
    /// Good answers.
    pub passes: f64,
    /// Bad answers.
    pub failures: f64,
}

/// Estimate of a pass rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassEstimate {
    /// Expected rate, 0 to 1.
    pub mean: f64,
    /// Variance of the rate.
    pub variance: f64,
}

/// Counts of one cell, as exported and sent between nodes.
pub type CountRow = (QualityCell, PassCount);

/// Pass rates known to this node.
#[derive(Clone, Debug, Default)]
pub struct QualityTable {
    cells: BTreeMap<QualityCell, PassCount>,
    unsent: BTreeMap<QualityCell, PassCount>,
}

impl PassCount {
    fn total(self) -> f64 {
        self.passes + self.failures
    }

    /// Adds counts after decaying the former ones by as many answers.
    fn absorb(&mut self, added: Self) {
        let kept = (-added.total() / MEMORY_ANSWERS).exp();
        self.passes = self.passes * kept + added.passes;
        self.failures = self.failures * kept + added.failures;
    }

    /// Same ratio with at most the weight of the memory; bad numbers count as nothing.
    fn bounded(self) -> Self {
        let total = self.total();
        if !total.is_finite() || self.passes < 0.0 || self.failures < 0.0 {
            return Self::default();
        }
        let scale = if total > MEMORY_ANSWERS { MEMORY_ANSWERS / total } else { 1.0 };
        Self { passes: self.passes * scale, failures: self.failures * scale }
    }
}

impl QualityTable {
    /// Records one rated answer. The weight is limited to 0 to 1.
    ///
    /// A customer with 300 cells gets no new one; estimates of other cells stay at their seed.
    pub fn record(&mut self, cell: &QualityCell, passed: bool, weight: f64) {
        let weight = if weight.is_finite() { weight.clamp(0.0, MAX_ANSWER_WEIGHT) } else { 0.0 };
        let added = if passed {
            PassCount { passes: weight, failures: 0.0 }
        } else {
            PassCount { passes: 0.0, failures: weight }
        };
        let Some(count) = self.count_mut(cell) else { return };
        count.absorb(added);
        let unsent = self.unsent.entry(cell.clone()).or_default();
        unsent.passes += added.passes;
        unsent.failures += added.failures;
    }

    /// Estimate of a cell, seeded with an expected rate.
    pub fn estimate(&self, cell: &QualityCell, seed: f64) -> PassEstimate {
        let count = self.cells.get(cell).copied().unwrap_or_default();
        let seed = seed.clamp(0.0, 1.0);
        let passes = count.passes + seed * SEED_ANSWERS;
        let total = count.total() + SEED_ANSWERS;
        let mean = passes / total;
        PassEstimate { mean, variance: mean * (1.0 - mean) / (total + 1.0) }
    }

    /// Decayed number of answers of a cell.
    pub fn answers(&self, cell: &QualityCell) -> f64 {
        self.cells.get(cell).map_or(0.0, |count| count.total())
    }

    /// Takes the counts recorded here since the last call, for the rollout holder.
    pub fn take_unsent(&mut self) -> Vec<CountRow> {
        std::mem::take(&mut self.unsent).into_iter().collect()
    }

    /// Adds counts that another node recorded.
    pub fn merge(&mut self, rows: impl IntoIterator<Item = CountRow>) {
        for (cell, count) in rows {
            if let Some(known) = self.count_mut(&cell) {
                known.absorb(count.bounded());
            }
        }
    }

    /// Rows of one part of the summary, 0 to `SUMMARY_PARTS` - 1.
    ///
    /// Values of the key-value service hold at most 1 MB, so that the summary is cut by customer.
    pub fn export(&self, part: u64) -> Vec<CountRow> {
        let inside = |cell: &QualityCell| summary_part(&cell.customer) == part;
        let rows = self.cells.iter().filter(|(cell, _)| inside(cell));
        rows.map(|(cell, count)| (cell.clone(), *count)).collect()
    }

    /// Takes rows of a summary for cells that hold less than they do.
    pub fn import(&mut self, rows: impl IntoIterator<Item = CountRow>) {
        for (cell, count) in rows {
            let count = count.bounded();
            if let Some(known) = self.count_mut(&cell)
                && known.total() < count.total()
            {
                *known = count;
            }
        }
    }

    /// Count of a cell; none when the cell is new and its customer has no room.
    fn count_mut(&mut self, cell: &QualityCell) -> Option<&mut PassCount> {
        if !self.cells.contains_key(cell) {
            let empty: Arc<str> = Arc::from("");
            let first = QualityCell {
                customer: cell.customer.clone(),
                kind: empty.clone(),
                model: empty,
                after: None,
            };
            let known = self.cells.range(first..);
            let same = known.take_while(|(known, _)| known.customer == cell.customer);
            if same.count() >= CUSTOMER_CELLS {
                return None;
            }
        }
        Some(self.cells.entry(cell.clone()).or_default())
    }

    /// Number of cells.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Whether no answer has been recorded.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }
}

/// Part of the summary that holds a customer.
pub fn summary_part(customer: &str) -> u64 {
    xxh3::xxh3_64(customer.as_bytes()) % SUMMARY_PARTS
}

/// Key of a part of the summary.
pub fn summary_key(part: u64) -> String {
    format!("quality/{part}")
}
