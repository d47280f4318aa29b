//! Evidence on the two versions of one rollout order, as the lease holder counts it.
//!
//! Each instance reports totals since the order. The holder adds what each total has grown by since
//! its last count, and takes its own total from memory, as its report in the store is older.

use std::collections::HashMap;

use super::rollout_table::EvidenceRecord;
use crate::ids;
use crate::rollout_evidence::{EvidenceBlock, RolloutTests, VersionEvidence};

/// Rise of the failure rate that the sequential test tolerates.
const TOLERATED_RATE_RISE: f64 = 0.1;
/// Answers of the new version from which the failure rates are also compared directly.
const MIN_COMPARED_ANSWERS: u64 = 6;
/// Difference of the failure rates above which the direct comparison finds the new version bad.
const MAX_RATE_DIFFERENCE: f64 = 0.3;

/// Evidence that the lease holder has counted for one order.
#[derive(Debug)]
pub struct OrderEvidence {
    order: ids::KvRevision,
    tests: RolloutTests,
    /// Totals of each instance at the last count.
    counted_blocks: HashMap<ids::InstanceName, EvidenceBlock>,
    total: EvidenceBlock,
}

impl OrderEvidence {
    /// Starts with no evidence for the order with this revision.
    pub fn new(order: ids::KvRevision) -> Self {
        let tests = RolloutTests::new(TOLERATED_RATE_RISE, TOLERATED_RATE_RISE);
        Self { order, tests, counted_blocks: HashMap::new(), total: EvidenceBlock::default() }
    }

    /// Revision of the order.
    pub fn order(&self) -> ids::KvRevision {
        self.order
    }

    /// Answers counted so far.
    pub fn total(&self) -> EvidenceBlock {
        self.total
    }

    /// Adds the evidence since the last count to the tests, as one block.
    pub fn count(
        &mut self,
        holder: &ids::InstanceName,
        holder_block: EvidenceBlock,
        reports: &HashMap<ids::InstanceName, EvidenceRecord>,
    ) {
        let order = self.order;
        let others =
            reports.iter().filter(|(name, report)| report.order == order && *name != holder);
        let reported = others.map(|(name, report)| (name, report.block));
        let mut block = EvidenceBlock::default();
        for (name, total) in reported.chain([(holder, holder_block)]) {
            let counted = self.counted_blocks.insert(name.clone(), total).unwrap_or_default();
            block.from.add(&evidence_increase(&total.from, &counted.from));
            block.to.add(&evidence_increase(&total.to, &counted.to));
        }
        if block != EvidenceBlock::default() {
            self.tests.record_block(&block);
            self.total.add(&block);
        }
    }

    /// Whether the sequential tests or the direct comparison find the new version bad.
    pub fn is_bad(&self) -> bool {
        let failure_rate = |version: &VersionEvidence| {
            bad_answers(version) as f64 / version.requests.max(1) as f64
        };
        let has_enough_answers = self.total.to.requests >= MIN_COMPARED_ANSWERS;
        let is_worse =
            failure_rate(&self.total.to) - failure_rate(&self.total.from) > MAX_RATE_DIFFERENCE;
        self.tests.first_alarm().is_some() || (has_enough_answers && is_worse)
    }
}

/// Answers that count as failures. An answer may be both an error and slow, so the larger counter
/// is used.
pub fn bad_answers(evidence: &VersionEvidence) -> u64 {
    evidence.errors.max(evidence.slow)
}

/// Increase of the counters since the last count. The first, lower counters of a restarted instance
/// add nothing; later increases of them count.
fn evidence_increase(new: &VersionEvidence, counted: &VersionEvidence) -> VersionEvidence {
    VersionEvidence {
        requests: new.requests.saturating_sub(counted.requests),
        errors: new.errors.saturating_sub(counted.errors),
        rated: new.rated.saturating_sub(counted.rated),
        rated_bad: new.rated_bad.saturating_sub(counted.rated_bad),
        slow: new.slow.saturating_sub(counted.slow),
    }
}
