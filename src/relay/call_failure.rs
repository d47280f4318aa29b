//! Final answers of the router itself: why a call has none of a replica.

use rand::RngExt as _;

use super::call_job::CallProgress;
use super::replica_choice::ChoiceRefusal;
use crate::error_body::{RequestRefusal, RunState};
use crate::refusal_reason::RefusalReason;

/// Time after which a replica may have room again, in seconds.
const ROOM_RETRY_S: f64 = 0.5;
/// Time after which there may be a replica again, or a configuration, in seconds. Replicas write
/// their entries about once a second.
pub(super) const ABSENCE_RETRY_S: f64 = 1.0;

/// Why a call has no answer of a replica.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// Refused by the router; the number is the time after which a retry may succeed, in seconds.
    Refused(RequestRefusal, Option<f64>),
    /// Caller cannot be written to.
    Caller(std::io::Error),
}

impl From<std::io::Error> for CallFailure {
    fn from(error: std::io::Error) -> Self {
        Self::Caller(error)
    }
}

/// Failure of a call for which no replica was chosen.
pub(super) fn no_choice(refused: ChoiceRefusal, progress: &CallProgress) -> CallFailure {
    let (reason, message, retry_after) = match refused {
        ChoiceRefusal::NoReplica => {
            (RefusalReason::NoReplica, "no replica may run the call", ABSENCE_RETRY_S)
        }
        ChoiceRefusal::Cold(wait) => {
            (RefusalReason::ColdStart, "all replicas are cold", wait.as_secs_f64())
        }
        ChoiceRefusal::Full => (RefusalReason::Overloaded, "all replicas are full", ROOM_RETRY_S),
    };
    refused_unless_run(progress, reason, message, retry_after)
}

/// Failure of a call that is not attempted again.
pub(super) fn out_of_attempts(progress: &CallProgress, message: &'static str) -> CallFailure {
    refused_unless_run(progress, RefusalReason::Overloaded, message, ROOM_RETRY_S)
}

/// Failure of a call whose time has passed.
pub(super) fn late(progress: &CallProgress) -> CallFailure {
    let (reason, message) = (RefusalReason::DeadlineExceeded, "the time for the answer has passed");
    let refusal = if progress.possible_runs > 0 {
        RequestRefusal::unknown(reason, message)
    } else {
        RequestRefusal::not_run(reason, message)
    };
    CallFailure::Refused(refusal, None)
}

/// Refusal that promises "not run" only of a call that no replica may have run.
fn refused_unless_run(
    progress: &CallProgress,
    reason: RefusalReason,
    message: &'static str,
    retry_after: f64,
) -> CallFailure {
    if progress.possible_runs > 0 {
        let refusal = RequestRefusal::unknown(RefusalReason::BackendFailed, message);
        return CallFailure::Refused(refusal, None);
    }
    CallFailure::Refused(RequestRefusal::not_run(reason, message), Some(spread(retry_after)))
}

/// Status of a refusal. A call that did not run gets a status that promises so.
pub(super) fn refusal_status(refusal: &RequestRefusal) -> u16 {
    match (refusal.ran, refusal.reason.status()) {
        (RunState::No, 500..) => 503,
        (RunState::Unknown, 503) => 502,
        (_, status) => status,
    }
}

/// Seconds until callers return, spread so that they do not return together.
pub(super) fn spread(seconds: f64) -> f64 {
    seconds * rand::rng().random_range(0.6..1.4)
}
