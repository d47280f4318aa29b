//! Interface to the platform's message format.
//!
//! The relay handles heads through [`CallCodec`], which an adapter for the platform implements, so
//! that header names and paths stay out of the relay.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::call_request::CallRequest;
use super::replica_notice::AnswerNotice;
use crate::http1::request_head::RequestHead;
use crate::http1::response_head::ResponseHead;
use crate::ids;

/// Values that the router adds to the request of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptMetadata<'a> {
    /// Intended replica; another replica that now has the address refuses the request.
    pub replica: &'a ids::ReplicaName,
    /// Customer of the caller's key; `None` if the route needs no key.
    pub customer: Option<&'a ids::CustomerName>,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Model chosen by the router; `None` leaves the caller's model in place.
    pub model: Option<&'a ids::ModelName>,
    /// Priority from 0, the most urgent, to 9; `None` on routes without shared prompts.
    pub priority: Option<u8>,
    /// Event after which a stream is to resume.
    pub last_event_id: Option<u64>,
}

/// Load reported by a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued at the replica.
    pub waiting: u32,
}

/// Metadata in the head of a replica's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// Identifier of the answered request.
    pub request_id: Option<Bytes>,
    /// Whether the replica guarantees that the request did not run and never will.
    pub proves_not_run: bool,
    /// Whether the answer comes from another replica than the intended one.
    pub is_misdirected: bool,
    /// Whether the answer carries the signature of a replica.
    pub is_signed: bool,
    /// Load of the replica when it answered.
    pub load: Option<ReplicaLoad>,
    /// Time that work takes on the replica's machine, relative to the usual, if the answer states it.
    pub work_factor: Option<f64>,
    /// Model's confidence in its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// Time until the replica is warm.
    pub cold_left: Option<Duration>,
    /// Name of the replica, if the answer states it.
    pub replica: Option<Bytes>,
    /// What the replica says of its willingness to take requests.
    pub notice: AnswerNotice,
    /// Requests per second that the replica takes from all instances together; `None` if it states no
    /// limit.
    pub rate_limit_per_s: Option<f64>,
}

impl AnswerMetadata {
    /// Why an answer must not be forwarded; `None` if it may be.
    ///
    /// A success must carry the replica's signature. A status that guarantees callers that a
    /// request did not run must carry the same guarantee of the replica.
    pub fn rejection_cause(&self, head: &ResponseHead) -> Option<&'static str> {
        let is_encoded = head.headers.get("content-encoding").is_some();
        match head.status {
            200..300 if !self.is_signed => Some("success without the replica's signature"),
            200..300 if is_encoded => Some("unrequested content encoding"),
            408 | 429 | 503 if !self.proves_not_run => Some("refusal without proof of no run"),
            _ => None,
        }
    }
}

/// Request to the router itself, at its discovery address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// Readiness check.
    Readiness,
    /// Addresses of instances that accept calls.
    Directory {
        region: Option<String>,
        /// Data centre nearest to the caller.
        data_centre: Option<String>,
    },
    /// Unknown path.
    Unknown,
}

/// Reads and writes message heads in the platform's format.
pub trait CallCodec: Send + Sync {
    /// Decodes the head of a caller's request.
    fn read_call(&self, head: &RequestHead) -> CallRequest;

    /// Encodes the head of a request to a replica; a body of `body_bytes` follows it.
    fn write_attempt(
        &self,
        head: &RequestHead,
        metadata: &AttemptMetadata<'_>,
        body_bytes: usize,
    ) -> Vec<u8>;

    /// Decodes the head of a replica's answer.
    fn read_metadata(&self, head: &ResponseHead) -> AnswerMetadata;

    /// Encodes the head of a load probe to the replica at `address`.
    fn write_load_probe(&self, address: SocketAddr) -> Vec<u8>;

    /// Decodes the body that answers a load probe; `None` if it is malformed.
    fn read_load(&self, body: &[u8]) -> Option<ReplicaLoad>;

    /// Decodes a request to the router itself.
    fn read_discovery_request(&self, head: &RequestHead) -> DiscoveryRequest;

    /// Encodes the body that answers [`DiscoveryRequest::Directory`]. Callers may cache the
    /// addresses for `ttl`.
    fn write_directory(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;
}
