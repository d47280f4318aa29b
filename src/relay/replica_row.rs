//! State of one replica in the table of this instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::balancing::load_history::LoadHistory;
use super::balancing::pace_history::PaceHistory;
use super::call_codec::ReplicaLoad;
use super::cold_budget;
use super::load_prior::{self, LOAD_TTL, LoadEstimate, LoadPrior};
use super::replica_choice::ChoiceRequest;
use super::replica_entry::ReplicaEntry;
use super::replica_health::ReplicaHealth;
use super::replica_identity::ReplicaIdentity;
use super::replica_limit::ReplicaLimit;
use super::replica_notice::ReplicaNotice;
use crate::rendezvous;

/// Age below which a load is not probed again: a replica's own report can be as old.
const MAX_FRESH_LOAD_AGE: Duration = Duration::from_millis(150);
/// Time since its last use for which a prefix is assumed to stay in the cache of a replica.
const CACHED_PREFIX_TTL: Duration = Duration::from_secs(30);
/// Number of prefixes of one replica above which those unused for a third of their time to live
/// are removed.
const MAX_CACHED_PREFIXES: usize = 256;

/// Entry of a replica with what this instance observed of it.
#[derive(Debug)]
pub(super) struct ReplicaRow {
    pub(super) entry: Arc<ReplicaEntry>,
    pub(super) entry_read_at: Instant,
    /// Rank of the replica in the selection of those reserved for small models.
    pub(super) small_model_rank: u64,
    /// End of the cold period that the replica reported.
    pub(super) cold_until: Instant,
    /// End of the period in which the replica may be cold although it has not reported so.
    pub(super) suspected_cold_until: Option<Instant>,
    /// Calls of this instance that the replica has not finished.
    pub(super) in_flight: u32,
    /// Prefill cost of those calls that have had no first byte, in prompt tokens of the largest
    /// model.
    pub(super) pending_prefill_cost: f64,
    /// Last reported load, with the time at which it arrived.
    pub(super) reported_load: Option<(ReplicaLoad, Instant)>,
    /// Calls that this instance has sent since that report.
    pub(super) sent_since_load: u32,
    /// All reported loads, as they age.
    pub(super) load_history: LoadHistory,
    /// Reported time that work takes on the machine of the replica.
    pub(super) pace_history: PaceHistory,
    /// Time until which the replica counts as full, as it refused a call for that reason.
    pub(super) full_until: Option<Instant>,
    pub(super) health: ReplicaHealth,
    /// Whether the server at the address is the replica.
    pub(super) identity: ReplicaIdentity,
    /// What the replica's own answers say of its willingness.
    pub(super) notice: ReplicaNotice,
    /// Limit that its answers state.
    pub(super) limit: Option<Box<ReplicaLimit>>,
    pub(super) cold_spacing: cold_budget::ColdSpacing,
    /// Keys of the prompt prefixes that this instance has sent, with the time of the last use.
    pub(super) cached_prefixes: HashMap<u64, Instant>,
    /// Time at which the replica last sent data on any call.
    pub(super) last_activity: Option<Instant>,
}

impl ReplicaRow {
    pub(super) fn new(entry: ReplicaEntry, now: Instant, cold_until: Instant) -> Self {
        Self {
            small_model_rank: rendezvous::member_rank("small models", &entry.name),
            entry: Arc::new(entry),
            entry_read_at: now,
            cold_until,
            suspected_cold_until: None,
            in_flight: 0,
            pending_prefill_cost: 0.0,
            reported_load: None,
            sent_since_load: 0,
            load_history: LoadHistory::default(),
            pace_history: PaceHistory::default(),
            full_until: None,
            health: ReplicaHealth::default(),
            identity: ReplicaIdentity::default(),
            notice: ReplicaNotice::default(),
            limit: None,
            cold_spacing: cold_budget::ColdSpacing::default(),
            cached_prefixes: HashMap::new(),
            last_activity: None,
        }
    }

    /// Whether the replica counts as cold. A mere suspicion counts only for services with a rate
    /// limit for cold replicas.
    pub(super) fn is_cold(&self, now: Instant, cold_rate_per_s: f64) -> bool {
        let suspected = self.suspected_cold_until.is_some_and(|until| now < until);
        now < self.cold_until || (suspected && cold_rate_per_s > 0.0)
    }

