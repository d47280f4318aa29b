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
const EXPLORATION_RATE: f64 = 0.02;
/// Most steps of one plan; bounds the enumeration at 469 plans for 14 models.
const MAX_PLAN_STEPS: usize = 3;
/// Share of wrong ratings that plans allow for. A bad answer that is rated good is not escalated.
const ASSUMED_FALSE_PASS_RATE: f64 = 0.02;
/// Escalated answers from which the seed of an entry step is taken.
const MIN_SEEDING_ANSWERS: f64 = 50.0;
/// Smallest expected failure rate of a step; keeps divisions by it finite.
const MIN_DIVISOR: f64 = 1e-6;

/// Standard deviations by which the rate of an explored step for streams may be lower than its
/// mean while the mix of explored and other answers still meets the target.
const EXPLORATION_DEVIATIONS: f64 = 1.0;

/// Standard deviations between the mean and the lower estimate, which the share of good answers
/// exceeds with a probability of about 69%. With 1.0 the policy costs 1% to 5% more in
/// `examples/cascade.rs`, seeds 1 and 2.
const LOWER_BOUND_DEVIATIONS: f64 = 0.5;

/// Step of a cascade as the policy sees it.
#[derive(Clone, Debug)]
pub struct StepOption {
    /// Model of the step.
    pub model: ids::ModelName,
    /// Expected cost of one answer, in microcredits.
    pub cost: ids::Microcredits,
    /// Expected share of good answers before any rating, 0 to 1.
    pub prior_quality: f64,
    /// Whether a version of the model is being rolled out. Exploration leaves such steps out, so
    /// that it sends no request to a version that is not known to be good.
    pub under_rollout: bool,
}

/// Whether answers can be rated before delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RatingAvailability {
    /// Ratings arrive in time.
    Available,
    /// The rating service is slow or gone.
    Unavailable,
    /// The answer is streamed, so that it is delivered before it is rated.
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
    pub rating: RatingAvailability,
}

/// Positions of the steps to try, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CascadePlan {
    /// Positions in `PolicyRequest::steps`, rising; never empty.
    pub steps: SmallVec<[usize; MAX_PLAN_STEPS]>,
    /// Whether the plan was chosen to keep pass rates current.
    pub is_exploration: bool,
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
    let explored = match request.rating {
        RatingAvailability::Available if random.random_bool(EXPLORATION_RATE) => {
            draw_exploration_plan(table, request, random)
        }
        RatingAvailability::Streamed => draw_stream_exploration(table, request, &best, random),
        RatingAvailability::Available | RatingAvailability::Unavailable => None,
    };
    Some(explored.unwrap_or(best))
}

