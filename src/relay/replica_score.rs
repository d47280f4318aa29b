//! Ranking of the replicas that may run a call.
//!
//! Replicas for a call with a prompt are ranked by the estimated cost before the first byte of the
//! answer, in prompt tokens of the largest model. The cost covers uncached prompt tokens, prefill
//! of earlier calls, running requests and the transfer to another data centre. Replicas of a plain
//! service, which has no prompts, are ranked by their requests and failures.

use std::time::Duration;

use smallvec::SmallVec;

use super::balancing::part_places::PartPlaces;
use super::balancing::wait_score::WaitScorer;
use super::cold_budget;
use super::load_prior::LoadPrior;
use super::replica_choice::{ChoiceContext, ChoiceRefusal, ChoiceRequest, PrefixKeys};
use super::replica_row::ReplicaRow;
use crate::{ids, rendezvous};

/// Cost of one running request, in prompt tokens of the largest model. Each running request
/// lengthens the engine steps of all others on the replica.
const RUNNING_REQUEST_COST_TOKENS: f64 = 60.0;
/// Cost of a call to another data centre, in prompt tokens of the largest model.
const REMOTE_COST_TOKENS: f64 = 60.0;
/// Cost of each uncached prompt token in addition to its prefill, in prompt tokens of the largest
/// model: the prompt evicts others from the prefix cache.
const EVICTION_COST_PER_TOKEN: f64 = 0.15;
/// Fraction of the shared prefix that the preferred replica is assumed to have cached, because
/// other instances send prompts with the same prefix there.
const PREFERRED_CACHED_FRACTION: f64 = 0.8;
/// Part of the pending prefill of this instance for which a call of a small model waits, where its
/// attempts run before those of large models.
const SMALL_MODEL_PENDING_FRACTION: f64 = 0.2;
/// Fraction of the replicas reserved for small models. A large model takes most of a second for the
/// prefill of a long prompt, and the short steps of small models on the same replica wait for it.
const SMALL_MODEL_FRACTION: f64 = 0.2;
/// Cost of a call to a small model outside the reserved replicas, in prompt tokens of the largest
/// model.
const SMALL_OUTSIDE_GROUP_COST_TOKENS: f64 = 2_000.0;
/// Cost of a call to a large model on a reserved replica, in prompt tokens of the largest model.
const LARGE_IN_SMALL_GROUP_COST_TOKENS: f64 = 8_000.0;
/// Requests per slot above which a load report no longer raises the mean of its group, so that one
/// absurd report does not make all replicas look full.
const MAX_LOAD_PER_SLOT: f64 = 4.0;
/// Cost of a call of a plain service to another data centre, in slots.
const REMOTE_COST_SLOTS: f64 = 0.5;
/// Cost of a replica of a plain service that fails all its calls, in slots.
const FAILURE_COST_SLOTS: f64 = 6.0;

/// Lowest [`ReplicaRow::small_model_rank`] of the replicas reserved for small models; `None` if there
/// are none. The ranks come from rendezvous hashing, so all instances make the same selection.
fn min_reserved_rank(rows: &[&ReplicaRow]) -> Option<u64> {
    let group_size = (rows.len() as f64 * SMALL_MODEL_FRACTION).round() as usize;
    let index = group_size.checked_sub(1)?;
    let mut ranks: SmallVec<[u64; 32]> = rows.iter().map(|row| row.small_model_rank).collect();
    let (_, rank, _) = ranks.select_nth_unstable_by_key(index, |rank| std::cmp::Reverse(*rank));
    Some(*rank)
}

/// Averages over the calls of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolAverages {
    /// Cost of a request that waits for its first token, in prompt tokens of the largest model.
    pub(super) waiting_request_cost: f64,
    /// Time that a request to a plain service takes, apart from its wait.
    pub(super) service_time: Duration,
}

/// Estimates the cost of one call at each replica.
struct ReplicaScorer<'a> {
    request: &'a ChoiceRequest<'a>,
    context: &'a ChoiceContext<'a>,
    prefixes: PrefixKeys,
    /// Replica to which all instances send prompts with the same prefix, by rendezvous hashing.
    preferred: Option<&'a ids::ReplicaName>,
    min_reserved_rank: Option<u64>,
    /// Places of the prefix, where choices rest on time. All models then share all replicas, as the
    /// attempts of small ones run first.
    places: Option<PartPlaces<'a>>,
    /// Cost of one request that waits for its first token, in prompt tokens of the largest model.
    waiting_request_cost: f64,
    /// Mean loads of the group for the called model and of the other replicas.
    group_prior: LoadPrior,
    outside_prior: LoadPrior,
}

