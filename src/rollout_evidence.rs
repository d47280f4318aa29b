//! Evidence on the two versions of a rollout, and the sequential test that compares them.
//!
//! The test multiplies a likelihood ratio block by block: the likelihood of the counts if the new
//! version is worse by the tolerated margin, over their likelihood if both versions have the same
//! rate. If the rates are equal, the product is an e-process: it exceeds 1/a with a probability of
//! at most a, whatever the common rate is and however often it is checked. A second product
//! assumes a version that gives mostly bad answers. The weighted mean of both products keeps the
//! bound and detects such a version after a few answers, before its rate has been estimated.
//!
//! While both versions receive traffic, each block is its own control, so that a platform-wide
//! fault raises no alarm. A block without traffic on the old version is compared with the rate
//! that the old version had before.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids;

/// Max probability that a rollout of a good version is rolled back.
pub const FALSE_ALARM_RATE: f64 = 0.01;
/// Tolerated rise of the fraction of slow answers. Rollout records set no limit for latency.
pub const MAX_SLOW_RISE: f64 = 0.10;
/// Number of tests that share the false-alarm rate: errors, ratings and slow answers.
const TEST_COUNT: f64 = 3.0;
/// Min margin of a test. A margin of 0 would make both hypotheses equal.
const MIN_MARGIN: f64 = 0.005;
/// Bad answers and all answers that each rate estimate starts with. Keeps estimates away from 0
/// and 1, where the logarithms of likelihood ratios are not finite.
const RATE_PRIOR: (f64, f64) = (0.5, 20.0);
/// Rate of bad answers that the second product assumes.
const GROSS_RATE: f64 = 0.9;
/// Weight of the second product. A smaller weight delays the detection of a version that gives
/// mostly bad answers, a larger one that of all other bad versions. This weight costs the
/// others 0.22 nats.
const GROSS_WEIGHT: f64 = 0.2;
/// Number of standard errors by which the old version's rate is raised to judge a block that has no
/// traffic of the old version.
const BASELINE_STANDARD_ERRORS: f64 = 4.0;

/// Answers of one version, counted by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// Finished requests, failed ones included.
    pub requests: u64,
    pub errors: u64,
    pub rated: u64,
    /// Rated answers below the quality target of their customer.
    pub rated_bad: u64,
    /// Answers slower than the latency limit.
    pub slow: u64,
}

/// Counts of both versions since the previous report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceBlock {
    /// The old version.
    pub from: VersionEvidence,
    /// The new version.
    pub to: VersionEvidence,
}

/// Evidence of one sender on one rollout, sent every second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    pub rollout: ids::RolloutName,
    /// Process that sends the report; a restarted instance has another name.
    pub sender: ids::InstanceName,
    /// Rises with each report of this sender, so that a repeated report can be dropped.
    pub sequence: u64,
    /// Counts since the previous report.
    pub block: EvidenceBlock,
    /// Nodes that currently refuse new sessions on the new version because of its errors; repeated
    /// in every report for as long as they do.
    pub stopped: BTreeSet<ids::InstanceName>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BadCount {
    pub bad: f64,
    /// All answers, the bad ones included.
    pub total: f64,
}

/// Sequential test of one rate, of which higher values are worse.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SequentialTest {
    /// Tolerated rise of the rate.
    margin: f64,
    /// Product of likelihood ratios, mixed over all blocks at which the new version may have
    /// turned bad.
    wealth: f64,
    /// The second product, which assumes `GROSS_RATE`. Absent in states of earlier releases.
    #[serde(default)]
    gross_wealth: f64,
    blocks: u64,
    old: BadCount,
    new: BadCount,
}

/// Tests of one rollout. Stored with its state, because each restart of the tests would add to the
/// false-alarm rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutTests {
    pub errors: SequentialTest,
    /// Rated answers below the quality target.
    pub ratings: SequentialTest,
    pub slow: SequentialTest,
}

/// Rate that raised an alarm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvidenceAlarm {
    Errors,
    /// Fraction of rated answers below the quality target.
    Ratings,
    Slow,
}

/// Sums the reports of many senders on one rollout until the sum is sent on.
#[derive(Clone, Debug, Default)]
pub struct EvidenceCollector {
    block: EvidenceBlock,
    stopped: BTreeSet<ids::InstanceName>,
    /// Last sequence number of each sender.
    sequences: BTreeMap<ids::InstanceName, u64>,
}

impl VersionEvidence {
    /// Counts one finished request. `passed` is `None` for an unrated answer.
    pub fn record_answer(&mut self, error: bool, passed: Option<bool>, slow: bool) {
        self.requests += 1;
        self.errors += u64::from(error);
        self.rated += u64::from(passed.is_some());
        self.rated_bad += u64::from(passed == Some(false));
        self.slow += u64::from(slow);
    }

    /// Counts the rating of an answer whose request has been counted before.
    pub fn record_rating(&mut self, passed: bool) {
        self.rated += 1;
        self.rated_bad += u64::from(!passed);
    }

    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.errors += other.errors;
        self.rated += other.rated;
        self.rated_bad += other.rated_bad;
        self.slow += other.slow;
    }
}

impl EvidenceBlock {
    pub fn add(&mut self, other: &Self) {
        self.from.add(&other.from);
        self.to.add(&other.to);
    }
}

impl EvidenceCollector {
    /// Adds a report. Returns `false` for a repeated one, which is dropped.
    pub fn record_report(&mut self, report: &EvidenceReport) -> bool {
        let last = self.sequences.entry(report.sender.clone()).or_default();
        if report.sequence <= *last {
            return false;
        }
        *last = report.sequence;
        self.block.add(&report.block);
        self.stopped.extend(report.stopped.iter().cloned());
        true
    }

