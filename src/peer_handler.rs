//! Calls between nodes as the node implements them.
//!
//! The trait stands at the process edge: `peer_service` serves an implementation
//! to other nodes, `peer_client` makes the same calls over the network.

use futures::future::BoxFuture;

use crate::peer_message;

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
        request: peer_message::QuotaRequest,
    ) -> Answer<peer_message::QuotaReply>;

    /// Takes over outstanding shares of a home that shuts down.
    fn hand_over_quota(&self, handover: peer_message::QuotaHandover) -> Answer<()>;

    /// Reduces the quantity of a replica that turned cold.
    fn report_cold(&self, report: peer_message::ColdReport) -> Answer<()>;

    /// Keeps a pin; returns the pin in effect, which is an earlier one if there is one.
    fn pin_session(&self, pin: peer_message::SessionPin) -> Answer<peer_message::SessionPin>;

    /// Looks up a pin.
    fn look_up_session(
        &self,
        name: peer_message::SessionName,
    ) -> Answer<Option<peer_message::SessionPin>>;

    /// Decides a claim.
    fn claim(&self, request: peer_message::ClaimRequest) -> Answer<peer_message::ClaimReply>;

    /// Records the outcome of a claimed call.
    fn finish_claim(&self, request: peer_message::FinishRequest) -> Answer<()>;

    /// Keeps copies of bills.
    fn copy_bills(&self, copies: peer_message::BillCopies) -> Answer<()>;

    /// Drops copies of bills that were flushed.
    fn bills_flushed(&self, flushed: peer_message::BillsFlushed) -> Answer<()>;

    /// Adds evidence of versions.
    fn send_evidence(&self, report: peer_message::EvidenceReport) -> Answer<()>;
}
