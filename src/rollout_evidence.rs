//! Evidence on the two versions of a rollout and the test that judges it.
//!
//! The test multiplies, block by block, the likelihood of the counts when the
//! new version is worse by the tolerated margin, over their likelihood when both
//! versions share one rate. Under equal rates the product is an e-process:
//! whatever the common rate and whenever one looks, it exceeds 1/a with a
//! probability of at most a. A second product assumes a version of which most answers
//! are bad; the weighted mean of the two keeps the bound and finds such a version after a
//! few answers, before its rate is learned. While both versions take traffic, each block is its own
//! control, so that a fault of the whole platform raises no alarm. A block without
//! traffic of the old version is held to the rate that the old version had before.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids;

/// Probability that a rollout of a good version is rolled back.
pub const FALSE_ALARM_RATE: f64 = 0.01;
/// Tolerated rise of the share of slow answers. The record has no limit for latency.
pub const MAX_SLOW_RISE: f64 = 0.10;
/// Number of tests that share the false-alarm rate: errors, ratings and slow answers.
const TEST_COUNT: f64 = 3.0;
/// Smallest margin that is tested. A margin of 0 would make both hypotheses equal.
const MIN_MARGIN: f64 = 0.005;
/// Answers that a rate is assumed to have before any; keeps rates away from 0 and 1.
const RATE_PRIOR: (f64, f64) = (0.5, 20.0);
/// Rate of bad answers that the second product assumes.
const GROSS_RATE: f64 = 0.9;
/// Weight of the second product. A smaller one delays the find of a version that is bad
/// throughout, a larger one that of all others; this one costs the others 0.22 nats.
const GROSS_WEIGHT: f64 = 0.2;
/// Standard deviations above the old version's rate that a block without old traffic is held to.
const BASELINE_DEVIATIONS: f64 = 4.0;

/// Counters of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// Finished requests.
    pub requests: u64,
    /// Requests that ended in an error.
    pub errors: u64,
    /// Answers that were rated.
    pub rated: u64,
    /// Rated answers below the quality target of their customer.
    pub rated_bad: u64,
    /// Answers slower than the latency limit.
    pub slow: u64,
}

/// Counters of both versions since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceBlock {
    /// Version that is replaced.
    pub from: VersionEvidence,
    /// Version that replaces it.
    pub to: VersionEvidence,
}

/// Evidence of one sender, as sent every second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Rollout.
    pub rollout: ids::RolloutName,
    /// Sender, unique per process start.
    pub sender: ids::InstanceName,
    /// Number of the report of this sender, rising.
    pub sequence: u64,
    /// Counters since the former report.
    pub block: EvidenceBlock,
    /// Nodes that have stopped the new version locally; repeated in every report while they do.
    pub stopped: BTreeSet<ids::InstanceName>,
}

/// Bad answers out of a number of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BadCount {
    /// Bad answers.
    pub bad: f64,
    /// All answers.
    pub total: f64,
}

/// Sequential test of one rate, higher being worse.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SequentialTest {
    /// Tolerated rise of the rate.
    margin: f64,
    /// Likelihood ratio, mixed over start times.
    wealth: f64,
    /// The same for a version of which most answers are bad.
    #[serde(default)]
    gross_wealth: f64,
    blocks: u64,
    old: BadCount,
    new: BadCount,
}

/// Tests of one rollout. Saved with its state, as starting again would add false alarms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutTests {
    /// Errors.
    pub errors: SequentialTest,
    /// Answers rated below the target.
    pub ratings: SequentialTest,
    /// Slow answers.
    pub slow: SequentialTest,
}

/// What an alarm was raised on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvidenceAlarm {
    /// More errors than tolerated.
    Errors,
    /// More badly rated answers than tolerated.
    Ratings,
    /// More slow answers than tolerated.
    Slow,
}

/// Sums reports of many senders on one rollout until the next forwarding.
#[derive(Clone, Debug, Default)]
pub struct EvidenceCollector {
    block: EvidenceBlock,
    stopped: BTreeSet<ids::InstanceName>,
    sequences: BTreeMap<ids::InstanceName, u64>,
}

impl VersionEvidence {
    /// Counts one finished request. `passed` is none for an unrated answer.
    pub fn record_answer(&mut self, error: bool, passed: Option<bool>, slow: bool) {
        self.requests += 1;
        self.errors += u64::from(error);
        self.rated += u64::from(passed.is_some());
        self.rated_bad += u64::from(passed == Some(false));
        self.slow += u64::from(slow);
    }

