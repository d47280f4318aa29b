//! Reads the answer of one step of a job, over as many attempts as it takes.
//!
//! A broken stream is resumed at the same replica; an attempt that delivered
//! nothing moves to another replica. Every attempt passes the dispatch checks
//! again. An answer whose tokens already left for the caller is never restarted.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::event_catalogue::LogEvent;
use crate::{
    chat_job, engine_client, error_body, ids, node, node_dispatch, refusal_reason, retry_budget,
    retry_reason,
};

/// Longest wait in a pool's queue for the first shares of its replicas. A node that was idle holds
/// none, and a new home takes up to 200 ms; leaving the pool earlier costs a dearer model.
const FIRST_SHARES_LIMIT: Duration = Duration::from_millis(300);

/// What the reader found next.
#[derive(Debug)]
pub enum ReaderEvent {
    /// Next token: its text and the event as received.
    Token(String, Bytes),
    /// Earlier tokens are void; the answer starts again.
    Restarted,
    /// The answer is whole.
    End(engine_client::TokenUsage, String),
}

struct Attempt {
    stream: engine_client::EngineStream,
    dispatch: node_dispatch::DispatchGuard,
    opened_at: Instant,
    first_token: bool,
}

/// Reader of one answer.
pub struct AnswerReader {
    node: Arc<node::Node>,
    job: Arc<chat_job::ChatJob>,
    target: chat_job::VersionTarget,
    body: Bytes,
    /// Whether tokens go to the caller as they arrive.
    streamed: bool,
    attempt: Option<Attempt>,
    tried: SmallVec<[ids::ReplicaName; 4]>,
    attempts: u32,
    tokens: u64,
    ended: bool,
    created_at: Instant,
    first_token: Option<Duration>,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    last_error: Option<engine_client::AttemptError>,
    /// Whether the next attempt has to be paid from the retry budget.
    must_pay: bool,
    /// Longest wait of the first attempt in the pool's queue; none for the request's deadline.
    queue_limit: Option<Duration>,
}

impl AnswerReader {
    /// Reader that has sent nothing yet.
    pub fn new(
        node: Arc<node::Node>,
        job: Arc<chat_job::ChatJob>,
        target: chat_job::VersionTarget,
        streamed: bool,
    ) -> Self {
        let body = job.request.engine_body(&target.model.name, &target.version);
        Self {
            node,
            job,
            target,
            body,
            streamed,
            attempt: None,
            tried: SmallVec::new(),
            attempts: 0,
            tokens: 0,
            ended: false,
            created_at: Instant::now(),
            first_token: None,
            may_have_run: false,
            last_error: None,
            must_pay: false,
            queue_limit: None,
        }
    }

    /// Refuses with `overloaded` when the first attempt waits longer in the pool's queue, but for
    /// the first shares of the pool.
    pub fn limit_queue(&mut self, limit: Duration) {
        self.queue_limit = Some(limit);
    }

    /// Model and version that answer.
    pub fn target(&self) -> &chat_job::VersionTarget {
        &self.target
    }

    /// Time from the first send to the first token, once there was one.
    pub fn first_token(&self) -> Option<Duration> {
        self.first_token
    }

    /// Tokens received so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Next event of the answer.
    ///
    /// # Errors
    /// With a refusal when no attempt is left, a dispatch check fails or the deadline passes.
    pub async fn next(&mut self) -> Result<ReaderEvent, error_body::RequestRefusal> {
        let deadline = self.job.deadline;
        match tokio::time::timeout_at(deadline, self.next_event()).await {
            Ok(found) => found,
            Err(_) => {
                // An attempt that was being opened may have reached its replica.
                self.may_have_run |= self.attempts > 0;
                let reason = refusal_reason::RefusalReason::DeadlineExceeded;
                Err(self.refusal(reason, "deadline passed"))
            }
        }
    }

    async fn next_event(&mut self) -> Result<ReaderEvent, error_body::RequestRefusal> {
        loop {
            if self.attempt.is_none() {
                let restarted = self.open_elsewhere().await?;
                if restarted {
                    return Ok(ReaderEvent::Restarted);
                }
            }
            let Some(attempt) = self.attempt.as_mut() else { continue };
            match attempt.stream.next().await {
                Ok(engine_client::EngineEvent::Token(_, text, raw)) => {
                    if !attempt.first_token {
                        attempt.first_token = true;
                        let elapsed = attempt.opened_at.elapsed();
                        self.first_token.get_or_insert(self.created_at.elapsed());
                        self.node.record_first_token(&attempt.dispatch, elapsed);
                    }
                    self.tokens += 1;
                    return Ok(ReaderEvent::Token(text, raw));
                }
                Ok(engine_client::EngineEvent::End(usage, reason)) => {
                    self.ended = true;
                    let attempt = self.attempt.take();
                    if let Some(attempt) = attempt {
                        self.note_mismatched(&attempt);
                        self.node.record_success(&attempt.dispatch);
                    }
                    return Ok(ReaderEvent::End(usage, reason));
                }
                Err(error) => self.recover(error).await?,
            }
        }
    }

