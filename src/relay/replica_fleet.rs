//! Replicas that this instance knows.
//!
//! The table joins what replicas say in the platform's list with what this instance saw of them,
//! and gives the replicas that may run a call to the choice.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::call_codec::ReplicaLoad;
use super::expiring_table::ExpiringTable;
use super::replica_choice::{ChoiceContext, ChoiceRefusal, ChoiceRequest, ReplicaChoice};
use super::replica_entry::{EntryState, ReplicaEntry};
use super::replica_health::HealthOutcome;
use super::replica_row::ReplicaRow;
use super::replica_score;
use super::version_rule::VersionRule;
use crate::ids;

/// Work of a call from which the loads of the best replicas are asked for, in prompt tokens of the
/// largest model. Below it a wrong choice costs less than the questions.
const MIN_PROBE_COST_TOKENS: f64 = 600.0;
/// Replicas whose loads are compared for one call.
const MAX_PROBED_REPLICAS: usize = 3;
/// Time after a return of the store for which replicas that lapsed are kept. Most of those that
/// live are in the list again by then; one that left meanwhile may serve for 2 s only.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_600);
/// Longest cold time that is believed. Replicas are cold for seconds; a figure without sense must
/// not keep one out of use.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);
/// Time for which a replica that may have turned cold counts as cold, unless its entry says
/// otherwise. Replicas are cold for about three seconds, and write what changes in their entry
/// once a second.
const SUSPECTED_COLD_TIME: Duration = Duration::from_millis(3_500);

/// What a changed entry did to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// New replica, or a new process of a known one.
    Started,
    /// Replica is leaving.
    Draining,
    /// Nothing that matters to the choice.
    Unchanged,
}

/// Table of the replicas.
#[derive(Debug)]
pub struct ReplicaFleet {
    rows: ExpiringTable<ReplicaRow>,
    evacuated: HashSet<ids::DataCentreName>,
}

impl Default for ReplicaFleet {
    fn default() -> Self {
        Self { rows: ExpiringTable::new(EXPIRY_GRACE), evacuated: HashSet::new() }
    }
}

impl ReplicaFleet {
    /// Notes that the store answers again after an outage.
    pub fn record_store_return(&mut self, now: Instant) {
        self.rows.record_store_return(now);
    }

    /// Takes over an entry.
    pub fn apply_entry(&mut self, entry: ReplicaEntry, now: Instant) -> EntryChange {
        let cold_until = now + entry.cold_left.min(MAX_COLD_TIME);
        let draining = entry.state == EntryState::Draining;
        let Some(row) = self.rows.renew(&entry.name) else {
            let name = entry.name.clone();
            self.rows.insert(name, ReplicaRow::new(entry, now, cold_until));
            return EntryChange::Started;
        };
        let restarted = row.entry.started_unix_ms != entry.started_unix_ms;
        let drains = draining && row.entry.state == EntryState::Ready;
        let (in_flight, pending_prefill_cost) = (row.in_flight, row.pending_prefill_cost);
        if restarted {
            *row = ReplicaRow::new(entry, now, cold_until);
            (row.in_flight, row.pending_prefill_cost) = (in_flight, pending_prefill_cost);
            return EntryChange::Started;
        }
        row.entry_read_at = now;
        row.cold_until = cold_until;
        row.suspected_cold_until = None;
        row.entry = Arc::new(entry);
        if drains { EntryChange::Draining } else { EntryChange::Unchanged }
    }

    /// Removes a replica whose entry is gone; returns whether it is gone now.
    pub fn remove(&mut self, name: &str, now: Instant) -> bool {
        self.rows.expire(name, now)
    }