    /// Counts the rating of an answer whose request is counted already.
    pub fn record_rating(&mut self, passed: bool) {
        self.rated += 1;
        self.rated_bad += u64::from(!passed);
    }

    /// Adds counters.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.errors += other.errors;
        self.rated += other.rated;
        self.rated_bad += other.rated_bad;
        self.slow += other.slow;
    }
}

impl EvidenceBlock {
    /// Adds counters.
    pub fn add(&mut self, other: &Self) {
        self.from.add(&other.from);
        self.to.add(&other.to);
    }
}

impl EvidenceCollector {
    /// Adds a report; one that was seen before is dropped.
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

    /// Takes the sum of the reports since the last call.
    pub fn take(&mut self) -> (EvidenceBlock, BTreeSet<ids::InstanceName>) {
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

    /// Logarithm of the likelihood of the counts at one rate over that at another.
    fn log_ratio(self, rate: f64, base: f64) -> f64 {
        self.bad * (rate / base).ln() + (self.total - self.bad) * ((1.0 - rate) / (1.0 - base)).ln()
    }
}

impl SequentialTest {
    /// Test with a tolerated rise.
    pub fn new(margin: f64) -> Self {
        let margin = if margin.is_finite() { margin.clamp(MIN_MARGIN, 0.5) } else { MIN_MARGIN };
        let none = BadCount::default();
        Self { margin, wealth: 0.0, gross_wealth: 0.0, blocks: 0, old: none, new: none }
    }

    /// Takes the counts of one block. The rates compared come from former blocks only.
    pub fn record_block(&mut self, old: BadCount, new: BadCount) {
        if new.total > 0.0 {
            self.blocks += 1;
            let number = self.blocks as f64;
            // The weights of all start times sum to 1, which keeps the bound on false alarms and
            // lets a version that turns bad late be found without the good past held against it.
            let started = 1.0 / (number * (number + 1.0));
            let learned = self.log_likelihood_ratio(old, new, self.new.smoothed_rate());
            let gross = self.log_likelihood_ratio(old, new, GROSS_RATE);
            self.wealth = (self.wealth + started) * learned.exp();
            self.gross_wealth = (self.gross_wealth + started) * gross.exp();
        }
        self.old.add(old);
        self.new.add(new);
    }

    /// Logarithm of the likelihood of a block when the new version has the assumed rate, over that
    /// when both versions share one.
    fn log_likelihood_ratio(&self, old: BadCount, new: BadCount, assumed: f64) -> f64 {
        let old_rate = self.old.smoothed_rate().min(0.98);
        if old.total == 0.0 {
            if self.old.total == 0.0 {
                return 0.0;
            }
            let spread = (old_rate * (1.0 - old_rate) / (self.old.total + RATE_PRIOR.1)).sqrt();
            let base = (old_rate + BASELINE_DEVIATIONS * spread).min(0.98);
            return new.log_ratio(self.worse_rate(base, assumed), base);
        }
        let new_rate = self.worse_rate(old_rate, assumed);
        let pooled = (old.total * old_rate + new.total * new_rate) / (old.total + new.total);
        old.log_ratio(old_rate, pooled) + new.log_ratio(new_rate, pooled)
    }

    /// Rate of a bad version: the assumed one, but worse by the margin at least.
    fn worse_rate(&self, base: f64, assumed: f64) -> f64 {
        (base + self.margin).max(assumed).min(0.99)
    }

    /// Whether the new version is worse, at a false-alarm rate.
    pub fn is_alarmed(&self, false_alarm_rate: f64) -> bool {
        let mean = (1.0 - GROSS_WEIGHT) * self.wealth + GROSS_WEIGHT * self.gross_wealth;
        mean >= 1.0 / false_alarm_rate
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

    /// Takes one block of evidence.
    pub fn record_block(&mut self, block: &EvidenceBlock) {
        let (from, to) = (&block.from, &block.to);
        let errors = |side: &VersionEvidence| BadCount::from_counts(side.errors, side.requests);
        let ratings = |side: &VersionEvidence| BadCount::from_counts(side.rated_bad, side.rated);
        let slow = |side: &VersionEvidence| BadCount::from_counts(side.slow, side.requests);
        self.errors.record_block(errors(from), errors(to));
        self.ratings.record_block(ratings(from), ratings(to));
        self.slow.record_block(slow(from), slow(to));
    }

    /// First alarm, if any.
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