    /// Opens an attempt, first at replicas that were not tried; true when tokens became void.
    async fn open_elsewhere(&mut self) -> Result<bool, error_body::RequestRefusal> {
        loop {
            let dispatch = self.dispatch().await?;
            self.pay_for(&dispatch)?;
            self.attempts += 1;
            // A silent connection may come from the pool, so a retry opens a new one.
            let fresh = self.last_error.is_some();
            match self.open_at(dispatch, 0, fresh).await {
                Ok(attempt) => {
                    self.attempt = Some(attempt);
                    let void = self.tokens > 0;
                    self.tokens = 0;
                    return Ok(void);
                }
                Err((error, dispatch)) => {
                    self.tried.push(dispatch.row.name.clone());
                    self.may_retry(error)?;
                }
            }
        }
    }

    /// Chooses a replica; tried ones come again when no other is left.
    async fn dispatch(
        &mut self,
    ) -> Result<node_dispatch::DispatchGuard, error_body::RequestRefusal> {
        let (node, job) = (Arc::clone(&self.node), Arc::clone(&self.job));
        let waiting = node.dispatch(&job, &self.target, &self.tried, self.attempts);
        let awaits_shares = self.queue_limit.is_some() && node.awaits_first_shares(&self.target);
        let shares_limit = if awaits_shares { FIRST_SHARES_LIMIT } else { Duration::ZERO };
        let chosen = match self.queue_limit.filter(|_| self.attempts == 0) {
            Some(limit) => {
                tokio::time::timeout(limit.max(shares_limit), waiting).await.unwrap_or_else(|_| {
                    let reason = refusal_reason::RefusalReason::Overloaded;
                    Err(node_dispatch::unsent_refusal(reason))
                })
            }
            None => waiting.await,
        };
        let Err(refusal) = chosen else { return chosen };
        let exhausted = refusal.reason == refusal_reason::RefusalReason::BackendFailed;
        if !exhausted || self.tried.is_empty() {
            return Err(refusal.after_attempts(self.may_have_run));
        }
        self.tried.clear();
        let chosen = node.dispatch(&job, &self.target, &self.tried, self.attempts).await;
        chosen.map_err(|refusal| refusal.after_attempts(self.may_have_run))
    }

    async fn open_at(
        &mut self,
        dispatch: node_dispatch::DispatchGuard,
        resume_offset: u64,
        fresh_connection: bool,
    ) -> Result<Attempt, (engine_client::AttemptError, node_dispatch::DispatchGuard)> {
        let address = dispatch.row.address;
        // The copy of an earlier refusal on a kept connection would have the same identifier.
        let fresh_connection = self.job.record_send(address) || fresh_connection;
        let call = engine_client::EngineCall {
            address,
            request_id: self.job.id,
            body: self.body.clone(),
            resume_offset,
            priority: self.job.request.priority,
            time_left: self.job.deadline.saturating_duration_since(Instant::now()),
            fresh_connection,
        };
        match self.node.engine.open(&call).await {
            Ok(stream) => {
                self.node.record_boot(&dispatch, stream.boot.as_ref());
                let opened_at = Instant::now();
                Ok(Attempt { stream, dispatch, opened_at, first_token: resume_offset > 0 })
            }
            Err(error) => {
                if error.reason == retry_reason::RetryReason::AnswerMismatched {
                    self.record_mismatched(&dispatch, 1);
                }
                self.node.record_failure(&dispatch, &error);
                Err((error, dispatch))
            }
        }
    }

    /// Counts events of other requests that the attempt dropped.
    fn note_mismatched(&self, attempt: &Attempt) {
        let count = attempt.stream.mismatched();
        if count > 0 {
            self.record_mismatched(&attempt.dispatch, count);
        }
    }

    fn record_mismatched(&self, dispatch: &node_dispatch::DispatchGuard, count: u64) {
        metrics::counter!("yuccareel_events_mismatched_total").increment(count);
        let replica = dispatch.row.name.to_string();
        self.node.emit(LogEvent::AnswerMismatched, slog::o!("replica" => replica));
    }

