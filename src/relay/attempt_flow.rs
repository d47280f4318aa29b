//! One attempt of a call: connecting to a replica, sending the call and reading the answer.
//!
//! An answer is used only if it belongs to the call and its head passes the checks of
//! [`AnswerMetadata::rejection_cause`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::admission::attempt_rank;
use super::admission::escalation_rule::DoubtfulAnswer;
use super::answer_body;
use super::answer_pace::AnswerPace;
use super::attempt_budget::RepeatCause;
use super::attempt_reservation::{RESERVATION_INTERVAL, ReservationRefusal};
use super::call_codec::{AnswerMetadata, AttemptMetadata};
use super::call_failure::CallFailure;
use super::call_job::{CallJob, CallProgress};
use super::caller_writer::CallerWriter;
use super::cascade_plan;
use super::connection_pool::PoolRequest;
use super::in_flight_guard::InFlightGuard;
use super::pace_evidence::ReplicaLoad;
use super::relay_config::CallKind;
use super::relay_node::RelayNode;
use super::replica_connection::ReplicaConnection;
use super::replica_entry::ReplicaEntry;
use super::replica_health::HealthOutcome;
use super::replica_identity::MisdirectionCause;
use super::run_proof::{ReplicaRefusal, SentAttempt};
use super::stream_flow::StreamEnd;
use crate::event_catalogue::LogEvent;
use crate::http1::body_decoder::BodyFraming;
use crate::http1::message_error::MessageError;
use crate::http1::response_head::ResponseHead;
use crate::retry_reason::RetryReason;

/// Time within which a replica must accept a connection. Nothing has been sent by then, so trying
/// another replica cannot run the call twice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time after which a replica is assumed to close a connection if it states no limit.
pub(super) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Answers to other calls that are skipped on a connection before the attempt fails.
const MAX_SKIPPED_ANSWERS: u32 = 2;
/// Multiple of a stream's latency objective within which the replica must send its first byte, or
/// anything on another connection, if another attempt is possible.
const INACTIVITY_FACTOR: f64 = 1.5;
/// Multiple of a stream's latency objective within which a replica that is active on other
/// connections must send its first byte. A busy replica prefills prompts one after the other, and a
/// second prefill elsewhere adds to the load of all replicas.
const FIRST_BYTE_FACTOR: f64 = 2.5;
/// Multiple of the latency objective within which the head of any other answer must arrive, if
/// another attempt is possible.
const ANSWER_FACTOR: f64 = 1.0;

/// Status with which a replica refuses a request because it is full.
const FULL_STATUS: u16 = 503;

/// How one attempt ended.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// Complete answer that is not a stream.
    Complete(ResponseHead, Bytes),
    /// Whole stream was written to the caller.
    Streamed,
    /// Answer was dropped so that the model with this index answers instead.
    Escalate(usize),
    /// Replica accepted no connection; nothing was sent.
    Unreachable,
    /// Replica guarantees that it did not run the call.
    NotRun(ReplicaRefusal, RetryReason),
    /// Replica refused the call as misdirected although it is the expected one.
    Misdirected(ReplicaRefusal, ResponseHead, Bytes),
    /// Attempt failed and the replica may have run the call.
    Failed(RetryReason),
}

