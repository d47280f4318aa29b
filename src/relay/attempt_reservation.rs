//! Reserves the next attempt of a call before the current one is given up.
//!
//! An attempt that is given up may have been about to answer. It is therefore given up only once the
//! next one is allowed and counted at its replica; until then its answer is waited for and delivered.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::attempt_budget::RepeatCause;
use super::call_job::{CallJob, CallProgress};
use super::in_flight_guard::InFlightGuard;
use super::relay_node::RelayNode;
use super::replica_choice::ChoiceRefusal;
use super::suspect_table::PromptVerdict;
use crate::ids;

/// Time after which a reservation that found no room is tried again.
pub(super) const RESERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// Why no attempt was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservationRefusal {
    /// The configuration no longer allows the call.
    Withdrawn,
    /// The number of attempts, the deadline, the quarantine or the retry budget allows no other.
    Exhausted,
    /// No replica has room now.
    NoRoom(ChoiceRefusal),
}

impl RelayNode {
    /// Reserves an attempt that is to follow the current one because its replica is silent.
    ///
    /// # Errors
    /// When the current attempt must not be given up now.
    pub(super) async fn reserve_retry(
        self: &Arc<Self>,
        job: &CallJob,
        progress: &CallProgress,
    ) -> Result<InFlightGuard, ReservationRefusal> {
        let Some(choice) =
            progress.last_choice.as_ref().filter(|_| self.may_run_again(job, progress))
        else {
            return Err(ReservationRefusal::Exhausted);
        };
        let (index, last) = (progress.model_index, &choice.entry.name);
        let mut excluded = progress.tried_replicas.clone();
        excluded.push(last.clone());
        let reserving = self.reserve_attempt(job, progress, index, &excluded, RepeatCause::Failure);
        match reserving.await {
            // A replica that was silent once may answer now.
            Err(ReservationRefusal::NoRoom(
                ChoiceRefusal::NoReplica | ChoiceRefusal::Paused(_) | ChoiceRefusal::Limited(_),
            )) => self.reserve_attempt(job, progress, index, &[], RepeatCause::Failure).await,
            outcome => outcome,
        }
    }

    /// Reserves an attempt with a model: checks that the configuration, the deadline and the
    /// quarantine allow it, takes it from the retry budget and counts it at a replica.
    ///
    /// # Errors
    /// When the current attempt must not be given up now.
    pub(super) async fn reserve_attempt(
        self: &Arc<Self>,
        job: &CallJob,
        progress: &CallProgress,
        model_index: usize,
        excluded_replicas: &[ids::ReplicaName],
        cause: RepeatCause,
    ) -> Result<InFlightGuard, ReservationRefusal> {
        self.check_next_attempt(job, progress)?;
        if !self.take_repeat(job, cause) {
            return Err(ReservationRefusal::Exhausted);
        }
        self.probe_loads(job, model_index, excluded_replicas).await;
        let left = progress.last_choice.as_ref().map(|choice| &choice.entry.name);
        // The configuration may have changed meanwhile.
        let outcome = self.check_next_attempt(job, progress).and_then(|()| {
            let choice = self.choose_replica(job, model_index, excluded_replicas, left);
            choice.map_err(ReservationRefusal::NoRoom)
        });
        match outcome {
            Ok(choice) => Ok(InFlightGuard::new(self, choice)),
            Err(refusal) => {
                self.attempt_budget.lock().return_repeat(&job.service, Instant::now());
                Err(refusal)
            }
        }
    }

    /// Checks that an attempt that starts now may follow the current one, apart from the retry budget
    /// and the state of the replicas.
    fn check_next_attempt(
        &self,
        job: &CallJob,
        progress: &CallProgress,
    ) -> Result<(), ReservationRefusal> {
        if !self.is_still_allowed(job) {
            return Err(ReservationRefusal::Withdrawn);
        }
        let now = Instant::now();
        // The next replica needs about as long for the same prompt.
        let min_time_left = progress.pace.time_to_first_event().unwrap_or_default();
        let is_sound = progress.has_begun || progress.trial.is_some();
        let is_allowed = job.time_left(now) > min_time_left
            && (is_sound
                || self.suspects.lock().verdict(&job.crash_parts, now) == PromptVerdict::Allowed);
        if is_allowed { Ok(()) } else { Err(ReservationRefusal::Exhausted) }
    }
}
