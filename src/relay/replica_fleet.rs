//! Table of the replicas of all services.
//!
//! The table combines the entries that replicas write to the platform's store with what this
//! instance observes of the replicas: calls in flight, load reports, health and cached prefixes. A
//! call gets its replica from here: the table filters the replicas that may run the call, and
//! `replica_score` ranks them.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::balancing::service_times::ServiceTimes;
use super::call_codec::ReplicaLoad;
use super::expiring_table::ExpiringTable;
use super::kept_limits::KeptLimits;
use super::leaving_replicas::LeavingReplicas;
use super::limit_share::LimitShare;
use super::limit_statement::{LimitChange, LimitStatement};
use super::prefill_average::PrefillAverage;
use super::replica_choice::{
    ChoiceContext, ChoiceRefusal, ChoiceRequest, ReplicaChoice, ReplicaRoom,
};
use super::replica_entry::{EntryState, ReplicaEntry};
use super::replica_health::HealthOutcome;
use super::replica_identity::MisdirectionCause;
use super::replica_notice::{AnswerNotice, NoticeChange, ReplicaNotice};
use super::replica_row::ReplicaRow;
use super::replica_score::{self, PoolAverages};
use super::store_era;
use super::version_rule::VersionRule;
use crate::ids;

/// Prefill cost of a call from which the best replicas are probed for their loads, in prompt tokens
/// of the largest model. Below it a wrong choice costs less than the probes.
const MIN_PROBE_COST_TOKENS: f64 = 600.0;
/// Number of replicas that are compared by their loads for one call.
const MAX_PROBED_REPLICAS: usize = 3;
/// Longest time for which a replica counts as full after it refused a call.
const MAX_FULL_TIME: Duration = Duration::from_millis(100);
/// Time after the return of the store for which replicas with expired entries are kept. Most live
/// replicas have written their entries again by then. A replica that left during the outage may get
/// calls for 2 s at most, so the time must stay below that.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_600);
/// Upper limit of a reported cold time. Replicas are cold for seconds, and an invalid report must
/// not keep a replica out of use.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);
/// Time for which a replica that may have become cold counts as cold, unless it writes its entry
/// meanwhile. Replicas are cold for about three seconds and write changes to their entries once a
/// second.
const SUSPECTED_COLD_TIME: Duration = Duration::from_millis(3_500);

/// Change of a replica, derived from a write of its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// New replica, or a new process of a known one.
    Started,
    /// The replica has begun to drain.
    Draining,
    /// Any other write of the entry by a known process.
    Updated,
}

#[derive(Debug)]
pub struct ReplicaFleet {
    rows: ExpiringTable<ReplicaRow>,
    evacuated_data_centres: HashSet<ids::DataCentreName>,
    prefill_average: PrefillAverage,
    service_times: ServiceTimes,
    /// Services of which a replica has stated how long work takes on its machine.
    paced_services: HashSet<ids::ServiceName>,
    /// Replicas that stated that they leave. Their entries may be deleted and written again.
    leaving_replicas: LeavingReplicas,
    /// Limits of replicas without an entry.
    kept_limits: KeptLimits,
    /// End of the time for which entries may be older than those known, after a restoration of the
    /// store.
    settles_until: Option<Instant>,
}

impl Default for ReplicaFleet {
    fn default() -> Self {
        Self {
            rows: ExpiringTable::new(EXPIRY_GRACE),
            evacuated_data_centres: HashSet::new(),
            prefill_average: PrefillAverage::default(),
            service_times: ServiceTimes::default(),
            paced_services: HashSet::new(),
            leaving_replicas: LeavingReplicas::default(),
            kept_limits: KeptLimits::default(),
            settles_until: None,
        }
    }
}

impl ReplicaFleet {
    /// Records that the store answers again after an outage, which starts the grace period.
    pub fn record_store_return(&mut self, now: Instant) {
        self.rows.record_store_return(now);
    }

    /// Keeps a replica whose entry a restoration of the store has undone until it writes it again.
    pub fn suspend_entry(&mut self, name: &str, now: Instant) {
        self.rows.suspend(name, now + store_era::REPLICA_REWRITE_TIME);
    }

    /// Takes no entries of earlier processes, or earlier ones of the same process, until replicas had
    /// time to write theirs again.
    pub fn begin_era(&mut self, now: Instant) {
        self.settles_until = Some(now + store_era::REPLICA_REWRITE_TIME);
    }

