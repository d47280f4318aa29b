//! Traits towards callers and replicas, which an adapter implements.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::call_request::CallRequest;
use crate::http1::request_head::RequestHead;
use crate::http1::response_head::ResponseHead;
use crate::ids;

/// What the router states of an attempt in the request to the replica.
#[derive(Clone, Debug)]
pub struct AttemptMetadata<'a> {
    /// Replica that is meant; another one at the same address refuses.
    pub replica: &'a ids::ReplicaName,
    /// Customer to whom the caller's key belongs.
    pub customer: Option<&'a ids::CustomerName>,
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// Model that the router chose.
    pub model: Option<&'a ids::ModelName>,
    /// Urgency, 0 being the most urgent.
    pub priority: Option<u8>,
    /// Last event that the caller has of a stream that goes on.
    pub last_event: Option<u64>,
}

/// Load that a replica tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the head of a replica's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Identifier of the request that is answered.
    pub request_id: Option<Bytes>,
    /// Replica proves that the request did not run and will not.
    pub not_run: bool,
    /// Another replica has the address.
    pub misdirected: bool,
    /// Answer bears the replica's signature.
    pub signed: bool,
    /// Load after the answer.
    pub load: Option<ReplicaLoad>,
    /// Model's opinion of its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// Time for which the replica stays cold.
    pub cold_left: Option<Duration>,
}

impl AnswerMetadata {
    /// Why an answer must not be passed on; none for one that may be.
    ///
    /// A success must be the replica's own. A status that promises callers that a request did not
    /// run must come with the replica's proof.
    pub fn distrust(&self, head: &ResponseHead) -> Option<&'static str> {
        let coded = head.headers.get("content-encoding").is_some();
        match head.status {
            200..300 if !self.signed => Some("success without the replica's signature"),
            200..300 if coded => Some("body is coded, which no caller asks for"),
            408 | 429 | 503 if !self.not_run => Some("refusal without proof that nothing ran"),
            _ => None,
        }
    }
}

/// Call at an address of the router itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryCall {
    /// Whether the instance takes calls.
    Readiness,
    /// Where callers of a host connect.
    Directory {
        /// Region of the caller.
        region: Option<String>,
        /// Data centre next to the caller.
        data_centre: Option<String>,
    },
    /// Nothing that is served.
    Unknown,
}

/// Reads and writes the heads of the platform's messages.
pub trait CallCodec: Send + Sync {
    /// Reads what a caller says of its call.
    fn read_call(&self, head: &RequestHead) -> CallRequest;

    /// Writes the head of a request to a replica; the body follows with the length.
    fn write_attempt(
        &self,
        head: &RequestHead,
        metadata: &AttemptMetadata<'_>,
        body_bytes: usize,
    ) -> Vec<u8>;

    /// Reads what a replica says in the head of its answer.
    fn read_metadata(&self, head: &ResponseHead) -> AnswerMetadata;

    /// Writes the question for the load of a replica at an address.
    fn write_load_probe(&self, address: SocketAddr) -> Vec<u8>;

    /// Reads the answer to that question.
    fn read_load(&self, body: &[u8]) -> Option<ReplicaLoad>;

    /// Reads a call at an address of the router itself.
    fn read_entry_call(&self, head: &RequestHead) -> EntryCall;

    /// Writes the answer of the directory.
    fn write_directory(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;
}
