//! Choice of the entry step of a cascade and of the escalation after an answer.
//!
//! A plan is a rising list of steps. A plan of several steps escalates when the
//! rating of an answer is below the target; a plan of one step needs no rating.
//! The policy takes the cheapest plan whose lower estimate of the share of good
//! answers meets the target.

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::{ids, quality_table};

/// Share of requests with a random entry step, which keeps every pass rate current.
const EXPLORED_SHARE: f64 = 0.02;
/// Most steps of one plan; bounds the enumeration at 469 plans for 14 models.
const PLAN_STEPS: usize = 3;
/// Share of wrong ratings that plans allow for. A bad answer that is rated good is not escalated.
const ASSUMED_WRONG_SHARE: f64 = 0.02;

/// Step of a cascade as the policy sees it.
#[derive(Clone, Debug)]
pub struct StepOption {
    /// Model of the step.
    pub model: ids::ModelName,
    /// Expected cost of one answer, in microcredits.
    pub cost: ids::Microcredits,
    /// Expected share of good answers before any rating, 0 to 1.
    pub prior_quality: f64,
}

/// Whether answers can be rated before delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RatingUse {
    /// Ratings arrive in time.
    Available,
    /// The rating service is slow or gone.
    Unavailable,
    /// The answer is streamed, so that it is delivered before it could be rated.
    Streamed,
}

/// Request as the policy sees it.
#[derive(Clone, Debug)]
pub struct PolicyRequest<'a> {
    /// Customer.
    pub customer: &'a ids::CustomerName,
    /// Kind of request.
    pub kind: &'a ids::RequestKind,
    /// Steps that may run now, from cheap to costly.
    pub steps: &'a [StepOption],
    /// Least share of good answers, 0 to 1.
    pub quality_target: f64,
    /// Whether answers can be rated before delivery.
    pub rating: RatingUse,
}

/// Positions of the steps to try, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CascadePlan {
    /// Positions in `PolicyRequest::steps`, rising; never empty.
    pub steps: SmallVec<[usize; PLAN_STEPS]>,
    /// Whether the plan was chosen to keep pass rates current.
    pub explores: bool,
}

/// Expected outcome of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanEstimate {
    /// Lower estimate of the share of good answers.
    pub quality: f64,
    /// Expected cost in microcredits.
    pub cost: f64,
}

/// What to do with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerDecision {
    /// Deliver it.
    Deliver,
    /// Try the step at this position.
    Escalate(usize),
}

/// Plan for a request; none when it has no steps.
pub fn choose_plan(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    random: &mut impl Rng,
) -> Option<CascadePlan> {
    let best = best_plan(table, request)?;
    if request.rating == RatingUse::Available && random.random_bool(EXPLORED_SHARE) {
        return Some(explored_plan(request.steps.len(), random));
    }
    Some(best)
}

/// Cheapest plan whose lower estimate meets the target, without exploration.
///
/// When no plan meets the target, the one with the highest lower estimate is taken.
pub fn best_plan(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
) -> Option<CascadePlan> {
    let longest = if request.rating == RatingUse::Available { PLAN_STEPS } else { 1 };
    let mut best: Option<(CascadePlan, PlanEstimate)> = None;
    for plan in enumerate_plans(request.steps.len(), longest) {
        let estimate = estimate_plan(table, request, &plan);
        let better = best
            .as_ref()
            .is_none_or(|(_, known)| prefers(estimate, *known, request.quality_target));
        if better {
            best = Some((plan, estimate));
        }
    }
    best.map(|(plan, _)| plan)
}

/// All plans over a number of steps, the short ones first.
pub fn enumerate_plans(step_count: usize, longest: usize) -> Vec<CascadePlan> {
    let mut plans: Vec<CascadePlan> = (0..step_count).map(|step| fixed_plan([step])).collect();
    let mut extended_from = 0;
    for _ in 1..longest.min(PLAN_STEPS) {
        let extended_to = plans.len();
        for index in extended_from..extended_to {
            let last = plans[index].steps.last().map_or(0, |last| last + 1);
            for step in last..step_count {
                let mut plan = plans[index].clone();
                plan.steps.push(step);
                plans.push(plan);
            }
        }
        extended_from = extended_to;
    }
    plans
}

