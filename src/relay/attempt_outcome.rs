//! Records the outcome of an attempt: the load and health of the replica, and the evidence on its
//! version for rollouts.

use std::time::Duration;

use tokio::time::Instant;

use super::call_codec::AnswerMetadata;
use super::call_job::{CallJob, CallProgress};
use super::limit_statement::LimitChange;
use super::pace_baseline::{PaceLimits, PaceObjective};
use super::relay_config::CallKind;
use super::relay_node::RelayNode;
use super::replica_entry::ReplicaEntry;
use super::replica_health::HealthOutcome;
use super::replica_identity::MisdirectionCause;
use super::replica_notice::NoticeChange;
use super::replica_reach::ReplicaReach;
use super::rollout_table::RolloutTable;
use super::suspect_record::CrashedProcess;
use crate::event_catalogue::LogEvent;
use crate::http1::message_error::MessageError;
use crate::ids;
use crate::retry_reason::RetryReason;

/// Divisor of the latency objective that gives the time from which an answer counts as slow in the
/// evidence on a new version.
const SLOW_OBJECTIVE_DIVISOR: u32 = 3;

impl RelayNode {
    /// Records what the replica reported of itself in the answer to a request that was sent at
    /// `sent_at`: load, cold time, willingness and rate limit.
    pub(super) fn record_metadata(
        &self,
        entry: &ReplicaEntry,
        metadata: &AnswerMetadata,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        // An answer that names another replica says nothing of this one.
        let is_own = !metadata.is_misdirected
            && metadata.replica.as_ref().is_none_or(|name| *name == entry.name.as_bytes());
        if is_own {
            let change = self.fleet.lock().record_notice(entry, metadata.notice, now);
            self.log_notice(&entry.name, change);
            let change = self.record_limit(entry, metadata.rate_limit_per_s, sent_at);
            self.log_limit(&entry.name, change);
        }
        let mut fleet = self.fleet.lock();
        if let Some(load) = metadata.load {
            fleet.record_load(&entry.name, load, now);
        }
        if let Some(work_factor) = metadata.work_factor.filter(|_| is_own) {
            fleet.record_work_factor(&entry.name, work_factor, now);
        }
        if let Some(cold_left) = metadata.cold_left {
            fleet.record_cold(&entry.name, cold_left, now);
        }
    }

    /// Records the rate limit that an answer states, or that it states none.
    fn record_limit(
        &self,
        entry: &ReplicaEntry,
        rate_per_s: Option<f64>,
        sent_at: Instant,
    ) -> Option<LimitChange> {
        let mut fleet = self.fleet.lock();
        // Names from before the lock may be older than those of the last refresh of the shares.
        let members = self.member_names();
        fleet.record_limit(entry, rate_per_s, sent_at, &self.choice_context(&members))
    }

    /// Logs a replica that is set aside by its own answer, or that is used again.
    fn log_notice(&self, replica: &ids::ReplicaName, change: Option<NoticeChange>) {
        let Some(change) = change else { return };
        let replica = replica.to_string();
        let (source, event, fields) = match change {
            NoticeChange::Leaving => {
                ("leaving", LogEvent::ReplicaSetAside, slog::o!("end_ms" => None::<u64>))
            }
            NoticeChange::Paused(duration) => {
                let end_ms = Some(duration.as_millis() as u64);
                ("retry_after", LogEvent::ReplicaSetAside, slog::o!("end_ms" => end_ms))
            }
            NoticeChange::Resumed(age) => {
                let age_ms = Some(age.as_millis() as u64);
                ("retry_after", LogEvent::ReplicaResumed, slog::o!("age_ms" => age_ms))
            }
        };
        if event == LogEvent::ReplicaSetAside {
            metrics::counter!("yuccareel_replicas_set_aside_total", "source" => source)
                .increment(1);
        }
        self.emit(event, slog::o!("replica" => replica, "source" => source, fields));
    }

    /// Logs a replica that begins or ceases to state a rate limit.
    fn log_limit(&self, replica: &ids::ReplicaName, change: Option<LimitChange>) {
        let replica = replica.to_string();
        match change {
            None => {}
            Some(LimitChange::Begins(rate_per_s)) => {
                metrics::counter!("yuccareel_replicas_limited_total").increment(1);
                let fields = slog::o!("replica" => replica, "rate_limit_per_s" => rate_per_s);
                self.emit(LogEvent::ReplicaLimited, fields);
            }
            Some(LimitChange::Ends) => {
                self.emit(LogEvent::ReplicaUnlimited, slog::o!("replica" => replica));
            }
        }
    }

