//! Connection to a replica, with the calls that must not be sent on it again.
//!
//! A replica may send an answer twice, the second one late. Answers are matched to calls by the
//! identifier of the call, which does not tell the copy from the answer to the same call sent once
//! more. A call that was refused or failed is therefore sent again only on another connection.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::http1::connection::ClientConnection;
use crate::http1::message_error::MessageError;

/// Failed calls after which a connection is not reused, as it remembers no more of them.
const MAX_FAILED_CALLS: usize = 16;

#[derive(Debug)]
pub struct ReplicaConnection {
    pub stream: ClientConnection,
    /// Hashes of the identifiers of calls whose answer was no success.
    failed_calls: SmallVec<[u64; 2]>,
}

impl ReplicaConnection {
    /// Connects to a replica; see [`ClientConnection::connect`].
    ///
    /// # Errors
    /// When the connection fails or is not established within `timeout`.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
        idle_timeout: Duration,
    ) -> Result<Self, MessageError> {
        let stream = ClientConnection::connect(address, timeout, idle_timeout).await?;
        Ok(Self { stream, failed_calls: SmallVec::new() })
    }

    /// Records that the replica refused or failed a call.
    pub fn record_failure(&mut self, call_hash: u64) {
        self.failed_calls.push(call_hash);
    }

    /// Whether the call has failed on this connection.
    pub fn has_failed(&self, call_hash: u64) -> bool {
        self.failed_calls.contains(&call_hash)
    }

    /// Whether further failures can be recorded.
    pub fn can_record_failures(&self) -> bool {
        self.failed_calls.len() < MAX_FAILED_CALLS
    }
}
