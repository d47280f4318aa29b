//! Order of the replicas that may run a call.
//!
//! The order is by expected work before the first byte of the answer: uncached prompt tokens,
//! prompts that are still being read, requests that run, and the distance.

use smallvec::SmallVec;

use super::cold_budget;
use super::replica_choice::{ChoiceContext, ChoiceRefusal, ChoiceRequest, PrefixKeys};
use super::replica_row::ReplicaRow;
use crate::{ids, rendezvous};

/// Work of one running request, in prompt tokens of the largest model: it lengthens each step of
/// the others.
const RUNNING_REQUEST_COST_TOKENS: f64 = 60.0;
/// Work of one request that waits for its first token, in prompt tokens of the model that is
/// called; most replicas serve one kind of model.
const WAITING_REQUEST_COST_TOKENS: f64 = 3_000.0;
/// Work that a call to another data centre stands for, in prompt tokens of the largest model.
const REMOTE_COST_TOKENS: f64 = 60.0;
/// Work of reading a prompt token again beyond the time that it takes the model: the prompt
/// pushes others out of the cache.
const EVICTION_COST_PER_TOKEN: f64 = 0.15;
/// Share of a prompt that the preferred replica is assumed to hold, as other instances send
/// prompts with the same start there.
const PREFERRED_CACHED_FRACTION: f64 = 0.8;
/// Part of the replicas that small models have to themselves. A large model reads a long prompt
/// for most of a second, and the short steps of small ones on the same replica wait for it.
const SMALL_MODEL_FRACTION: f64 = 0.2;
/// Work for which a call of a small model leaves its part of the replicas, in prompt tokens of
/// the largest model.
const SMALL_OUTSIDE_GROUP_COST_TOKENS: f64 = 2_000.0;
/// Work for which a call of a large model enters that part.
const LARGE_IN_SMALL_GROUP_COST_TOKENS: f64 = 8_000.0;
/// Part of a slot that another data centre stands for, for plain services.
const REMOTE_COST_SLOTS: f64 = 0.5;
/// Slots that a share of failures of 1 stands for, for plain services.
const FAILURE_COST_SLOTS: f64 = 6.0;

/// Replicas that small models have to themselves; all instances agree on them.
fn small_model_replicas<'a>(
    names: impl Iterator<Item = &'a ids::ReplicaName>,
) -> SmallVec<[&'a ids::ReplicaName; 8]> {
    let mut names: SmallVec<[&ids::ReplicaName; 32]> = names.collect();
    let group_size = (names.len() as f64 * SMALL_MODEL_FRACTION).round() as usize;
    names.sort_unstable_by_key(|name| std::cmp::Reverse(rendezvous::rank("small models", name)));
    names.into_iter().take(group_size).collect()
}

/// Expected work of one call at each replica.
struct ReplicaScorer<'a> {
    request: &'a ChoiceRequest<'a>,
    context: &'a ChoiceContext<'a>,
    prefixes: PrefixKeys,
    /// Replica to which all instances send prompts with the same start.
    preferred: Option<&'a ids::ReplicaName>,
    small_model_group: SmallVec<[&'a ids::ReplicaName; 8]>,
}

