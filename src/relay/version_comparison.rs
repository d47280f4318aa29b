//! Comparison of one rate of the new version of a rollout, of errors or of slow answers, with the
//! same rate of the old version.
//!
//! Each cause has a comparison of its own: errors of the old version do not excuse slow answers of
//! the new one.

use serde::{Deserialize, Serialize};

use super::rollout_plan::VersionDoubt;

/// Answers of the new version from which the rates are compared.
pub const MIN_COMPARED_ANSWERS: u64 = 6;
/// Difference of the rates above which the new version may be worse.
const MAX_RATE_DIFFERENCE: f64 = 0.3;
/// Evidence against equal rates from which the new version is worse, in nats: the probability of
/// such counts at the rate of the old version is below exp(-5), or 0.7%.
const MIN_EVIDENCE_NATS: f64 = 5.0;
/// The same bounds for strong doubt.
const DOUBTFUL_RATE_DIFFERENCE: f64 = 0.2;
const DOUBTFUL_EVIDENCE_NATS: f64 = 2.0;
/// Least rate of slow answers that is expected of a good version: its replicas must read the prompts
/// again that those of the old one hold in their caches.
const MIN_EXPECTED_SLOW_RATE: f64 = 0.2;
/// Bad answers and all answers that the rate of the old version starts with, as it may have
/// few answers yet.
const RATE_PRIOR: (f64, f64) = (0.5, 20.0);
/// Number of standard errors by which the rate of the old version is raised.
const STANDARD_ERRORS: f64 = 2.0;

/// Bad answers of one kind, and all answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCount {
    pub bad: u64,
    pub total: u64,
}

impl AnswerCount {
    fn rate(self) -> f64 {
        self.bad.min(self.total) as f64 / self.total.max(1) as f64
    }

    /// Rate of the old version, of which a few answers say little.
    fn smoothed_rate(self) -> f64 {
        (self.bad.min(self.total) as f64 + RATE_PRIOR.0) / (self.total as f64 + RATE_PRIOR.1)
    }

    /// Highest rate that the counts leave plausible.
    fn upper_rate(self) -> f64 {
        let (rate, total) = (self.smoothed_rate(), self.total as f64 + RATE_PRIOR.1);
        rate + STANDARD_ERRORS * (rate * (1.0 - rate) / total).sqrt()
    }
}

/// Whether failed answers are clearly more frequent on the new version.
pub fn fails_more(old: AnswerCount, new: AnswerCount) -> bool {
    is_worse(old, new, 0.0)
}

/// Whether slow answers are clearly more frequent on the new version.
pub fn is_slower(old: AnswerCount, new: AnswerCount) -> bool {
    is_worse(old, new, MIN_EXPECTED_SLOW_RATE)
}

/// Doubt that the slow answers of the new version leave.
pub fn pace_doubt(old: AnswerCount, new: AnswerCount) -> VersionDoubt {
    let expected_rate = old.upper_rate().max(MIN_EXPECTED_SLOW_RATE);
    let is_strong = new.rate() - old.smoothed_rate() > DOUBTFUL_RATE_DIFFERENCE
        && evidence_nats(new.bad, new.total, expected_rate) >= DOUBTFUL_EVIDENCE_NATS;
    if is_strong {
        VersionDoubt::Strong
    } else if new.rate() > expected_rate {
        VersionDoubt::Slight
    } else {
        VersionDoubt::Clear
    }
}

fn is_worse(old: AnswerCount, new: AnswerCount, min_expected_rate: f64) -> bool {
    new.total >= MIN_COMPARED_ANSWERS
        && new.rate() - old.smoothed_rate() > MAX_RATE_DIFFERENCE
        && exceeds(new.bad, new.total, old.upper_rate().max(min_expected_rate))
}

/// Whether the counts of the new version are too high for the rate of the old one.
pub fn exceeds_rate(old: AnswerCount, new: AnswerCount) -> bool {
    exceeds(new.bad, new.total, old.upper_rate())
}

/// Whether `count` of `total` is too many for events of this probability, by the Chernoff bound.
pub fn exceeds(count: u64, total: u64, probability: f64) -> bool {
    evidence_nats(count, total, probability) >= MIN_EVIDENCE_NATS
}

/// Evidence of the counts against this probability; 0 if there are no more than expected.
fn evidence_nats(count: u64, total: u64, probability: f64) -> f64 {
    let (count, total) = (count.min(total) as f64, total as f64);
    if count <= total * probability {
        return 0.0;
    }
    let term = |part: f64, expected: f64| {
        if part > 0.0 { part * (part / (total * expected)).ln() } else { 0.0 }
    };
    term(count, probability) + term(total - count, 1.0 - probability)
}
