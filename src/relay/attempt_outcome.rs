//! Records the outcome of an attempt: the load and health of the replica, and the evidence on its
//! version for rollouts.

use std::time::Duration;

use tokio::time::Instant;

use super::call_codec::AnswerMetadata;
use super::call_job::CallJob;
use super::relay_node::RelayNode;
use super::replica_entry::ReplicaEntry;
use super::replica_health::HealthOutcome;
use crate::event_catalogue::LogEvent;
use crate::http1::message_error::MessageError;
use crate::retry_reason::RetryReason;

/// Divisor of the latency objective that gives the time from which an answer counts as slow in the
/// evidence on a new version.
const SLOW_OBJECTIVE_DIVISOR: u32 = 3;

impl RelayNode {
    /// Records the load and the cold time that the replica reported.
    pub(super) fn record_metadata(&self, entry: &ReplicaEntry, metadata: &AnswerMetadata) {
        let now = Instant::now();
        let mut fleet = self.fleet.lock();
        if let Some(load) = metadata.load {
            fleet.record_load(&entry.name, load, now);
        }
        if let Some(cold_left) = metadata.cold_left {
            fleet.record_cold(&entry.name, cold_left, now);
        }
    }

    /// Records an attempt without a valid, complete answer and returns the reason for a retry.
    pub(super) fn record_incomplete_answer(
        &self,
        job: &CallJob,
        entry: &ReplicaEntry,
        error: &MessageError,
        waited: Duration,
    ) -> RetryReason {
        let (outcome, reason) = match error {
            MessageError::TimedOut => (HealthOutcome::Silent, RetryReason::ProgressTimeout),
            _ => (HealthOutcome::Cut, RetryReason::StreamTruncated),
        };
        self.record_health(entry, outcome, Some(error));
        self.record_evidence(job, entry, true, waited);
        reason
    }

    /// Records a complete answer; `has_failed` is set for a 5xx.
    pub(super) fn record_complete_answer(
        &self,
        job: &CallJob,
        entry: &ReplicaEntry,
        has_failed: bool,
        waited: Duration,
    ) {
        let outcome = if has_failed { HealthOutcome::Failure } else { HealthOutcome::Good };
        self.record_health(entry, outcome, None);
        self.record_evidence(job, entry, has_failed, waited);
    }

    /// Adds an attempt to the evidence on the replica's version; `waited` is the time from sending
    /// the call to the head of the answer, or to the failure.
    fn record_evidence(
        &self,
        job: &CallJob,
        entry: &ReplicaEntry,
        has_failed: bool,
        waited: Duration,
    ) {
        let is_slow = waited >= job.route.latency_objective / SLOW_OBJECTIVE_DIVISOR;
        self.rollouts.lock().record_answer(&job.service, &entry.version, has_failed, is_slow);
    }

    /// Records the outcome in the health of the replica and logs if the replica is now avoided.
    pub(super) fn record_health(
        &self,
        entry: &ReplicaEntry,
        outcome: HealthOutcome,
        error: Option<&MessageError>,
    ) {
        if matches!(outcome, HealthOutcome::Silent | HealthOutcome::Unreachable) {
            self.connection_pool.lock().remove_address(entry.address);
        }
        if self.fleet.lock().record_health(&entry.name, outcome, Instant::now()) {
            let fields = slog::o!(
                "replica" => entry.name.to_string(), "outcome" => format!("{outcome:?}"),
                "error" => error.map(ToString::to_string),
            );
            self.emit(LogEvent::ReplicaAvoided, fields);
        }
    }
}
