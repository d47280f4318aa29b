//! Pass rate of each model per customer and kind of request.
//!
//! Counts are Beta counts that decay with every answer, so that the table
//! follows a model whose quality changes. Answers of an escalated step are
//! counted apart from answers of an entry step: escalated requests are harder,
//! and one common count would underrate the costly model.
//!
//! The seed of an entry step follows the answers of the same model to other
//! customers. It counts for the more answers, the less those customers differ.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ids;

/// Answers after which an observation has decayed to 1/e.
const DECAY_ANSWERS: f64 = 1_000.0;
/// Answers that the seed from the record counts for.
const MIN_SEED_ANSWERS: f64 = 10.0;
/// Most answers that the answers to other customers count for.
const MAX_SEED_ANSWERS: f64 = 100.0;
/// Largest weight of one answer; a burst of wrong ratings moves the rate by at most this
/// share of the memory per answer.
const MAX_ANSWER_WEIGHT: f64 = 1.0;
/// Most cells of one customer. Callers choose the kind in a header, so that the number of cells
/// must not follow it; five kinds of 14 models fit with their escalations.
const MAX_CUSTOMER_CELLS: usize = 300;
/// Share of its own answers that a node needs to find in another node's count to take it over. A
/// node that was replaced has forgotten most of them.
const MIN_KNOWN_FRACTION: f64 = 0.9;
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

/// Sums over the entry cells of one kind and model, for all customers.
#[derive(Clone, Copy, Debug, Default)]
struct SharedCount {
    cells: f64,
    answers: f64,
    passes: f64,
    /// Sum of the squared answers of each cell.
    squares: f64,
    /// Sum of the squared passes of each cell over its answers.
    rate_squares: f64,
}

/// Expected rate before any answer of a cell, and the answers that it counts for.
#[derive(Clone, Copy, Debug)]
struct RateSeed {
    mean: f64,
    answers: f64,
}

/// Pass rates known to this node.
#[derive(Clone, Debug, Default)]
pub struct QualityTable {
    cells: BTreeMap<QualityCell, PassCount>,
    shared: BTreeMap<(ids::RequestKind, ids::ModelName), SharedCount>,
    unsent: BTreeMap<QualityCell, PassCount>,
    /// Number of the last change.
    revision: u64,
    revisions: BTreeMap<QualityCell, u64>,
    changes: BTreeMap<u64, QualityCell>,
    /// Parts of the summary with cells that changed since they were taken.
    unwritten: BTreeSet<u64>,
}

impl PassCount {
    fn total(self) -> f64 {
        self.passes + self.failures
    }

    /// Adds counts after decaying the former ones by as many answers.
    fn absorb(&mut self, added: Self) {
        let kept = (-added.total() / DECAY_ANSWERS).exp();
        self.passes = self.passes * kept + added.passes;
        self.failures = self.failures * kept + added.failures;
    }

    /// Same ratio with at most the weight of the memory; bad numbers count as nothing.
    fn bounded(self) -> Self {
        let total = self.total();
        if !total.is_finite() || self.passes < 0.0 || self.failures < 0.0 {
            return Self::default();
        }
        let scale = if total > DECAY_ANSWERS { DECAY_ANSWERS / total } else { 1.0 };
        Self { passes: self.passes * scale, failures: self.failures * scale }
    }
}

impl SharedCount {
    fn add(&mut self, count: PassCount, sign: f64) {
        let answers = count.total();
        if answers <= 0.0 {
            return;
        }
        self.cells += sign;
        self.answers += sign * answers;
        self.passes += sign * count.passes;
        self.squares += sign * answers * answers;
        self.rate_squares += sign * count.passes * count.passes / answers;
    }

    /// Seed for one more customer; `seed` is the rate from the record.
    ///
    /// The variance between customers is estimated by the method of moments for Beta-binomial
    /// counts, and raised by one standard deviation of its estimate.
    fn seed(self, seed: f64) -> RateSeed {
        let known = self.answers.max(0.0) + MIN_SEED_ANSWERS;
        let mean = ((self.passes + seed * MIN_SEED_ANSWERS) / known).clamp(0.0, 1.0);
        let free = self.cells - 1.0;
        let reach = self.answers - self.squares / self.answers.max(1.0) - free;
        let variance = mean * (1.0 - mean);
        if free < 0.5 || reach <= 0.0 || variance <= 0.0 {
            return RateSeed { mean, answers: MIN_SEED_ANSWERS };
        }
        let spread = self.rate_squares - self.passes * self.passes / self.answers;
        let correlation = (spread / variance - free + (2.0 * free).sqrt()) / reach;
        let correlation = correlation.clamp(1.0 / (1.0 + MAX_SEED_ANSWERS), 1.0);
        let alike = 1.0 / correlation - 1.0;
        let answers = alike * known / (alike + known);
        RateSeed { mean, answers: answers.max(MIN_SEED_ANSWERS) }
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
        if !self.change(cell, |count| count.absorb(added)) {
            return;
        }
        self.add_unsent(cell.clone(), added);
    }

    fn add_unsent(&mut self, cell: QualityCell, added: PassCount) {
        let unsent = self.unsent.entry(cell).or_default();
        unsent.passes += added.passes;
        unsent.failures += added.failures;
    }

