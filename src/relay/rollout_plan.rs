//! Phases of a rollout that an operator ordered with a time limit.
//!
//! A version may turn bad late, or only under load. For the first half of the time limit, a small
//! fraction of the calls tries the new version. The fraction then rises to a larger one and to all
//! calls, and the rollout completes before its time limit. No session is moved to the new version
//! in the first half, and none is moved back in the second unless the version is bad.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ids, rollout_stage};

/// Fraction of the calls on the new version in the trial phase.
const TRIAL_CALL_FRACTION: f64 = 0.08;
/// Fraction of the calls on the new version in the load phase.
const LOAD_CALL_FRACTION: f64 = 0.4;
/// Earliest start of the load phase, as a fraction of the time limit.
const LOAD_START_FRACTION: f64 = 0.52;
/// Start of the load phase even with too few answers, as a fraction of the time limit. A service
/// with little traffic must meet its time limit too.
const FORCED_LOAD_START_FRACTION: f64 = 0.57;
/// Earliest start of the full phase, as a fraction of the time limit.
const FULL_START_FRACTION: f64 = 0.66;
/// Start of the full phase even with too few answers, as a fraction of the time limit.
const FORCED_FULL_START_FRACTION: f64 = 0.74;
/// Earliest completion, as a fraction of the time limit.
const COMPLETION_FRACTION: f64 = 0.82;
/// Answers of the new version that end the trial phase at `LOAD_START_FRACTION`.
const MIN_TRIAL_ANSWERS: u64 = 6;
/// Answers of the new version that end the load phase at `FULL_START_FRACTION`. The tests of the
/// evidence find a version that answers several times slower after about as many.
const MIN_LOAD_ANSWERS: u64 = 20;
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
    /// Replicas of the new version that take calls.
    pub target_replicas: usize,
    /// Whether the evidence is against the new version or an instance has stopped using it.
    pub is_bad: bool,
}

/// Next phase, or `None` while the rollout stays in its phase.
pub fn next_phase(progress: &RolloutProgress) -> Option<RolloutPhase> {
    if progress.is_bad && progress.phase < RolloutPhase::Completed {
        return Some(RolloutPhase::RolledBack);
    }
    let has_reached = |fraction: f64| progress.elapsed >= progress.time_limit.mul_f64(fraction);
    match progress.phase {
        _ if progress.target_replicas == 0 => None,
        RolloutPhase::Trial
            if has_reached(LOAD_START_FRACTION) && progress.target_answers >= MIN_TRIAL_ANSWERS =>
        {
            Some(RolloutPhase::Load)
        }
        RolloutPhase::Trial if has_reached(FORCED_LOAD_START_FRACTION) => Some(RolloutPhase::Load),
        RolloutPhase::Load
            if has_reached(FULL_START_FRACTION)
                && progress.phase_elapsed >= MIN_FULL_DURATION / 2
                && (progress.target_answers >= MIN_LOAD_ANSWERS
                    || has_reached(FORCED_FULL_START_FRACTION)) =>
        {
            Some(RolloutPhase::Full)
        }
        RolloutPhase::Full
            if has_reached(COMPLETION_FRACTION) && progress.phase_elapsed >= MIN_FULL_DURATION =>
        {
            Some(RolloutPhase::Completed)
        }
        _ => None,
    }
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
