//! Path of one call: routing, attempts, and its one final answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::attempt_budget::RepeatCause;
use super::attempt_flow::AttemptEnd;
use super::call_failure::{self, CallFailure};
use super::call_job::{CallJob, CallProgress};
use super::call_log::CallEnd;
use super::caller_writer::{AnswerProgress, CallerWriter};
use super::cascade_plan;
use super::relay_config::CallKind;
use super::relay_node::RelayNode;
use super::replica_choice::{ChoiceContext, ChoiceRefusal, ChoiceRequest, ReplicaChoice};
use super::replica_entry::ReplicaEntry;
use super::replica_fleet::ReplicaFleet;
use super::rollout_table::VersionChoice;
use super::version_rule::VersionRule;
use crate::error_body::RequestRefusal;
use crate::event_catalogue::LogEvent;
use crate::http1::message_error::MessageError;
use crate::http1::request_head::RequestHead;
use crate::ids;
use crate::refusal_reason::RefusalReason;
use crate::retry_reason::RetryReason;

/// Most sends of one call that replicas disclaim.
const MOST_SENDS: u32 = 4;
/// Most replicas without a connection that one call tries. After a crash of many the list names
/// them for some seconds; most refuse a connection within a millisecond.
const MOST_UNREACHABLE: u32 = 8;
/// Part of the objective for which a call waits for a replica that has room.
const ROOM_WAIT_PART: f64 = 0.12;
/// Time between two looks for a replica that has room.
const ROOM_INTERVAL: Duration = Duration::from_millis(10);
/// Time before the end of the process at which calls without an answer get their final one.
const ANSWER_DRAIN_MARGIN: Duration = Duration::from_millis(200);

/// Call whose caller leaves, unless it ends before.
struct OpenCall<'a> {
    node: &'a RelayNode,
    job: &'a CallJob,
    ended: bool,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let fields = slog::o!(
                "request" => self.job.call.id_text(), "route" => self.job.route.name.to_string(),
                "after_ms" => self.job.received.elapsed().as_millis() as u64,
            );
            self.node.emit(LogEvent::CallerGone, fields);
        }
    }
}

/// Call that counts at its replica until it ends.
pub(super) struct SendGuard {
    node: Arc<RelayNode>,
    choice: ReplicaChoice,
    read: bool,
}

impl SendGuard {
    fn new(node: &Arc<RelayNode>, choice: ReplicaChoice) -> Self {
        Self { node: node.clone(), choice, read: false }
    }

    /// Notes the first byte of the answer.
    pub(super) fn first_byte(&mut self) {
        if !std::mem::replace(&mut self.read, true) {
            let prefill_cost = self.choice.prefill_cost;
            self.node.fleet.lock().record_first_byte(&self.choice.entry.name, prefill_cost);
        }
    }

    /// Chosen replica.
    pub(super) fn choice(&self) -> &ReplicaChoice {
        &self.choice
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.first_byte();
        self.node.fleet.lock().record_finish(&self.choice.entry.name);
    }
}

impl RelayNode {
    /// Answers one call.
    ///
    /// # Errors
    /// When the connection must end: the caller is gone, or a stream was cut.
    pub async fn answer(
        self: &Arc<Self>,
        head: RequestHead,
        body: Bytes,
        received: Instant,
        writer: &mut CallerWriter,
    ) -> Result<(), MessageError> {
        let mut progress = CallProgress::default();
        let job = match self.route(head, body, received) {
            Ok(job) => job,
            Err((refusal, id)) => {
                self.log_refusal(&refusal, &id, None, &progress);
                let status = call_failure::refusal_status(&refusal);
                let retry_after =
                    (status == 503).then(|| call_failure::spread(call_failure::ABSENCE_RETRY_S));
                return Ok(writer.write_refusal(status, &refusal, retry_after).await?);
            }
        };
        self.attempt_budget.lock().record_call(&job.service, received);
        let mut line = OpenCall { node: self, job: &job, ended: false };
        let attempts = self.attempts(&job, &mut progress, writer);
        let outcome = tokio::select! {
            biased;
            outcome = attempts => Some(outcome),
            () = tokio::time::sleep_until(job.deadline) => None,
            // A stream may still come to its end; anything else is answered while it can be.
            () = self.wait_for_drain_end(ANSWER_DRAIN_MARGIN), if job.route.kind != CallKind::Stream => None,
        };
        let outcome = outcome.unwrap_or_else(|| Err(call_failure::late(&progress)));
        let ended = self.finish(&job, &mut progress, outcome, writer).await;
        line.ended = !matches!(ended, Err(MessageError::Io(_)));
        ended
    }

