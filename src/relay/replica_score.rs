//! Order of the replicas that may run a call.
//!
//! The order is by expected work before the first byte of the answer: uncached prompt tokens,
//! prompts that are still being read, requests that run, and the distance.

use smallvec::SmallVec;

use super::cold_budget;
use super::replica_choice::{ChoiceContext, ChoiceRefusal, ChoiceRequest, PromptKeys};
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

/// Expected work of one call at each replica.
struct CallScore<'a> {
    request: &'a ChoiceRequest<'a>,
    context: &'a ChoiceContext<'a>,
    prompts: PromptKeys,
    /// Replica to which all instances send prompts with the same start.
    preferred: Option<&'a ids::ReplicaName>,
    small_part: SmallVec<[&'a ids::ReplicaName; 8]>,
}

impl<'a> CallScore<'a> {
    fn new(
        warm: &[&'a ReplicaRow],
        request: &'a ChoiceRequest<'a>,
        context: &'a ChoiceContext<'a>,
    ) -> Self {
        let names = || warm.iter().map(|row| &row.entry.name);
        let prompts = request.prompt_keys();
        let small_part = small_model_replicas(names());
        let mut score = Self { request, context, prompts, preferred: None, small_part };
        score.preferred = score.prompts.last().and_then(|(key, _)| {
            let key = key.to_string();
            names().max_by_key(|name| (score.in_own_part(name), rendezvous::rank(&key, name)))
        });
        score
    }

    /// Whether a replica is one of those for models of the call's kind.
    fn in_own_part(&self, name: &ids::ReplicaName) -> bool {
        self.small_part.contains(&name) == self.request.small_model()
    }

    /// Score of a replica; the least is the best.
    fn of(&self, row: &ReplicaRow) -> f64 {
        if self.request.prompt_tokens == 0 { self.slots(row) } else { self.prompt_work(row) }
    }

    /// Slots in use, for a plain service.
    fn slots(&self, row: &ReplicaRow) -> f64 {
        let distance = if self.near(row) { 0.0 } else { DISTANCE_SLOTS };
        let occupied = f64::from(row.occupied(self.context.now));
        occupied + distance + FAILURE_SLOTS * row.health.failure_share()
    }

    /// Work before the first token, in prompt tokens of the largest model.
    fn prompt_work(&self, row: &ReplicaRow) -> f64 {
        let (request, now) = (self.request, self.context.now);
        let mut uncached = row.uncached_tokens(request, &self.prompts, now);
        if self.preferred == Some(&row.entry.name) {
            let shared: f64 = self.prompts.iter().map(|(_, tokens)| f64::from(*tokens)).sum();
            uncached = uncached.min(f64::from(request.prompt_tokens) - shared * PREFERRED_SHARE);
        }
        let part = match (self.in_own_part(&row.entry.name), request.small_model()) {
            _ if request.model.is_none() => 0.0,
            (true, _) => 0.0,
            (false, true) => SMALL_LEAVES_WORK,
            (false, false) => LARGE_ENTERS_WORK,
        };
        // Calls of this instance that the replica still reads are among those that wait.
        let waiting = f64::from(row.waiting(now)) * WAITING_WORK * request.model_weight;
        uncached * (request.model_weight + REREAD_WORK)
            + row.reading.max(waiting)
            + f64::from(row.occupied(now)) * RUNNING_WORK
            + if self.near(row) { 0.0 } else { DISTANCE_WORK }
            + part
    }

    fn near(&self, row: &ReplicaRow) -> bool {
        row.entry.data_centre == *self.context.data_centre
    }
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
    let mut warm: SmallVec<[&ReplicaRow; 32]> = SmallVec::from_slice(usable);
    warm.retain(|row| !row.cold(now, request.cold_rate_per_s));
    if warm.is_empty() {
        return Err(ChoiceRefusal::NoReplica);
    }
    let score = CallScore::new(&warm, request, context);
    let free = || warm.iter().filter(|row| row.occupied(now) < row.entry.slots.max(1));
    let mut best: SmallVec<[(f64, &'a ReplicaRow); 4]> = SmallVec::new();
    for row in free().filter(|row| !row.health.avoided(now)) {
        let work = score.of(row);
        let place = best.partition_point(|(other, _)| *other <= work);
        if place < most {
            best.truncate(most - 1);
            best.insert(place, (work, row));
        }
    }
    if !best.is_empty() {
        return Ok(best.into_iter().map(|(_, row)| row).collect());
    }
    // Replicas that are avoided are better than none.
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
