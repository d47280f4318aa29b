//! What the choice of a replica for a call asks for and gives.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use super::call_request::PromptPart;
use super::cold_budget::ColdRateLimit;
use super::replica_entry::ReplicaEntry;
use super::version_rule::VersionRule;
use crate::ids;

/// Keys and tokens of the shared starts of a prompt.
pub type PrefixKeys = SmallVec<[(u64, u32); 4]>;

/// Weight up to which a model counts as small.
const MAX_SMALL_MODEL_WEIGHT: f64 = 0.5;

/// Why no replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceRefusal {
    /// No replica may run the call.
    NoReplica,
    /// All replicas are cold and bear no more calls for some time.
    Cold(Duration),
    /// All replicas are full.
    Full,
}

/// Call for which a replica is chosen.
#[derive(Clone, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service.
    pub service: &'a ids::ServiceName,
    /// Versions.
    pub version: &'a VersionRule,
    /// Model, for a model service.
    pub model: Option<&'a ids::ModelName>,
    /// Regions in which the call may run; empty lists allow all.
    pub home_regions: [&'a [Arc<str>]; 2],
    /// Replicas that are not tried again.
    pub excluded_replicas: &'a [ids::ReplicaName],
    /// Parts of the prompt that others may share.
    pub shared_parts: &'a [PromptPart],
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Time that the model takes for a token, in parts of that of the largest model.
    pub model_weight: f64,
    /// Calls a second that a cold replica bears.
    pub cold_rate_per_s: f64,
}

/// What the choice needs to know of the fleet.
#[derive(Clone, Debug)]
pub struct ChoiceContext<'a> {
    /// This instance.
    pub instance: &'a ids::InstanceName,
    /// Data centre of this instance.
    pub data_centre: &'a ids::DataCentreName,
    /// Region of each data centre.
    pub regions: &'a HashMap<ids::DataCentreName, Arc<str>>,
    /// All instances.
    pub members: &'a [ids::InstanceName],
    /// Bound on calls to cold replicas.
    pub cold_limit: ColdRateLimit,
    /// Time.
    pub now: Instant,
}

/// Chosen replica.
#[derive(Clone, Debug)]
pub struct ReplicaChoice {
    /// Entry.
    pub entry: Arc<ReplicaEntry>,
    /// Prompt tokens that it is expected to read.
    pub uncached_tokens: u32,
    /// The same in tokens of the largest model.
    pub prefill_cost: f64,
    /// Replicas among which it was chosen.
    pub candidate_count: usize,
    /// Requests that wait at it for their first token.
    pub waiting_requests: u32,
    /// Age of what it told of its load; none if it told nothing.
    pub load_age: Option<Duration>,
    /// Whether it counts as cold.
    pub is_cold: bool,
    /// Age of its entry.
    pub entry_age: Duration,
}

impl ChoiceRequest<'_> {
    /// Whether the model is one of those that read a prompt in a short time.
    pub fn is_small_model(&self) -> bool {
        self.model_weight <= MAX_SMALL_MODEL_WEIGHT
    }

    /// Keys and tokens of the shared starts of a prompt, each including those before it.
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
