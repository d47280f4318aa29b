//! Refusals of the router for calls without an answer of a replica.
//!
//! A 503 guarantees the caller that the call did not run, so a call that may have run gets another
//! status.

use std::time::Duration;

use rand::RngExt as _;

use super::call_job::CallProgress;
use super::caller_refusal::CallerRefusal;
use super::replica_choice::ChoiceRefusal;
use crate::ids;
use crate::refusal_reason::RefusalReason;

/// Delay after which a replica may have capacity again.
const BUSY_RETRY_S: f64 = 0.5;
/// Delay after which a replica or a configuration may be available. Replicas write their entries
/// about once per second.
pub(super) const UNAVAILABLE_RETRY_S: f64 = 1.0;

/// Shortest and longest delay after which a call returns that would wait too long at all replicas.
const MIN_QUEUE_RETRY_S: f64 = 0.1;
const MAX_QUEUE_RETRY_S: f64 = 10.0;

/// Part of a wait for all replicas over which callers return after its end.
const WAIT_SPREAD: f64 = 0.3;

/// Failure that ends a call.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// Refused by the router; the number is the `Retry-After` value in seconds, if any.
    Refused(CallerRefusal, Option<f64>),
    /// Connection to the caller failed.
    CallerGone(std::io::Error),
}

impl From<std::io::Error> for CallFailure {
    fn from(error: std::io::Error) -> Self {
        Self::CallerGone(error)
    }
}

/// Failure of a call for which no replica was chosen.
pub(super) fn without_choice(refusal: ChoiceRefusal, progress: &CallProgress) -> CallFailure {
    let (reason, message, retry_after) = match refusal {
        ChoiceRefusal::NoReplica => {
            (RefusalReason::NoReplica, "no replica may run the call", UNAVAILABLE_RETRY_S)
        }
        ChoiceRefusal::Cold(wait) => {
            (RefusalReason::ColdStart, "all replicas are cold", wait.as_secs_f64())
        }
        ChoiceRefusal::Paused(wait) => {
            return refused_after_wait(progress, "all replicas have asked for a pause", wait);
        }
        ChoiceRefusal::Limited(wait) => {
            return refused_after_wait(
                progress,
                "all replicas have as many requests as they take",
                wait,
            );
        }
        ChoiceRefusal::Queued(wait) => {
            return refused_for_queue(progress, wait);
        }
        ChoiceRefusal::Full => (RefusalReason::Overloaded, "all replicas are full", BUSY_RETRY_S),
    };
    refused_by_run_state(progress, reason, message, retry_after)
}

/// Failure of a call whose replicas take no request until a known time. Callers return after it,
/// spread over some time, and not before.
fn refused_after_wait(
    progress: &CallProgress,
    message: &'static str,
    wait: Duration,
) -> CallFailure {
    let spread = rand::rng().random_range(0.0..BUSY_RETRY_S + wait.as_secs_f64() * WAIT_SPREAD);
    let refusal = refused_by_run_state(progress, RefusalReason::Overloaded, message, 0.0);
    match refusal {
        CallFailure::Refused(refusal, Some(_)) => {
            CallFailure::Refused(refusal, Some(wait.as_secs_f64() + spread))
        }
        other => other,
    }
}

/// Failure of a call that would wait too long at all replicas. Callers return once the queues are
/// shorter, spread over as long again.
fn refused_for_queue(progress: &CallProgress, wait: Duration) -> CallFailure {
    metrics::counter!("yuccareel_queue_refusals_total").increment(1);
    let wait_s = wait.as_secs_f64().clamp(MIN_QUEUE_RETRY_S, MAX_QUEUE_RETRY_S);
    let message = "the wait at all replicas is too long";
    match refused_by_run_state(progress, RefusalReason::Overloaded, message, 0.0) {
        CallFailure::Refused(refusal, Some(_)) => {
            let factor = rand::rng().random_range(1.0..2.0);
            let retry_after = (wait_s * factor).min(MAX_QUEUE_RETRY_S);
            CallFailure::Refused(refusal, Some(retry_after))
        }
        other => other,
    }
}

/// Failure of a call that gets no further attempt.
pub(super) fn attempts_exhausted(progress: &CallProgress, message: &'static str) -> CallFailure {
    refused_by_run_state(progress, RefusalReason::Overloaded, message, BUSY_RETRY_S)
}

/// Failure of a call whose prompt has a quarantined part; the next trial is due after
/// `time_to_trial`.
pub(super) fn prompt_quarantined(
    progress: &CallProgress,
    part: ids::PromptPartId,
    time_to_trial: Duration,
) -> CallFailure {
    let reason = RefusalReason::PromptQuarantined;
    let message = format!("replicas crash under part {part:x} of the request");
    refused_by_run_state(
        progress,
        reason,
        &message,
        time_to_trial.as_secs_f64().max(UNAVAILABLE_RETRY_S),
    )
}

/// Failure of a call whose deadline has passed.
pub(super) fn deadline_exceeded(progress: &CallProgress) -> CallFailure {
    let (reason, message) = (RefusalReason::DeadlineExceeded, "the time for the answer has passed");
    let refusal = match progress.runs.proof() {
        Some(proof) => CallerRefusal::proven(proof, reason, message),
        None => CallerRefusal::unproven(reason, message),
    };
    CallFailure::Refused(refusal, None)
}

/// Refusal that guarantees "not run" only if no replica may have run the call.
fn refused_by_run_state(
    progress: &CallProgress,
    reason: RefusalReason,
    message: &str,
    retry_after: f64,
) -> CallFailure {
    let Some(proof) = progress.runs.proof() else {
        let refusal = CallerRefusal::unproven(RefusalReason::BackendFailed, message);
        return CallFailure::Refused(refusal, None);
    };
    let refusal = CallerRefusal::proven(proof, reason, message);
    CallFailure::Refused(refusal, Some(add_jitter(retry_after)))
}

/// Adds jitter to a `Retry-After` value, so that callers do not retry at the same time.
pub(super) fn add_jitter(seconds: f64) -> f64 {
    seconds * rand::rng().random_range(0.6..1.4)
}