    /// Writes and logs what has become of a call.
    async fn finish(
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
            Err(CallFailure::Caller(error)) => return Err(MessageError::Io(error)),
            Err(CallFailure::Refused(refusal, retry_after)) => (refusal, retry_after),
        };
        let id = job.call.id_text();
        if writer.progress() != AnswerProgress::NotStarted {
            let cut = RequestRefusal::unknown(RefusalReason::AnswerTruncated, refusal.message);
            self.log_refusal(&cut, &id, Some(job), progress);
            return Err(MessageError::Truncated);
        }
        if let Some((head, body)) = progress.failed_answer.take() {
            writer.write_whole(&head, &body).await?;
            self.log_answer(job, progress, &CallEnd::Answered(head.status));
            return Ok(());
        }
        self.log_refusal(&refusal, &id, Some(job), progress);
        let status = call_failure::refusal_status(&refusal);
        Ok(writer.write_refusal(status, &refusal, retry_after).await?)
    }

    async fn attempts(
        self: &Arc<Self>,
        job: &CallJob,
        progress: &mut CallProgress,
        writer: &mut CallerWriter,
    ) -> Result<CallEnd, CallFailure> {
        progress.model = cascade_plan::FIRST_MODEL_INDEX;
        loop {
            let choice = self.next_choice(job, progress).await;
            let choice = choice.map_err(|refused| call_failure::no_choice(refused, progress))?;
            let guard = SendGuard::new(self, choice);
            if progress.sends + progress.unreachable > 0 {
                self.check_repeat(job, progress)?;
            }
            progress.choice = Some(guard.choice().clone());
            match self.attempt(job, progress, guard, writer).await? {
                // The caller has the start of a stream, in which no other answer may follow.
                AttemptEnd::Whole(..) if writer.progress() != AnswerProgress::NotStarted => {
                    if !self.may_run_again(job, progress) {
                        let message = "no replica goes on with the stream";
                        return Err(call_failure::out_of_attempts(progress, message));
                    }
                    self.retry(job, progress, RetryReason::BackendError);
                }
                AttemptEnd::Whole(head, body) => {
                    if head.status < 500 || !self.may_run_again(job, progress) {
                        writer.write_whole(&head, &body).await?;
                        return Ok(CallEnd::Answered(head.status));
                    }
                    progress.failed_answer = Some((head, body));
                    self.retry(job, progress, RetryReason::BackendError);
                }
                AttemptEnd::Streamed => return Ok(CallEnd::Streamed),
                AttemptEnd::StepUp(model) => {
                    self.log_step_up(job, progress, model);
                    progress.model = model;
                    progress.tried.clear();
                }
                AttemptEnd::Unreachable => {
                    progress.unreachable += 1;
                    if progress.unreachable >= MOST_UNREACHABLE {
                        let message = "no replica accepts a connection";
                        return Err(call_failure::out_of_attempts(progress, message));
                    }
                    // What the budget paid for was not sent.
                    progress.repeat_paid = true;
                    self.retry(job, progress, RetryReason::ConnectFailed);
                }
                AttemptEnd::NotRun(reason) => {
                    progress.runs -= 1;
                    if progress.sends >= MOST_SENDS {
                        let message = "no replica took the call";
                        return Err(call_failure::out_of_attempts(progress, message));
                    }
                    self.retry(job, progress, reason);
                }
                AttemptEnd::Failed(_) if !self.may_run_again(job, progress) => {
                    return Err(call_failure::out_of_attempts(progress, "the attempt failed"));
                }
                AttemptEnd::Failed(reason) => self.retry(job, progress, reason),
            }
        }
    }

    /// Notes that another attempt follows.
    fn retry(&self, job: &CallJob, progress: &mut CallProgress, reason: RetryReason) {
        let refused = matches!(reason, RetryReason::BackendBusy | RetryReason::VersionNotServed);
        progress.may_return = job.route.repeatable() && !refused;
        progress.tried.extend(progress.choice.iter().map(|choice| choice.entry.name.clone()));
        self.log_retry(job, progress, reason);
    }

    /// Checks that a call may be sent once more.
    fn check_repeat(&self, job: &CallJob, progress: &mut CallProgress) -> Result<(), CallFailure> {
        if !self.still_allowed(job) {
            let message = "the configuration no longer allows the call";
            return Err(call_failure::out_of_attempts(progress, message));
        }
        let paid = std::mem::take(&mut progress.repeat_paid);
        if paid || self.take_repeat(job, RepeatCause::Failure) {
            return Ok(());
        }
        Err(call_failure::out_of_attempts(progress, "the retry budget is used up"))
    }

    pub(super) fn may_run_again(&self, job: &CallJob, progress: &CallProgress) -> bool {
        job.route.repeatable()
            && progress.runs < job.route.max_attempts
            && !progress.unnumbered_events
    }

    pub(super) fn take_repeat(&self, job: &CallJob, cause: RepeatCause) -> bool {
        let members = self.member_names().len();
        self.attempt_budget.lock().take_repeat(&job.service, cause, members, Instant::now())
    }

    /// Chooses a replica for the next attempt.
    async fn next_choice(
        &self,
        job: &CallJob,
        progress: &mut CallProgress,
    ) -> Result<ReplicaChoice, ChoiceRefusal> {
        match self.await_choice(job, progress).await {
            // A replica that failed this call may answer it the next time.
            Err(ChoiceRefusal::NoReplica) if progress.may_return => {
                progress.tried.clear();
                self.await_choice(job, progress).await
            }
            chosen => chosen,
        }
    }

    /// Chooses a replica, waiting for a short time while all are full.
    async fn await_choice(
        &self,
        job: &CallJob,
        progress: &CallProgress,
    ) -> Result<ReplicaChoice, ChoiceRefusal> {
        self.probe_loads(job, progress).await;
        let until = Instant::now() + job.route.objective.mul_f64(ROOM_WAIT_PART);
        loop {
            let refused = match self.choose(job, progress) {
                Ok(choice) => return Ok(choice),
                Err(refused) => refused,
            };
            if refused != ChoiceRefusal::Full || Instant::now() >= until {
                return Err(refused);
            }
            tokio::time::sleep(ROOM_INTERVAL).await;
        }
    }

    fn choose(
        &self,
        job: &CallJob,
        progress: &CallProgress,
    ) -> Result<ReplicaChoice, ChoiceRefusal> {
        let versions = self.versions(job);
        let (model, tried) = (progress.model, &progress.tried);
        let choose = |version: &VersionRule| {
            self.ask_fleet(job, version, model, tried, ReplicaFleet::choose)
        };
        match (choose(&versions.first), &versions.fallback) {
            (Err(_), Some(fallback)) => choose(fallback),
            (outcome, _) => outcome,
        }
    }

    /// Requests at the replica that a call to a model of the route would go to.
    pub(super) fn occupied_choice(&self, job: &CallJob, model: usize) -> Option<u32> {
        let version = self.versions(job).first;
        self.ask_fleet(job, &version, model, &[], |fleet, request, context| {
            fleet.requests_at_best_replica(request, context)
        })
    }

    /// Replicas whose loads decide where a call is placed, and are not known.
    pub(super) fn replicas_to_probe(
        &self,
        job: &CallJob,
        progress: &CallProgress,
    ) -> SmallVec<[Arc<ReplicaEntry>; 4]> {
        let version = self.versions(job).first;
        self.ask_fleet(job, &version, progress.model, &progress.tried, |fleet, request, context| {
            fleet.replicas_to_probe(request, context)
        })
    }

    /// Asks the table of replicas about an attempt of a call.
    fn ask_fleet<T>(
        &self,
        job: &CallJob,
        version: &VersionRule,
        model: usize,
        tried: &[ids::ReplicaName],
        ask: impl FnOnce(&mut ReplicaFleet, &ChoiceRequest<'_>, &ChoiceContext<'_>) -> T,
    ) -> T {
        let members = self.member_names();
        let context = self.choice_context(&members);
        let request = choice_request(job, version, model, tried);
        ask(&mut self.fleet.lock(), &request, &context)
    }

    fn versions(&self, job: &CallJob) -> VersionChoice {
        let session = job.call.session.as_ref().map(|key| String::from_utf8_lossy(key));
        let id = job.call.id_text();
        self.rollouts.lock().choice(&job.service, session.as_deref(), &id)
    }
}

fn choice_request<'a>(
    job: &'a CallJob,
    version: &'a VersionRule,
    model: usize,
    tried: &'a [ids::ReplicaName],
) -> ChoiceRequest<'a> {
    let customer_homes = job.customer.as_ref().map(|customer| &*customer.home_regions);
    ChoiceRequest {
        service: &job.service,
        version,
        model: job.chooses_model().then(|| &job.route.models[model]),
        home_regions: [&job.route.home_regions, customer_homes.unwrap_or(&[])],
        excluded_replicas: tried,
        shared_parts: job.call.shared_parts(),
        prompt_tokens: job.call.prompt_tokens,
        model_weight: job.model_weights.get(model).copied().unwrap_or(1.0),
        cold_rate_per_s: job.cold_rate_per_s,
    }
}
