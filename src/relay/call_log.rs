//! Log lines and metrics of calls.
//!
//! Each decision on a call has one line, with the figures behind it.

use super::call_job::{CallJob, CallProgress};
use super::caller_refusal::CallerRefusal;
use super::relay_node::RelayNode;
use crate::error_body::RunState;
use crate::event_catalogue::LogEvent;
use crate::retry_reason::RetryReason;

/// Successful end of a call.
#[derive(Debug)]
pub(super) enum CallEnd {
    /// Answer of a replica with this status was forwarded.
    Answered(u16),
    /// Stream was forwarded completely.
    Streamed,
}

impl RelayNode {
    pub(super) fn log_answer(&self, job: &CallJob, progress: &CallProgress, end: &CallEnd) {
        let elapsed = job.received.elapsed();
        let status = match end {
            CallEnd::Answered(status) => *status,
            CallEnd::Streamed => 200,
        };
        metrics::counter!("yuccareel_relayed_total", "status" => status.to_string()).increment(1);
        metrics::histogram!("yuccareel_relay_seconds").record(elapsed.as_secs_f64());
        let time_to_first_byte = progress.time_to_first_byte.unwrap_or(elapsed);
        metrics::histogram!("yuccareel_first_byte_seconds")
            .record(time_to_first_byte.as_secs_f64());
        let fields = slog::o!(
            "request" => job.call.id_text(), "route" => job.route.name.to_string(),
            "config" => job.config_version,
            choice_fields(progress),
            "sends" => progress.runs.sent_attempts(), "status" => status, "model" => progress.model_index,
            "confidence" => progress.confidence,
            "first_ms" => time_to_first_byte.as_millis() as u64,
            "total_ms" => elapsed.as_millis() as u64,
            "events" => progress.written_events,
        );
        self.emit(LogEvent::RequestRelayed, fields);
    }

    pub(super) fn log_refusal(
        &self,
        refusal: &CallerRefusal,
        id: &str,
        job: Option<&CallJob>,
        progress: &CallProgress,
    ) {
        let refusal = refusal.refusal();
        let reason = refusal.reason.code();
        metrics::counter!("yuccareel_refused_total", "reason" => reason).increment(1);
        let fields = slog::o!(
            "request" => id.to_owned(), "reason" => reason,
            "message" => refusal.message.clone(), "ran" => refusal.ran != RunState::No,
            "route" => job.map(|job| job.route.name.to_string()),
            "config" => job.map(|job| job.config_version),
            choice_fields(progress),
            "sends" => progress.runs.sent_attempts(), "events" => progress.written_events,
            "total_ms" => job.map(|job| job.received.elapsed().as_millis() as u64),
        );
        self.emit(LogEvent::RequestRefused, fields);
    }

    pub(super) fn log_retry(&self, job: &CallJob, progress: &CallProgress, reason: RetryReason) {
        metrics::counter!("yuccareel_relay_retries_total", "reason" => reason.code()).increment(1);
        let fields = slog::o!(
            "request" => job.call.id_text(), "reason" => reason.code(),
            choice_fields(progress),
            "sends" => progress.runs.sent_attempts(), "last_event" => progress.last_event_id,
            "attempt_events" => progress.attempt_events, "parts" => parts_text(job),
            "after_ms" => job.received.elapsed().as_millis() as u64,
        );
        self.emit(LogEvent::AttemptRetried, fields);
    }

    pub(super) fn log_escalation(&self, job: &CallJob, progress: &CallProgress, to_index: usize) {
        metrics::counter!("yuccareel_relay_step_ups_total").increment(1);
        let fields = slog::o!(
            "request" => job.call.id_text(), "from" => progress.model_index, "to" => to_index,
            "confidence" => progress.confidence,
            "after_ms" => job.received.elapsed().as_millis() as u64,
        );
        self.emit(LogEvent::ModelSteppedUp, fields);
    }
}

/// Parts to which a crash is attributed, as hexadecimal identifiers; `None` without any.
pub(super) fn parts_text(job: &CallJob) -> Option<String> {
    let parts: Vec<_> = job.crash_parts.iter().map(|part| format!("{:x}", part.id)).collect();
    (!parts.is_empty()).then(|| parts.join(","))
}

/// Fields on the replica of the last attempt and the figures behind its choice.
fn choice_fields(progress: &CallProgress) -> impl slog::SendSyncRefUnwindSafeKV {
    let choice = progress.last_choice.as_ref();
    slog::o!(
        "replica" => choice.map(|choice| choice.entry.name.to_string()),
        "address" => choice.map(|choice| choice.entry.address.to_string()),
        "connection" => progress.connection_number,
        "version" => choice.map(|choice| choice.entry.version.to_string()),
        "entry_age_ms" => choice.map(|choice| choice.entry_age.as_millis() as u64),
        "candidates" => choice.map(|choice| choice.candidate_count),
        "cold" => choice.map(|choice| choice.is_cold),
        "waiting" => choice.map(|choice| choice.waiting_requests),
        "load_age_ms" => choice.and_then(|choice| choice.load_age).map(|age| age.as_millis() as u64),
        "rate_limit_per_s" => choice.and_then(|choice| choice.rate_limit_per_s),
        "work_tokens" => choice.map(|choice| choice.uncached_tokens),
    )
}
