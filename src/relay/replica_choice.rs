//! Input and result of the choice of a replica for one call.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use super::admission::wait_rule::WaitRule;
use super::call_request::PromptPart;
use super::cold_budget::ColdRateLimit;
use super::replica_entry::ReplicaEntry;
use super::version_rule::VersionRule;
use crate::ids;

/// Cache key and token count of each prefix part of a prompt. A key identifies the whole prefix up
/// to the end of its part; the tokens are those of the part alone.
pub type PrefixKeys = SmallVec<[(u64, u32); 4]>;

/// Largest [`ChoiceRequest::model_weight`] of a small model.
pub(super) const MAX_SMALL_MODEL_WEIGHT: f64 = 0.5;

/// Why no replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceRefusal {
    /// No replica matches the call.
    NoReplica,
    /// All matching replicas are cold, and this instance may send them no call now. Retry after the
    /// duration.
    Cold(Duration),
    /// No matching replica has a free slot.
    Full,
    /// The wait at all matching replicas is longer than the call can bear, and may be short enough after
    /// the duration.
    Queued(Duration),
    /// All matching replicas state a limit on their requests, and this instance has used its share.
    /// The first one may take the call after the duration, here or at another instance.
    Limited(Duration),
    /// All matching replicas have asked for a pause, of which the first ends after the duration.
    Paused(Duration),
}

/// Call for which a replica is chosen.
#[derive(Clone, Debug)]
pub struct ChoiceRequest<'a> {
    pub service: &'a ids::ServiceName,
    pub version: &'a VersionRule,
    /// Model to run; `None` for a service without models.
    pub model: Option<&'a ids::ModelName>,
    /// Regions in which the call may run by its route and by its customer; a replica must satisfy
    /// both. An empty list allows all regions.
    pub home_regions: [&'a [Arc<str>]; 2],
    /// Replicas that must not be chosen, such as those that already failed the call.
    pub excluded_replicas: &'a [ids::ReplicaName],
    /// Prefix parts of the prompt that other calls may share, in the order of the prompt.
    pub shared_parts: &'a [PromptPart],
    /// Tokens of the whole prompt; 0 for a service without models.
    pub prompt_tokens: u32,
    /// Time per token of the model, relative to the largest model of the route.
    pub model_weight: f64,
    /// Calls per second that a cold replica can handle; 0 for services without such a limit.
    pub cold_rate_per_s: f64,
    /// Longest wait of a call of a plain service, where choices rest on time; `None` where they rest on
    /// free slots.
    pub wait_rule: Option<WaitRule>,
    /// Whether prompt parts have ordered places, on replicas that all models share.
    pub has_places: bool,
}

/// State of the fleet and of this instance that the choice depends on.
#[derive(Clone, Debug)]
pub struct ChoiceContext<'a> {
    /// Name of this instance.
    pub instance: &'a ids::InstanceName,
    /// Data centre of this instance.
    pub data_centre: &'a ids::DataCentreName,
    /// Region of each data centre.
    pub regions: &'a HashMap<ids::DataCentreName, Arc<str>>,
    /// Names of all instances, this one included even if the store does not list it.
    pub members: &'a [ids::InstanceName],
    /// Position of this instance in the sorted list of the store; `None` if it is not listed, so
    /// that the others do not count it.
    pub own_position: Option<usize>,
    pub cold_limit: ColdRateLimit,
    pub now: Instant,
    /// Time since the Unix epoch, by the system clock.
    pub unix_now: Duration,
}

/// Chosen replica, with the estimates on which the choice was based.
#[derive(Clone, Debug)]
pub struct ReplicaChoice {
    pub entry: Arc<ReplicaEntry>,
    /// Prompt tokens that the replica is expected to compute, as its cache does not hold them.
    pub uncached_tokens: u32,
    /// [`Self::uncached_tokens`] in prompt tokens of the largest model.
    pub prefill_cost: f64,
    /// Number of replicas among which it was chosen.
    pub candidate_count: usize,
    /// Requests that wait at the replica for their first token, from its last load report.
    pub waiting_requests: u32,
    /// Age of its last load report; `None` if it has reported none.
    pub load_age: Option<Duration>,
    pub is_cold: bool,
    /// Time since this instance last read its entry in the store.
    pub entry_age: Duration,
    /// Requests per second that it takes from all instances, if its answers state a limit.
    pub rate_limit_per_s: Option<f64>,
}

/// Room for a call at the replica that would be chosen for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaRoom {
    /// Requests that run or wait there, by estimate.
    pub requests: u32,
    /// Prompt tokens that it would have to read, relative to the mean of the calls.
    pub relative_cost: f64,
}

impl ChoiceRequest<'_> {
    pub fn is_small_model(&self) -> bool {
        self.model_weight <= MAX_SMALL_MODEL_WEIGHT
    }

    /// Cache keys of the shared prefix parts, each chained to the key of the part before it.
    pub fn prefix_keys(&self) -> PrefixKeys {
        let mut chain = self.model.map_or(0, |model| xxh3::xxh3_64(model.as_bytes()));
        let mut keys = SmallVec::new();
        for part in self.shared_parts {
            chain = xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), chain);
            keys.push((chain, part.tokens));
        }
        keys
    }
}
