//! Configuration of the relay: routes, services, customers and limits of callers.
//!
//! The adapter reads it from the operator's record and replaces it as a whole.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

use super::call_request::CallRequest;
use crate::ids;

/// Whether calls of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Idempotent; may run more than once.
    Safe,
    /// Not idempotent; runs at most once for each request identifier.
    Unsafe,
    /// Answered by a stream of events; may run again only on a resumable route.
    Stream,
}

/// Service that receives a fraction of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    pub service: ids::ServiceName,
    /// Weight relative to the sum over the route.
    pub weight: u32,
}

/// Route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRow {
    pub name: Arc<str>,
    /// Host in lower case.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: String,
    pub kind: CallKind,
    /// Upper bound on the caller's own time-out.
    pub timeout: Duration,
    /// Target latency; an answer after it has less value but is still delivered.
    pub latency_objective: Duration,
    /// Priority from 0, the most urgent, to 9; a larger value counts as 9.
    pub priority: u8,
    /// Limit on the runs of one call, the first included.
    pub max_attempts: u32,
    /// Whether calls need no key.
    pub is_public: bool,
    /// Whether a truncated stream may resume at another replica after its last event.
    pub is_resumable: bool,
    /// Whether calls share prompt prefixes, which replicas cache.
    pub has_shared_prompts: bool,
    /// Max time between two events of a stream; `None` if there is no limit. A resumable stream
    /// that is silent for much longer moves to another replica.
    pub max_event_gap: Option<Duration>,
    /// Regions in which calls may run; empty for all.
    pub home_regions: SmallVec<[Arc<str>; 2]>,
    pub services: SmallVec<[WeightedService; 2]>,
    /// Models from which the router may choose, in order of size, the smallest first.
    pub models: SmallVec<[ids::ModelName; 4]>,
}

impl RouteRow {
    /// Whether a call may be sent again although it may have run before.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            CallKind::Safe => true,
            CallKind::Unsafe => false,
            CallKind::Stream => self.is_resumable,
        }
    }

    /// Whether a call may name its model: any on a route that leaves the choice to callers, and
    /// otherwise one of the route's.
    pub fn leads_to_model(&self, call: &CallRequest) -> bool {
        let Some(model) = call.model.as_deref().filter(|_| !call.accepts_any_model) else {
            return true;
        };
        self.models.is_empty() || self.models.iter().any(|known| known.as_bytes() == model)
    }

    /// Service for a call with this hash, in proportion to the weights. Equal hashes give the same
    /// service; `None` if all weights are zero.
    pub fn service_for_hash(&self, hash: u64) -> Option<&ids::ServiceName> {
        let total: u64 = self.services.iter().map(|target| u64::from(target.weight)).sum();
        let mut position = hash.checked_rem(total)?;
        for target in &self.services {
            match position.checked_sub(u64::from(target.weight)) {
                Some(remainder) => position = remainder,
                None => return Some(&target.service),
            }
        }
        None
    }
}

/// Limits and prices of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRow {
    pub name: ids::ServiceName,
    /// Calls per second that a cold replica can handle, from all instances together.
    pub cold_rate_per_s: f64,
    /// Price of 1,000 generated tokens by model; empty for a service without models.
    pub model_costs: HashMap<ids::ModelName, f64>,
}

impl ServiceRow {
    /// Time per token of a model as a fraction of the largest model's, estimated from prices: a
    /// larger model costs more because it takes longer. It is 1 if a price is missing.
    pub fn model_weight(&self, model: &str, largest: &str) -> f64 {
        let cost = |model: &str| self.model_costs.get(model).copied().filter(|cost| *cost > 0.0);
        match (cost(model), cost(largest)) {
            (Some(cost), Some(largest_cost)) => (cost / largest_cost).min(1.0),
            _ => 1.0,
        }
    }
}

/// Customer with what its key grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRow {
    pub name: ids::CustomerName,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Regions in which calls may run; empty for all.
    pub home_regions: SmallVec<[Arc<str>; 2]>,
}

/// Size limits and time-outs for reading calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Limit on the request line and the headers.
    pub max_head_bytes: usize,
    pub max_body_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits until a configuration is read, and for each limit that it omits.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1_024,
            max_body_bytes: 4 * 1_024 * 1_024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Configuration in effect.
#[derive(Clone, Debug, Default)]
pub struct RelayConfig {
    /// Version; a newer configuration has a higher one.
    pub version: u64,
    /// Routes by host, ordered by descending length of the path prefix.
    pub routes: HashMap<String, Vec<Arc<RouteRow>>>,
    pub services: HashMap<ids::ServiceName, ServiceRow>,
    /// Customers by key; `None` if no call needs a key.
    pub customers: Option<HashMap<Bytes, Arc<CustomerRow>>>,
    pub limits: CallerLimits,
}

impl RelayConfig {
    /// Adds a route, keeping the routes of its host ordered.
    pub fn insert_route(&mut self, route: RouteRow) {
        let rows = self.routes.entry(route.host.clone()).or_default();
        let index = rows.partition_point(|row| row.path_prefix.len() >= route.path_prefix.len());
        rows.insert(index, Arc::new(route));
    }

    /// Route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &[u8]) -> Option<&Arc<RouteRow>> {
        let rows = self.routes.get(host)?;
        rows.iter().find(|row| path.starts_with(row.path_prefix.as_bytes()))
    }
}
