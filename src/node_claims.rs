//! Claim system: asks the owner of a shard, here or at a peer.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::event_catalogue::LogEvent;
use crate::refusal_reason::RefusalReason;
use crate::{
    bill_batch, claim_record, claim_table, error_body, ids, node, node_config, peer_message,
};

/// Time for which a claim at this node waits for the end of another request under its key
/// before it answers `Running`, so that a peer's call does not time out.
const RUNNING_WAIT: Duration = Duration::from_millis(250);
/// Shortest time for one claim at a peer: a group commit or the wait for another request.
const CLAIM_LIMIT_MIN: Duration = Duration::from_millis(500);
/// Time between two tries to claim.
const CLAIM_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a claim is tried while the shard has no owner.
const CLAIM_TIME: Duration = Duration::from_secs(5);
/// Time between two looks for answers whose shards this node lost.
const ORPHAN_INTERVAL: Duration = Duration::from_secs(1);
/// Tries to tell the owner how a call ended.
const FINISH_TRIES: u32 = 20;

/// Decision on a call that must not be repeated.
#[derive(Debug)]
pub enum CallClaim {
    /// Send the call once.
    Send,
    /// Answer of the earlier call.
    Replay(claim_record::ClaimAnswer),
}

impl node::Node {
    /// Owns shards and stores claims until the node stops.
    pub async fn run_claims(self: Arc<Self>) {
        let claims = Arc::clone(&self.claims);
        let owning = claims.run(self.stopped.clone());
        let passing = async {
            loop {
                tokio::select! {
                    () = self.stopped.cancelled() => return,
                    () = tokio::time::sleep(ORPHAN_INTERVAL) => self.pass_orphans(),
                }
            }
        };
        tokio::join!(owning, passing);
        self.pass_orphans();
    }

    /// Passes answers of calls whose shards this node lost, to their new owners.
    fn pass_orphans(self: &Arc<Self>) {
        for orphan in self.claims.take_orphans() {
            self.end_call(peer_message::FinishRequest {
                key: orphan.key,
                request: orphan.request,
                answer: Some(orphan.answer),
            });
        }
    }

    /// Claims a call; returns when it may be sent or an earlier answer is known.
    ///
    /// # Errors
    /// `claims_unavailable` and `idempotency_conflict`, when nothing was sent under this
    /// request; `outcome_unknown` when an earlier request under the key may have run.
    pub async fn claim_call(
        &self,
        request: &claim_record::ClaimRequest,
        deadline: Instant,
    ) -> Result<CallClaim, error_body::RequestRefusal> {
        let give_up = deadline.min(Instant::now() + CLAIM_TIME);
        loop {
            // Half of what is left, so that a claim that meets a silent connection is repeated
            // over a new one. The owner grants a repeated claim again.
            let left = give_up.saturating_duration_since(Instant::now());
            let reply = self.claim_at_owner(request, CLAIM_LIMIT_MIN.max(left / 2)).await;
            let unavailable = match reply {
                peer_message::ClaimReply::Granted => return Ok(CallClaim::Send),
                peer_message::ClaimReply::Finished(answer) => return Ok(CallClaim::Replay(answer)),
                peer_message::ClaimReply::Unknown => {
                    return Err(error_body::RequestRefusal::may_have_run(
                        RefusalReason::OutcomeUnknown,
                        "an earlier call under this key may have run",
                    ));
                }
                peer_message::ClaimReply::Conflict => {
                    return Err(error_body::RequestRefusal::not_run(
                        RefusalReason::IdempotencyConflict,
                        "idempotency key was used for another request",
                    ));
                }
                peer_message::ClaimReply::Running if Instant::now() < deadline => continue,
                peer_message::ClaimReply::Running => {
                    return Err(error_body::RequestRefusal::may_have_run(
                        RefusalReason::OutcomeUnknown,
                        "an earlier call under this key has not ended",
                    ));
                }
                peer_message::ClaimReply::NotOwner => "claim shard has no owner yet".to_owned(),
                peer_message::ClaimReply::Unavailable(message) => message,
            };
            if Instant::now() >= give_up {
                self.emit(LogEvent::ClaimsUnavailable, slog::o!("cause" => unavailable.clone()));
                let reason = RefusalReason::ClaimsUnavailable;
                return Err(error_body::RequestRefusal::not_run(reason, unavailable));
            }
            tokio::time::sleep(CLAIM_PAUSE).await;
        }
    }

