//! Choice of the entry step of a cascade and of the escalation after an answer.
//!
//! A plan lists steps in ascending order of cost. It escalates to the next step
//! when the rating of an answer is below the target, so that only plans with
//! several steps need ratings. The policy selects the cheapest plan whose
//! expected fraction of good answers, less a safety margin, meets the target.

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::{ids, quality_table};

/// Fraction of rated requests with a random entry step, which keeps every pass rate current.
const EXPLORATION_RATE: f64 = 0.02;
/// Maximum steps of one plan; bounds the enumeration at 469 plans for 14 models.
const MAX_PLAN_STEPS: usize = 3;
/// Fraction of bad answers assumed to be rated good; these are not escalated.
const ASSUMED_FALSE_PASS_RATE: f64 = 0.02;
/// Minimum number of escalated answers of a step before they set its seed as an entry step.
const MIN_SEEDING_ANSWERS: f64 = 50.0;
/// Lower bound of rates and deviations that are divided by, so that results stay finite.
const MIN_DIVISOR: f64 = 1e-6;

/// Standard deviations by which the pass rate of a step explored by streams may fall below its
/// mean while explored and other answers together still meet the target.
const EXPLORATION_DEVIATIONS: f64 = 1.0;

/// Standard deviations between the mean and the lower bound of the fraction of good answers. The
/// fraction exceeds this bound with a probability of about 69%. A value of 1.0 raises the cost by
/// 1% to 5% in `examples/cascade.rs`.
const LOWER_BOUND_DEVIATIONS: f64 = 0.5;

/// Model that may run as a step of a cascade.
#[derive(Clone, Debug)]
pub struct StepOption {
    pub model: ids::ModelName,
    /// Expected cost of one answer, in microcredits.
    pub cost: ids::Microcredits,
    /// Expected fraction of good answers before any rating, 0 to 1.
    pub prior_quality: f64,
    /// Whether a version of the model is being rolled out. Exploration skips such steps, because
    /// the new version may be bad.
    pub under_rollout: bool,
}

/// Whether answers can be rated before delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RatingAvailability {
    /// Ratings arrive in time.
    Available,
    /// The rating service is missing, slow or unreachable.
    Unavailable,
    /// The answer is streamed, so it is delivered before it is rated.
    Streamed,
}

/// Input of a policy decision for one request.
#[derive(Clone, Debug)]
pub struct PolicyRequest<'a> {
    pub customer: &'a ids::CustomerName,
    pub kind: &'a ids::RequestKind,
    /// Steps that may run now, in ascending order of cost.
    pub steps: &'a [StepOption],
    /// Minimum fraction of good answers, 0 to 1. Also the minimum score of a good answer.
    pub quality_target: f64,
    pub rating: RatingAvailability,
}

/// Steps to try, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CascadePlan {
    /// Indexes into `PolicyRequest::steps`, ascending; never empty.
    pub steps: SmallVec<[usize; MAX_PLAN_STEPS]>,
    /// Whether the plan was chosen to keep pass rates current.
    pub is_exploration: bool,
}

/// Expected outcome of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanEstimate {
    /// Lower bound of the fraction of good answers.
    pub quality: f64,
    /// In microcredits.
    pub cost: f64,
}

/// Decision on the answer of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerDecision {
    Deliver,
    /// Run the step at this index of `PolicyRequest::steps`.
    Escalate(usize),
}

/// Plan for a request, sometimes drawn for exploration; `None` if the request has no steps.
pub fn choose_plan(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    random: &mut impl Rng,
) -> Option<CascadePlan> {
    let best = best_plan(table, request)?;
    let exploration = match request.rating {
        RatingAvailability::Available if random.random_bool(EXPLORATION_RATE) => {
            draw_exploration_plan(table, request, random)
        }
        RatingAvailability::Streamed => draw_stream_exploration(table, request, &best, random),
        RatingAvailability::Available | RatingAvailability::Unavailable => None,
    };
    Some(exploration.unwrap_or(best))
}

/// Cheapest plan whose lower quality bound meets the target, without exploration.
///
/// If no plan meets the target, returns the one with the highest lower bound.
pub fn best_plan(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
) -> Option<CascadePlan> {
    let max_steps =
        if request.rating == RatingAvailability::Available { MAX_PLAN_STEPS } else { 1 };
    let mut best: Option<(CascadePlan, PlanEstimate)> = None;
    for plan in enumerate_plans(request.steps.len(), max_steps) {
        let estimate = estimate_plan(table, request, &plan);
        let is_better = best
            .as_ref()
            .is_none_or(|(_, best)| is_better_estimate(estimate, *best, request.quality_target));
        if is_better {
            best = Some((plan, estimate));
        }
    }
    best.map(|(plan, _)| plan)
}

/// All plans of at most `max_steps` out of `step_count` steps, the shortest first.
pub fn enumerate_plans(step_count: usize, max_steps: usize) -> Vec<CascadePlan> {
    let mut plans: Vec<CascadePlan> = (0..step_count).map(|step| fixed_plan([step])).collect();
    let mut extended_from = 0;
    for _ in 1..max_steps.min(MAX_PLAN_STEPS) {
        let extended_to = plans.len();
        for index in extended_from..extended_to {
            let next = plans[index].steps.last().map_or(0, |last| last + 1);
            for step in next..step_count {
                let mut plan = plans[index].clone();
                plan.steps.push(step);
                plans.push(plan);
            }
        }
        extended_from = extended_to;
    }
    plans
}

/// Plan of the given steps, not drawn for exploration.
pub fn fixed_plan(steps: impl IntoIterator<Item = usize>) -> CascadePlan {
    CascadePlan { steps: steps.into_iter().collect(), is_exploration: false }
}