    /// Estimate of a cell, seeded with an expected rate and the answers to other customers.
    pub fn estimate(&self, cell: &QualityCell, seed: f64) -> PassEstimate {
        let count = self.cells.get(cell).copied().unwrap_or_default();
        let seed = self.rate_seed(cell, count, seed.clamp(0.0, 1.0));
        let passes = count.passes + seed.mean * seed.answers;
        let total = count.total() + seed.answers;
        let mean = passes / total;
        PassEstimate { mean, variance: mean * (1.0 - mean) / (total + 1.0) }
    }

    fn rate_seed(&self, cell: &QualityCell, own: PassCount, seed: f64) -> RateSeed {
        if cell.after.is_none()
            && let Some(shared) = self.shared.get(&(cell.kind.clone(), cell.model.clone()))
        {
            let mut others = *shared;
            others.add(own, -1.0);
            return others.seed(seed);
        }
        RateSeed { mean: seed, answers: MIN_SEED_ANSWERS }
    }

    /// Decayed number of answers of a cell.
    pub fn answer_count(&self, cell: &QualityCell) -> f64 {
        self.cells.get(cell).map_or(0.0, |count| count.total())
    }

    /// Takes the counts recorded here since the last call, for the rollout holder.
    pub fn take_unsent(&mut self) -> Vec<CountRow> {
        std::mem::take(&mut self.unsent).into_iter().collect()
    }

    /// Takes at most a number of counts recorded here or relayed, for the next node.
    pub fn take_unsent_page(&mut self, most: usize) -> Vec<CountRow> {
        let mut page = Vec::new();
        while page.len() < most
            && let Some(row) = self.unsent.pop_first()
        {
            page.push(row);
        }
        page
    }

    /// Keeps counts that could not be sent for the next time.
    pub fn restore_unsent(&mut self, rows: impl IntoIterator<Item = CountRow>) {
        for (cell, count) in rows {
            self.add_unsent(cell, count);
        }
    }

    /// Adds counts that another node recorded, and keeps them to be sent on.
    pub fn merge_and_forward(&mut self, rows: impl IntoIterator<Item = CountRow>) {
        for (cell, count) in rows {
            let count = count.bounded();
            if self.change(&cell, |known| known.absorb(count)) {
                self.add_unsent(cell, count);
            }
        }
    }

    /// Counts that changed after a revision, at most a number of them, and the revision reached.
    pub fn changed_since(&self, revision: u64, most: usize) -> (Vec<CountRow>, u64) {
        let mut reached = revision;
        let mut rows = Vec::new();
        for (changed, cell) in self.changes.range(revision.saturating_add(1)..).take(most) {
            rows.push((cell.clone(), self.cells.get(cell).copied().unwrap_or_default()));
            reached = *changed;
        }
        (rows, reached)
    }

    /// Takes over counts in which another node holds what this one has sent it.
    ///
    /// Counts that are not sent yet are added again. A count that lacks answers of this node stays
    /// out.
    pub fn apply_counts(&mut self, rows: impl IntoIterator<Item = CountRow>) {
        for (cell, count) in rows {
            let mut count = count.bounded();
            if count.total() < MIN_KNOWN_FRACTION * self.answer_count(&cell) {
                continue;
            }
            if let Some(unsent) = self.unsent.get(&cell) {
                count.absorb(*unsent);
            }
            if self.cells.get(&cell) != Some(&count) {
                self.change(&cell, |known| *known = count);
            }
        }
    }

    /// Takes the first part of the summary with changes since it was taken last.
    pub fn take_unwritten_part(&mut self) -> Option<u64> {
        self.unwritten.pop_first()
    }

    /// Marks a part of the summary to be written again.
    pub fn restore_unwritten_part(&mut self, part: u64) {
        self.unwritten.insert(part);
    }

    /// Adds counts that another node recorded.
    pub fn merge_counts(&mut self, rows: impl IntoIterator<Item = CountRow>) {
        for (cell, count) in rows {
            self.change(&cell, |known| known.absorb(count.bounded()));
        }
    }

    /// Rows of one part of the summary, 0 to `SUMMARY_PARTS` - 1.
    ///
    /// Values of the key-value service hold at most 1 MB, so that the summary is cut by customer.
    pub fn export_part(&self, part: u64) -> Vec<CountRow> {
        let inside = |cell: &QualityCell| summary_part(&cell.customer) == part;
        let rows = self.cells.iter().filter(|(cell, _)| inside(cell));
        rows.map(|(cell, count)| (cell.clone(), *count)).collect()
    }

    /// Takes rows of a summary for cells that hold less than they do.
    pub fn import_rows(&mut self, rows: impl IntoIterator<Item = CountRow>) {
        for (cell, count) in rows {
            let count = count.bounded();
            self.change(&cell, |known| {
                if known.total() < count.total() {
                    *known = count;
                }
            });
        }
    }

    /// Changes a count and the sums that hold it; false when the cell has no room.
    fn change(&mut self, cell: &QualityCell, change: impl FnOnce(&mut PassCount)) -> bool {
        let Some(count) = self.count_mut(cell) else { return false };
        let before = *count;
        change(count);
        let after = *count;
        self.revision += 1;
        if let Some(former) = self.revisions.insert(cell.clone(), self.revision) {
            self.changes.remove(&former);
        }
        self.changes.insert(self.revision, cell.clone());
        self.unwritten.insert(summary_part(&cell.customer));
        if cell.after.is_none() {
            let key = (cell.kind.clone(), cell.model.clone());
            let shared = self.shared.entry(key).or_default();
            shared.add(before, -1.0);
            shared.add(after, 1.0);
        }
        true
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
            if same.count() >= MAX_CUSTOMER_CELLS {
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
