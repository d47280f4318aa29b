//! Evidence on the two versions of one rollout order, as the lease holder counts it.
//!
//! Each instance reports totals since the order. The holder adds what each total has grown by since
//! its last count, and takes its own total from memory, as its report in the store is older.

use std::collections::HashMap;

use super::crash_evidence::CrashEvidence;
use super::pace_evidence::PaceEvidence;
use super::rollout_table::RolloutRow;
use super::version_comparison::{self, AnswerCount};
use crate::ids;
use crate::rollout_evidence::{EvidenceAlarm, EvidenceBlock, RolloutTests, VersionEvidence};

/// Rise of the failure rate that the sequential test tolerates.
const TOLERATED_RATE_RISE: f64 = 0.1;

/// Comparison that found the new version bad. Each looks at one cause only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutFinding {
    /// Rates of failed answers.
    Errors,
    /// Rates of slow answers.
    Slow,
    /// Rates of slow answers of replicas without a queue, of the same time.
    Pace,
    /// Shares of the crashed replicas.
    Crashes,
    /// Sequential test of the failed answers.
    ErrorTest,
    /// Sequential test of the slow answers.
    SlowTest,
    /// An instance has stopped using the version on its own evidence.
    Stopped,
    /// None: too few answers by the time limit, or still in doubt.
    Unknown,
}

/// Evidence that the lease holder has counted for one order.
#[derive(Debug)]
pub struct OrderEvidence {
    order: ids::KvRevision,
    tests: RolloutTests,
    /// Totals of each instance at the last count.
    counted_blocks: HashMap<ids::InstanceName, EvidenceBlock>,
    counted_paces: HashMap<ids::InstanceName, PaceEvidence>,
    total: EvidenceBlock,
    pace: PaceEvidence,
    crashes: CrashEvidence,
}

impl OrderEvidence {
    /// Starts with no evidence for the order with this revision.
    pub fn new(order: ids::KvRevision) -> Self {
        let tests = RolloutTests::new(TOLERATED_RATE_RISE, TOLERATED_RATE_RISE);
        Self {
            order,
            tests,
            counted_blocks: HashMap::new(),
            counted_paces: HashMap::new(),
            total: EvidenceBlock::default(),
            pace: PaceEvidence::default(),
            crashes: CrashEvidence::default(),
        }
    }

    /// Revision of the order.
    pub fn order(&self) -> ids::KvRevision {
        self.order
    }

    /// Answers counted so far.
    pub fn total(&self) -> EvidenceBlock {
        self.total
    }

    /// Answers whose pace is compared.
    pub fn pace(&self) -> PaceEvidence {
        self.pace
    }

    /// Replicas that crashed, as far as counted.
    pub fn crashes(&self) -> &CrashEvidence {
        &self.crashes
    }

    /// Adds the evidence since the last count to the tests, as one block. `own` is the evidence of
    /// the holder.
    pub fn count(&mut self, holder: &ids::InstanceName, own: &RolloutRow) {
        let order = self.order;
        let others =
            own.reports.iter().filter(|(name, report)| report.order == order && *name != holder);
        let reported =
            others.map(|(name, report)| (name, report.block, report.pace, &report.crashes));
        let of_holder = (holder, own.local_evidence, own.local_pace, &own.local_crashes);
        let mut block = EvidenceBlock::default();
        for (name, total, pace, crashes) in reported.chain([of_holder]) {
            let counted = self.counted_blocks.insert(name.clone(), total).unwrap_or_default();
            block.from.add(&evidence_increase(&total.from, &counted.from));
            block.to.add(&evidence_increase(&total.to, &counted.to));
            let counted = self.counted_paces.insert(name.clone(), pace).unwrap_or_default();
            self.pace.add_increase(&pace, &counted);
            self.crashes.merge(crashes);
        }
        if block != EvidenceBlock::default() {
            self.tests.record_block(&block);
            self.total.add(&block);
        }
    }

    /// The first comparison that finds the new version bad; `None` if none does.
    pub fn finding(&self) -> Option<RolloutFinding> {
        let has_crashed_more = self.crashes.is_target_worse(&self.total);
        find_worse(&self.total)
            .or_else(|| self.pace.is_target_worse().then_some(RolloutFinding::Pace))
            .or_else(|| has_crashed_more.then_some(RolloutFinding::Crashes))
            .or_else(|| match self.tests.first_alarm()? {
                EvidenceAlarm::Slow => Some(RolloutFinding::SlowTest),
                EvidenceAlarm::Errors | EvidenceAlarm::Ratings => Some(RolloutFinding::ErrorTest),
            })
    }
}

impl RolloutFinding {
    /// Code for logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::Errors => "errors",
            Self::Slow => "slow",
            Self::Pace => "pace",
            Self::Crashes => "crashes",
            Self::ErrorTest => "error_test",
            Self::SlowTest => "slow_test",
            Self::Stopped => "stopped",
            Self::Unknown => "unknown",
        }
    }
}

/// Compares the errors of both versions, and the slow answers of both.
fn find_worse(total: &EvidenceBlock) -> Option<RolloutFinding> {
    if version_comparison::fails_more(error_count(&total.from), error_count(&total.to)) {
        Some(RolloutFinding::Errors)
    } else if version_comparison::is_slower(slow_count(&total.from), slow_count(&total.to)) {
        Some(RolloutFinding::Slow)
    } else {
        None
    }
}

fn error_count(evidence: &VersionEvidence) -> AnswerCount {
    AnswerCount { bad: evidence.errors, total: evidence.requests }
}

fn slow_count(evidence: &VersionEvidence) -> AnswerCount {
    AnswerCount { bad: evidence.slow, total: evidence.requests }
}

/// Whether the answers of one instance show that the errors of the new version are more frequent.
/// Used for an instance that stops the version without the lease holder.
pub fn has_more_errors(block: &EvidenceBlock) -> bool {
    version_comparison::exceeds_rate(error_count(&block.from), error_count(&block.to))
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
