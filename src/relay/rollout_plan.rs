//! Phases of a rollout that an operator ordered with a time limit.
//!
//! A version may turn bad late, or only under load. For the first half of the time limit, a small
//! fraction of the calls tries the new version. The fraction then rises to a larger one and to all
//! calls, and the rollout completes before its time limit. No session is moved to the new version
//! in the first half, and none is moved back in the second unless the version is bad.
//!
//! Where all calls belong to sessions, the trial has no answers; the load phase then gives the first
//! ones. A phase waits for answers as long as the time limit allows. At the end of that time, a
//! version of which too little is known is rolled back, unless the service has hardly any calls.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::version_comparison;
use crate::{ids, rollout_stage};

/// Fraction of the calls on the new version in the trial phase.
const TRIAL_CALL_FRACTION: f64 = 0.08;
/// Fraction of the calls on the new version in the load phase.
const LOAD_CALL_FRACTION: f64 = 0.4;
/// Largest fraction of the calls without a session on the new version in the trial phase.
const MAX_FREE_CALL_FRACTION: f64 = 0.5;
/// Start of the load phase, as a fraction of the time limit.
const LOAD_START_FRACTION: f64 = 0.52;
/// Earliest start of the full phase, as a fraction of the time limit.
const FULL_START_FRACTION: f64 = 0.66;
/// Latest start of the full phase, as a fraction of the time limit. A service with little traffic
/// must meet its time limit too.
const LATEST_FULL_START_FRACTION: f64 = 0.85;
/// Earliest completion, as a fraction of the time limit.
const COMPLETION_FRACTION: f64 = 0.82;
/// Time at which a rollout ends that is still short of evidence, as a fraction of the time limit.
const DECISION_FRACTION: f64 = 0.92;
/// Time between the earliest completion of the latest full phase and the decision.
const DECISION_MARGIN: Duration = Duration::from_millis(600);
/// Answers of the new version from which the load phase ends at `FULL_START_FRACTION`, and the
/// full phase at `COMPLETION_FRACTION`. The tests of the evidence find a version that answers
/// several times slower after about as many.
const MIN_LOAD_ANSWERS: u64 = 20;
/// Answers of the new version without which it is rolled back; fewer are not compared.
const MIN_KNOWN_ANSWERS: u64 = version_comparison::MIN_COMPARED_ANSWERS;
/// Answers of both versions below which a service has hardly any calls.
const MAX_QUIET_ANSWERS: u64 = 30;
/// Shortest full phase. Replicas of the old version may stop after it, so streams on them must have
/// time to end.
pub const MIN_FULL_DURATION: Duration = Duration::from_millis(2_000);

/// Phase of a rollout. Phases are ordered: within one order, a later phase replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// A few calls without a session run on the new version.
    Trial,
    /// A larger fraction of the calls tests the new version under load.
    Load,
    /// All calls run on the new version; the old replicas must not stop yet.
    Full,
    /// All calls run on the new version; the old replicas may stop.
    Completed,
    /// No call runs on the new version.
    RolledBack,
}

impl RolloutPhase {
    /// Fraction of the calls that run on the new version.
    pub fn target_fraction(self) -> f64 {
        match self {
            Self::Trial => TRIAL_CALL_FRACTION,
            Self::Load => LOAD_CALL_FRACTION,
            Self::Full | Self::Completed => 1.0,
            Self::RolledBack => 0.0,
        }
    }

    /// Code for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Load => "load",
            Self::Full => "full",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// Doubt about the new version that the evidence leaves without proving it bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionDoubt {
    Clear,
    /// Slow answers are more frequent than is expected of a good version.
    Slight,
    /// Slow answers are much more frequent.
    Strong,
}

/// Progress of a rollout, from which its next phase is decided.
#[derive(Clone, Copy, Debug)]
pub struct RolloutProgress {
    pub phase: RolloutPhase,
    /// Time since the order.
    pub elapsed: Duration,
    pub phase_elapsed: Duration,
    pub time_limit: Duration,
    /// Answers of the new version, counted over all instances.
    pub target_answers: u64,
    /// Answers of the old version, counted over all instances.
    pub old_answers: u64,
    /// Replicas of the new version that take calls.
    pub target_replicas: usize,
    /// Whether the evidence is against the new version or an instance has stopped using it.
    pub is_bad: bool,
    pub doubt: VersionDoubt,
}