impl<'a> ReplicaScorer<'a> {
    fn new(
        warm: &[&'a ReplicaRow],
        request: &'a ChoiceRequest<'a>,
        context: &'a ChoiceContext<'a>,
        waiting_request_cost: f64,
    ) -> Self {
        let prefixes = request.prefix_keys();
        let mut scorer = Self {
            request,
            context,
            prefixes,
            preferred: None,
            min_reserved_rank: min_reserved_rank(warm),
            places: None,
            waiting_request_cost,
            group_prior: LoadPrior::default(),
            outside_prior: LoadPrior::default(),
        };
        let last_prefix = scorer.prefixes.last().map(|(key, _)| *key);
        if request.has_places {
            let names = warm.iter().map(|row| &row.entry.name);
            scorer.places = Some(
                last_prefix.map_or_else(PartPlaces::default, |key| PartPlaces::new(key, names)),
            );
            if request.prompt_tokens > 0 {
                scorer.add_reports(warm);
            }
            return scorer;
        }
        scorer.preferred = last_prefix.and_then(|key| {
            let key = key.to_string();
            let rank = |row: &&&ReplicaRow| {
                (scorer.is_in_model_group(row), rendezvous::member_rank(&key, &row.entry.name))
            };
            warm.iter().max_by_key(rank).map(|row| &row.entry.name)
        });
        if request.prompt_tokens > 0 {
            scorer.add_reports(warm);
        }
        scorer
    }

    fn add_reports(&mut self, warm: &[&'a ReplicaRow]) {
        for row in warm {
            let (load, weight) = row.weighted_load(self.context.now);
            let load = load.capped(f64::from(row.entry.slots.max(1)) * MAX_LOAD_PER_SLOT);
            if self.is_in_model_group(row) {
                self.group_prior.add(load, weight);
            } else {
                self.outside_prior.add(load, weight);
            }
        }
    }

    fn prior(&self, row: &ReplicaRow) -> &LoadPrior {
        if self.is_in_model_group(row) { &self.group_prior } else { &self.outside_prior }
    }

    /// Whether a replica is in the group for the called model: the reserved replicas for a small
    /// model, all others for a large one.
    fn is_in_model_group(&self, row: &ReplicaRow) -> bool {
        if self.places.is_some() {
            return true;
        }
        let is_reserved = self.min_reserved_rank.is_some_and(|min| row.small_model_rank >= min);
        is_reserved == self.request.is_small_model()
    }

    /// Cost of the call at a replica, in slots for a plain service and in prompt tokens otherwise;
    /// the lowest is the best.
    fn score(&self, row: &ReplicaRow) -> f64 {
        if self.request.prompt_tokens == 0 { self.slot_score(row) } else { self.prefill_score(row) }
    }

    fn slot_score(&self, row: &ReplicaRow) -> f64 {
        let remote_cost = if self.is_local(row) { 0.0 } else { REMOTE_COST_SLOTS };
        let requests = f64::from(row.estimated_requests(self.context.now));
        requests + remote_cost + FAILURE_COST_SLOTS * row.health.failure_fraction()
    }

    /// Cost before the first token, in prompt tokens of the largest model.
    fn prefill_score(&self, row: &ReplicaRow) -> f64 {
        let (request, now) = (self.request, self.context.now);
        let mut uncached_tokens = row.uncached_tokens(request, &self.prefixes, now);
        let cached_fraction = match &self.places {
            Some(places) => places.cached_fraction(&row.entry.name),
            None if self.preferred == Some(&row.entry.name) => PREFERRED_CACHED_FRACTION,
            None => 0.0,
        };
        if cached_fraction > 0.0 {
            let prefix_tokens: f64 =
                self.prefixes.iter().map(|(_, tokens)| f64::from(*tokens)).sum();
            uncached_tokens = uncached_tokens
                .min(f64::from(request.prompt_tokens) - prefix_tokens * cached_fraction);
        }
        let group_cost = match (self.is_in_model_group(row), request.is_small_model()) {
            _ if request.model.is_none() => 0.0,
            (true, _) => 0.0,
            (false, true) => SMALL_OUTSIDE_GROUP_COST_TOKENS,
            (false, false) => LARGE_IN_SMALL_GROUP_COST_TOKENS,
        };
        // The score uses the maximum of both, not the sum, because calls of this instance without a
        // first byte are among the waiting requests.
        let load = row.estimated_load(self.prior(row), now);
        let waiting_cost = load.waiting * self.waiting_request_cost;
        let pending_fraction = if self.places.is_some() && request.is_small_model() {
            SMALL_MODEL_PENDING_FRACTION
        } else {
            1.0
        };
        let pending_cost = row.pending_prefill_cost * pending_fraction;
        // 1 unless the replica states how long work takes on its machine.
        let work_factor = row.pace_history.forecast(now);
        uncached_tokens * (request.model_weight * work_factor + EVICTION_COST_PER_TOKEN)
            + pending_cost.max(waiting_cost) * work_factor
            + load.requests * RUNNING_REQUEST_COST_TOKENS
            + if self.is_local(row) { 0.0 } else { REMOTE_COST_TOKENS }
            + group_cost
    }

    fn is_local(&self, row: &ReplicaRow) -> bool {
        row.entry.data_centre == *self.context.data_centre
    }
}

/// Returns up to `max_count` replicas that are not cold, those with the lowest cost first. Avoided
/// replicas are used only if there are no others, and those that want a trial before all others.
///
/// # Errors
/// [`ChoiceRefusal::NoReplica`] if all candidates are cold, [`ChoiceRefusal::Full`] if none of the
/// others has a free slot, [`ChoiceRefusal::Queued`] if the wait at all of them is too long.
pub(super) fn best_warm_replicas<'a>(
    candidates: &[&'a ReplicaRow],
    request: &ChoiceRequest<'_>,
    context: &ChoiceContext<'_>,
    averages: PoolAverages,
    max_count: usize,
) -> Result<SmallVec<[&'a ReplicaRow; 4]>, ChoiceRefusal> {
    let now = context.now;
    let mut warm: SmallVec<[&ReplicaRow; 32]> = SmallVec::from_slice(candidates);
    warm.retain(|row| !row.is_cold(now, request.cold_rate_per_s));
    if warm.is_empty() {
        return Err(ChoiceRefusal::NoReplica);
    }
    if let Some(rule) = &request.wait_rule {
        let scorer = WaitScorer::new(&warm, rule, averages.service_time, context);
        let usable = || warm.iter().copied().filter(|row| !row.health.is_avoided(now));
        let has_trial = usable().any(|row| row.wants_trial(now));
        let outcome = if usable().next().is_some() {
            let preferred = usable().filter(|row| !has_trial || row.wants_trial(now));
            scorer.best_replicas(preferred, max_count)
        } else {
            // All are avoided: use the one whose avoidance period ends first.
            let soonest = warm.iter().copied().min_by_key(|row| row.health.avoided_until());
            scorer.best_replicas(soonest.into_iter(), 1)
        };
        return outcome.map_err(ChoiceRefusal::Queued);
    }
    let scorer = ReplicaScorer::new(&warm, request, context, averages.waiting_request_cost);
    let with_free_slot =
        || warm.iter().filter(|row| row.estimated_requests(now) < row.entry.slots.max(1));
    let mut best: SmallVec<[(f64, &'a ReplicaRow); 4]> = SmallVec::new();
    let usable = || with_free_slot().filter(|row| !row.health.is_avoided(now));
    let has_trial = usable().any(|row| row.wants_trial(now));
    for row in usable().filter(|row| !has_trial || row.wants_trial(now)) {
        let score = scorer.score(row);
        let position = best.partition_point(|(other, _)| *other <= score);
        if position < max_count {
            best.truncate(max_count - 1);
            best.insert(position, (score, row));
        }
    }
    if !best.is_empty() {
        return Ok(best.into_iter().map(|(_, row)| row).collect());
    }
    // All replicas with a free slot are avoided: use the one whose avoidance period ends first.
    let soonest = with_free_slot().min_by_key(|row| row.health.avoided_until());
    soonest.map(|row| smallvec::smallvec![*row]).ok_or(ChoiceRefusal::Full)
}

/// Picks a cold replica to which this instance may send now.
///
/// # Errors
/// [`ChoiceRefusal::Cold`] if there is none.
pub(super) fn pick_cold_replica(
    candidates: &[&ReplicaRow],
    request: &ChoiceRequest<'_>,
    context: &ChoiceContext<'_>,
) -> Result<ids::ReplicaName, ChoiceRefusal> {
    let now = context.now;
    let is_allowed = |row: &&&ReplicaRow| {
        let rate = request.cold_rate_per_s;
        context.cold_limit.allows_sender(&row.entry.name, rate, context.instance, context.members)
    };
    let cold = candidates.iter().filter(|row| row.is_cold(now, request.cold_rate_per_s));
    let sendable = cold.filter(is_allowed).filter(|row| row.cold_spacing.allows_send(now));
    let best = sendable.min_by_key(|row| (row.health.is_avoided(now), row.estimated_requests(now)));
    best.map(|row| row.entry.name.clone())
        .ok_or(ChoiceRefusal::Cold(cold_budget::COLD_SEND_INTERVAL))
}
