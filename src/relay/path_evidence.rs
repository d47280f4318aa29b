//! What the outcome of a call shows about the path that it took to the platform's store.

use std::time::Duration;

use crate::kv_store::KvError;

/// Evidence for or against a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathEvidence {
    /// The store answered, if only with an unreadable answer.
    Answered,
    /// The call failed, so the path may have failed since it was made.
    Failed,
    /// A poll ended before its answer was due. The store may cut polls at any time, so the path may
    /// have worked until then.
    PollCut,
    /// A poll had no answer when it was due.
    PollOverdue,
}

impl PathEvidence {
    /// Evidence of a call that took `waited`. `poll_time` is the time within which a poll must be
    /// answered; `None` for any other call.
    pub fn new<T>(
        outcome: &Result<T, KvError>,
        waited: Duration,
        poll_time: Option<Duration>,
    ) -> Self {
        match (outcome, poll_time) {
            (Ok(_) | Err(KvError::Unreadable(_)), _) => Self::Answered,
            (Err(KvError::NoAnswer(_)), Some(time)) if waited < time => Self::PollCut,
            (Err(KvError::NoAnswer(_)), Some(_)) => Self::PollOverdue,
            (Err(_), _) => Self::Failed,
        }
    }
}