/// Lower quality bound and expected cost of a plan.
pub fn estimate_plan(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    plan: &CascadePlan,
) -> PlanEstimate {
    let (mut failure_product, mut cost, mut false_passes) = (1.0, 0.0, 0.0);
    // Relative variance of the product of failure rates, to first order.
    let mut relative_variance = 0.0;
    let mut former: Option<usize> = None;
    for (plan_index, &step) in plan.steps.iter().enumerate() {
        let estimate = step_estimate(table, request, step, former);
        let failure = (1.0 - estimate.mean).max(MIN_DIVISOR);
        cost += failure_product * request.steps[step].cost as f64;
        failure_product *= failure;
        relative_variance += estimate.variance / (failure * failure);
        if plan_index + 1 < plan.steps.len() {
            false_passes += failure_product * ASSUMED_FALSE_PASS_RATE;
        }
        former = Some(step);
    }
    let deviation = failure_product * relative_variance.sqrt();
    let quality = 1.0 - failure_product - false_passes - LOWER_BOUND_DEVIATIONS * deviation;
    PlanEstimate { quality: quality.max(0.0), cost }
}

/// Decision on the answer of the step at `plan_index` of the plan.
///
/// Without a score the answer is delivered unless a later step is the best plan without ratings;
/// then the request escalates to that step.
pub fn decide_after_answer(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    plan: &CascadePlan,
    plan_index: usize,
    score: Option<f64>,
) -> AnswerDecision {
    let Some(&next) = plan.steps.get(plan_index + 1) else { return AnswerDecision::Deliver };
    match score {
        Some(score) if meets_target(score, request.quality_target) => AnswerDecision::Deliver,
        Some(_) => AnswerDecision::Escalate(next),
        None => {
            let unrated =
                PolicyRequest { rating: RatingAvailability::Unavailable, ..request.clone() };
            match best_plan(table, &unrated).and_then(|plan| plan.steps.first().copied()) {
                Some(step) if step > plan.steps[plan_index] => AnswerDecision::Escalate(step),
                _ => AnswerDecision::Deliver,
            }
        }
    }
}

/// Whether a score counts as a good answer.
pub fn meets_target(score: f64, quality_target: f64) -> bool {
    score >= quality_target
}

/// Cell of the quality table that counts the answer of a step. `former` is the step that failed
/// just before; `None` at the entry step.
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

/// Pass rate of a step, given that the step `former` failed.
///
/// The seed assumes that a costlier model answers well every request that a cheap one answers
/// well. For an escalated step this is the least favourable case.
fn step_estimate(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    step: usize,
    former: Option<usize>,
) -> quality_table::PassEstimate {
    let entry = entry_estimate(table, request, step);
    let Some(former) = former else { return entry };
    let before = entry_estimate(table, request, former);
    let seed = (entry.mean - before.mean) / (1.0 - before.mean).max(MIN_DIVISOR);
    table.estimate(&quality_cell(request, step, Some(former)), seed)
}

/// Pass rate of a step as the entry step.
///
/// A step that is mostly reached by escalation has few answers as the entry step. Its seed is then
/// derived from the answers after the cheapest step rather than from the prior of the model.
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

fn is_better_estimate(estimate: PlanEstimate, best: PlanEstimate, target: f64) -> bool {
    match (estimate.quality >= target, best.quality >= target) {
        (true, true) => estimate.cost < best.cost,
        (false, false) => estimate.quality > best.quality,
        (meets_target, _) => meets_target,
    }
}

/// Random entry step followed by costlier steps; `None` while all models are being rolled out.
///
/// Steps are weighted by the inverse of their squared cost and of their answer count. A uniform
/// draw would spend most of the exploration cost on the costliest step, whose pass rate varies
/// least.
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

/// Cheaper step for a streamed answer, drawn at the highest rate that keeps the target; `None` if
/// the draw keeps the best plan.
///
/// The rate is limited by the probability that the step meets the target and by the surplus of
/// the best step over the target. Only the step with the largest expected saving is explored.
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
    let rates = (0..best)
        .filter(|step| !request.steps[*step].under_rollout && saving(*step) > 0.0)
        .map(|step| (step, stream_exploration_rate(table, request, step, safe)));
    let (step, rate) = rates
        .max_by(|left, right| (left.1 * saving(left.0)).total_cmp(&(right.1 * saving(right.0))))?;
    random
        .random_bool(rate)
        .then(|| CascadePlan { steps: SmallVec::from_iter([step]), is_exploration: true })
}

/// Fraction of streamed answers that a step may answer while the others go to a step with a lower
/// quality bound of `safe`.
fn stream_exploration_rate(
    table: &quality_table::QualityTable,
    request: &PolicyRequest<'_>,
    step: usize,
    safe: f64,
) -> f64 {
    let (estimate, target) = (entry_estimate(table, request, step), request.quality_target);
    let deviation = estimate.variance.sqrt().max(MIN_DIVISOR);
    let low = estimate.mean - EXPLORATION_DEVIATIONS * deviation;
    let surplus_limit = (safe - target) / (safe - low).max(MIN_DIVISOR);
    surplus_limit.min(normal_tail_probability((target - estimate.mean) / deviation)).clamp(0.0, 1.0)
}

/// Probability that a normal variable exceeds its mean by the given standard deviations. Uses the
/// logistic approximation, whose error is below 0.01.
fn normal_tail_probability(deviations: f64) -> f64 {
    1.0 / (1.0 + (1.702 * deviations).exp())
}
