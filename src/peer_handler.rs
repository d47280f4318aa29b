//! Calls between nodes as the node implements them.
//!
//! The trait stands at the process edge: `peer_service` serves an implementation
//! to other nodes, `peer_client` makes the same calls over the network.

use futures::future::BoxFuture;

use crate::{bill_ledger, peer_message, quota_message, session_table};

/// Refusal of a call by the node that was called.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct PeerRefusal(pub String);

/// Answer to a call.
pub type Answer<T> = BoxFuture<'static, Result<T, PeerRefusal>>;

/// Node that answers the calls of its peers.
///
/// An answer is driven by the runtime on which the service was started, and is
/// completed even when the caller no longer waits.
pub trait PeerHandler: Send + Sync + 'static {
    /// Merges a heartbeat.
    fn heartbeat(&self, heartbeat: peer_message::Heartbeat)
    -> Answer<peer_message::HeartbeatReply>;

    /// Applies new changes and changed instances.
    fn push_change(&self, request: peer_message::PushRequest) -> Answer<peer_message::PushReply>;

    /// Returns what the caller misses.
    fn fetch_changes(
        &self,
        request: peer_message::FetchRequest,
    ) -> Answer<peer_message::FetchReply>;

    /// Grants shares of resources.
    fn request_quota(
        &self,
        request: quota_message::ShareRequest,
    ) -> Answer<quota_message::ShareReply>;

    /// Takes over outstanding shares of a home that shuts down.
    fn hand_over_quota(
        &self,
        handover: peer_message::QuotaHandover,
    ) -> Answer<Vec<quota_message::ResourceHandover>>;

    /// Reduces the quantity of a replica that turned cold.
    fn report_cold(&self, report: peer_message::ColdReport) -> Answer<()>;

    /// Keeps a pin; returns the pin in effect, which is an earlier one if there is one.
    fn pin_session(&self, request: peer_message::PinRequest) -> Answer<session_table::SessionPin>;

    /// Looks up a pin.
    fn look_up_session(
        &self,
        key: session_table::SessionModel,
    ) -> Answer<Option<session_table::SessionPin>>;

    /// Decides a claim.
    fn claim(&self, request: peer_message::ClaimRequest) -> Answer<peer_message::ClaimReply>;

    /// Records the outcome of a claimed call.
    fn finish_claim(&self, request: peer_message::FinishRequest) -> Answer<()>;

    /// Keeps copies of bills.
    fn copy_bills(&self, copy: bill_ledger::BillCopy) -> Answer<()>;

    /// Adds evidence of versions and counts of rated answers.
    fn send_evidence(
        &self,
        report: peer_message::LearningReport,
    ) -> Answer<peer_message::LearningReply>;
}