impl RolloutProgress {
    fn has_reached(&self, fraction: f64) -> bool {
        self.elapsed >= self.time_limit.mul_f64(fraction)
    }

    /// Whether enough is known of the new version to go on early, with at most this doubt.
    fn is_known(&self, max_doubt: VersionDoubt) -> bool {
        self.target_answers >= MIN_LOAD_ANSWERS && self.doubt <= max_doubt
    }

    /// Whether more evidence cannot be had, as the service has hardly any calls.
    fn is_quiet(&self) -> bool {
        self.target_answers + self.old_answers < MAX_QUIET_ANSWERS
            && self.doubt < VersionDoubt::Strong
    }

    /// Time after the order from which the full phase must start to end before the decision.
    fn latest_full_start(&self) -> Duration {
        let last = self.time_limit.mul_f64(DECISION_FRACTION);
        let latest = last.saturating_sub(MIN_FULL_DURATION + DECISION_MARGIN);
        latest.min(self.time_limit.mul_f64(LATEST_FULL_START_FRACTION))
    }
}

/// Next phase, or `None` while the rollout stays in its phase.
pub fn next_phase(progress: &RolloutProgress) -> Option<RolloutPhase> {
    if progress.is_bad && progress.phase < RolloutPhase::Completed {
        return Some(RolloutPhase::RolledBack);
    }
    match progress.phase {
        _ if progress.target_replicas == 0 => None,
        RolloutPhase::Trial if progress.has_reached(LOAD_START_FRACTION) => {
            Some(RolloutPhase::Load)
        }
        // A version in doubt does not get all calls.
        RolloutPhase::Load
            if progress.doubt == VersionDoubt::Strong
                && progress.elapsed >= progress.latest_full_start() =>
        {
            Some(RolloutPhase::RolledBack)
        }
        RolloutPhase::Load
            if progress.has_reached(FULL_START_FRACTION)
                && progress.phase_elapsed >= MIN_FULL_DURATION / 2
                && (progress.is_known(VersionDoubt::Clear)
                    || progress.elapsed >= progress.latest_full_start()) =>
        {
            Some(RolloutPhase::Full)
        }
        RolloutPhase::Full if progress.phase_elapsed < MIN_FULL_DURATION => None,
        RolloutPhase::Full if progress.has_reached(DECISION_FRACTION) => {
            let is_known = progress.target_answers >= MIN_KNOWN_ANSWERS
                && progress.doubt < VersionDoubt::Strong;
            let is_kept = is_known || progress.is_quiet();
            Some(if is_kept { RolloutPhase::Completed } else { RolloutPhase::RolledBack })
        }
        RolloutPhase::Full
            if progress.has_reached(COMPLETION_FRACTION)
                && (progress.is_known(VersionDoubt::Slight) || progress.is_quiet()) =>
        {
            Some(RolloutPhase::Completed)
        }
        _ => None,
    }
}

/// Whether a call without a session runs on the new version in the trial phase. `free_calls` of the
/// `calls` of this instance had no session; the fewer they are, the larger a part of them is
/// taken, up to a limit.
pub fn tries_target(service: &ids::ServiceName, call: &str, free_calls: u64, calls: u64) -> bool {
    let free_fraction = (free_calls + 1) as f64 / (calls + 1) as f64;
    let fraction = (TRIAL_CALL_FRACTION / free_fraction).min(MAX_FREE_CALL_FRACTION);
    rollout_stage::enters_new_version(service, call, fraction)
}

/// Whether a call runs on the new version.
///
/// The decision hashes the session, or the call if it has none. So all instances agree on a session
/// without communicating, and a session that has moved stays moved as the fraction rises. A session
/// may already have run on the old version, so it does not move during the trial phase.
pub fn runs_on_target(
    phase: RolloutPhase,
    service: &ids::ServiceName,
    session: Option<&str>,
    call: &str,
) -> bool {
    match (phase, session) {
        (RolloutPhase::Trial, Some(_)) => false,
        (_, session) => rollout_stage::enters_new_version(
            service,
            session.unwrap_or(call),
            phase.target_fraction(),
        ),
    }
}
