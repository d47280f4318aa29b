//! Proofs that a call has not run and never will.
//!
//! Statuses 408, 421, 429 and 503 guarantee this to the caller. The types of this module have private
//! fields, so that a guarantee rests either on a request that was sent nowhere, or on the refusal of
//! each replica to which it was sent. A refusal counts for one attempt: it names the request and came on
//! the connection of that attempt, which had not carried the request before.

use bytes::Bytes;
use smallvec::SmallVec;

use super::call_codec::AnswerMetadata;

/// Request of a caller that was sent to no replica. Each request that is read has one of these; the
/// attempts of its call are recorded in [`CallRuns`].
#[derive(Debug)]
pub struct UnsentRequest(());

impl UnsentRequest {
    /// Called by the server once for each request, before it is read.
    pub fn before_reading() -> Self {
        Self(())
    }

    pub fn proof(&self) -> NotRunProof {
        NotRunProof(())
    }
}

/// Proof that the call has not run and never will.
#[derive(Debug)]
pub struct NotRunProof(());

/// Attempt whose request may have reached its replica.
#[derive(Debug)]
pub struct SentAttempt {
    /// Number of the attempt within the call, from 1.
    attempt: u32,
    connection: u64,
    /// Whether the call was sent on the connection before, so that a refusal may be a late copy.
    is_repeated: bool,
}

impl SentAttempt {
    /// Refusal of this attempt by its replica; `None` if the answer gives no guarantee, names another
    /// request or came on a connection that is another one or carried the call before.
    pub fn refusal(
        &self,
        request_id: Option<&Bytes>,
        metadata: &AnswerMetadata,
        connection: u64,
    ) -> Option<ReplicaRefusal> {
        let is_own = request_id.is_some()
            && metadata.request_id.as_ref() == request_id
            && connection == self.connection
            && !self.is_repeated;
        let attempt = self.attempt;
        (metadata.proves_not_run && is_own).then_some(ReplicaRefusal { attempt })
    }
}

/// Guarantee of a replica that one attempt did not run.
#[derive(Debug)]
pub struct ReplicaRefusal {
    attempt: u32,
}

/// Attempts of one call and what is known of their runs. The default has no request and proves nothing.
#[derive(Debug, Default)]
pub struct CallRuns {
    request: Option<UnsentRequest>,
    /// Connections of the sent attempts, in their order.
    connections: SmallVec<[u64; 4]>,
    /// Numbers of the sent attempts without a refusal.
    possible_runs: SmallVec<[u32; 4]>,
}

impl CallRuns {
    pub fn new(request: UnsentRequest) -> Self {
        Self { request: Some(request), ..Self::default() }
    }

    /// Records that the request is about to be sent on a connection.
    pub fn begin_attempt(&mut self, connection: u64) -> SentAttempt {
        let is_repeated = self.connections.contains(&connection);
        self.connections.push(connection);
        let attempt = self.sent_attempts();
        self.possible_runs.push(attempt);
        SentAttempt { attempt, connection, is_repeated }
    }

    /// Records the refusal of an attempt.
    pub fn record_refusal(&mut self, refusal: ReplicaRefusal) {
        self.possible_runs.retain(|attempt| *attempt != refusal.attempt);
    }

    /// Attempts on an open connection, so that the replica may have received the call.
    pub fn sent_attempts(&self) -> u32 {
        self.connections.len() as u32
    }

    /// Sent attempts without a replica's guarantee that they did not run.
    pub fn possible_runs(&self) -> u32 {
        self.possible_runs.len() as u32
    }

    /// Proof that the call has not run; `None` if an attempt may have run.
    pub fn proof(&self) -> Option<NotRunProof> {
        self.request.as_ref().filter(|_| self.possible_runs.is_empty()).map(UnsentRequest::proof)
    }
}
