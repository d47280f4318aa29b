//! Pass rate of each model per customer and kind of request.
//!
//! Each cell holds Beta counts that decay with every answer, so that the table
//! follows a model whose quality changes. Answers of escalated steps are counted
//! separately from answers of entry steps: escalated requests are harder, and a
//! common count would underrate the costly model.
//!
//! The seed of an entry step is derived from the answers of the same model to
//! other customers. Its weight grows as the pass rates of those customers agree.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ids;

/// Answers after which an observation has decayed to 1/e.
const DECAY_ANSWERS: f64 = 1_000.0;
/// Weight of the prior of a model, in answers; also the minimum weight of a seed.
const MIN_SEED_ANSWERS: f64 = 10.0;
/// Maximum weight of a seed from the answers to other customers, in answers.
const MAX_SEED_ANSWERS: f64 = 100.0;
/// Maximum weight of one answer. Each answer of a burst of wrong ratings thus moves a pass rate of
/// a full cell by at most 1/`DECAY_ANSWERS`.
const MAX_ANSWER_WEIGHT: f64 = 1.0;
/// Maximum cells of one customer. Callers choose the kind in a header and could otherwise create
/// cells without limit; five kinds for 14 models fit, including escalations.
const MAX_CUSTOMER_CELLS: usize = 300;
/// Minimum answer count of a received cell, as a fraction of the local answer count, for the
/// received count to replace it. A restarted peer has lost most answers.
const MIN_KNOWN_FRACTION: f64 = 0.9;
/// Number of parts of the stored summary. One part is written per second, so that all are written
/// within 60 s.
pub const SUMMARY_PARTS: u64 = 60;

/// Key of a pass rate.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QualityCell {
    pub customer: ids::CustomerName,
    pub kind: ids::RequestKind,
    pub model: ids::ModelName,
    /// Model whose answer to the same request failed just before; `None` at the entry step.
    pub after: Option<ids::ModelName>,
}

/// Decayed counts of good and bad answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PassCount {
    pub passes: f64,
    pub failures: f64,
}

/// Estimate of a pass rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassEstimate {
    /// Expected rate, 0 to 1.
    pub mean: f64,
    pub variance: f64,
}

/// Counts of one cell, as stored in the summary and sent between nodes.
pub type CountRow = (QualityCell, PassCount);

/// Sums over the entry-step cells of all customers for one kind and model.
#[derive(Clone, Copy, Debug, Default)]
struct SharedCount {
    cells: f64,
    answers: f64,
    passes: f64,
    /// Sum over the cells of the squared answer count.
    squares: f64,
    /// Sum over the cells of the squared passes divided by the answer count.
    rate_squares: f64,
}

/// Expected pass rate before any answer of a cell, and its weight in answers.
#[derive(Clone, Copy, Debug)]
struct RateSeed {
    mean: f64,
    answers: f64,
}

/// Pass rates from the answers of this node and its peers.
#[derive(Clone, Debug, Default)]
pub struct QualityTable {
    cells: BTreeMap<QualityCell, PassCount>,
    shared: BTreeMap<(ids::RequestKind, ids::ModelName), SharedCount>,
    /// Counts not yet sent to the next node.
    unsent: BTreeMap<QualityCell, PassCount>,
    /// Increases with every change of a cell.
    revision: u64,
    revisions: BTreeMap<QualityCell, u64>,
    changes: BTreeMap<u64, QualityCell>,
    /// Parts of the summary with changes that are not yet written.
    unwritten: BTreeSet<u64>,
}

impl PassCount {
    fn total(self) -> f64 {
        self.passes + self.failures
    }

    /// Decays the counts by the number of added answers, then adds these.
    fn absorb(&mut self, added: Self) {
        let decay_factor = (-added.total() / DECAY_ANSWERS).exp();
        self.passes = self.passes * decay_factor + added.passes;
        self.failures = self.failures * decay_factor + added.failures;
    }

    /// Scales the counts down to at most `DECAY_ANSWERS`, keeping their ratio. Returns empty counts
    /// if a number is negative or not finite.
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

    /// Seed for another customer; `prior` is the pass rate expected without any answers.
    ///
    /// The correlation of answers to one customer is estimated by the method of moments for
    /// Beta-binomial counts and raised by one standard deviation of the estimate. The stronger it
    /// is, the more customers differ, and the less the seed weighs.
    fn rate_seed(self, prior: f64) -> RateSeed {
        let answers = self.answers.max(0.0) + MIN_SEED_ANSWERS;
        let mean = ((self.passes + prior * MIN_SEED_ANSWERS) / answers).clamp(0.0, 1.0);
        let degrees_of_freedom = self.cells - 1.0;
        let effective_answers =
            self.answers - self.squares / self.answers.max(1.0) - degrees_of_freedom;
        let variance = mean * (1.0 - mean);
        if degrees_of_freedom < 0.5 || effective_answers <= 0.0 || variance <= 0.0 {
            return RateSeed { mean, answers: MIN_SEED_ANSWERS };
        }
        let spread = self.rate_squares - self.passes * self.passes / self.answers;
        let correlation = (spread / variance - degrees_of_freedom
            + (2.0 * degrees_of_freedom).sqrt())
            / effective_answers;
        let correlation = correlation.clamp(1.0 / (1.0 + MAX_SEED_ANSWERS), 1.0);
        let max_weight = 1.0 / correlation - 1.0;
        let weight = max_weight * answers / (max_weight + answers);
        RateSeed { mean, answers: weight.max(MIN_SEED_ANSWERS) }
    }
}