    /// Estimated number of requests at the replica: its last report plus the calls sent since, but
    /// at least the calls of this instance.
    pub(super) fn estimated_requests(&self, now: Instant) -> u32 {
        let reported = self.reported_load.filter(|(_, at)| now < *at + LOAD_TTL);
        let reported = reported.map_or(0, |(load, _)| {
            load.running.saturating_add(load.waiting).saturating_add(self.sent_since_load)
        });
        reported.max(self.in_flight)
    }

    /// Last reported load and its weight by its age; zero without a report.
    pub(super) fn weighted_load(&self, now: Instant) -> (LoadEstimate, f64) {
        self.reported_load.map_or((LoadEstimate::default(), 0.0), |(load, at)| {
            let weight = load_prior::report_weight(now.saturating_duration_since(at));
            (LoadEstimate::from_report(load, self.sent_since_load), weight)
        })
    }

    /// Load of the replica by its last report and, as that ages, by the mean of its group, but at
    /// least the calls of this instance.
    pub(super) fn estimated_load(&self, prior: &LoadPrior, now: Instant) -> LoadEstimate {
        let (reported, weight) = self.weighted_load(now);
        let load = prior.blend(reported, weight);
        LoadEstimate { requests: load.requests.max(f64::from(self.in_flight)), ..load }
    }

    /// Age of the last load report; `None` if there is none.
    pub(super) fn load_age(&self, now: Instant) -> Option<Duration> {
        self.reported_load.map(|(_, at)| now.saturating_duration_since(at))
    }

    /// Whether the last load report is so recent that a probe would return the same.
    pub(super) fn has_fresh_load(&self, now: Instant) -> bool {
        self.load_age(now).is_some_and(|age| age < MAX_FRESH_LOAD_AGE)
    }

    /// Requests that wait for their first token, by a recent load report; 0 without one.
    pub(super) fn waiting_requests(&self, now: Instant) -> u32 {
        let reported = self.reported_load.filter(|(_, at)| now < *at + LOAD_TTL);
        reported.map_or(0, |(load, _)| load.waiting)
    }

    /// Time after which a caller may return that was refused for the limit that the replica states;
    /// `None` if it states none, leaves or pauses.
    pub(super) fn time_to_limited_return(&self, now: Instant) -> Option<Duration> {
        let limit = self.limit.as_ref().filter(|_| self.notice.allows(self.in_flight, now))?;
        Some(limit.time_to_return(now))
    }

    /// Whether a call should find out whether the limit that the replica stated has ended.
    pub(super) fn wants_trial(&self, now: Instant) -> bool {
        self.limit.as_ref().is_some_and(|limit| limit.wants_trial(now))
    }

    /// Tokens of a prompt that the replica must compute: those outside the prefixes that this
    /// instance has sent to it.
    pub(super) fn uncached_tokens(
        &self,
        request: &ChoiceRequest<'_>,
        prefixes: &[(u64, u32)],
        now: Instant,
    ) -> f64 {
        let is_cached = |key: &u64| {
            self.cached_prefixes.get(key).is_some_and(|used| now < *used + CACHED_PREFIX_TTL)
        };
        let cached =
            prefixes.iter().take_while(|(key, _)| is_cached(key)).map(|(_, tokens)| *tokens);
        let cached: f64 = cached.map(f64::from).sum();
        (f64::from(request.prompt_tokens) - cached).max(0.0)
    }

    /// Counts a call that is about to be sent; `prefill_cost` is in prompt tokens of the largest
    /// model.
    pub(super) fn record_send(
        &mut self,
        prefill_cost: f64,
        prefixes: &[(u64, u32)],
        is_cold: bool,
        now: Instant,
    ) {
        self.in_flight += 1;
        self.sent_since_load += 1;
        self.load_history.record_send();
        self.pending_prefill_cost += prefill_cost;
        self.health.record_send(now);
        self.notice.record_send(now);
        if let Some(limit) = &mut self.limit {
            limit.record_send(now);
        }
        if is_cold {
            self.cold_spacing.record_send(now);
        }
        for (key, _) in prefixes {
            self.cached_prefixes.insert(*key, now);
        }
        if self.cached_prefixes.len() > MAX_CACHED_PREFIXES {
            self.cached_prefixes.retain(|_, used| now < *used + CACHED_PREFIX_TTL / 3);
        }
    }
}