    /// Applies an entry that was read from the store. After a restart of the replica, calls in
    /// flight still count, and all other observations are reset.
    pub fn apply_entry(&mut self, entry: ReplicaEntry, now: Instant) -> EntryChange {
        let cold_until = now + entry.cold_left.min(MAX_COLD_TIME);
        let is_draining = entry.state == EntryState::Draining;
        let is_settling = self.is_settling(now);
        let Some(row) = self.rows.renew(&entry.name) else {
            let name = entry.name.clone();
            let mut row = ReplicaRow::new(entry, now, cold_until);
            if self.leaving_replicas.contains(&row.entry) {
                row.notice = ReplicaNotice::leaving();
            }
            row.limit = self.kept_limits.take(&row.entry);
            self.rows.insert(name, row);
            return EntryChange::Started;
        };
        let is_undone = entry.started_unix_ms < row.entry.started_unix_ms
            || (entry.started_unix_ms == row.entry.started_unix_ms
                && entry.sequence < row.entry.sequence);
        if is_settling && is_undone {
            return EntryChange::Updated;
        }
        let has_restarted = row.entry.started_unix_ms != entry.started_unix_ms;
        let begins_drain = is_draining && row.entry.state == EntryState::Ready;
        let (in_flight, pending_prefill_cost) = (row.in_flight, row.pending_prefill_cost);
        if has_restarted {
            *row = ReplicaRow::new(entry, now, cold_until);
            (row.in_flight, row.pending_prefill_cost) = (in_flight, pending_prefill_cost);
            return EntryChange::Started;
        }
        row.entry_read_at = now;
        row.identity.end_doubt();
        row.cold_until = if is_settling { cold_until.max(row.cold_until) } else { cold_until };
        row.suspected_cold_until = None;
        row.entry = Arc::new(entry);
        if begins_drain { EntryChange::Draining } else { EntryChange::Updated }
    }

    /// Handles the deletion of a replica's entry in the store. Returns whether the replica was
    /// removed; within the grace period it is kept until the end of the period.
    pub fn expire_entry(&mut self, name: &str, now: Instant) -> bool {
        let is_replaced = self.is_settling(now) && self.is_address_taken(name);
        let removed =
            if is_replaced { self.rows.remove(name) } else { self.rows.expire(name, now) };
        let is_removed = removed.is_some();
        removed.into_iter().for_each(|row| self.kept_limits.keep(row));
        is_removed
    }

    /// Whether entries may be older than those known, after a restoration of the store.
    fn is_settling(&self, now: Instant) -> bool {
        self.settles_until.is_some_and(|until| now < until)
    }

    /// Whether the store lists another replica at the address of this one, which is then not kept.
    fn is_address_taken(&self, name: &str) -> bool {
        let Some(row) = self.rows.get(name) else { return false };
        let address = row.entry.address;
        self.rows
            .current()
            .any(|other| other.entry.address == address && *other.entry.name != *name)
    }