/// Plan of given steps.
pub fn fixed_plan(steps: impl IntoIterator<Item = usize>) -> CascadePlan {
    CascadePlan { steps: steps.into_iter().collect(), explores: false }
}

/// Expected quality and cost of a plan.
pub fn estimate_plan(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    plan: &CascadePlan,
) -> PlanEstimate {
    let (mut reached, mut failed, mut cost, mut missed) = (1.0, 1.0, 0.0, 0.0);
    let mut former: Option<usize> = None;
    for (place, &step) in plan.steps.iter().enumerate() {
        let estimate = step_estimate(table, request, step, former);
        cost += reached * request.steps[step].cost as f64;
        if place + 1 < plan.steps.len() {
            missed += failed * (1.0 - estimate.lower) * ASSUMED_WRONG_SHARE;
        }
        reached *= 1.0 - estimate.mean;
        failed *= 1.0 - estimate.lower;
        former = Some(step);
    }
    PlanEstimate { quality: (1.0 - failed - missed).max(0.0), cost }
}

/// Decision on the answer of the step at a place of the plan.
///
/// Without a rating the answer is delivered only if its model meets the target by itself;
/// otherwise the request moves to the step that does.
pub fn after_answer(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    plan: &CascadePlan,
    place: usize,
    score: Option<f64>,
) -> AnswerDecision {
    let Some(&next) = plan.steps.get(place + 1) else { return AnswerDecision::Deliver };
    match score {
        Some(score) if passes(score, request.quality_target) => AnswerDecision::Deliver,
        Some(_) => AnswerDecision::Escalate(next),
        None => {
            let unrated = PolicyRequest { rating: RatingUse::Unavailable, ..request.clone() };
            match best_plan(table, &unrated).and_then(|plan| plan.steps.first().copied()) {
                Some(step) if step > plan.steps[place] => AnswerDecision::Escalate(step),
                _ => AnswerDecision::Deliver,
            }
        }
    }
}

/// Whether a score counts as a good answer.
pub fn passes(score: f64, quality_target: f64) -> bool {
    score >= quality_target
}

/// Cell that the answer of a step counts for.
pub fn answer_cell(
    request: &PolicyRequest<'_>,
    step: usize,
    former: Option<usize>,
) -> quality_table::QualityCell {
    quality_table::QualityCell {
        customer: request.customer.clone(),
        kind: request.kind.clone(),
        model: request.steps[step].model.clone(),
        after: former.map(|former| request.steps[former].model.clone()),
    }
}

/// Pass rate of a step, given that a former step failed.
///
/// Before ratings are known, the seed of an escalated step assumes that every request which the
/// cheap model answers well is also answered well by the costly one. This is the least favourable
/// case for escalation.
fn step_estimate(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    step: usize,
    former: Option<usize>,
) -> quality_table::PassEstimate {
    let entry = answer_cell(request, step, None);
    let own = table.estimate(&entry, request.steps[step].prior_quality);
    let Some(former) = former else { return own };
    let cell = answer_cell(request, former, None);
    let before = table.estimate(&cell, request.steps[former].prior_quality);
    let seed = (own.mean - before.mean) / (1.0 - before.mean).max(0.001);
    table.estimate(&answer_cell(request, step, Some(former)), seed)
}

fn prefers(found: PlanEstimate, known: PlanEstimate, target: f64) -> bool {
    match (found.quality >= target, known.quality >= target) {
        (true, true) => found.cost < known.cost,
        (false, false) => found.quality > known.quality,
        (found_meets, _) => found_meets,
    }
}

/// Random entry step followed by all steps that fit above it.
fn explored_plan(step_count: usize, random: &mut impl Rng) -> CascadePlan {
    let entry = random.random_range(0..step_count);
    let mut steps: SmallVec<[usize; PLAN_STEPS]> = (entry..step_count).take(PLAN_STEPS).collect();
    if let Some(last) = steps.last_mut() {
        *last = step_count - 1;
    }
    CascadePlan { steps, explores: true }
}
