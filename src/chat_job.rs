//! One admitted chat request on its way through the cascade.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{chat_request, ids, records};

/// Admitted chat request.
#[derive(Debug)]
pub struct ChatJob {
    /// Identifier in replies, bills and engine calls.
    pub id: ids::RequestId,
    /// Customer that pays.
    pub customer: Arc<records::customer::CustomerRecord>,
    /// What the caller asked for.
    pub request: chat_request::ChatRequest,
    /// Time by which the answer must be whole.
    pub deadline: Instant,
    /// Addresses to which the request was sent, over all its steps.
    pub sent_addresses: Mutex<SmallVec<[SocketAddr; 2]>>,
}

impl ChatJob {
    /// Records a send; returns whether the request was sent to the address before.
    pub fn record_send(&self, address: SocketAddr) -> bool {
        let mut addresses = self.sent_addresses.lock();
        let is_known = addresses.contains(&address);
        if !is_known {
            addresses.push(address);
        }
        is_known
    }
}

/// Model and version that one step of a job uses.
#[derive(Clone, Debug)]
pub struct VersionTarget {
    /// Model.
    pub model: Arc<records::model::ModelRecord>,
    /// Version.
    pub version: ids::VersionName,
    /// Whether the session had to leave a version that it may no longer use.
    pub repinned: bool,
}