    /// Returns the sum of the reports since the last call, and the nodes that have stopped the new
    /// version.
    pub fn take_evidence(&mut self) -> (EvidenceBlock, BTreeSet<ids::InstanceName>) {
        (std::mem::take(&mut self.block), std::mem::take(&mut self.stopped))
    }
}

impl BadCount {
    fn from_counts(bad: u64, total: u64) -> Self {
        Self { bad: bad.min(total) as f64, total: total as f64 }
    }

    fn add(&mut self, other: Self) {
        self.bad += other.bad;
        self.total += other.total;
    }

    fn smoothed_rate(self) -> f64 {
        (self.bad + RATE_PRIOR.0) / (self.total + RATE_PRIOR.1)
    }

    /// Natural logarithm of the likelihood of the counts at `rate` over that at `base`.
    fn log_ratio(self, rate: f64, base: f64) -> f64 {
        self.bad * (rate / base).ln() + (self.total - self.bad) * ((1.0 - rate) / (1.0 - base)).ln()
    }
}

impl SequentialTest {
    /// Test that tolerates a rise of the rate by `margin`.
    pub fn new(margin: f64) -> Self {
        let margin = if margin.is_finite() { margin.clamp(MIN_MARGIN, 0.5) } else { MIN_MARGIN };
        let zero = BadCount::default();
        Self { margin, wealth: 0.0, gross_wealth: 0.0, blocks: 0, old: zero, new: zero }
    }

    /// Adds the counts of one block. The compared rates are estimated from earlier blocks only;
    /// otherwise the bound on false alarms would not hold.
    pub fn record_block(&mut self, old: BadCount, new: BadCount) {
        if new.total > 0.0 {
            self.blocks += 1;
            let block_number = self.blocks as f64;
            // Each block is a possible start of the fault. The weights of all starts sum to 1,
            // which keeps the bound on false alarms, and earlier good blocks do not delay the
            // detection of a version that turns bad late.
            let start_weight = 1.0 / (block_number * (block_number + 1.0));
            let estimated = self.log_likelihood_ratio(old, new, self.new.smoothed_rate());
            let gross = self.log_likelihood_ratio(old, new, GROSS_RATE);
            self.wealth = (self.wealth + start_weight) * estimated.exp();
            self.gross_wealth = (self.gross_wealth + start_weight) * gross.exp();
        }
        self.old.add(old);
        self.new.add(new);
    }

    /// Natural logarithm of the likelihood of a block if the new version has the assumed rate, over
    /// its likelihood if both versions have the same rate.
    fn log_likelihood_ratio(&self, old: BadCount, new: BadCount, assumed: f64) -> f64 {
        let old_rate = self.old.smoothed_rate().min(0.98);
        if old.total == 0.0 {
            if self.old.total == 0.0 {
                return 0.0;
            }
            let standard_error =
                (old_rate * (1.0 - old_rate) / (self.old.total + RATE_PRIOR.1)).sqrt();
            let base = (old_rate + BASELINE_STANDARD_ERRORS * standard_error).min(0.98);
            return new.log_ratio(self.worse_rate(base, assumed), base);
        }
        let new_rate = self.worse_rate(old_rate, assumed);
        let pooled = (old.total * old_rate + new.total * new_rate) / (old.total + new.total);
        old.log_ratio(old_rate, pooled) + new.log_ratio(new_rate, pooled)
    }

    /// Assumed rate of a bad version, which is at least `base` plus the margin.
    fn worse_rate(&self, base: f64, assumed: f64) -> f64 {
        (base + self.margin).max(assumed).min(0.99)
    }

    /// Whether the new version is worse than tolerated, with `false_alarm_rate` as the bound on the
    /// probability of a wrong alarm.
    pub fn is_alarmed(&self, false_alarm_rate: f64) -> bool {
        let mean_wealth = (1.0 - GROSS_WEIGHT) * self.wealth + GROSS_WEIGHT * self.gross_wealth;
        mean_wealth >= 1.0 / false_alarm_rate
    }
}

impl RolloutTests {
    /// Tests with the limits of a rollout record.
    pub fn new(max_error_rise: f64, max_quality_fall: f64) -> Self {
        Self {
            errors: SequentialTest::new(max_error_rise),
            ratings: SequentialTest::new(max_quality_fall),
            slow: SequentialTest::new(MAX_SLOW_RISE),
        }
    }

    pub fn record_block(&mut self, block: &EvidenceBlock) {
        let (from, to) = (&block.from, &block.to);
        let errors = |side: &VersionEvidence| BadCount::from_counts(side.errors, side.requests);
        let ratings = |side: &VersionEvidence| BadCount::from_counts(side.rated_bad, side.rated);
        let slow = |side: &VersionEvidence| BadCount::from_counts(side.slow, side.requests);
        self.errors.record_block(errors(from), errors(to));
        self.ratings.record_block(ratings(from), ratings(to));
        self.slow.record_block(slow(from), slow(to));
    }

    /// Alarm of the first test that has one, in the order errors, ratings, slow answers.
    pub fn first_alarm(&self) -> Option<EvidenceAlarm> {
        let rate = FALSE_ALARM_RATE / TEST_COUNT;
        [
            (&self.errors, EvidenceAlarm::Errors),
            (&self.ratings, EvidenceAlarm::Ratings),
            (&self.slow, EvidenceAlarm::Slow),
        ]
        .into_iter()
        .find_map(|(test, alarm)| test.is_alarmed(rate).then_some(alarm))
    }
}