    /// Records that a replica served a request, which ends a pause.
    pub(super) fn record_served(&self, entry: &ReplicaEntry, sent_at: Instant) {
        let change = self.fleet.lock().record_served(&entry.name, sent_at, Instant::now());
        self.log_notice(&entry.name, change);
    }

    /// Records that a server refused a call as misdirected; returns the cause. If one replica proves
    /// that the request is at fault, the doubts that it cast on others are withdrawn.
    pub(super) fn record_misdirected(
        &self,
        job: &CallJob,
        progress: &mut CallProgress,
        entry: &ReplicaEntry,
    ) -> MisdirectionCause {
        let now = Instant::now();
        // Only a call that names a model can be at fault itself.
        let reuse_delay = match job.call.model {
            Some(_) => self.settings.bounds.address_reuse_delay,
            None => Duration::ZERO,
        };
        let (cause, age) = {
            let mut fleet = self.fleet.lock();
            let (mut cause, age) = fleet.record_misdirected(&entry.name, reuse_delay, now);
            if cause == MisdirectionCause::Address {
                progress.doubted_replicas.push(entry.name.clone());
            }
            if progress.misdirected_answer.is_some() {
                cause = MisdirectionCause::Request;
            }
            if cause == MisdirectionCause::Request {
                fleet.withdraw_doubts(&std::mem::take(&mut progress.doubted_replicas));
            }
            (cause, age)
        };
        let event = match cause {
            MisdirectionCause::Request => LogEvent::RequestMisdirected,
            MisdirectionCause::Address => {
                self.connection_pool.lock().remove_address(entry.address);
                LogEvent::ReplicaForeign
            }
        };
        let model =
            job.call.model.as_deref().map(|model| String::from_utf8_lossy(model).into_owned());
        let fields = slog::o!(
            "request" => job.call.id_text(), "route" => job.route.name.to_string(),
            "replica" => entry.name.to_string(), "address" => entry.address.to_string(),
            "model" => model, "answered_ms" => age.map(|age| age.as_millis() as u64),
        );
        self.emit(event, fields);
        cause
    }

    /// Records an attempt without a valid, complete answer and returns the reason for a retry. It is
    /// no evidence on the version if the replica has ended or cannot be reached.
    pub(super) async fn record_incomplete_answer(
        &self,
        job: &CallJob,
        progress: &mut CallProgress,
        entry: &ReplicaEntry,
        error: &MessageError,
        waited: Duration,
    ) -> RetryReason {
        let (outcome, reason) = match error {
            MessageError::TimedOut => (HealthOutcome::Silent, RetryReason::ProgressTimeout),
            _ => (HealthOutcome::Cut, RetryReason::StreamTruncated),
        };
        self.record_health(entry, outcome, Some(error));
        if !self.rollouts.lock().is_open(&job.service) {
            return reason;
        }
        let is_lost = matches!(
            error,
            MessageError::Truncated
                | MessageError::Ended
                | MessageError::TimedOut
                | MessageError::Io(_)
        );
        let reach = if is_lost { self.check_reach(entry).await } else { ReplicaReach::Accepts };
        progress.replica_reach = is_lost.then_some(reach);
        match reach {
            ReplicaReach::Accepts => self.record_evidence(job, progress, entry, true, waited),
            ReplicaReach::Refuses => {
                let (replica, started_unix_ms) = (entry.name.clone(), entry.started_unix_ms);
                let process = CrashedProcess { replica, started_unix_ms };
                self.rollouts.lock().record_crash(&job.service, &entry.version, process);
            }
            ReplicaReach::Unreachable => {}
        }
        reason
    }

    /// Records a complete answer; `has_failed` is set for a 5xx.
    pub(super) fn record_complete_answer(
        &self,
        job: &CallJob,
        progress: &CallProgress,
        entry: &ReplicaEntry,
        has_failed: bool,
        waited: Duration,
    ) {
        let outcome = if has_failed { HealthOutcome::Failure } else { HealthOutcome::Good };
        self.record_health(entry, outcome, None);
        if job.plans_by_time && job.route.kind != CallKind::Stream && !has_failed {
            self.fleet.lock().record_service_time(&entry.name, waited, Instant::now());
        }
        self.record_evidence(job, progress, entry, has_failed, waited);
    }

