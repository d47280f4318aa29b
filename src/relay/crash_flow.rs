//! Finds out whether a replica crashed when an attempt was cut off before its answer had begun, and
//! keeps requests under which replicas crash from further replicas.
//!
//! A connection may also be closed for other reasons, such as an idle timeout or a limit on
//! connections. A replica whose process has ended refuses new connections as well.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::attempt_flow::{AttemptEnd, DEFAULT_IDLE_TIMEOUT};
use super::call_failure::{self, CallFailure};
use super::call_job::{CallJob, CallProgress};
use super::call_log;
use super::relay_node::RelayNode;
use super::replica_connection::ReplicaConnection;
use super::replica_entry::ReplicaEntry;
use super::replica_reach::ReplicaReach;
use super::suspect_record::CrashedProcess;
use super::suspect_table::PromptVerdict;
use super::suspect_writer;
use crate::event_catalogue::LogEvent;
use crate::http1::message_error::MessageError;
use crate::ids;
use crate::retry_reason::RetryReason;

/// Events of a stream after which the replica has begun to answer without a crash.
const MIN_SOUND_EVENTS: u64 = 3;
/// Time within which a live replica accepts or refuses a connection.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Crashes under one call with suspected parts after which it is not sent again.
const MAX_CRASHED_REPLICAS: u32 = 2;
/// Claims of a trial for one call. A claim fails if the record has changed meanwhile, and may succeed
/// on the record as it stands.
const MAX_TRIAL_CLAIMS: u32 = 3;

impl RelayNode {
    /// Checks before an attempt that no part of the prompt is quarantined, and claims a trial that
    /// is due.
    ///
    /// # Errors
    /// When the prompt is refused.
    pub(super) async fn check_prompt(
        self: &Arc<Self>,
        job: &CallJob,
        progress: &mut CallProgress,
    ) -> Result<(), CallFailure> {
        if progress.has_begun || progress.trial.is_some() {
            return Ok(());
        }
        let mut claims = 0;
        loop {
            let verdict = self.suspects.lock().verdict(&job.crash_parts, Instant::now());
            let part = match verdict {
                PromptVerdict::Allowed => return Ok(()),
                PromptVerdict::Refused(part, time) => {
                    return Err(self.refuse_prompt(progress, part, time));
                }
                PromptVerdict::TrialDue(part) if claims >= MAX_TRIAL_CLAIMS => {
                    return Err(self.refuse_prompt(progress, part, Duration::ZERO));
                }
                PromptVerdict::TrialDue(part) => part,
            };
            claims += 1;
            // In a task of its own, so that the claim of a call that ends meanwhile is given back.
            let claiming = tokio::spawn(suspect_writer::claim_trial(self.clone(), part));
            if let Some(trial) = claiming.await.ok().flatten() {
                progress.trial = Some(trial);
                let request = job.call.id_text();
                let fields = slog::o!("part" => format!("{part:x}"), "request" => request);
                self.emit(LogEvent::PartTried, fields);
                return Ok(());
            }
        }
    }

    fn refuse_prompt(
        &self,
        progress: &CallProgress,
        part: ids::PromptPartId,
        time_to_trial: Duration,
    ) -> CallFailure {
        metrics::counter!("yuccareel_quarantined_requests_total").increment(1);
        call_failure::prompt_quarantined(progress, part, time_to_trial)
    }

    /// Records that the replica of the current attempt answers the prompt without a crash.
    pub(super) fn record_begun_answer(&self, job: &CallJob, progress: &mut CallProgress) {
        if std::mem::replace(&mut progress.has_begun, true) {
            return;
        }
        let was_suspected = {
            let (mut suspects, now) = (self.suspects.lock(), Instant::now());
            let is_shared_cleared = suspects.record_sound(job.shared_crash_parts(), now);
            let is_last_cleared = job.crash_parts.last().is_some_and(|part| {
                if job.call.prompt_parts.is_empty() {
                    suspects.record_sound_request(part.id, now)
                } else {
                    suspects.clear_part(part.id, now)
                }
            });
            is_shared_cleared || is_last_cleared
        };
        if was_suspected {
            self.suspects_changed.notify_one();
        }
        suspect_writer::log_quarantine_changes(self);
    }

    /// Counts an event of the current attempt.
    pub(super) fn record_event(&self, job: &CallJob, progress: &mut CallProgress) {
        progress.attempt_events += 1;
        let (now, previous_at) = (Instant::now(), progress.pace.last_event_at());
        progress.pace.record_event(now);
        if let (Some(previous_at), Some(model)) =
            (previous_at, job.timed_model(progress.model_index))
        {
            let interval = now.saturating_duration_since(previous_at);
            self.stream_times.lock().get_mut(&job.service, model).record_interval(interval);
        }
        self.judge_pace(job, progress);
        if progress.attempt_events >= MIN_SOUND_EVENTS {
            self.record_begun_answer(job, progress);
        }
    }

    /// Checks after an attempt whether its replica crashed before the answer had begun.
    ///
    /// # Errors
    /// When the call must not be sent again, as replicas may crash under it.
    pub(super) async fn check_crash(
        &self,
        job: &CallJob,
        progress: &mut CallProgress,
        end: &AttemptEnd,
    ) -> Result<(), CallFailure> {
        match end {
            AttemptEnd::Streamed => self.record_begun_answer(job, progress),
            AttemptEnd::Complete(head, _) if head.is_success() => {
                self.record_begun_answer(job, progress);
            }
            _ => {}
        }
        let is_cut = matches!(end, AttemptEnd::Failed(RetryReason::StreamTruncated));
        if !is_cut || progress.attempt_events >= MIN_SOUND_EVENTS {
            return Ok(());
        }
        let Some(choice) = &progress.last_choice else { return Ok(()) };
        let entry = choice.entry.clone();
        let reach = match progress.replica_reach {
            Some(reach) => reach,
            None => self.check_reach(&entry).await,
        };
        if reach != ReplicaReach::Refuses {
            return Ok(());
        }
        progress.crashed_replicas += 1;
        let fields = slog::o!(
            "replica" => entry.name.to_string(), "request" => job.call.id_text(),
            "parts" => call_log::parts_text(job), "crashes" => progress.crashed_replicas,
        );
        self.emit(LogEvent::ReplicaCrashed, fields);
        let process =
            CrashedProcess { replica: entry.name.clone(), started_unix_ms: entry.started_unix_ms };
        let blamed = self.suspects.lock().record_crash(&job.crash_parts, &process, Instant::now());
        if blamed.is_empty() {
            return Ok(());
        }
        suspect_writer::log_quarantine_changes(self);
        suspect_writer::share_crash(self, &blamed, &process).await;
        if progress.trial.is_some() || progress.crashed_replicas >= MAX_CRASHED_REPLICAS {
            let message = "replicas crashed under the call";
            return Err(call_failure::attempts_exhausted(progress, message));
        }
        Ok(())
    }

    /// Whether a replica accepts a connection. It is kept for the next call.
    pub(super) async fn check_reach(&self, entry: &ReplicaEntry) -> ReplicaReach {
        metrics::counter!("yuccareel_backend_connections_total").increment(1);
        let connecting =
            ReplicaConnection::connect(entry.address, CRASH_CHECK_TIMEOUT, DEFAULT_IDLE_TIMEOUT);
        match connecting.await {
            Ok(connection) => {
                self.connection_pool.lock().put(connection);
                ReplicaReach::Accepts
            }
            Err(MessageError::Io(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                ReplicaReach::Refuses
            }
            Err(_) => ReplicaReach::Unreachable,
        }
    }
}