    /// Removes the replicas whose grace period has ended; returns their names.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ids::ReplicaName> {
        let removed = self.rows.remove_expired(now);
        let keep_limit = |(name, row)| {
            self.kept_limits.keep(row);
            name
        };
        removed.into_iter().map(keep_limit).collect()
    }

    /// Takes a data centre out of use, or back into use.
    ///
    /// Replicas of a data centre that returns may have become cold without a report, so each counts
    /// as cold for [`SUSPECTED_COLD_TIME`] unless it writes its entry meanwhile.
    pub fn set_evacuated(
        &mut self,
        data_centre: ids::DataCentreName,
        evacuated: bool,
        now: Instant,
    ) {
        if evacuated {
            self.evacuated_data_centres.insert(data_centre);
        } else if self.evacuated_data_centres.remove(&data_centre) {
            let rows = self.rows.values_mut();
            rows.filter(|row| row.entry.data_centre == data_centre)
                .for_each(|row| row.suspected_cold_until = Some(now + SUSPECTED_COLD_TIME));
        }
    }

    /// Number of replicas of a service and version that accept calls.
    pub fn ready_replica_count(&self, service: &str, version: &VersionRule) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| self.is_usable(row, service) && version.allows(&row.entry.version))
            .count()
    }

    /// Chooses a replica and counts the call to it.
    ///
    /// # Errors
    /// If no replica may run the call now; see [`ChoiceRefusal`].
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
        let is_small_model = request.is_small_model();
        self.prefill_average.record(request.service, is_small_model, prefill_cost);
        Ok(ReplicaChoice {
            entry: row.entry.clone(),
            uncached_tokens,
            prefill_cost,
            candidate_count,
            is_cold,
            waiting_requests,
            load_age,
            entry_age: context.now.saturating_duration_since(row.entry_read_at),
            rate_limit_per_s: row.limit.as_ref().map(|limit| limit.rate_per_s()),
        })
    }

    /// As [`Self::choose`], for a call that is to leave the replica `left` and frees its slot there.
    ///
    /// # Errors
    /// If no replica may run the call now; see [`ChoiceRefusal`].
    pub fn choose_instead(
        &mut self,
        left: &str,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> Result<ReplicaChoice, ChoiceRefusal> {
        self.record_finish(left);
        let outcome = self.choose(request, context);
        // The slot is freed when the call leaves.
        if let Some(row) = self.rows.get_mut(left) {
            row.in_flight += 1;
        }
        outcome
    }

    /// Estimated number of requests at the replica that [`Self::choose`] would return; `None` if it
    /// would return an error. Counts no call.
    pub fn requests_at_best_replica(
        &self,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> Option<u32> {
        let (name, _) = self.pick_replica(request, context).ok()?;
        self.rows.get(&name).map(|row| row.estimated_requests(context.now))
    }

    /// Room at the replica that [`Self::choose`] would return; `None` if it would return an error.
    /// Counts no call.
    pub fn room_at_best_replica(
        &self,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> Option<ReplicaRoom> {
        let (name, _) = self.pick_replica(request, context).ok()?;
        let row = self.rows.get(&name)?;
        let tokens = row.uncached_tokens(request, &request.prefix_keys(), context.now);
        let (is_small_model, weight) = (request.is_small_model(), request.model_weight);
        let mean_cost = self.prefill_average.get(request.service, is_small_model, weight);
        Some(ReplicaRoom {
            requests: row.estimated_requests(context.now),
            relative_cost: tokens * weight / mean_cost.max(1.0),
        })
    }

    /// Replicas to probe before a call: the best ones without a recent load report. Empty if the
    /// call is too small to justify probes or if there is no choice.
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
        let candidates = self.candidates(request, context);
        let best = self.best_warm_replicas(&candidates, request, context, MAX_PROBED_REPLICAS);
        // A single replica needs no comparison.
        let best = best.ok().filter(|best| best.len() > 1).unwrap_or_default();
        let stale = best.iter().filter(|row| !row.has_fresh_load(context.now));
        stale.map(|row| row.entry.clone()).collect()
    }

    /// Replicas that may run a call. Those with expired entries are included only if there are no
    /// others, and those whose identity is doubted only if nothing else is left.
    fn candidates(
        &self,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> SmallVec<[&ReplicaRow; 32]> {
        let may_run = |row: &&ReplicaRow| self.may_run(row, request, context);
        let is_known = |row: &&ReplicaRow| !row.identity.is_doubted(context.now) && may_run(row);
        let current: SmallVec<_> = self.rows.current().filter(is_known).collect();
        if !current.is_empty() {
            return current;
        }
        let known: SmallVec<_> = self.rows.values().filter(is_known).collect();
        if known.is_empty() { self.rows.values().filter(may_run).collect() } else { known }
    }

    fn best_warm_replicas<'a>(
        &self,
        candidates: &[&'a ReplicaRow],
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
        max_count: usize,
    ) -> Result<SmallVec<[&'a ReplicaRow; 4]>, ChoiceRefusal> {
        let (is_small_model, weight) = (request.is_small_model(), request.model_weight);
        let average = PoolAverages {
            waiting_request_cost: self.prefill_average.get(request.service, is_small_model, weight),
            service_time: self.service_times.get(request.service),
        };
        replica_score::best_warm_replicas(candidates, request, context, average, max_count)
    }

    /// Picks a replica without counting a call; returns it with the number of candidates. Cold
    /// replicas are used only if no warm one can take the call.
    fn pick_replica(
        &self,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> Result<(ids::ReplicaName, usize), ChoiceRefusal> {
        let candidates = self.candidates(request, context);
        if candidates.is_empty() {
            return Err(self.refusal_without_candidates(request, context));
        }
        let warm_refusal = match self.best_warm_replicas(&candidates, request, context, 1) {
            Ok(best) => return Ok((best[0].entry.name.clone(), candidates.len())),
            Err(refusal) => refusal,
        };
        let cold = replica_score::pick_cold_replica(&candidates, request, context);
        let cold = cold.map_err(|refusal| match warm_refusal {
            ChoiceRefusal::NoReplica => refusal,
            warm_refusal => warm_refusal,
        });
        cold.map(|name| (name, candidates.len()))
    }

    /// Why no replica may run a call: there is none, or all have asked for a pause or state a limit.
    fn refusal_without_candidates(
        &self,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> ChoiceRefusal {
        let matching = || self.rows.values().filter(|row| self.matches(row, request, context));
        let limited = matching().filter_map(|row| row.time_to_limited_return(context.now)).min();
        let paused = matching().filter_map(|row| row.notice.time_left(context.now)).min();
        match (limited, paused) {
            (Some(time), None) => ChoiceRefusal::Limited(time),
            (Some(time), Some(pause)) if time <= pause => ChoiceRefusal::Limited(time),
            (_, Some(time)) if time.is_zero() => ChoiceRefusal::Full,
            (_, Some(time)) => ChoiceRefusal::Paused(time),
            (None, None) => ChoiceRefusal::NoReplica,
        }
    }

    /// Applies the notice of an answer, unless another process of the replica gave it; returns what
    /// it changed.
    pub fn record_notice(
        &mut self,
        entry: &ReplicaEntry,
        notice: AnswerNotice,
        now: Instant,
    ) -> Option<NoticeChange> {
        if notice == AnswerNotice::default() {
            return None;
        }
        if notice.is_leaving {
            self.leaving_replicas.insert(entry);
        }
        let row = self.rows.get_mut(&entry.name)?;
        if row.entry.started_unix_ms != entry.started_unix_ms {
            return None;
        }
        row.notice.apply(notice, now)
    }

    /// Applies the rate limit that an answer states, or that it states none, unless another process
    /// of the replica gave it; returns what that changed. The request was sent at `sent_at`.
    pub fn record_limit(
        &mut self,
        entry: &ReplicaEntry,
        rate_per_s: Option<f64>,
        sent_at: Instant,
        context: &ChoiceContext<'_>,
    ) -> Option<LimitChange> {
        let statement = LimitStatement { rate_per_s, sent_at };
        let Some(row) = self.rows.get_mut(&entry.name) else {
            let mut limit = self.kept_limits.take(entry);
            let change = statement.apply(&mut limit, &entry.name, context);
            if let Some(limit) = limit {
                self.kept_limits.insert(entry, limit);
            }
            return change;
        };
        if row.entry.started_unix_ms != entry.started_unix_ms {
            return None;
        }
        statement.apply(&mut row.limit, &entry.name, context)
    }

    /// Shares the limits of all replicas anew, after a change of the members.
    pub fn refresh_limits(&mut self, context: &ChoiceContext<'_>) {
        let limited = self.rows.values_mut().filter_map(|row| {
            let limit = row.limit.as_deref_mut()?;
            Some((&row.entry.name, limit))
        });
        for (name, limit) in limited.chain(self.kept_limits.iter_mut()) {
            let rate = limit.rate_per_s();
            limit.change_share(rate, LimitShare::new(rate, name, context), context.now);
        }
    }

    /// Records that a replica served a request that was sent at `sent_at`; returns whether that
    /// ended a pause.
    pub fn record_served(
        &mut self,
        name: &str,
        sent_at: Instant,
        now: Instant,
    ) -> Option<NoticeChange> {
        self.rows.get_mut(name)?.notice.record_served(sent_at, now)
    }

    /// Whether the replica's own answers allow the request that has been counted for it.
    pub fn is_willing(&self, name: &str) -> bool {
        self.rows.get(name).is_none_or(|row| !row.notice.is_leaving())
    }

    /// Subtracts the prefill cost of a call, which ends with the first byte of the answer.
    pub fn record_first_byte(&mut self, name: &str, prefill_cost: f64) {
        if let Some(row) = self.rows.get_mut(name) {
            row.pending_prefill_cost = (row.pending_prefill_cost - prefill_cost).max(0.0);
        }
    }

    /// Subtracts an ended call from the calls in flight.
    pub fn record_finish(&mut self, name: &str) {
        if let Some(row) = self.rows.get_mut(name) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Applies a load report of a replica.
    pub fn record_load(&mut self, name: &str, load: ReplicaLoad, now: Instant) {
        if let Some(row) = self.rows.get_mut(name) {
            row.reported_load = Some((load, now));
            row.sent_since_load = 0;
            let requests = load.running.saturating_add(load.waiting);
            row.load_history.record_report(requests, now);
            if requests < row.entry.slots {
                row.full_until = None;
            }
        }
    }

    /// Applies the time that work takes on the machine of a replica, as its answer states.
    pub fn record_work_factor(&mut self, name: &str, work_factor: f64, now: Instant) {
        let Some(row) = self.rows.get_mut(name) else { return };
        row.pace_history.record_report(work_factor, now);
        if !self.paced_services.contains(&row.entry.service) {
            self.paced_services.insert(row.entry.service.clone());
        }
    }

    /// Whether a replica of the service has stated how long work takes on its machine.
    pub fn is_paced(&self, service: &str) -> bool {
        self.paced_services.contains(service)
    }

    /// Records that a replica of a plain service answered a call `waited` after it was sent.
    pub fn record_service_time(&mut self, name: &str, waited: Duration, now: Instant) {
        let Some(row) = self.rows.get(name) else { return };
        let (slots, waiting) = (row.entry.slots, row.waiting_requests(now));
        let work_factor = row.pace_history.forecast(now);
        self.service_times.record(&row.entry.service, waited, waiting, slots, work_factor);
    }

    /// Records that a replica refused a call because it is full.
    pub fn record_full(&mut self, name: &str, now: Instant) {
        let Some(row) = self.rows.get_mut(name) else { return };
        // One of the slots is free again after about this time.
        let slot_time = self.service_times.get(&row.entry.service) / row.entry.slots.max(1);
        row.full_until = Some(now + slot_time.min(MAX_FULL_TIME));
    }

    /// Applies the remaining cold time that a replica reports. It may extend the cold period, but
    /// never shortens it.
    pub fn record_cold(&mut self, name: &str, cold_left: Duration, now: Instant) {
        if let Some(row) = self.rows.get_mut(name) {
            row.cold_until = row.cold_until.max(now + cold_left.min(MAX_COLD_TIME));
        }
    }

    /// Records that the replica sent data on any call.
    pub fn record_activity(&mut self, name: &str, now: Instant) {
        if let Some(row) = self.rows.get_mut(name) {
            row.last_activity = Some(now);
        }
    }

    /// Whether the replica has sent data on any call since the given time.
    pub fn was_active_since(&self, name: &str, since: Instant) -> bool {
        self.rows.get(name).and_then(|row| row.last_activity).is_some_and(|at| at >= since)
    }

    /// Records the outcome of an attempt; returns whether the replica is avoided from now on.
    pub fn record_health(&mut self, name: &str, outcome: HealthOutcome, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(name) else { return false };
        if outcome == HealthOutcome::Unreachable {
            // The process may restart under the same name, and be cold before its entry shows it.
            row.suspected_cold_until = Some(now + SUSPECTED_COLD_TIME);
            row.notice.record_unsent(now);
        }
        row.health.record_outcome(outcome, now)
    }

    /// Records that the replica itself answered a request that was sent at `sent_at`.
    pub fn confirm_identity(&mut self, name: &str, sent_at: Instant) {
        if let Some(row) = self.rows.get_mut(name) {
            row.identity.confirm(sent_at);
        }
    }

    /// Records that the server at a replica's address refused a request as misdirected; returns the
    /// cause and the time since the replica last answered. `reuse_delay` is the shortest time from
    /// the end of a replica to another use of its address.
    pub fn record_misdirected(
        &mut self,
        name: &str,
        reuse_delay: Duration,
        now: Instant,
    ) -> (MisdirectionCause, Option<Duration>) {
        let Some(row) = self.rows.get_mut(name) else {
            return (MisdirectionCause::Address, None);
        };
        let age = row.identity.confirmation_age(now);
        (row.identity.record_refusal(row.last_activity, reuse_delay, now), age)
    }

    /// Withdraws the doubts that a request has cast on replicas, as the request was at fault.
    pub fn withdraw_doubts(&mut self, names: &[ids::ReplicaName]) {
        for name in names {
            if let Some(row) = self.rows.get_mut(name) {
                row.identity.withdraw_doubt();
            }
        }
    }

    /// Whether the replica runs the service and accepts calls.
    fn is_usable(&self, row: &ReplicaRow, service: &str) -> bool {
        *row.entry.service == *service
            && row.entry.state == EntryState::Ready
            && !self.evacuated_data_centres.contains(&row.entry.data_centre)
    }

    fn may_run(
        &self,
        row: &ReplicaRow,
        request: &ChoiceRequest<'_>,
        context: &ChoiceContext<'_>,
    ) -> bool {
        self.matches(row, request, context)
            && row.notice.allows(row.in_flight, context.now)
            && row.limit.as_ref().is_none_or(|limit| limit.allows(context.now))
    }

    /// Whether the replica could run the call, apart from what its own answers say.
    fn matches(
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