    /// Drops replicas whose grace has passed; returns their names.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ids::ReplicaName> {
        self.rows.remove_expired(now)
    }

    /// Takes a data centre out of use, or back into use.
    ///
    /// Its replicas may have turned cold without a word while it was out, so each counts as cold
    /// for some time unless its entry says otherwise.
    pub fn set_evacuated(
        &mut self,
        data_centre: ids::DataCentreName,
        evacuated: bool,
        now: Instant,
    ) {
        if evacuated {
            self.evacuated.insert(data_centre);
        } else if self.evacuated.remove(&data_centre) {
            let rows = self.rows.values_mut();
            rows.filter(|row| row.entry.data_centre == data_centre)
                .for_each(|row| row.suspected_cold_until = Some(now + SUSPECTED_COLD_TIME));
        }
    }

    /// Number of replicas of a service and version that may be used.
    pub fn ready_replica_count(&self, service: &str, version: &VersionRule) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| self.is_usable(row, service) && version.allows(&row.entry.version))
            .count()
    }

    /// Chooses a replica and counts the call to it.
    ///
    /// # Errors
    /// When no replica may run the call now.
    pub fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> Result<ReplicaChoice, ChoiceRefusal> {
        let (name, candidate_count) = self.pick_replica(request, context)?;
        let prefixes = request.prefix_keys();
        let row = self.rows.get_mut(&name).ok_or(ChoiceRefusal::NoReplica)?;
        let uncached_tokens = row.uncached_tokens(request, &prefixes, context.now) as u32;
        let is_cold = row.is_cold(context.now, request.cold_rate_per_s);
        let prefill_cost = f64::from(uncached_tokens) * request.model_weight;
        let (waiting_requests, load_age) =
            (row.waiting_requests(context.now), row.load_age(context.now));
        row.record_send(prefill_cost, &prefixes, is_cold, context.now);
        Ok(ReplicaChoice {
            entry: row.entry.clone(),
            uncached_tokens,
            prefill_cost,
            candidate_count,
            is_cold,
            waiting_requests,
            load_age,
            entry_age: context.now.saturating_duration_since(row.entry_read_at),
        })
    }

    /// Requests that the replica holds which would be chosen, without counting a call to it.
    pub fn requests_at_best_replica(
        &self,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> Option<u32> {
        let (name, _) = self.pick_replica(request, context).ok()?;
        self.rows.get(&name).map(|row| row.estimated_requests(context.now))
    }

    /// Best replicas for a call with much work, as far as their loads are not known well enough to
    /// choose among them.
    pub fn replicas_to_probe(
        &self,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> SmallVec<[Arc<ReplicaEntry>; 4]> {
        let prefill_cost = f64::from(request.prompt_tokens) * request.model_weight;
        if request.model.is_none()
            || request.is_small_model()
            || prefill_cost < MIN_PROBE_COST_TOKENS
        {
            return SmallVec::new();
        }
        let usable = self.candidates(request, context);
        let best =
            replica_score::best_warm_replicas(&usable, request, context, MAX_PROBED_REPLICAS);
        // Without a choice there is nothing to compare.
        let best = best.ok().filter(|best| best.len() > 1).unwrap_or_default();
        let stale = best.iter().filter(|row| !row.has_fresh_load(context.now));
        stale.map(|row| row.entry.clone()).collect()
    }

    /// Replicas that may run a call; those that lapsed only where there are no others.
    fn candidates(
        &self,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> SmallVec<[&ReplicaRow; 32]> {
        let may_run = |row: &&ReplicaRow| self.may_run(row, request, context);
        let current: SmallVec<_> = self.rows.current().filter(may_run).collect();
        if current.is_empty() { self.rows.values().filter(may_run).collect() } else { current }
    }

    fn pick_replica(
        &self,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> Result<(ids::ReplicaName, usize), ChoiceRefusal> {
        let usable = self.candidates(request, context);
        if usable.is_empty() {
            return Err(ChoiceRefusal::NoReplica);
        }
        let full = match replica_score::best_warm_replicas(&usable, request, context, 1) {
            Ok(best) => return Ok((best[0].entry.name.clone(), usable.len())),
            Err(refusal) => refusal == ChoiceRefusal::Full,
        };
        let cold = replica_score::pick_cold_replica(&usable, request, context);
        let cold = cold.map_err(|refusal| if full { ChoiceRefusal::Full } else { refusal });
        cold.map(|name| (name, usable.len()))
    }

    /// Counts the first byte of an answer: the prompt has been read.
    pub fn record_first_byte(&mut self, name: &str, prefill_cost: f64) {
        if let Some(row) = self.rows.get_mut(name) {
            row.pending_prefill_cost = (row.pending_prefill_cost - prefill_cost).max(0.0);
        }
    }

    /// Counts the end of a call.
    pub fn record_finish(&mut self, name: &str) {
        if let Some(row) = self.rows.get_mut(name) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Takes over what a replica tells of its load.
    pub fn record_load(&mut self, name: &str, load: ReplicaLoad, now: Instant) {
        if let Some(row) = self.rows.get_mut(name) {
            row.reported_load = Some((load, now));
            row.sent_since_load = 0;
        }
    }

    /// Takes over how long a replica says that it stays cold.
    pub fn record_cold(&mut self, name: &str, cold_left: Duration, now: Instant) {
        if let Some(row) = self.rows.get_mut(name) {
            row.cold_until = row.cold_until.max(now + cold_left.min(MAX_COLD_TIME));
        }
    }

    /// Notes that the replica sends something, whatever the call.
    pub fn record_activity(&mut self, name: &str, now: Instant) {
        if let Some(row) = self.rows.get_mut(name) {
            row.last_activity = Some(now);
        }
    }

    /// Whether the replica has sent something lately.
    pub fn was_active_since(&self, name: &str, since: Instant) -> bool {
        self.rows.get(name).and_then(|row| row.last_activity).is_some_and(|at| at >= since)
    }

    /// Counts the end of an attempt; returns whether the replica is avoided from now on.
    pub fn record_health(&mut self, name: &str, outcome: HealthOutcome, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(name) else { return false };
        if outcome == HealthOutcome::Unreachable {
            // The process may be back under the same name, and cold, before its entry says so.
            row.suspected_cold_until = Some(now + SUSPECTED_COLD_TIME);
        }
        row.health.record_outcome(outcome, now)
    }

    /// Notes that another replica has the address: this one is gone.
    pub fn record_misdirected(&mut self, name: &str) -> bool {
        self.rows.remove(name)
    }

    fn is_usable(&self, row: &ReplicaRow, service: &str) -> bool {
        *row.entry.service == *service
            && row.entry.state == EntryState::Ready
            && !self.evacuated.contains(&row.entry.data_centre)
    }

    fn may_run(
        &self,
        row: &ReplicaRow,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> bool {
        let region = context.regions.get(&row.entry.data_centre);
        let is_allowed_region = |regions: &[Arc<str>]| {
            regions.is_empty() || region.is_some_and(|region| regions.contains(region))
        };
        let has_model = |model: &ids::ModelName| {
            row.entry.models.is_empty() || row.entry.models.contains(model)
        };
        self.is_usable(row, request.service)
            && request.version.allows(&row.entry.version)
            && !request.excluded_replicas.contains(&row.entry.name)
            && request.home_regions.iter().all(|regions| is_allowed_region(regions))
            && request.model.is_none_or(has_model)
    }
}
