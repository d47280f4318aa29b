//! Order of the replicas that may run a call.
//!
//! The order is by expected work before the first byte of the answer: uncached prompt tokens,
//! prompts that are still being read, requests that run, and the distance.

use smallvec::SmallVec;

use super::cold_budget;
use super::replica_choice::{ChoiceContext, ChoiceRefusal, ChoiceRequest};
use super::replica_row::ReplicaRow;
use crate::{ids, rendezvous};

/// Work of one running request, in prompt tokens of the largest model: it lengthens each step of
/// the others.
const RUNNING_WORK: f64 = 60.0;
/// Work of one request that waits for its first token, in prompt tokens of the model that is
/// called; most replicas serve one kind of model.
const WAITING_WORK: f64 = 3_000.0;
/// Work that a call to another data centre stands for, in prompt tokens of the largest model.
const DISTANCE_WORK: f64 = 60.0;
/// Work of reading a prompt token again beyond the time that it takes the model: the prompt
/// pushes others out of the cache.
const REREAD_WORK: f64 = 0.15;
/// Share of a prompt that the preferred replica is assumed to hold, as other instances send
/// prompts with the same start there.
const PREFERRED_SHARE: f64 = 0.8;
/// Part of the replicas that small models have to themselves. A large model reads a long prompt
/// for most of a second, and the short steps of small ones on the same replica wait for it.
const SMALL_MODEL_PART: f64 = 0.2;
/// Work for which a call of a small model leaves its part of the replicas, in prompt tokens of
/// the largest model.
const SMALL_LEAVES_WORK: f64 = 2_000.0;
/// Work for which a call of a large model enters that part.
const LARGE_ENTERS_WORK: f64 = 8_000.0;
/// Part of a slot that another data centre stands for, for plain services.
const DISTANCE_SLOTS: f64 = 0.5;
/// Slots that a share of failures of 1 stands for, for plain services.
const FAILURE_SLOTS: f64 = 6.0;

/// Replicas that small models have to themselves; all instances agree on them.
fn small_model_replicas<'a>(
    names: impl Iterator<Item = &'a ids::ReplicaName>,
) -> SmallVec<[&'a ids::ReplicaName; 8]> {
    let mut names: SmallVec<[&ids::ReplicaName; 32]> = names.collect();
    let part = (names.len() as f64 * SMALL_MODEL_PART).round() as usize;
    names.sort_unstable_by_key(|name| std::cmp::Reverse(rendezvous::rank("small models", name)));
    names.into_iter().take(part).collect()
}

/// Replicas with the least expected work before the first byte, best first, among those that are
/// not cold.
pub(super) fn best_warm<'a>(
    usable: &[&'a ReplicaRow],
    request: &ChoiceRequest<'_>,
    context: &ChoiceContext<'_>,
    most: usize,
) -> Result<SmallVec<[&'a ReplicaRow; 4]>, ChoiceRefusal> {
    let now = context.now;
    let warm = || usable.iter().filter(|row| !row.cold(now, request.cold_rate_per_s));
    if warm().next().is_none() {
        return Err(ChoiceRefusal::NoReplica);
    }
    let free = || warm().filter(|row| row.occupied(now) < row.entry.slots.max(1));
    if free().next().is_none() {
        return Err(ChoiceRefusal::Full);
    }
    let prompts = request.prompt_keys();
    let shared: f64 = prompts.iter().map(|(_, tokens)| f64::from(*tokens)).sum();
    let small_model = request.small_model();
    let small_part = small_model_replicas(warm().map(|row| &row.entry.name));
    let own_part = |name: &ids::ReplicaName| small_part.contains(&name) == small_model;
    let preferred = prompts.last().and_then(|(key, _)| {
        let key = key.to_string();
        let names = warm().map(|row| &row.entry.name);
        names.max_by_key(|name| (own_part(name), rendezvous::rank(&key, name)))
    });
    let score = |row: &ReplicaRow| -> f64 {
        let near = row.entry.data_centre == *context.data_centre;
        let occupied = f64::from(row.occupied(now));
        if request.prompt_tokens == 0 {
            let distance = if near { 0.0 } else { DISTANCE_SLOTS };
            return occupied + distance + FAILURE_SLOTS * row.health.failure_share();
        }
        let uncached = row.uncached_tokens(request, &prompts, now);
        let assumed = if preferred == Some(&row.entry.name) {
            f64::from(request.prompt_tokens) - shared * PREFERRED_SHARE
        } else {
            uncached
        };
        let distance = if near { 0.0 } else { DISTANCE_WORK };
        let work = uncached.min(assumed) * (request.model_weight + REREAD_WORK);
        let part = match (own_part(&row.entry.name), small_model) {
            _ if request.model.is_none() => 0.0,
            (true, _) => 0.0,
            (false, true) => SMALL_LEAVES_WORK,
            (false, false) => LARGE_ENTERS_WORK,
        };
        // Calls of this instance that the replica still reads are among those that wait.
        let queued =
            row.reading.max(f64::from(row.waiting(now)) * WAITING_WORK * request.model_weight);
        work + queued + occupied * RUNNING_WORK + distance + part
    };
    let well = free().filter(|row| !row.health.avoided(now));
    let mut best: SmallVec<[(f64, &ReplicaRow); 4]> = SmallVec::new();
    for row in well {
        let score = score(row);
        let place = best.partition_point(|(other, _)| *other <= score);
        if place < most {
            best.truncate(most - 1);
            best.insert(place, (score, row));
        }
    }
    if !best.is_empty() {
        return Ok(best.into_iter().map(|(_, row)| row).collect());
    }
    let soonest = free().min_by_key(|row| row.health.avoided_until());
    soonest.map(|row| smallvec::smallvec![*row]).ok_or(ChoiceRefusal::Full)
}

/// Cold replica to which this instance may send now.
pub(super) fn pick_cold(
    usable: &[&ReplicaRow],
    request: &ChoiceRequest<'_>,
    context: &ChoiceContext<'_>,
) -> Result<ids::ReplicaName, ChoiceRefusal> {
    let now = context.now;
    let allowed = |row: &&&ReplicaRow| {
        let rate = request.cold_rate_per_s;
        context.cold.includes(&row.entry.name, rate, context.instance, context.members)
    };
    let cold = usable.iter().filter(|row| row.cold(now, request.cold_rate_per_s));
    let free = cold.filter(allowed).filter(|row| row.spacing.free(now));
    let best = free.min_by_key(|row| (row.health.avoided(now), row.occupied(now)));
    best.map(|row| row.entry.name.clone()).ok_or(ChoiceRefusal::Cold(cold_budget::COLD_SPACING))
}
