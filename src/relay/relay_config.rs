//! Configuration in force, as an operator wrote it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

use crate::ids;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Safe,
    /// Runs at most once for each attempt of the caller.
    Unsafe,
    /// Answers with a series of events; may be repeated only where the route resumes.
    Stream,
}

/// Share of a route's calls that go to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service.
    pub service: ids::ServiceName,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// Route from a host and path to services.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRow {
    /// Name.
    pub name: Arc<str>,
    /// Host in lower case.
    pub host: String,
    /// Start of the path, with slashes at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time for an answer.
    pub timeout: Duration,
    /// Time within which an answer earns its full value.
    pub latency_objective: Duration,
    /// Urgency, 0 being the most urgent.
    pub priority: u8,
    /// Most replicas on which one call may run.
    pub max_attempts: u32,
    /// Calls need no key.
    pub is_public: bool,
    /// A stream may go on at another replica after its last event.
    pub is_resumable: bool,
    /// Calls share prompts, which replicas cache.
    pub has_shared_prompts: bool,
    /// Longest pause between events.
    pub max_event_gap: Option<Duration>,
    /// Regions in which calls may run; empty for all.
    pub home_regions: SmallVec<[Arc<str>; 2]>,
    /// Services.
    pub services: SmallVec<[WeightedService; 2]>,
    /// Models among which the router chooses, from small to large.
    pub models: SmallVec<[ids::ModelName; 4]>,
}

impl RouteRow {
    /// Whether a call may run again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            CallKind::Safe => true,
            CallKind::Unsafe => false,
            CallKind::Stream => self.is_resumable,
        }
    }

    /// Service of a call, by weight; the same hash gives the same service.
    pub fn service_for_hash(&self, hash: u64) -> Option<&ids::ServiceName> {
        let total: u64 = self.services.iter().map(|share| u64::from(share.weight)).sum();
        let mut place = hash.checked_rem(total)?;
        for share in &self.services {
            match place.checked_sub(u64::from(share.weight)) {
                Some(rest) => place = rest,
                None => return Some(&share.service),
            }
        }
        None
    }
}

/// Service to which calls go.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRow {
    /// Name.
    pub name: ids::ServiceName,
    /// Calls a second that a cold replica bears, from all instances together.
    pub cold_rate_per_s: f64,
    /// Price of 1,000 generated tokens by model; empty for a plain service.
    pub model_costs: HashMap<ids::ModelName, f64>,
}

impl ServiceRow {
    /// Time that a model takes for a token, in parts of that of the largest. The price of a
    /// model stands in for it, as a larger model is dearer because it takes longer.
    pub fn model_weight(&self, model: &str, largest: &str) -> f64 {
        let cost = |model: &str| self.model_costs.get(model).copied().filter(|cost| *cost > 0.0);
        match (cost(model), cost(largest)) {
            (Some(cost), Some(most)) => (cost / most).min(1.0),
            _ => 1.0,
        }
    }
}

/// Customer with its rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRow {
    /// Name.
    pub name: ids::CustomerName,
    /// Urgency that goes before the route's.
    pub priority: Option<u8>,
    /// Regions in which calls may run; empty for all.
    pub home_regions: SmallVec<[Arc<str>; 2]>,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits before a configuration is known; those of the product's own interface.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1_024,
            max_body_bytes: 4 * 1_024 * 1_024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Configuration in force.
#[derive(Clone, Debug, Default)]
pub struct RelayConfig {
    /// Version, rising.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub routes: HashMap<String, Vec<Arc<RouteRow>>>,
    /// Services by name.
    pub services: HashMap<ids::ServiceName, ServiceRow>,
    /// Customers by key; none where no call needs a key.
    pub customers: Option<HashMap<Bytes, Arc<CustomerRow>>>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

impl RelayConfig {
    /// Adds a route, keeping the order of its host.
    pub fn insert_route(&mut self, route: RouteRow) {
        let rows = self.routes.entry(route.host.clone()).or_default();
        let place = rows.partition_point(|row| row.path_prefix.len() >= route.path_prefix.len());
        rows.insert(place, Arc::new(route));
    }

    /// Route of a host and path.
    pub fn route(&self, host: &str, path: &[u8]) -> Option<&Arc<RouteRow>> {
        let rows = self.routes.get(host)?;
        rows.iter().find(|row| path.starts_with(row.path_prefix.as_bytes()))
    }
}