impl QualityTable {
    /// Records one rated answer. The weight is clamped to 0 to 1.
    ///
    /// Drops the answer if its cell is new and the customer has reached the cell limit; the
    /// estimate of such a cell stays at its seed.
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
            return others.rate_seed(seed);
        }
        RateSeed { mean: seed, answers: MIN_SEED_ANSWERS }
    }

    /// Decayed number of answers of a cell.
    pub fn answer_count(&self, cell: &QualityCell) -> f64 {
        self.cells.get(cell).map_or(0.0, |count| count.total())
    }

    /// Removes and returns all unsent counts.
    pub fn take_unsent(&mut self) -> Vec<CountRow> {
        std::mem::take(&mut self.unsent).into_iter().collect()
    }

    /// Removes and returns at most `max_rows` unsent counts.
    pub fn take_unsent_page(&mut self, max_rows: usize) -> Vec<CountRow> {
        let mut page = Vec::new();
        while page.len() < max_rows
            && let Some(row) = self.unsent.pop_first()
        {
            page.push(row);
        }
        page
    }

    /// Marks counts as unsent again after a failed send.
    pub fn restore_unsent(&mut self, rows: impl IntoIterator<Item = CountRow>) {
        for (cell, count) in rows {
            self.add_unsent(cell, count);
        }
    }

    /// Adds counts of another node, and marks them as unsent so that they are forwarded.
    pub fn merge_and_forward(&mut self, rows: impl IntoIterator<Item = CountRow>) {
        for (cell, count) in rows {
            let count = count.bounded();
            if self.change(&cell, |known| known.absorb(count)) {
                self.add_unsent(cell, count);
            }
        }
    }

    /// At most `max_rows` counts that changed after a revision, and the revision of the last one.
    pub fn changed_since(&self, revision: u64, max_rows: usize) -> (Vec<CountRow>, u64) {
        let mut last_revision = revision;
        let mut rows = Vec::new();
        for (changed_at, cell) in self.changes.range(revision.saturating_add(1)..).take(max_rows) {
            rows.push((cell.clone(), self.cells.get(cell).copied().unwrap_or_default()));
            last_revision = *changed_at;
        }
        (rows, last_revision)
    }

    /// Replaces local counts by those of a node that has received the counts sent from here.
    ///
    /// Adds the unsent counts again. Skips a count with too few answers, which cannot include those
    /// sent from here.
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

    /// Removes and returns the first summary part with unwritten changes; the caller writes it.
    pub fn take_unwritten_part(&mut self) -> Option<u64> {
        self.unwritten.pop_first()
    }

    /// Marks a summary part as unwritten again after a failed write.
    pub fn restore_unwritten_part(&mut self, part: u64) {
        self.unwritten.insert(part);
    }

    /// Adds counts of another node without forwarding them.
    pub fn merge_counts(&mut self, rows: impl IntoIterator<Item = CountRow>) {
        for (cell, count) in rows {
            self.change(&cell, |known| known.absorb(count.bounded()));
        }
    }

    /// Rows of one part of the summary, 0 to `SUMMARY_PARTS` - 1.
    ///
    /// The summary is split by customer, because a value of the key-value service holds at most
    /// 1 MB.
    pub fn export_part(&self, part: u64) -> Vec<CountRow> {
        let is_in_part = |cell: &QualityCell| summary_part(&cell.customer) == part;
        let rows = self.cells.iter().filter(|(cell, _)| is_in_part(cell));
        rows.map(|(cell, count)| (cell.clone(), *count)).collect()
    }

    /// Replaces local counts by rows of a summary that have more answers.
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

    /// Changes a count and the shared sums that include it. Returns `false` if the cell is new and
    /// its customer has reached the cell limit.
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

    /// Count of a cell, created if absent; `None` if its customer has reached the cell limit.
    fn count_mut(&mut self, cell: &QualityCell) -> Option<&mut PassCount> {
        if !self.cells.contains_key(cell) {
            let empty: Arc<str> = Arc::from("");
            let first = QualityCell {
                customer: cell.customer.clone(),
                kind: empty.clone(),
                model: empty,
                after: None,
            };
            let following = self.cells.range(first..);
            let own = following.take_while(|(other, _)| other.customer == cell.customer);
            if own.count() >= MAX_CUSTOMER_CELLS {
                return None;
            }
        }
        Some(self.cells.entry(cell.clone()).or_default())
    }

    /// Number of cells of all customers.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }
}

/// Index of the summary part that holds a customer.
pub fn summary_part(customer: &str) -> u64 {
    xxh3::xxh3_64(customer.as_bytes()) % SUMMARY_PARTS
}

/// Key of a summary part in the key-value service.
pub fn summary_key(part: u64) -> String {
    format!("quality/{part}")
}
