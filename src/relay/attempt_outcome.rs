//! What an attempt taught this instance of its replica.

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

/// Part of the objective from which an answer counts as slow in the evidence on a new version.
const SLOW_DIVISOR: u32 = 3;

impl RelayNode {
    /// Takes over what the replica says of itself.
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

    /// Counts an attempt without a whole answer; returns why it may be repeated.
    pub(super) fn record_cut(
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

    /// Counts a whole answer.
    pub(super) fn record_answer(
        &self,
        job: &CallJob,
        entry: &ReplicaEntry,
        failed: bool,
        waited: Duration,
    ) {
        let outcome = if failed { HealthOutcome::Failure } else { HealthOutcome::Good };
        self.record_health(entry, outcome, None);
        self.record_evidence(job, entry, failed, waited);
    }

    /// Counts an answer in the evidence on a new version; `waited` is the time from this send to
    /// the head of the answer.
    fn record_evidence(&self, job: &CallJob, entry: &ReplicaEntry, failed: bool, waited: Duration) {
        let slow = waited >= job.route.objective / SLOW_DIVISOR;
        self.rollouts.lock().record_answer(&job.service, &entry.version, failed, slow);
    }

    /// Counts the outcome in the judgement of the replica.
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