/// Cheapest plan whose lower estimate meets the target, without exploration.
///
/// When no plan meets the target, the one with the highest lower estimate is taken.
pub fn best_plan(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
) -> Option<CascadePlan> {
    let longest = if request.rating == RatingAvailability::Available { MAX_PLAN_STEPS } else { 1 };
    let mut best: Option<(CascadePlan, PlanEstimate)> = None;
    for plan in enumerate_plans(request.steps.len(), longest) {
        let estimate = estimate_plan(table, request, &plan);
        let better = best
            .as_ref()
            .is_none_or(|(_, known)| is_better_estimate(estimate, *known, request.quality_target));
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
    for _ in 1..longest.min(MAX_PLAN_STEPS) {
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
    CascadePlan { steps: steps.into_iter().collect(), is_exploration: false }
}

/// Expected quality and cost of a plan.
pub fn estimate_plan(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    plan: &CascadePlan,
) -> PlanEstimate {
    let (mut reached, mut cost, mut missed) = (1.0, 0.0, 0.0);
    // Relative variance of the product of failure rates, to first order.
    let mut relative_variance = 0.0;
    let mut former: Option<usize> = None;
    for (place, &step) in plan.steps.iter().enumerate() {
        let estimate = step_estimate(table, request, step, former);
        let failure = (1.0 - estimate.mean).max(MIN_DIVISOR);
        cost += reached * request.steps[step].cost as f64;
        reached *= failure;
        relative_variance += estimate.variance / (failure * failure);
        if place + 1 < plan.steps.len() {
            missed += reached * ASSUMED_FALSE_PASS_RATE;
        }
        former = Some(step);
    }
    let deviation = reached * relative_variance.sqrt();
    let quality = 1.0 - reached - missed - LOWER_BOUND_DEVIATIONS * deviation;
    PlanEstimate { quality: quality.max(0.0), cost }
}

/// Decision on the answer of the step at a place of the plan.
///
/// Without a rating the answer is delivered only if its model meets the target by itself;
/// otherwise the request moves to the step that does.
pub fn decide_after_answer(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    plan: &CascadePlan,
    place: usize,
    score: Option<f64>,
) -> AnswerDecision {
    let Some(&next) = plan.steps.get(place + 1) else { return AnswerDecision::Deliver };
    match score {
        Some(score) if meets_target(score, request.quality_target) => AnswerDecision::Deliver,
        Some(_) => AnswerDecision::Escalate(next),
        None => {
            let unrated =
                PolicyRequest { rating: RatingAvailability::Unavailable, ..request.clone() };
            match best_plan(table, &unrated).and_then(|plan| plan.steps.first().copied()) {
                Some(step) if step > plan.steps[place] => AnswerDecision::Escalate(step),
                _ => AnswerDecision::Deliver,
            }
        }
    }
}

/// Whether a score counts as a good answer.
pub fn meets_target(score: f64, quality_target: f64) -> bool {
    score >= quality_target
}

/// Cell that the answer of a step counts for.
pub fn quality_cell(
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
/// Seeds assume that every request which a cheap model answers well is also answered well by a
/// costlier one. For an escalated step this is the least favourable case.
fn step_estimate(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    step: usize,
    former: Option<usize>,
) -> quality_table::PassEstimate {
    let own = entry_estimate(table, request, step);
    let Some(former) = former else { return own };
    let before = entry_estimate(table, request, former);
    let seed = (own.mean - before.mean) / (1.0 - before.mean).max(MIN_DIVISOR);
    table.estimate(&quality_cell(request, step, Some(former)), seed)
}

/// Pass rate of a step as the entry step.
///
/// A step that is mostly reached by escalation has few answers of its own as the entry step. Its
/// seed then follows from the answers after the cheapest step, rather than from the record.
fn entry_estimate(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    step: usize,
) -> quality_table::PassEstimate {
    let cell = quality_cell(request, step, None);
    let prior = request.steps[step].prior_quality;
    let escalated = quality_cell(request, step, Some(0));
    if step == 0 || table.answer_count(&escalated) < MIN_SEEDING_ANSWERS {
        return table.estimate(&cell, prior);
    }
    let first = table.estimate(&quality_cell(request, 0, None), request.steps[0].prior_quality);
    let failed = table.estimate(&escalated, prior);
    table.estimate(&cell, first.mean + (1.0 - first.mean) * failed.mean)
}

fn is_better_estimate(found: PlanEstimate, known: PlanEstimate, target: f64) -> bool {
    match (found.quality >= target, known.quality >= target) {
        (true, true) => found.cost < known.cost,
        (false, false) => found.quality > known.quality,
        (found_meets, _) => found_meets,
    }
}

/// Random entry step followed by the steps above it; none while all models are being rolled out.
///
/// Steps are drawn by the inverse of their squared cost and of the answers known. A uniform draw
/// would spend most of the cost of exploration on the costly step, whose rate varies least.
fn draw_exploration_plan(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    random: &mut impl Rng,
) -> Option<CascadePlan> {
    let weight = |(step, option): (usize, &StepOption)| {
        if option.under_rollout {
            return 0.0;
        }
        let answers = table.answer_count(&quality_cell(request, step, None));
        1.0 / ((option.cost.max(1) as f64).powi(2) * (1.0 + answers))
    };
    let weights: SmallVec<[f64; 4]> = request.steps.iter().enumerate().map(weight).collect();
    let last = weights.iter().rposition(|weight| *weight > 0.0)?;
    let mut drawn = random.random_range(0.0..1.0) * weights.iter().sum::<f64>();
    let entry = weights
        .iter()
        .position(|weight| {
            drawn -= weight;
            drawn < 0.0
        })
        .unwrap_or(last);
    let above = (entry..=last).filter(|step| weights[*step] > 0.0);
    let mut steps: SmallVec<[usize; MAX_PLAN_STEPS]> = above.take(MAX_PLAN_STEPS).collect();
    if let Some(step) = steps.last_mut() {
        *step = last;
    }
    Some(CascadePlan { steps, is_exploration: true })
}

/// Cheaper step for a streamed answer, drawn with the largest share that keeps the target.
///
/// The share is bounded twice: by the probability that the step meets the target, and by the
/// surplus of the best step over the target. Of several steps the one with the largest expected
/// saving is drawn.
fn draw_stream_exploration(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    best: &CascadePlan,
    random: &mut impl Rng,
) -> Option<CascadePlan> {
    let best = *best.steps.first()?;
    let safe = estimate_plan(table, request, &fixed_plan([best])).quality;
    let best_cost = request.steps[best].cost as f64;
    let saving = |step: usize| best_cost - request.steps[step].cost as f64;
    let shares = (0..best)
        .filter(|step| !request.steps[*step].under_rollout && saving(*step) > 0.0)
        .map(|step| (step, stream_exploration_rate(table, request, step, safe)));
    let (step, share) = shares
        .max_by(|left, right| (left.1 * saving(left.0)).total_cmp(&(right.1 * saving(right.0))))?;
    random
        .random_bool(share)
        .then(|| CascadePlan { steps: SmallVec::from_iter([step]), is_exploration: true })
}

/// Share of streamed answers that a step may get while another step has a lower estimate of `safe`.
fn stream_exploration_rate(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    step: usize,
    safe: f64,
) -> f64 {
    let (estimate, target) = (entry_estimate(table, request, step), request.quality_target);
    let deviation = estimate.variance.sqrt().max(MIN_DIVISOR);
    let low = estimate.mean - EXPLORATION_DEVIATIONS * deviation;
    let mixed = (safe - target) / (safe - low).max(MIN_DIVISOR);
    mixed.min(normal_tail_probability((target - estimate.mean) / deviation)).clamp(0.0, 1.0)
}

/// Probability that a normal variable exceeds its mean by given standard deviations, by the
/// logistic approximation, which is wrong by less than 0.01.
fn normal_tail_probability(deviations: f64) -> f64 {
    1.0 / (1.0 + (1.702 * deviations).exp())
}
