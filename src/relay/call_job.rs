//! Data of one call: the routing decisions that stay fixed, and the progress over its attempts.
//!
//! A call keeps its route and service when the configuration changes. The version shows whether a
//! retry must be checked against a newer configuration.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use super::answer_pace::AnswerPace;
use super::call_request::{CallRequest, PromptPart};
use super::in_flight_guard::InFlightGuard;
use super::relay_config::{CustomerRow, RouteRow};
use super::replica_choice::{MAX_SMALL_MODEL_WEIGHT, ReplicaChoice};
use super::replica_reach::ReplicaReach;
use super::run_proof::CallRuns;
use super::trial_claim::TrialClaim;
use crate::http1::request_head::RequestHead;
use crate::http1::response_head::ResponseHead;
use crate::ids;

/// Call with the decisions made before its first attempt.
#[derive(Debug)]
pub struct CallJob {
    /// Head as received from the caller.
    pub head: RequestHead,
    pub body: Bytes,
    /// Decoded head.
    pub call: CallRequest,
    pub route: Arc<RouteRow>,
    /// Customer of the key; `None` if the route needs no key.
    pub customer: Option<Arc<CustomerRow>>,
    /// Service chosen from those of the route.
    pub service: ids::ServiceName,
    /// Calls per second that a cold replica of the service can handle.
    pub cold_rate_per_s: f64,
    /// Time per token of each model of the route, as a fraction of the largest model's.
    pub model_weights: SmallVec<[f64; 4]>,
    /// Parts to which a crash of its replica is attributed, see [`Self::crash_parts`].
    pub crash_parts: SmallVec<[PromptPart; 4]>,
    /// Whether replicas are chosen and calls refused by the time that they would take.
    pub plans_by_time: bool,
    /// Version of the configuration that routed the call.
    pub config_version: u64,
    /// Time at which the head arrived.
    pub received: Instant,
    /// Time by which the caller must have its answer.
    pub deadline: Instant,
}

impl CallJob {
    /// Parts to which a crash of a replica under the call is attributed: those of its prompt, or the
    /// request as a whole if it has none. A caller that retries sends the same parts again.
    pub fn crash_parts(
        call: &CallRequest,
        head: &RequestHead,
        body: &Bytes,
    ) -> SmallVec<[PromptPart; 4]> {
        if !call.prompt_parts.is_empty() {
            return call.prompt_parts.clone();
        }
        let mut hasher = xxh3::Xxh3::new();
        for field in [&head.method[..], call.host.as_bytes(), &head.target, body] {
            // The lengths keep equal bytes in different fields apart.
            hasher.update(&field.len().to_le_bytes());
            hasher.update(field);
        }
        SmallVec::from_iter([PromptPart { id: hasher.digest(), tokens: 0 }])
    }

    /// Crash parts that other requests may share: all but the last.
    pub fn shared_crash_parts(&self) -> &[PromptPart] {
        self.crash_parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Priority to send to the replica: the customer's or else the route's.
    pub fn priority(&self) -> u8 {
        let customer = self.customer.as_ref().and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority).min(9)
    }

    /// Time until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Time until the latency objective is missed.
    pub fn objective_left(&self, now: Instant) -> Duration {
        (self.received + self.route.latency_objective).saturating_duration_since(now)
    }

    /// Whether the model with an index is a small one.
    pub fn is_small_model(&self, model_index: usize) -> bool {
        let weight = self.model_weights.get(model_index).copied().unwrap_or(1.0);
        self.chooses_model() && weight <= MAX_SMALL_MODEL_WEIGHT
    }

    /// Model whose stream times are learned; `None` if no escalation depends on them.
    pub fn timed_model(&self, model_index: usize) -> Option<&ids::ModelName> {
        let model = self.route.models.get(model_index)?;
        (self.plans_by_time && self.chooses_model()).then_some(model)
    }

    /// Whether the router chooses the model.
    pub fn chooses_model(&self) -> bool {
        self.call.accepts_any_model && !self.route.models.is_empty()
    }
}

/// State of a call across its attempts.
#[derive(Debug, Default)]
pub struct CallProgress {
    /// Replicas excluded from the next choice.
    pub tried_replicas: SmallVec<[ids::ReplicaName; 4]>,
    /// Replicas that refused the call as misdirected and are doubted for it.
    pub doubted_replicas: SmallVec<[ids::ReplicaName; 4]>,
    /// Whether tried replicas may be chosen again if no other is left.
    pub may_retry_tried_replicas: bool,
    /// Attempts that were sent, and those that may have run.
    pub runs: CallRuns,
    /// Attempts whose replica accepted no connection.
    pub unreachable_replicas: u32,
    /// Index of the current model among those of the route.
    pub model_index: usize,
    /// Last event that was written to the caller.
    pub last_event_id: Option<u64>,
    /// Status and media type of the stream that the caller receives.
    pub stream_type: Option<(u16, Option<String>)>,
    /// Number of events written to the caller.
    pub written_events: u64,
    /// Number of events that the replica of the last attempt has sent.
    pub attempt_events: u64,
    /// Pace of the answer to the last attempt.
    pub pace: AnswerPace,
    /// Whether the replica of the last attempt could be reached after it had failed; `None` if that
    /// was not checked.
    pub replica_reach: Option<ReplicaReach>,
    /// Whether the last attempt says nothing of the version, as its replica could not be reached.
    pub is_attempt_void: bool,
    /// Whether the pace of the last attempt is compared with that of the other version of a rollout.
    pub is_pace_compared: bool,
    /// Whether a replica has begun to answer the prompt without a crash.
    pub has_begun: bool,
    /// Replicas that crashed before they had begun to answer.
    pub crashed_replicas: u32,
    /// Claim on the trial of a quarantined part of the prompt, if the call is the trial.
    pub trial: Option<TrialClaim>,
    /// Whether an event without an id was written, after which no replica can resume the stream.
    pub has_events_without_id: bool,
    /// Replica of the last attempt and the figures behind its choice.
    pub last_choice: Option<ReplicaChoice>,
    /// Number of the connection of the last attempt.
    pub connection_number: Option<u64>,
    /// Next attempt, if the last one was given up for it.
    pub reserved_attempt: Option<InFlightGuard>,
    /// Whether the next attempt has already been taken from the retry budget.
    pub is_next_attempt_budgeted: bool,
    /// Last 5xx answer of a replica, forwarded if no later attempt gives a better one.
    pub error_answer: Option<(ResponseHead, Bytes)>,
    /// Refusal of a replica that answers other requests, forwarded if no replica runs the call.
    pub misdirected_answer: Option<(ResponseHead, Bytes)>,
    /// Confidence that the last model reported.
    pub confidence: Option<u8>,
    /// Time from the arrival of the call to the head of the answer.
    pub time_to_first_byte: Option<Duration>,
}