impl RelayNode {
    /// Sends a call to the chosen replica and, if the answer is a stream, forwards it.
    ///
    /// # Errors
    /// When writing to the caller fails.
    pub(super) async fn run_attempt(
        self: &Arc<Self>,
        job: &CallJob,
        progress: &mut CallProgress,
        mut guard: InFlightGuard,
        writer: &mut CallerWriter,
    ) -> Result<AttemptEnd, CallFailure> {
        let entry = guard.choice().entry.clone();
        let mut connection = match self.connect(job, &entry).await {
            Ok(connection) => connection,
            Err(error) => {
                self.record_health(&entry, HealthOutcome::Unreachable, Some(&error));
                return Ok(AttemptEnd::Unreachable);
            }
        };
        // An answer on another connection may have set the replica aside meanwhile.
        if !self.fleet.lock().is_willing(&entry.name) {
            self.connection_pool.lock().put(connection);
            return Ok(AttemptEnd::Unreachable);
        }
        progress.connection_number = Some(connection.stream.number());
        if let Some(trial) = &mut progress.trial {
            trial.set_sent();
        }
        let sent = progress.runs.begin_attempt(connection.stream.number());
        progress.attempt_events = 0;
        progress.replica_reach = None;
        progress.is_attempt_void = false;
        let sent_at = Instant::now();
        progress.pace = AnswerPace::start(sent_at);
        progress.is_pace_compared = {
            let load = ReplicaLoad::of_choice(guard.choice());
            self.rollouts.lock().record_sent(&job.service, &entry.version, load, sent_at)
        };
        let late_at = sent_at + self.pace_limits(job, progress).time_to_first_event;
        let (mut is_late, mut is_void) = (false, false);
        let answer = {
            let sending = self.send(job, progress, &entry, &mut connection, &sent);
            let abandonment = self.wait_for_abandonment(job, progress, &entry);
            tokio::pin!(sending, abandonment);
            loop {
                tokio::select! {
                    biased;
                    answer = &mut sending => break Ok(answer),
                    next = &mut abandonment => break Err(next),
                    () = tokio::time::sleep_until(late_at), if !is_late => is_late = true,
                }
                is_void = !self.record_late_answer(job, progress, sent_at).await;
            }
        };
        if is_late && !is_void && job.route.kind == CallKind::Stream {
            progress.pace.set_late();
        }
        progress.is_attempt_void = is_void;
        progress.is_next_attempt_budgeted = false;
        let answer = answer.unwrap_or_else(|next| {
            progress.reserved_attempt = next;
            Err(MessageError::TimedOut)
        });
        let (head, is_fully_sent, metadata) = match answer {
            Ok(answer) => answer,
            Err(error) => {
                let waited = sent_at.elapsed();
                let reason =
                    self.record_incomplete_answer(job, progress, &entry, &error, waited).await;
                return Ok(AttemptEnd::Failed(reason));
            }
        };
        let waited = sent_at.elapsed();
        guard.record_first_byte();
        self.record_metadata(&entry, &metadata, sent_at);
        if head.is_success() {
            self.record_served(&entry, sent_at);
        }
        if !head.is_success() {
            connection.record_failure(job.call.id_hash());
        }
        if let Some(cause) = metadata.rejection_cause(&head) {
            let error = MessageError::Malformed(cause);
            self.record_incomplete_answer(job, progress, &entry, &error, waited).await;
            return Ok(AttemptEnd::Failed(RetryReason::BackendError));
        }
        progress.time_to_first_byte = Some(job.received.elapsed());
        if job.route.kind == CallKind::Stream && head.is_success() {
            self.fleet.lock().confirm_identity(&entry.name, sent_at);
            progress.confidence = metadata.confidence;
            if let Some(model_index) = self.escalation_model_index(job, progress, &metadata) {
                let cause = RepeatCause::Escalation;
                let reserving = self.reserve_attempt(job, progress, model_index, &[], cause);
                // Without an attempt of the larger model, this answer is kept.
                if let Ok(next) = reserving.await {
                    progress.reserved_attempt = Some(next);
                    progress.pace.record_event(Instant::now());
                    self.record_evidence(job, progress, &entry, false, waited);
                    return Ok(AttemptEnd::Escalate(model_index));
                }
            }
            let end = self
                .relay_stream(job, progress, &mut guard, &mut connection.stream, &head, writer)
                .await
                .map_err(CallFailure::CallerGone)?;
            return Ok(match end {
                StreamEnd::Complete => {
                    self.record_stream_end(job, progress);
                    self.record_complete_answer(job, progress, &entry, false, waited);
                    if is_fully_sent && head.is_keep_alive {
                        self.return_connection(connection, &head);
                    }
                    AttemptEnd::Streamed
                }
                StreamEnd::Truncated(error) => AttemptEnd::Failed(
                    self.record_incomplete_answer(job, progress, &entry, &error, waited).await,
                ),
            });
        }
        let refusal = sent.refusal(job.call.id.as_ref(), &metadata, connection.stream.number());
        let body = match self.read_answer_body(&mut connection.stream, &head).await {
            Ok(body) => body,
            Err(error) => {
                let reason =
                    self.record_incomplete_answer(job, progress, &entry, &error, waited).await;
                return Ok(match refusal {
                    Some(refusal) => AttemptEnd::NotRun(refusal, reason),
                    None => AttemptEnd::Failed(reason),
                });
            }
        };
        if is_fully_sent && head.is_keep_alive {
            self.return_connection(connection, &head);
        }
        if let Some(refusal) = refusal {
            if !metadata.is_misdirected {
                let mut fleet = self.fleet.lock();
                fleet.confirm_identity(&entry.name, sent_at);
                if head.status == FULL_STATUS {
                    fleet.record_full(&entry.name, Instant::now());
                }
                drop(fleet);
                return Ok(AttemptEnd::NotRun(refusal, RetryReason::BackendBusy));
            }
            return Ok(match self.record_misdirected(job, progress, &entry) {
                // If the router chose the model, another replica may have it.
                MisdirectionCause::Request if !job.chooses_model() => {
                    AttemptEnd::Misdirected(refusal, head, body)
                }
                _ => AttemptEnd::NotRun(refusal, RetryReason::VersionNotServed),
            });
        }
        self.fleet.lock().confirm_identity(&entry.name, sent_at);
        self.record_complete_answer(job, progress, &entry, head.status >= 500, waited);
        Ok(AttemptEnd::Complete(head, body))
    }

