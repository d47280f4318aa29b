//! Call with what was decided of it before the first attempt.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use super::call_request::CallRequest;
use super::relay_config::{CustomerRow, RouteRow};
use super::replica_choice::ReplicaChoice;
use crate::http1::request_head::RequestHead;
use crate::http1::response_head::ResponseHead;
use crate::ids;

/// Call that is to be answered.
#[derive(Debug)]
pub struct CallJob {
    /// Head as the caller sent it.
    pub head: RequestHead,
    /// Whole body.
    pub body: Bytes,
    /// What the caller says.
    pub call: CallRequest,
    /// Route.
    pub route: Arc<RouteRow>,
    /// Customer, unless the route is public.
    pub customer: Option<Arc<CustomerRow>>,
    /// Service that was chosen among those of the route.
    pub service: ids::ServiceName,
    /// Calls a second that a cold replica of the service bears.
    pub cold_rate_per_s: f64,
    /// Time that each model of the route takes for a token, in parts of that of the largest.
    pub model_weights: SmallVec<[f64; 4]>,
    /// Version of the configuration by which the call was routed.
    pub config_version: u64,
    /// Arrival of the head.
    pub received: Instant,
    /// Time at which the caller must have its answer.
    pub deadline: Instant,
}

impl CallJob {
    /// Hash of the call, by which shares are divided.
    pub fn hash(call: &CallRequest) -> u64 {
        xxh3::xxh3_64(call.id.as_deref().unwrap_or_default())
    }

    /// Urgency towards the replica.
    pub fn priority(&self) -> u8 {
        let customer = self.customer.as_ref().and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority).min(9)
    }

    /// Time left until the caller must have its answer.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Time left of the objective.
    pub fn objective_left(&self, now: Instant) -> Duration {
        (self.received + self.route.latency_objective).saturating_duration_since(now)
    }

    /// Whether the router chooses the model.
    pub fn chooses_model(&self) -> bool {
        self.call.accepts_any_model && !self.route.models.is_empty()
    }
}

/// What has become of a call so far.
#[derive(Debug, Default)]
pub struct CallProgress {
    /// Replicas that are not tried again.
    pub tried_replicas: SmallVec<[ids::ReplicaName; 4]>,
    /// Whether the replicas that were tried may be tried again when there is no other.
    pub may_retry_tried_replicas: bool,
    /// Sends that reached a replica or may have.
    pub sent_attempts: u32,
    /// Replicas that accepted no connection.
    pub unreachable_replicas: u32,
    /// Runs, as far as is known: sends that no replica disclaimed.
    pub possible_runs: u32,
    /// Position of the model that answers now, among those of the route.
    pub model_index: usize,
    /// Last event that the caller has.
    pub last_event_id: Option<u64>,
    /// Events that the caller has of this answer.
    pub written_events: u64,
    /// Whether the caller has events without a number, after which no replica can go on.
    pub has_events_without_id: bool,
    /// Replica of the last attempt, with what it was chosen by.
    pub last_choice: Option<ReplicaChoice>,
    /// Whether the budget has paid for the next send.
    pub is_next_attempt_budgeted: bool,
    /// Failure that a replica answered; it is passed on when no other answer comes.
    pub error_answer: Option<(ResponseHead, Bytes)>,
    /// Confidence that the model stated last.
    pub confidence: Option<u8>,
    /// Time from the arrival to the first byte of the answer.
    pub time_to_first_byte: Option<Duration>,
}