impl<'a> ReplicaScorer<'a> {
    fn new(
        warm: &[&'a ReplicaRow],
        request: &'a ChoiceRequest<'a>,
        context: &'a ChoiceContext<'a>,
    ) -> Self {
        let names = || warm.iter().map(|row| &row.entry.name);
        let prefixes = request.prefix_keys();
        let small_model_group = small_model_replicas(names());
        let mut scorer = Self { request, context, prefixes, preferred: None, small_model_group };
        scorer.preferred = scorer.prefixes.last().and_then(|(key, _)| {
            let key = key.to_string();
            names()
                .max_by_key(|name| (scorer.is_in_model_group(name), rendezvous::rank(&key, name)))
        });
        scorer
    }

    /// Whether a replica is one of those for models of the call's kind.
    fn is_in_model_group(&self, name: &ids::ReplicaName) -> bool {
        self.small_model_group.contains(&name) == self.request.is_small_model()
    }

    /// Score of a replica; the least is the best.
    fn score(&self, row: &ReplicaRow) -> f64 {
        if self.request.prompt_tokens == 0 { self.slot_score(row) } else { self.prefill_score(row) }
    }

    /// Slots in use, for a plain service.
    fn slot_score(&self, row: &ReplicaRow) -> f64 {
        let remote_cost = if self.is_local(row) { 0.0 } else { REMOTE_COST_SLOTS };
        let requests = f64::from(row.estimated_requests(self.context.now));
        requests + remote_cost + FAILURE_COST_SLOTS * row.health.failure_fraction()
    }

    /// Work before the first token, in prompt tokens of the largest model.
    fn prefill_score(&self, row: &ReplicaRow) -> f64 {
        let (request, now) = (self.request, self.context.now);
        let mut uncached = row.uncached_tokens(request, &self.prefixes, now);
        if self.preferred == Some(&row.entry.name) {
            let shared: f64 = self.prefixes.iter().map(|(_, tokens)| f64::from(*tokens)).sum();
            uncached =
                uncached.min(f64::from(request.prompt_tokens) - shared * PREFERRED_CACHED_FRACTION);
        }
        let group_cost = match (self.is_in_model_group(&row.entry.name), request.is_small_model()) {
            _ if request.model.is_none() => 0.0,
            (true, _) => 0.0,
            (false, true) => SMALL_OUTSIDE_GROUP_COST_TOKENS,
            (false, false) => LARGE_IN_SMALL_GROUP_COST_TOKENS,
        };
        // Calls of this instance that the replica still reads are among those that wait.
        let waiting_cost = f64::from(row.waiting_requests(now))
            * WAITING_REQUEST_COST_TOKENS
            * request.model_weight;
        uncached * (request.model_weight + EVICTION_COST_PER_TOKEN)
            + row.pending_prefill_cost.max(waiting_cost)
            + f64::from(row.estimated_requests(now)) * RUNNING_REQUEST_COST_TOKENS
            + if self.is_local(row) { 0.0 } else { REMOTE_COST_TOKENS }
            + group_cost
    }

    fn is_local(&self, row: &ReplicaRow) -> bool {
        row.entry.data_centre == *self.context.data_centre
    }
}

/// Replicas with the least expected work before the first byte, best first, among those that are
/// not cold.
pub(super) fn best_warm_replicas<'a>(
    usable: &[&'a ReplicaRow],
    request: &ChoiceRequest<'_>,
    context: &ChoiceContext<'_>,
    max_count: usize,
) -> Result<SmallVec<[&'a ReplicaRow; 4]>, ChoiceRefusal> {
    let now = context.now;
    let mut warm: SmallVec<[&ReplicaRow; 32]> = SmallVec::from_slice(usable);
    warm.retain(|row| !row.is_cold(now, request.cold_rate_per_s));
    if warm.is_empty() {
        return Err(ChoiceRefusal::NoReplica);
    }
    let scorer = ReplicaScorer::new(&warm, request, context);
    let with_free_slot =
        || warm.iter().filter(|row| row.estimated_requests(now) < row.entry.slots.max(1));
    let mut best: SmallVec<[(f64, &'a ReplicaRow); 4]> = SmallVec::new();
    for row in with_free_slot().filter(|row| !row.health.is_avoided(now)) {
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
    // Replicas that are avoided are better than none.
    let soonest = with_free_slot().min_by_key(|row| row.health.avoided_until());
    soonest.map(|row| smallvec::smallvec![*row]).ok_or(ChoiceRefusal::Full)
}

/// Cold replica to which this instance may send now.
pub(super) fn pick_cold_replica(
    usable: &[&ReplicaRow],
    request: &ChoiceRequest<'_>,
    context: &ChoiceContext<'_>,
) -> Result<ids::ReplicaName, ChoiceRefusal> {
    let now = context.now;
    let is_allowed = |row: &&&ReplicaRow| {
        let rate = request.cold_rate_per_s;
        context.cold_limit.allows_sender(&row.entry.name, rate, context.instance, context.members)
    };
    let cold = usable.iter().filter(|row| row.is_cold(now, request.cold_rate_per_s));
    let sendable = cold.filter(is_allowed).filter(|row| row.cold_spacing.allows_send(now));
    let best = sendable.min_by_key(|row| (row.health.is_avoided(now), row.estimated_requests(now)));
    best.map(|row| row.entry.name.clone())
        .ok_or(ChoiceRefusal::Cold(cold_budget::COLD_SEND_INTERVAL))
}
