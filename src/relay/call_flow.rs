//! Lifecycle of one call: routing, attempts, and exactly one final answer.
//!
//! A call is sent again only if its route and the retry budget allow it. This module decides on
//! retries and on what the caller receives; `attempt_flow` runs a single attempt.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::admission::wait_rule::WaitRule;
use super::attempt_budget::RepeatCause;
use super::attempt_flow::AttemptEnd;
use super::call_failure::{self, CallFailure};
use super::call_job::{CallJob, CallProgress};
use super::call_log::CallEnd;
use super::caller_refusal::CallerRefusal;
use super::caller_writer::{AnswerProgress, CallerWriter};
use super::cascade_plan;
use super::in_flight_guard::InFlightGuard;
use super::load_prior;
use super::relay_config::CallKind;
use super::relay_node::RelayNode;
use super::replica_choice::{
    ChoiceContext, ChoiceRefusal, ChoiceRequest, ReplicaChoice, ReplicaRoom,
};
use super::replica_entry::ReplicaEntry;
use super::replica_fleet::ReplicaFleet;
use super::rollout_table::VersionChoice;
use super::run_proof::{CallRuns, UnsentRequest};
use super::version_rule::VersionRule;
use crate::event_catalogue::LogEvent;
use crate::http1::message_error::MessageError;
use crate::http1::request_head::RequestHead;
use crate::ids;
use crate::refusal_reason::RefusalReason;
use crate::retry_reason::RetryReason;

/// Sent attempts after which a refusal by a replica ends the call.
const MAX_SENT_ATTEMPTS: u32 = 4;
/// Unreachable replicas after which a call is refused. After many replicas crash, their entries
/// remain for some seconds; most of the addresses refuse a connection within a millisecond.
const MAX_UNREACHABLE_REPLICAS: u32 = 8;
/// Fraction of the latency objective that a call waits while all replicas are full.
const CAPACITY_WAIT_FRACTION: f64 = 0.12;
/// Interval between attempts to choose a replica while all are full.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time to write an answer that is delivered after the deadline of its call. A caller that does not
/// read would keep it in memory without end otherwise.
const LATE_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time before the end of a drain at which open calls other than streams are refused.
const ANSWER_DRAIN_MARGIN: Duration = Duration::from_millis(200);

/// Logs that the caller disconnected if the call is dropped before its end.
struct DisconnectGuard<'a> {
    node: &'a RelayNode,
    job: &'a CallJob,
    has_ended: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            let fields = slog::o!(
                "request" => self.job.call.id_text(), "route" => self.job.route.name.to_string(),
                "after_ms" => self.job.received.elapsed().as_millis() as u64,
            );
            self.node.emit(LogEvent::CallerGone, fields);
        }
    }
}

impl RelayNode {
    /// Answers one call.
    ///
    /// # Errors
    /// When the connection must be closed: the caller disconnected, or a stream was truncated.
    pub async fn answer_call(
        self: &Arc<Self>,
        head: RequestHead,
        body: Bytes,
        received: Instant,
        request: UnsentRequest,
        writer: &mut CallerWriter,
    ) -> Result<(), MessageError> {
        let routed = self.route_call(head, body, received, &request);
        let mut progress = CallProgress { runs: CallRuns::new(request), ..CallProgress::default() };
        let job = match routed {
            Ok(job) => job,
            Err((refusal, id)) => {
                self.log_refusal(&refusal, &id, None, &progress);
                let retry_after = (refusal.status() == 503)
                    .then(|| call_failure::add_jitter(call_failure::UNAVAILABLE_RETRY_S));
                return Ok(writer.write_refusal(&refusal, retry_after).await?);
            }
        };
        self.attempt_budget.lock().record_call(&job.service, received);
        self.rollouts.lock().record_call(&job.service, job.call.session.is_some());
        let mut disconnect_guard = DisconnectGuard { node: self, job: &job, has_ended: false };
        let attempts = self.run_attempts(&job, &mut progress, writer);
        let outcome = tokio::select! {
            biased;
            outcome = attempts => Some(outcome),
            () = tokio::time::sleep_until(job.deadline) => None,
            // A stream may still complete; other calls are refused while the connection is open.
            () = self.wait_for_drain_end(ANSWER_DRAIN_MARGIN), if job.route.kind != CallKind::Stream => None,
        };
        let outcome = outcome.unwrap_or_else(|| Err(call_failure::deadline_exceeded(&progress)));
        let result = self.finish_call(&job, &mut progress, outcome, writer).await;
        disconnect_guard.has_ended = !matches!(result, Err(MessageError::Io(_)));
        result
    }

