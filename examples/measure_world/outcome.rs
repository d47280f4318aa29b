//! What became of each request.

use std::time::Duration;

use yuccareel::{error_body, ids};

use super::shape;
use super::workload::PhaseName;

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum EndState {
    /// Whole answer.
    Answered,
    /// Refusal with its code and whether the request ran.
    Refused(String, error_body::RunState),
    /// Answer that is not the one that the engine gives.
    Mismatched(String),
    /// Connection that broke after the request was sent.
    Interrupted(String),
}

/// Request and its end.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub phase: PhaseName,
    pub kind: shape::RequestKind,
    pub customer: &'static str,
    /// Time since the start of the load at which it was sent.
    pub sent_at: Duration,
    /// Time to the end of the answer, with the network's round trip.
    pub latency: Duration,
    /// Time to the first token of a streamed answer.
    pub first: Option<Duration>,
    pub end: EndState,
    /// Whether the answer met the quality wanted.
    pub good: bool,
    pub cost: ids::Microcredits,
    /// Model and version that answered.
    pub target: Option<(String, String)>,
    /// Session, and whether the reply says that it moved to another version.
    pub session: Option<(String, bool)>,
    pub request: Option<ids::RequestId>,
    /// Process that answered.
    pub process: Option<ids::InstanceName>,
    /// Idempotency key of a booking.
    pub key: Option<String>,
}

impl Outcome {
    /// Whether the caller got what it asked for.
    pub fn answered(&self) -> bool {
        self.end == EndState::Answered
    }
}
