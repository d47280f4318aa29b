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
const LOAD_LIFETIME: Duration = Duration::from_secs(2);
/// Age of a load up to which a replica is not asked for it again: its own report is as old.
const LOAD_FRESHNESS: Duration = Duration::from_millis(150);
/// Time for which a prompt is assumed to stay in the cache of a replica.
const PROMPT_LIFETIME: Duration = Duration::from_secs(30);
/// Most prompts remembered for one replica.
const PROMPTS_KEPT: usize = 256;

/// Entry of a replica with what was seen of it.
#[derive(Debug)]
pub(super) struct ReplicaRow {
    /// What the replica says in the list.
    pub(super) entry: Arc<ReplicaEntry>,
    /// Time at which the entry was read.
    pub(super) seen_at: Instant,
    /// End of the cold time that the replica states.
    pub(super) cold_until: Instant,
    /// End of the time for which it may be cold without a word.
    pub(super) suspected_cold_until: Option<Instant>,
    /// Calls of this instance that it holds.
    pub(super) in_flight: u32,
    /// Prompt tokens of these calls that it still reads, weighted by model.
    pub(super) reading: f64,
    /// Load that it stated last.
    pub(super) load: Option<(ReplicaLoad, Instant)>,
    /// Calls of this instance since then.
    pub(super) sent_since_load: u32,
    /// Judgement from its answers.
    pub(super) health: ReplicaHealth,
    /// Distance between calls while it is cold.
    pub(super) spacing: cold_budget::ColdSpacing,
    /// Starts of prompts that this instance sent, with the time of the last use.
    pub(super) prompts: HashMap<u64, Instant>,
    /// Time at which it last sent anything.
    pub(super) last_activity: Option<Instant>,
}

impl ReplicaRow {
    /// Row of an entry that was just read.
    pub(super) fn new(entry: ReplicaEntry, now: Instant, cold_until: Instant) -> Self {
        Self {
            entry: Arc::new(entry),
            seen_at: now,
            cold_until,
            suspected_cold_until: None,
            in_flight: 0,
            reading: 0.0,
            load: None,
            sent_since_load: 0,
            health: ReplicaHealth::default(),
            spacing: cold_budget::ColdSpacing::default(),
            prompts: HashMap::new(),
            last_activity: None,
        }
    }

    /// Whether it counts as cold; services without a rate for cold replicas have none.
    pub(super) fn cold(&self, now: Instant, cold_rate_per_s: f64) -> bool {
        let suspected = self.suspected_cold_until.is_some_and(|until| now < until);
        now < self.cold_until || (suspected && cold_rate_per_s > 0.0)
    }

    /// Requests that the replica is expected to hold now.
    pub(super) fn occupied(&self, now: Instant) -> u32 {
        let told = self.load.filter(|(_, at)| now < *at + LOAD_LIFETIME);
        let told = told.map_or(0, |(load, _)| {
            load.running.saturating_add(load.waiting).saturating_add(self.sent_since_load)
        });
        told.max(self.in_flight)
    }

    /// Age of what it told of its load.
    pub(super) fn load_age(&self, now: Instant) -> Option<Duration> {
        self.load.map(|(_, at)| now.saturating_duration_since(at))
    }

    /// Whether its load was told so lately that another question would say the same.
    pub(super) fn load_known(&self, now: Instant) -> bool {
        self.load_age(now).is_some_and(|age| age < LOAD_FRESHNESS)
    }

    /// Requests that wait for their first token, as the replica told lately.
    pub(super) fn waiting(&self, now: Instant) -> u32 {
        let told = self.load.filter(|(_, at)| now < *at + LOAD_LIFETIME);
        told.map_or(0, |(load, _)| load.waiting)
    }

    /// Tokens of a prompt that it does not hold, as far as this instance has sent them.
    pub(super) fn uncached_tokens(
        &self,
        request: &ChoiceRequest<'_>,
        prompts: &[(u64, u32)],
        now: Instant,
    ) -> f64 {
        let known =
            |key: &u64| self.prompts.get(key).is_some_and(|used| now < *used + PROMPT_LIFETIME);
        let held = prompts.iter().take_while(|(key, _)| known(key)).map(|(_, tokens)| *tokens);
        let held: f64 = held.map(f64::from).sum();
        (f64::from(request.prompt_tokens) - held).max(0.0)
    }

    /// Counts a call that is about to be sent.
    pub(super) fn count_send(
        &mut self,
        work: f64,
        prompts: &[(u64, u32)],
        cold: bool,
        now: Instant,
    ) {
        self.in_flight += 1;
        self.sent_since_load += 1;
        self.reading += work;
        self.health.record_send(now);
        if cold {
            self.spacing.record(now);
        }
        for (key, _) in prompts {
            self.prompts.insert(*key, now);
        }
        if self.prompts.len() > PROMPTS_KEPT {
            self.prompts.retain(|_, used| now < *used + PROMPT_LIFETIME / 3);
        }
    }
}