    /// Logs the end of the call, and writes the last error answer or a refusal if no answer was
    /// written.
    async fn finish_call(
        &self,
        job: &CallJob,
        progress: &mut CallProgress,
        outcome: Result<CallEnd, CallFailure>,
        writer: &mut CallerWriter,
    ) -> Result<(), MessageError> {
        let (refusal, retry_after) = match outcome {
            Ok(end) => {
                self.log_answer(job, progress, &end);
                return Ok(());
            }
            Err(CallFailure::CallerGone(error)) => return Err(MessageError::Io(error)),
            Err(CallFailure::Refused(refusal, retry_after)) => (refusal, retry_after),
        };
        let id = job.call.id_text();
        if writer.progress() != AnswerProgress::NotStarted {
            let message = &refusal.refusal().message;
            let truncation = CallerRefusal::unproven(RefusalReason::AnswerTruncated, message);
            self.log_refusal(&truncation, &id, Some(job), progress);
            return Err(MessageError::Truncated);
        }
        let proof = progress.runs.proof();
        let misdirected_answer = progress.misdirected_answer.take().filter(|_| proof.is_some());
        if let Some((head, body)) = progress.error_answer.take().or(misdirected_answer) {
            let writing = writer.write_complete_answer(&head, &body, proof);
            // A caller that reads too slowly ends its own answer; it is no refusal.
            let outcome = tokio::time::timeout(LATE_WRITE_TIMEOUT, writing).await;
            outcome.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))?;
            self.log_answer(job, progress, &CallEnd::Answered(head.status));
            return Ok(());
        }
        self.log_refusal(&refusal, &id, Some(job), progress);
        Ok(writer.write_refusal(&refusal, retry_after).await?)
    }

    async fn run_attempts(
        self: &Arc<Self>,
        job: &CallJob,
        progress: &mut CallProgress,
        writer: &mut CallerWriter,
    ) -> Result<CallEnd, CallFailure> {
        progress.model_index = cascade_plan::FIRST_MODEL_INDEX;
        loop {
            let guard = match progress.reserved_attempt.take() {
                Some(guard) => guard,
                None => self.prepare_attempt(job, progress).await?,
            };
            if progress.tried_replicas.contains(&guard.choice().entry.name) {
                progress.tried_replicas.clear();
            }
            progress.last_choice = Some(guard.choice().clone());
            progress.connection_number = None;
            let end = self.run_attempt(job, progress, guard, writer).await?;
            self.check_crash(job, progress, &end).await?;
            match end {
                // The caller has received the start of a stream, so this answer cannot follow.
                AttemptEnd::Complete(..) if writer.progress() != AnswerProgress::NotStarted => {
                    if !self.may_run_again(job, progress) {
                        let message = "no replica can resume the stream";
                        return Err(call_failure::attempts_exhausted(progress, message));
                    }
                    self.prepare_retry(job, progress, RetryReason::BackendError);
                }
                AttemptEnd::Complete(head, body) => {
                    if head.status < 500 || !self.may_run_again(job, progress) {
                        writer.write_complete_answer(&head, &body, None).await?;
                        return Ok(CallEnd::Answered(head.status));
                    }
                    progress.error_answer = Some((head, body));
                    self.prepare_retry(job, progress, RetryReason::BackendError);
                }
                AttemptEnd::Streamed => return Ok(CallEnd::Streamed),
                AttemptEnd::Escalate(model_index) => {
                    self.log_escalation(job, progress, model_index);
                    progress.model_index = model_index;
                    progress.tried_replicas.clear();
                }
                AttemptEnd::Unreachable => {
                    progress.unreachable_replicas += 1;
                    if progress.unreachable_replicas >= MAX_UNREACHABLE_REPLICAS {
                        let message = "no replica accepts a connection";
                        return Err(call_failure::attempts_exhausted(progress, message));
                    }
                    // Nothing was sent, so the next attempt needs no further budget.
                    progress.is_next_attempt_budgeted = true;
                    self.prepare_retry(job, progress, RetryReason::ConnectFailed);
                }
                AttemptEnd::Misdirected(refusal, head, body) => {
                    progress.runs.record_refusal(refusal);
                    if progress.misdirected_answer.replace((head, body)).is_some() {
                        let message = "two replicas refused the call as misdirected";
                        return Err(call_failure::attempts_exhausted(progress, message));
                    }
                    self.prepare_retry(job, progress, RetryReason::VersionNotServed);
                }
                AttemptEnd::NotRun(refusal, reason) => {
                    progress.runs.record_refusal(refusal);
                    if progress.runs.sent_attempts() >= MAX_SENT_ATTEMPTS {
                        let message = "no replica took the call";
                        return Err(call_failure::attempts_exhausted(progress, message));
                    }
                    self.prepare_retry(job, progress, reason);
                }
                AttemptEnd::Failed(_) if !self.may_run_again(job, progress) => {
                    return Err(call_failure::attempts_exhausted(progress, "the attempt failed"));
                }
                AttemptEnd::Failed(reason) => self.prepare_retry(job, progress, reason),
            }
        }
    }

    /// Chooses a replica for an attempt and checks that the attempt is allowed.
    async fn prepare_attempt(
        self: &Arc<Self>,
        job: &CallJob,
        progress: &mut CallProgress,
    ) -> Result<InFlightGuard, CallFailure> {
        self.check_prompt(job, progress).await?;
        let choice = self.next_choice(job, progress).await;
        let choice = choice.map_err(|refusal| call_failure::without_choice(refusal, progress))?;
        let guard = InFlightGuard::new(self, choice);
        // The choice may have waited for a free replica.
        self.check_prompt(job, progress).await?;
        if progress.runs.sent_attempts() + progress.unreachable_replicas > 0 {
            self.check_retry(job, progress)?;
        }
        Ok(guard)
    }

    /// Excludes the replica of the last attempt from the next choice and logs the retry.
    fn prepare_retry(&self, job: &CallJob, progress: &mut CallProgress, reason: RetryReason) {
        let is_refused = matches!(reason, RetryReason::BackendBusy | RetryReason::VersionNotServed);
        progress.may_retry_tried_replicas = job.route.is_repeatable() && !is_refused;
        progress
            .tried_replicas
            .extend(progress.last_choice.iter().map(|choice| choice.entry.name.clone()));
        self.log_retry(job, progress, reason);
    }

    /// Checks that the configuration still allows the call, and takes an attempt from the budget.
    fn check_retry(&self, job: &CallJob, progress: &mut CallProgress) -> Result<(), CallFailure> {
        if !self.is_still_allowed(job) {
            let message = "the configuration no longer allows the call";
            return Err(call_failure::attempts_exhausted(progress, message));
        }
        let is_budgeted = std::mem::take(&mut progress.is_next_attempt_budgeted);
        if is_budgeted || self.take_repeat(job, RepeatCause::Failure) {
            return Ok(());
        }
        Err(call_failure::attempts_exhausted(progress, "the retry budget is used up"))
    }

    /// Whether a call that may have run may run once more.
    pub(super) fn may_run_again(&self, job: &CallJob, progress: &CallProgress) -> bool {
        job.route.is_repeatable()
            && progress.runs.possible_runs() < job.route.max_attempts
            && !progress.has_events_without_id
    }

    /// Takes one repeated send from the budget of the service; `false` if none is left.
    pub(super) fn take_repeat(&self, job: &CallJob, cause: RepeatCause) -> bool {
        let members = self.member_names().all.len();
        self.attempt_budget.lock().take_repeat(&job.service, cause, members, Instant::now())
    }

    /// Chooses a replica for the next attempt; tried ones are allowed again if no other is left.
    async fn next_choice(
        &self,
        job: &CallJob,
        progress: &mut CallProgress,
    ) -> Result<ReplicaChoice, ChoiceRefusal> {
        match self.wait_for_choice(job, progress).await {
            // A replica that failed once may succeed now.
            Err(
                ChoiceRefusal::NoReplica | ChoiceRefusal::Paused(_) | ChoiceRefusal::Limited(_),
            ) if progress.may_retry_tried_replicas => {
                progress.tried_replicas.clear();
                self.wait_for_choice(job, progress).await
            }
            outcome => outcome,
        }
    }

    /// Chooses a replica, waiting for a short time while all are full.
    async fn wait_for_choice(
        &self,
        job: &CallJob,
        progress: &CallProgress,
    ) -> Result<ReplicaChoice, ChoiceRefusal> {
        let (model_index, tried) = (progress.model_index, &progress.tried_replicas);
        self.probe_loads(job, model_index, tried).await;
        let wait_end = Instant::now() + job.route.latency_objective.mul_f64(CAPACITY_WAIT_FRACTION);
        loop {
            let refusal = match self.choose_replica(job, model_index, tried, None) {
                Ok(choice) => return Ok(choice),
                Err(refusal) => refusal,
            };
            let now = Instant::now();
            match refusal {
                ChoiceRefusal::Full if now < wait_end => {
                    tokio::time::sleep(CAPACITY_POLL_INTERVAL).await;
                }
                ChoiceRefusal::Limited(time) | ChoiceRefusal::Queued(time)
                    if now + time < wait_end =>
                {
                    tokio::time::sleep(time).await;
                }
                _ => return Err(refusal),
            }
        }
    }

    /// Chooses a replica of the version for the call, or else of the fallback version. `left` is the
    /// replica that the call is to leave, if any.
    pub(super) fn choose_replica(
        &self,
        job: &CallJob,
        model_index: usize,
        excluded_replicas: &[ids::ReplicaName],
        left: Option<&ids::ReplicaName>,
    ) -> Result<ReplicaChoice, ChoiceRefusal> {
        let versions = self.version_choice(job);
        let choose = |version: &VersionRule| {
            self.query_fleet(
                job,
                version,
                model_index,
                excluded_replicas,
                |fleet, request, context| match left {
                    Some(left) => fleet.choose_instead(left, request, context),
                    None => fleet.choose(request, context),
                },
            )
        };
        let outcome = match (choose(&versions.preferred), &versions.fallback) {
            (Err(_), Some(fallback)) => choose(fallback),
            (outcome, _) => outcome,
        };
        count_choice(&outcome);
        outcome
    }

    /// Requests at the replica that would be chosen for this model; `None` if there is none.
    pub(super) fn requests_at_best_replica(
        &self,
        job: &CallJob,
        model_index: usize,
    ) -> Option<u32> {
        let version = self.version_choice(job).preferred;
        self.query_fleet(job, &version, model_index, &[], |fleet, request, context| {
            fleet.requests_at_best_replica(request, context)
        })
    }

    /// Room for a call at the replica that would be chosen for this model; `None` if there is none.
    pub(super) fn room_at_best_replica(
        &self,
        job: &CallJob,
        model_index: usize,
    ) -> Option<ReplicaRoom> {
        let version = self.version_choice(job).preferred;
        self.query_fleet(job, &version, model_index, &[], |fleet, request, context| {
            fleet.room_at_best_replica(request, context)
        })
    }

    /// Replicas whose load affects the choice but is unknown.
    pub(super) fn replicas_to_probe(
        &self,
        job: &CallJob,
        model_index: usize,
        excluded_replicas: &[ids::ReplicaName],
    ) -> SmallVec<[Arc<ReplicaEntry>; 4]> {
        let version = self.version_choice(job).preferred;
        self.query_fleet(
            job,
            &version,
            model_index,
            excluded_replicas,
            |fleet, request, context| fleet.replicas_to_probe(request, context),
        )
    }

    /// Runs a query on the table of replicas with the choice request of an attempt.
    fn query_fleet<T>(
        &self,
        job: &CallJob,
        version: &VersionRule,
        model_index: usize,
        excluded_replicas: &[ids::ReplicaName],
        query: impl FnOnce(&mut ReplicaFleet, &ChoiceRequest<'_>, &ChoiceContext<'_>) -> T,
    ) -> T {
        let members = self.member_names();
        let context = self.choice_context(&members);
        let mut request = choice_request(job, version, model_index, excluded_replicas);
        if job.plans_by_time {
            match job.route.kind {
                CallKind::Stream => request.has_places = true,
                CallKind::Safe | CallKind::Unsafe => {
                    request.wait_rule = Some(wait_rule(job, context.now));
                }
            }
        }
        query(&mut self.fleet.lock(), &request, &context)
    }

    fn version_choice(&self, job: &CallJob) -> VersionChoice {
        let session = job.call.session.as_ref().map(|key| String::from_utf8_lossy(key));
        let id = job.call.id_text();
        self.rollouts.lock().version_choice(&job.service, session.as_deref(), &id)
    }
}

