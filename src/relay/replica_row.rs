//! What this instance knows of one replica.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::call_codec::ReplicaLoad;
use super::cold_budget;
use super::replica_choice::ChoiceRequest;
use super::replica_entry::ReplicaEntry;
use super::replica_health::ReplicaHealth;

/// Time for which a load that a replica told of itself is used.
const LOAD_TTL: Duration = Duration::from_secs(2);
/// Age of a load up to which a replica is not asked for it again: its own report is as old.
const MAX_FRESH_LOAD_AGE: Duration = Duration::from_millis(150);
/// Time for which a prompt is assumed to stay in the cache of a replica.
const CACHED_PREFIX_TTL: Duration = Duration::from_secs(30);
/// Most prompts remembered for one replica.
const MAX_CACHED_PREFIXES: usize = 256;

/// Entry of a replica with what was seen of it.
#[derive(Debug)]
pub(super) struct ReplicaRow {
    /// What the replica says in the list.
    pub(super) entry: Arc<ReplicaEntry>,
    /// Time at which the entry was read.
    pub(super) entry_read_at: Instant,
    /// End of the cold time that the replica states.
    pub(super) cold_until: Instant,
    /// End of the time for which it may be cold without a word.
    pub(super) suspected_cold_until: Option<Instant>,
    /// Calls of this instance that it holds.
    pub(super) in_flight: u32,
    /// Prompt tokens of these calls that it still reads, weighted by model.
    pub(super) pending_prefill_cost: f64,
    /// Load that it stated last.
    pub(super) reported_load: Option<(ReplicaLoad, Instant)>,
    /// Calls of this instance since then.
    pub(super) sent_since_load: u32,
    /// Judgement from its answers.
    pub(super) health: ReplicaHealth,
    /// Distance between calls while it is cold.
    pub(super) cold_spacing: cold_budget::ColdSpacing,
    /// Starts of prompts that this instance sent, with the time of the last use.
    pub(super) cached_prefixes: HashMap<u64, Instant>,
    /// Time at which it last sent anything.
    pub(super) last_activity: Option<Instant>,
}

impl ReplicaRow {
    /// Row of an entry that was just read.
    pub(super) fn new(entry: ReplicaEntry, now: Instant, cold_until: Instant) -> Self {
        Self {
            entry: Arc::new(entry),
            entry_read_at: now,
            cold_until,
            suspected_cold_until: None,
            in_flight: 0,
            pending_prefill_cost: 0.0,
            reported_load: None,
            sent_since_load: 0,
            health: ReplicaHealth::default(),
            cold_spacing: cold_budget::ColdSpacing::default(),
            cached_prefixes: HashMap::new(),
            last_activity: None,
        }
    }

    /// Whether it counts as cold; services without a rate for cold replicas have none.
    pub(super) fn is_cold(&self, now: Instant, cold_rate_per_s: f64) -> bool {
        let suspected = self.suspected_cold_until.is_some_and(|until| now < until);
        now < self.cold_until || (suspected && cold_rate_per_s > 0.0)
    }

    /// Requests that the replica is expected to hold now.
    pub(super) fn estimated_requests(&self, now: Instant) -> u32 {
        let reported = self.reported_load.filter(|(_, at)| now < *at + LOAD_TTL);
        let reported = reported.map_or(0, |(load, _)| {
            load.running.saturating_add(load.waiting).saturating_add(self.sent_since_load)
        });
        reported.max(self.in_flight)
    }

    /// Age of what it told of its load.
    pub(super) fn load_age(&self, now: Instant) -> Option<Duration> {
        self.reported_load.map(|(_, at)| now.saturating_duration_since(at))
    }

    /// Whether its load was told so lately that another question would say the same.
    pub(super) fn has_fresh_load(&self, now: Instant) -> bool {
        self.load_age(now).is_some_and(|age| age < MAX_FRESH_LOAD_AGE)
    }

    /// Requests that wait for their first token, as the replica told lately.
    pub(super) fn waiting_requests(&self, now: Instant) -> u32 {
        let reported = self.reported_load.filter(|(_, at)| now < *at + LOAD_TTL);
        reported.map_or(0, |(load, _)| load.waiting)
    }

    /// Tokens of a prompt that it does not hold, as far as this instance has sent them.
    pub(super) fn uncached_tokens(
        &self,
        request: &ChoiceRequest<'_>,
        prefixes: &[(u64, u32)],
        now: Instant,
    ) -> f64 {
        let is_cached = |key: &u64| {
            self.cached_prefixes.get(key).is_some_and(|used| now < *used + CACHED_PREFIX_TTL)
        };
        let held = prefixes.iter().take_while(|(key, _)| is_cached(key)).map(|(_, tokens)| *tokens);
        let held: f64 = held.map(f64::from).sum();
        (f64::from(request.prompt_tokens) - held).max(0.0)
    }

    /// Counts a call that is about to be sent.
    pub(super) fn record_send(
        &mut self,
        prefill_cost: f64,
        prefixes: &[(u64, u32)],
        is_cold: bool,
        now: Instant,
    ) {
        self.in_flight += 1;
        self.sent_since_load += 1;
        self.pending_prefill_cost += prefill_cost;
        self.health.record_send(now);
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
