//! Calls of peers, answered by this node.

use std::sync::Arc;

use futures::FutureExt as _;

use crate::peer_handler::{Answer, PeerHandler, PeerRefusal};
use crate::{
    bill_ledger, claim_record, claim_table, node, peer_message, quota_message, session_table,
};

/// Answers the calls of peers.
pub struct NodeHandler {
    node: Arc<node::Node>,
}

impl NodeHandler {
    /// Handler of a node.
    pub fn new(node: Arc<node::Node>) -> Self {
        Self { node }
    }

    fn answer<T: Send + 'static>(&self, run: impl FnOnce(Arc<node::Node>) -> T) -> Answer<T> {
        let answer = run(Arc::clone(&self.node));
        async move { Ok(answer) }.boxed()
    }
}

impl PeerHandler for NodeHandler {
    fn heartbeat(
        &self,
        heartbeat: peer_message::Heartbeat,
    ) -> Answer<peer_message::HeartbeatReply> {
        let node = Arc::clone(&self.node);
        async move {
            let now = node.clock();
            let own = node.status();
            let reply = node.members.lock().receive(now, &heartbeat, own);
            node.note_sender(&heartbeat);
            if let Some(peer) = node.peer_address(&heartbeat.sender) {
                let status = heartbeat.status;
                tokio::spawn(async move { node.fetch_news(&status, peer).await });
            }
            Ok(reply)
        }
        .boxed()
    }

    fn push_change(&self, request: peer_message::PushRequest) -> Answer<peer_message::PushReply> {
        self.answer(|node| {
            node.apply_changes(&request.changes);
            let news = !request.instances.is_empty() || !request.removed_instances.is_empty();
            if news && node.apply_listed(&request) {
                node.push(peer_message::PushRequest { changes: Vec::new(), ..request });
            }
            peer_message::PushReply { sequence: node.log.lock().sequence() }
        })
    }

    fn fetch_changes(
        &self,
        request: peer_message::FetchRequest,
    ) -> Answer<peer_message::FetchReply> {
        self.answer(|node| {
            let configuration = node.log.lock().changes_after(request.after);
            let listed = node.listed.lock();
            let read_at = listed.read_at.filter(|_| request.with_instances);
            let instances = read_at.map(|read_at| peer_message::FetchedList {
                entries: listed.entries.clone(),
                age_ms: node.clock().saturating_sub(read_at).as_millis() as u64,
            });
            peer_message::FetchReply { configuration, instances }
        })
    }

    fn request_quota(
        &self,
        request: quota_message::ShareRequest,
    ) -> Answer<quota_message::ShareReply> {
        self.answer(|node| node.grant_shares(&request))
    }

    fn hand_over_quota(
        &self,
        handover: peer_message::QuotaHandover,
    ) -> Answer<Vec<quota_message::ResourceHandover>> {
        self.answer(|node| node.accept_handover(&handover))
    }

    fn report_cold(&self, report: peer_message::ColdReport) -> Answer<()> {
        self.answer(|node| node.apply_warmup_signal(&report.replica, report.sign))
    }

    fn pin_session(&self, request: peer_message::PinRequest) -> Answer<session_table::SessionPin> {
        self.answer(|node| node.sessions.lock().accept_pin(request.key, request.pin, node.clock()))
    }

    fn look_up_session(
        &self,
        key: session_table::SessionModel,
    ) -> Answer<Option<session_table::SessionPin>> {
        self.answer(|node| node.sessions.lock().get(&key, node.clock()).cloned())
    }

    fn claim(&self, request: peer_message::ClaimRequest) -> Answer<peer_message::ClaimReply> {
        let node = Arc::clone(&self.node);
        async move {
            let claim = claim_record::ClaimRequest {
                key: request.key,
                fingerprint: request.fingerprint,
                request: request.request,
                serving: request.claimant,
            };
            Ok(node.decide_claim(claim).await.unwrap_or(peer_message::ClaimReply::NotOwner))
        }
        .boxed()
    }

    fn finish_claim(&self, request: peer_message::FinishRequest) -> Answer<()> {
        let ended = self.node.end_here(request);
        async move {
            match ended {
                Ok(()) | Err(claim_table::ClaimEndError::NotHeld) => Ok(()),
                Err(error) => Err(PeerRefusal(error.to_string())),
            }
        }
        .boxed()
    }

    fn copy_bills(&self, copy: bill_ledger::BillCopy) -> Answer<()> {
        let accepted = self.node.copies.accept(copy);
        async move { accepted.map_err(|error| PeerRefusal(error.to_string())) }.boxed()
    }

    fn send_evidence(
        &self,
        report: peer_message::LearningReport,
    ) -> Answer<peer_message::LearningReply> {
        self.answer(|node| node.apply_learning_report(report))
    }
}