fn choice_request<'a>(
    job: &'a CallJob,
    version: &'a VersionRule,
    model_index: usize,
    excluded_replicas: &'a [ids::ReplicaName],
) -> ChoiceRequest<'a> {
    let customer_regions = job.customer.as_ref().map(|customer| &*customer.home_regions);
    ChoiceRequest {
        service: &job.service,
        version,
        model: job.chooses_model().then(|| &job.route.models[model_index]),
        home_regions: [&job.route.home_regions, customer_regions.unwrap_or(&[])],
        excluded_replicas,
        shared_parts: job.call.shared_parts(),
        prompt_tokens: job.call.prompt_tokens,
        model_weight: job.model_weights.get(model_index).copied().unwrap_or(1.0),
        cold_rate_per_s: job.cold_rate_per_s,
        wait_rule: None,
        has_places: false,
    }
}

/// Counts a choice by what was known of the load of the replica.
fn count_choice(outcome: &Result<ReplicaChoice, ChoiceRefusal>) {
    let Ok(choice) = outcome else { return };
    let age = choice.load_age.filter(|age| *age < load_prior::LOAD_TTL);
    let basis = if age.is_some() { "report" } else { "expectation" };
    metrics::counter!("yuccareel_choices_total", "basis" => basis).increment(1);
    if let Some(age) = age {
        metrics::histogram!("yuccareel_choice_report_age_seconds").record(age.as_secs_f64());
    }
}

fn wait_rule(job: &CallJob, now: Instant) -> WaitRule {
    WaitRule::new(job.objective_left(now), job.time_left(now), job.call.id_hash())
}