    async fn claim_at_owner(
        &self,
        request: &claim_record::ClaimRequest,
        limit: Duration,
    ) -> peer_message::ClaimReply {
        match self.decide_claim(request.clone()).await {
            Err(Some(owner)) => self.claim_at_peer(&owner, request, limit).await,
            Err(None) => peer_message::ClaimReply::NotOwner,
            Ok(reply) => reply,
        }
    }

    async fn claim_at_peer(
        &self,
        owner: &ids::InstanceName,
        request: &claim_record::ClaimRequest,
        limit: Duration,
    ) -> peer_message::ClaimReply {
        let Some(peer) = self.peer_address(bill_batch::instance_name(owner)) else {
            return peer_message::ClaimReply::NotOwner;
        };
        let asked = peer_message::ClaimRequest {
            claimant: request.serving.clone(),
            key: request.key,
            fingerprint: request.fingerprint,
            request: request.request,
        };
        // A claim that was granted in an answer that got lost is granted again under the same
        // request id.
        let reply = self.peers.claim(peer, limit, &asked).await;
        reply.unwrap_or_else(|error| peer_message::ClaimReply::Unavailable(error.to_string()))
    }

    /// Decides a claim as owner; the error names the process that should own the shard.
    pub async fn decide_claim(
        &self,
        request: claim_record::ClaimRequest,
    ) -> Result<peer_message::ClaimReply, Option<ids::InstanceName>> {
        use peer_message::ClaimReply as Reply;
        Ok(match self.claims.claim(request).await {
            claim_table::ClaimVerdict::Run => Reply::Granted,
            claim_table::ClaimVerdict::Replay(answer) => Reply::Finished(answer),
            claim_table::ClaimVerdict::UnknownOutcome => Reply::Unknown,
            claim_table::ClaimVerdict::Conflict => Reply::Conflict,
            claim_table::ClaimVerdict::Unavailable(error) => Reply::Unavailable(error.to_string()),
            claim_table::ClaimVerdict::NotOwner(owner) => {
                return Err(owner.filter(|owner| *owner != self.process));
            }
            claim_table::ClaimVerdict::InProgress(end) => {
                match tokio::time::timeout(RUNNING_WAIT, end).await {
                    Ok(Ok(claim_table::ClaimEnd::Finished(answer))) => Reply::Finished(answer),
                    Ok(Ok(claim_table::ClaimEnd::OutcomeUnknown)) => Reply::Unknown,
                    Ok(Ok(claim_table::ClaimEnd::NotRun | claim_table::ClaimEnd::Moved))
                    | Ok(Err(_))
                    | Err(_) => Reply::Running,
                }
            }
        })
    }

    /// Tells the owner how a call ended, until the owner has it or the tries are used up.
    pub fn end_call(self: &Arc<Self>, finish: peer_message::FinishRequest) {
        let node = Arc::clone(self);
        self.tasks.spawn(async move {
            for _ in 0..FINISH_TRIES {
                if node.try_end(&finish).await {
                    return;
                }
                tokio::time::sleep(CLAIM_PAUSE).await;
            }
            metrics::counter!("yuccareel_claim_ends_lost_total").increment(1);
            let request = format!("{:032x}", finish.request);
            node.emit(LogEvent::ClaimOutcomeUnknown, slog::o!("request" => request));
        });
    }

    async fn try_end(&self, finish: &peer_message::FinishRequest) -> bool {
        let owner = match self.end_here(finish.clone()) {
            Ok(()) | Err(claim_table::ClaimEndError::NotHeld) => return true,
            Err(claim_table::ClaimEndError::Loading) => return false,
            Err(claim_table::ClaimEndError::NotOwner(owner)) => owner,
        };
        let Some(owner) = owner.filter(|owner| *owner != self.process) else { return false };
        let Some(peer) = self.peer_address(bill_batch::instance_name(&owner)) else { return false };
        self.peers.finish_claim(peer, node_config::SPREAD_LIMIT, finish).await.is_ok()
    }

    /// Ends a call as owner of its shard.
    ///
    /// # Errors
    /// When this node does not own the shard or the request does not hold the key.
    pub fn end_here(
        &self,
        finish: peer_message::FinishRequest,
    ) -> Result<(), claim_table::ClaimEndError> {
        match finish.answer {
            Some(answer) => self.claims.finish(finish.key, finish.request, answer),
            None => self.claims.abandon(finish.key, finish.request),
        }
    }
}