    async fn connect(
        &self,
        job: &CallJob,
        entry: &ReplicaEntry,
    ) -> Result<ReplicaConnection, MessageError> {
        let request = PoolRequest::Call {
            call_hash: job.call.id_hash(),
            is_repeatable: job.route.is_repeatable(),
        };
        let idle_connection =
            self.connection_pool.lock().take(entry.address, request, Instant::now());
        match idle_connection {
            Some(connection) => Ok(connection),
            None => {
                metrics::counter!("yuccareel_backend_connections_total").increment(1);
                ReplicaConnection::connect(entry.address, CONNECT_TIMEOUT, DEFAULT_IDLE_TIMEOUT)
                    .await
            }
        }
    }

    /// Sends a call and reads the head of its answer, skipping answers to other calls. The flag is
    /// set if the request was fully sent. The attempt must be recorded as sent before.
    async fn send(
        &self,
        job: &CallJob,
        progress: &CallProgress,
        entry: &ReplicaEntry,
        connection: &mut ReplicaConnection,
        _: &SentAttempt,
    ) -> Result<(ResponseHead, bool, AnswerMetadata), MessageError> {
        let model = job.chooses_model().then(|| &job.route.models[progress.model_index]);
        let metadata = AttemptMetadata {
            replica: &entry.name,
            customer: job.customer.as_ref().map(|customer| &customer.name),
            time_left: job.time_left(Instant::now()),
            model,
            priority: job.route.has_shared_prompts.then(|| self.attempt_priority(job, progress)),
            last_event_id: progress.last_event_id.or(job.call.last_event_id),
        };
        let text = self.call_codec.write_attempt(&job.head, &metadata, job.body.len());
        let stream = &mut connection.stream;
        let (mut head, mut is_fully_sent) = stream.exchange(&text, &job.body).await?;
        for skipped_answers in 0.. {
            let metadata = self.call_codec.read_metadata(&head);
            if metadata.request_id == job.call.id {
                if job.head.is_head_request() {
                    // `Content-Length` is that of the answer to a GET; no body follows.
                    head.framing = BodyFraming::Length(0);
                }
                return Ok((head, is_fully_sent, metadata));
            }
            let fields = slog::o!(
                "request" => job.call.id_text(), "replica" => entry.name.to_string(),
                "status" => head.status, "connection" => stream.number(),
            );
            self.emit(LogEvent::AnswerMismatched, fields);
            if skipped_answers == MAX_SKIPPED_ANSWERS {
                break;
            }
            // The rest of the call is sent meanwhile.
            stream.skip_body(&head, answer_body::MAX_ANSWER_BYTES).await?;
            (head, is_fully_sent) = stream.read_next_head().await?;
        }
        Err(MessageError::Malformed("answers on the connection belong to other calls"))
    }