    /// Adds an ended attempt to the evidence on the replica's version; `waited` is the time from
    /// sending the call to the head of the answer, or to the failure.
    pub(super) fn record_evidence(
        &self,
        job: &CallJob,
        progress: &CallProgress,
        entry: &ReplicaEntry,
        has_failed: bool,
        waited: Duration,
    ) {
        if progress.is_attempt_void {
            return;
        }
        let (service, version) = (&job.service, &entry.version);
        let mut rollouts = self.rollouts.lock();
        if job.route.kind != CallKind::Stream {
            let is_slow = waited >= job.route.latency_objective / SLOW_OBJECTIVE_DIVISOR;
            rollouts.record_answer(service, version, has_failed, is_slow);
            record_compared(&mut rollouts, job, progress, version, 1, is_slow);
            return;
        }
        let limits = rollouts.pace_limits(service, progress.model_index, &pace_objective(job));
        let is_slow = progress.pace.is_slow(&limits) && counts_as_slow(progress);
        match progress.pace.judgement() {
            None => {
                rollouts.record_answer(service, version, has_failed, is_slow);
                record_compared(&mut rollouts, job, progress, version, 1, is_slow);
            }
            Some(was_slow) => {
                let turned_slow = is_slow && !was_slow;
                rollouts.record_later_failure(service, version, has_failed, turned_slow);
                record_compared(&mut rollouts, job, progress, version, 0, turned_slow);
            }
        }
        if !has_failed {
            rollouts.record_pace(service, version, progress.model_index, &progress.pace);
        }
    }

    /// Adds a stream to the evidence as soon as its pace is known.
    pub(super) fn judge_pace(&self, job: &CallJob, progress: &mut CallProgress) {
        let Some(choice) = progress.last_choice.as_ref().filter(|_| !progress.is_attempt_void)
        else {
            return;
        };
        let version = choice.entry.version.clone();
        let mut rollouts = self.rollouts.lock();
        let limits = rollouts.pace_limits(&job.service, progress.model_index, &pace_objective(job));
        if let Some(is_slow) = progress.pace.judge(&limits) {
            let is_slow = is_slow && counts_as_slow(progress);
            rollouts.record_answer(&job.service, &version, false, is_slow);
            record_compared(&mut rollouts, job, progress, &version, 1, is_slow);
        }
    }

    /// Adds a stream that was sent at `sent_at` and has no answer yet to the evidence as a slow one.
    /// Returns `false` if the replica cannot be reached, so that the attempt is no evidence.
    pub(super) async fn record_late_answer(
        &self,
        job: &CallJob,
        progress: &CallProgress,
        sent_at: Instant,
    ) -> bool {
        let choice = progress.last_choice.as_ref();
        let Some(choice) = choice.filter(|_| job.route.kind == CallKind::Stream) else {
            return true;
        };
        if !self.rollouts.lock().is_open(&job.service) {
            return true;
        }
        let entry = &choice.entry;
        let is_active = self.fleet.lock().was_active_since(&entry.name, sent_at);
        if !is_active && self.check_reach(entry).await != ReplicaReach::Accepts {
            return false;
        }
        let is_slow = counts_as_slow(progress);
        let mut rollouts = self.rollouts.lock();
        rollouts.record_answer(&job.service, &entry.version, false, is_slow);
        record_compared(&mut rollouts, job, progress, &entry.version, 1, is_slow);
        true
    }

    /// Times from which the answer to the next attempt is slow.
    pub(super) fn pace_limits(&self, job: &CallJob, progress: &CallProgress) -> PaceLimits {
        let rollouts = self.rollouts.lock();
        rollouts.pace_limits(&job.service, progress.model_index, &pace_objective(job))
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

fn pace_objective(job: &CallJob) -> PaceObjective {
    let time_to_first_event = job.route.latency_objective;
    let event_interval = job.route.max_event_gap.unwrap_or(time_to_first_event);
    PaceObjective { time_to_first_event, event_interval }
}

/// Counts answers of an attempt whose pace is compared with that of the other version.
fn record_compared(
    rollouts: &mut RolloutTable,
    job: &CallJob,
    progress: &CallProgress,
    version: &str,
    answers: u64,
    is_slow: bool,
) {
    if progress.is_pace_compared {
        rollouts.record_compared(&job.service, version, answers, u64::from(is_slow));
    }
}

/// Whether a slow answer is held against the version: cold replicas are slow in any version.
fn counts_as_slow(progress: &CallProgress) -> bool {
    progress.last_choice.as_ref().is_none_or(|choice| !choice.is_cold)
}