    /// Resumes a broken attempt at its replica, or gives the replica up.
    async fn recover(
        &mut self,
        error: engine_client::AttemptError,
    ) -> Result<(), error_body::RequestRefusal> {
        let Some(attempt) = self.attempt.take() else { return Ok(()) };
        self.note_mismatched(&attempt);
        self.node.record_failure(&attempt.dispatch, &error);
        self.may_retry(error)?;
        let offset = attempt.stream.next_offset();
        let name = attempt.dispatch.row.name.clone();
        drop(attempt.stream);
        if offset > 0 {
            self.node.recheck_dispatch(&self.job, &self.target, &attempt.dispatch)?;
            self.attempts += 1;
            match self.open_at(attempt.dispatch, offset, true).await {
                Ok(attempt) => {
                    self.attempt = Some(attempt);
                    let request = format!("{:032x}", self.job.id);
                    self.node.emit(LogEvent::StreamResumed, slog::o!("request" => request));
                    return Ok(());
                }
                Err((error, _)) => self.may_retry(error)?,
            }
        }
        self.tried.push(name);
        if self.streamed && offset > 0 {
            let request = format!("{:032x}", self.job.id);
            self.node.emit(LogEvent::StreamTruncated, slog::o!("request" => request));
            let reason = refusal_reason::RefusalReason::AnswerTruncated;
            return Err(self.refusal(reason, "answer could not be resumed"));
        }
        Ok(())
    }

    fn may_retry(
        &mut self,
        error: engine_client::AttemptError,
    ) -> Result<(), error_body::RequestRefusal> {
        self.may_have_run |= error.ran == error_body::RunState::Unknown;
        let reason = error.reason;
        let progress = match (error.ran, self.tokens > 0) {
            (error_body::RunState::No, _) => retry_budget::AttemptProgress::NotSent,
            (error_body::RunState::Unknown, false) => retry_budget::AttemptProgress::MaybeSent,
            (error_body::RunState::Unknown, true) => retry_budget::AttemptProgress::AnswerStarted,
        };
        let decision = retry_budget::decide_retry(error.reason, true, progress, self.attempts);
        self.last_error = Some(error);
        self.must_pay = decision == retry_budget::RetryDecision::RetryWithinBudget;
        if decision == retry_budget::RetryDecision::DoNotRetry {
            return Err(self.failure());
        }
        metrics::counter!("yuccareel_retries_total", "reason" => reason.code()).increment(1);
        let request = format!("{:032x}", self.job.id);
        let fields = slog::o!("request" => request, "reason" => reason.code());
        self.node.emit(LogEvent::AttemptRetried, fields);
        Ok(())
    }

    /// Pays for a retry at the replica that it goes to.
    fn pay_for(
        &mut self,
        dispatch: &node_dispatch::DispatchGuard,
    ) -> Result<(), error_body::RequestRefusal> {
        let pays = std::mem::take(&mut self.must_pay);
        if pays && !self.node.try_take_retry(&self.job.customer.name, &dispatch.row.name) {
            return Err(self.failure());
        }
        Ok(())
    }

    /// Refusal after the last failed attempt.
    fn failure(&self) -> error_body::RequestRefusal {
        let Some(error) = &self.last_error else {
            return self.refusal(refusal_reason::RefusalReason::BackendFailed, "no attempt left");
        };
        self.refusal(failure_reason(error.reason, self.tokens > 0), &error.to_string())
    }

    fn refusal(
        &self,
        reason: refusal_reason::RefusalReason,
        message: &str,
    ) -> error_body::RequestRefusal {
        if self.may_have_run || self.attempt.is_some() {
            return error_body::RequestRefusal::may_have_run(reason, message);
        }
        error_body::RequestRefusal::not_run(reason, message)
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        let Some(attempt) = self.attempt.take() else { return };
        if self.ended {
            return;
        }
        let (engine, id) = (self.node.engine.clone(), self.job.id);
        let address = attempt.dispatch.row.address;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { engine.cancel(address, id).await });
        }
    }
}

fn failure_reason(
    reason: retry_reason::RetryReason,
    delivered: bool,
) -> refusal_reason::RefusalReason {
    match reason {
        retry_reason::RetryReason::BackendCold => refusal_reason::RefusalReason::ColdStart,
        retry_reason::RetryReason::BackendBusy => refusal_reason::RefusalReason::Overloaded,
        retry_reason::RetryReason::VersionNotServed => refusal_reason::RefusalReason::NoReplica,
        retry_reason::RetryReason::StreamTruncated | retry_reason::RetryReason::ProgressTimeout
            if delivered =>
        {
            refusal_reason::RefusalReason::AnswerTruncated
        }
        _ => refusal_reason::RefusalReason::BackendFailed,
    }
}