    /// Waits until an attempt without an answer should be abandoned; returns the one that is reserved
    /// in its place, or `None` if the configuration no longer allows the call. Never returns if no
    /// other attempt is possible.
    async fn wait_for_abandonment(
        self: &Arc<Self>,
        job: &CallJob,
        progress: &CallProgress,
        entry: &ReplicaEntry,
    ) -> Option<InFlightGuard> {
        if !self.may_run_again(job, progress) {
            return std::future::pending().await;
        }
        let (sent_at, objective) = (Instant::now(), job.route.latency_objective);
        if job.route.kind == CallKind::Stream {
            tokio::time::sleep(objective.mul_f64(INACTIVITY_FACTOR)).await;
            if self.fleet.lock().was_active_since(&entry.name, sent_at) {
                tokio::time::sleep_until(sent_at + objective.mul_f64(FIRST_BYTE_FACTOR)).await;
            }
        } else {
            tokio::time::sleep(objective.mul_f64(ANSWER_FACTOR)).await;
        }
        loop {
            match self.reserve_retry(job, progress).await {
                Ok(next) => return Some(next),
                Err(ReservationRefusal::Withdrawn) => return None,
                Err(ReservationRefusal::Exhausted) => return std::future::pending().await,
                Err(ReservationRefusal::NoRoom(_)) => {
                    tokio::time::sleep(RESERVATION_INTERVAL).await
                }
            }
        }
    }

    /// Index of the model that is to answer instead; `None` if the answer is kept.
    fn escalation_model_index(
        &self,
        job: &CallJob,
        progress: &CallProgress,
        metadata: &AnswerMetadata,
    ) -> Option<usize> {
        if !job.chooses_model() || progress.written_events > 0 {
            return None;
        }
        let largest_model_index = job.route.models.len() - 1;
        if job.plans_by_time {
            let escalates = progress.model_index < largest_model_index
                && self.may_run_again(job, progress)
                && self.escalates_by_time(job, metadata, largest_model_index);
            return escalates.then_some(largest_model_index);
        }
        cascade_plan::escalation_model_index(&cascade_plan::FirstAnswer {
            model_index: progress.model_index,
            model_count: job.route.models.len(),
            is_repeatable: self.may_run_again(job, progress),
            confidence: metadata.confidence,
            objective_left: job.objective_left(Instant::now()),
            latency_objective: job.route.latency_objective,
            largest_model_requests: self.requests_at_best_replica(job, largest_model_index),
        })
    }

    /// Whether the larger model is to answer, by what that would take now.
    fn escalates_by_time(
        &self,
        job: &CallJob,
        metadata: &AnswerMetadata,
        larger_model_index: usize,
    ) -> bool {
        let Some(confidence) = metadata.confidence else { return false };
        let Some(room) = self.room_at_best_replica(job, larger_model_index) else { return false };
        let model = &job.route.models[larger_model_index];
        let times = self.stream_times.lock().get(&job.service, model);
        let now = Instant::now();
        let answer = DoubtfulAnswer {
            confidence,
            objective_left: job.objective_left(now),
            latency_objective: job.route.latency_objective,
            time_left: job.time_left(now),
            generation_time: times.generation_time(job.call.max_output_tokens),
            requests: room.requests,
            relative_cost: room.relative_cost,
        };
        answer.escalates()
    }

    /// Adds a complete stream of this attempt alone to the times that streams take.
    fn record_stream_end(&self, job: &CallJob, progress: &CallProgress) {
        let is_whole = progress.written_events == progress.attempt_events;
        if let Some(model) = job.timed_model(progress.model_index).filter(|_| is_whole) {
            let mut times = self.stream_times.lock();
            let average = times.get_mut(&job.service, model);
            average.record_end(progress.attempt_events, job.call.max_output_tokens);
        }
    }

    /// Priority of an attempt at its replica.
    fn attempt_priority(&self, job: &CallJob, progress: &CallProgress) -> u8 {
        if !job.plans_by_time || !job.chooses_model() {
            return job.priority();
        }
        attempt_rank::attempt_rank(job.priority(), job.is_small_model(progress.model_index))
    }

    /// Returns a connection with no outstanding answer to the pool.
    pub(super) fn return_connection(&self, mut connection: ReplicaConnection, head: &ResponseHead) {
        connection.stream.mark_idle(head.keep_alive_timeout_s().map(Duration::from_secs));
        self.connection_pool.lock().put(connection);
    }
}
