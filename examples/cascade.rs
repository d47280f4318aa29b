//! Compares the cascade policy with fixed policies and a per-request oracle.
//!
//! Every policy sees the same requests, answers and ratings. Exits with 1 when a
//! target of the design page's section 4.8 is missed. The best fixed policy in
//! hindsight is chosen by the ratings, as the policy is; the choice by hidden truth
//! is printed beside it. Takes the first seed and the number of seeds as arguments.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use yuccareel::standins::rating;
use yuccareel::{cascade_policy, ids, quality_table};

const CUSTOMERS: usize = 10;
const KINDS: usize = 5;
/// Long enough that learning is a small part of the run; a cell forgets after 1,000 answers.
const REQUESTS_PER_CELL: usize = 20_000;
const STREAMED_SHARE: f64 = 0.1;
/// Shares of wrong ratings that are compared.
const WRONG_SHARES: [f64; 2] = [0.0, 0.02];
/// Share of the run, in its middle, during which the rating service is gone.
const OUTAGE: std::ops::Range<f64> = 0.50..0.52;
const MODELS: [(&str, u64, f64); 3] =
    [("small", 100, 0.70), ("medium", 400, 0.85), ("large", 2_000, 0.98)];
const TARGETS: [f64; 3] = [0.85, 0.90, 0.95];
/// Cost and target ceilings of section 4.8.
const MAX_COSTLY_SHARE: f64 = 0.60;
const MAX_OVER_BEST_FIXED: f64 = 1.10;

/// Request with everything that is hidden from the policies.
struct HiddenRequest {
    customer: usize,
    kind: usize,
    streamed: bool,
    rated: bool,
    good: [bool; 3],
    scores: [f64; 3],
}

/// Customers, kinds and what is known of them.
struct Workload {
    customers: Vec<ids::CustomerName>,
    kinds: Vec<ids::RequestKind>,
    steps: Vec<cascade_policy::StepOption>,
    requests: Vec<HiddenRequest>,
}

#[derive(Clone, Copy, Default)]
struct PolicyTotal {
    requests: u64,
    good: u64,
    cost: u64,
}

impl PolicyTotal {
    fn add(&mut self, good: bool, cost: u64) {
        self.requests += 1;
        self.good += u64::from(good);
        self.cost += cost;
    }

    fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.good += other.good;
        self.cost += other.cost;
    }

    fn quality(&self) -> f64 {
        self.good as f64 / self.requests.max(1) as f64
    }
}

/// Totals of one policy by customer.
type PolicyTotals = [PolicyTotal; CUSTOMERS];

fn target(customer: usize) -> f64 {
    TARGETS[customer % TARGETS.len()]
}

/// Abilities differ by customer and kind, while the record's seeds are one figure per model.
fn abilities(random: &mut StdRng) -> Vec<[f64; 3]> {
    let mut spread = |low: f64, high: f64| random.random_range(low..high);
    (0..CUSTOMERS * KINDS)
        .map(|_| [spread(0.35, 0.97), spread(0.70, 0.98), spread(0.985, 0.999)])
        .collect()
}

fn workload(seed: u64, wrong_share: f64) -> Workload {
    let mut random = StdRng::seed_from_u64(seed);
    let abilities = abilities(&mut random);
    let mut places: Vec<(usize, usize)> = (0..CUSTOMERS)
        .flat_map(|customer| (0..KINDS).map(move |kind| (customer, kind)))
        .flat_map(|place| std::iter::repeat_n(place, REQUESTS_PER_CELL))
        .collect();
    places.shuffle(&mut random);
    let count = places.len() as f64;
    let requests = places.iter().enumerate().map(|(number, &(customer, kind))| {
        let prompt = format!("seed {seed} customer {customer} kind {kind} request {number}");
        let ability = abilities[customer * KINDS + kind];
        let good = [0, 1, 2].map(|step| rating::is_good(&prompt, MODELS[step].0, ability[step]));
        let scores = [0, 1, 2].map(|step| {
            let answer = rating::answer_text(MODELS[step].0, ability[step]);
            rating::score(&prompt, &answer, wrong_share)
        });
        let streamed = random.random_bool(STREAMED_SHARE);
        let rated = !OUTAGE.contains(&(number as f64 / count));
        HiddenRequest { customer, kind, streamed, rated, good, scores }
    });
    let requests = requests.collect();
    let name = |what: &str, number| Arc::from(format!("{what}-{number}"));
    let step = |&(model, cost, prior_quality): &(&str, u64, f64)| cascade_policy::StepOption {
        model: Arc::from(model),
        cost,
        prior_quality,
        under_rollout: false,
    };
    Workload {
        customers: (0..CUSTOMERS).map(|number| name("customer", number)).collect(),
        kinds: (0..KINDS).map(|number| name("kind", number)).collect(),
        steps: MODELS.iter().map(step).collect(),
        requests,
    }
}

/// Outcome of a fixed list of steps: step that answered, and cost.
fn run_fixed(request: &HiddenRequest, steps: &[usize]) -> (usize, u64) {
    let mut cost = 0;
    for (place, &step) in steps.iter().enumerate() {
        cost += MODELS[step].1;
        let passed = cascade_policy::meets_target(request.scores[step], target(request.customer));
        if passed || place + 1 == steps.len() {
            return (step, cost);
        }
    }
    (0, cost)
}

fn fixed_totals(workload: &Workload, steps: &[usize]) -> PolicyTotals {
    let mut totals = PolicyTotals::default();
    for request in &workload.requests {
        let unrated = request.streamed || !request.rated;
        let last = [MODELS.len() - 1];
        let (step, cost) =
            run_fixed(request, if unrated && steps.len() > 1 { &last } else { steps });
        totals[request.customer].add(request.good[step], cost);
    }
    totals
}

/// What the target of a fixed plan is judged by in hindsight.
#[derive(Clone, Copy, PartialEq)]
enum HindsightView {
    /// Hidden goodness, which no policy can see.
    Truth,
    /// Ratings, some of them wrong, which the policy sees too.
    Ratings,
}

/// Cheapest fixed plan per customer, kind and class of rating that met the target in hindsight.
fn hindsight_totals(workload: &Workload, view: HindsightView) -> PolicyTotals {
    let mut classes: BTreeMap<(usize, usize, bool), Vec<&HiddenRequest>> = BTreeMap::new();
    for request in &workload.requests {
        let unrated = request.streamed || !request.rated;
        classes.entry((request.customer, request.kind, unrated)).or_default().push(request);
    }
    let mut totals = PolicyTotals::default();
    for ((customer, _, unrated), requests) in classes {
        let longest = if unrated { 1 } else { MODELS.len() };
        let plans = cascade_policy::enumerate_plans(MODELS.len(), longest);
        let outcomes = plans.iter().map(|plan| hindsight_outcome(&requests, &plan.steps, view));
        let best = outcomes
            .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cost.cmp(&right.1.cost)));
        totals[customer].merge(&best.map(|(_, total)| total).unwrap_or_default());
    }
    totals
}

/// Shortfall below the target, and total, of a fixed plan over requests of one customer.
fn hindsight_outcome(
    requests: &[&HiddenRequest],
    steps: &[usize],
    view: HindsightView,
) -> (f64, PolicyTotal) {
    let (mut total, mut seen) = (PolicyTotal::default(), PolicyTotal::default());
    let mut shortfall = 0.0;
    for request in requests {
        let (step, cost) = run_fixed(request, steps);
        let target = target(request.customer);
        total.add(request.good[step], cost);
        let passed = cascade_policy::meets_target(request.scores[step], target);
        seen.add(if view == HindsightView::Truth { request.good[step] } else { passed }, cost);
        shortfall = target;
    }
    shortfall = (shortfall - seen.quality()).max(0.0);
    (shortfall, total)
}

/// Cheapest model that answers well, request by request.
fn oracle_totals(workload: &Workload) -> PolicyTotals {
    let mut totals = PolicyTotals::default();
    for request in &workload.requests {
        let step = request.good.iter().position(|good| *good).unwrap_or(0);
        totals[request.customer].add(request.good[step], MODELS[step].1);
    }
    totals
}

fn policy_totals(workload: &Workload, seed: u64) -> PolicyTotals {
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    let mut table = quality_table::QualityTable::default();
    let mut totals = PolicyTotals::default();
    for request in &workload.requests {
        let (good, cost) = run_policy(workload, request, &mut table, &mut random);
        totals[request.customer].add(good, cost);
    }
    totals
}

fn run_policy(
    workload: &Workload,
    request: &HiddenRequest,
    table: &mut quality_table::QualityTable,
    random: &mut StdRng,
) -> (bool, u64) {
    let rating = match (request.streamed, request.rated) {
        (true, true) => cascade_policy::RatingAvailability::Streamed,
        (false, true) => cascade_policy::RatingAvailability::Available,
        (_, false) => cascade_policy::RatingAvailability::Unavailable,
    };
    let view = cascade_policy::PolicyRequest {
        customer: &workload.customers[request.customer],
        kind: &workload.kinds[request.kind],
        steps: &workload.steps,
        quality_target: target(request.customer),
        rating,
    };
    let Some(plan) = cascade_policy::choose_plan(table, &view, random) else {
        return (false, 0);
    };
    let (mut step, mut place, mut former, mut cost) = (plan.steps[0], 0, None, 0);
    loop {
        cost += MODELS[step].1;
        // A streamed answer is rated after delivery, for learning alone.
        if request.rated {
            let passed = cascade_policy::meets_target(request.scores[step], view.quality_target);
            table.record(&cascade_policy::quality_cell(&view, step, former), passed, 1.0);
        }
        let score =
            (rating == cascade_policy::RatingAvailability::Available).then(|| request.scores[step]);
        match cascade_policy::decide_after_answer(table, &view, &plan, place, score) {
            cascade_policy::AnswerDecision::Deliver => return (request.good[step], cost),
            cascade_policy::AnswerDecision::Escalate(next) => {
                former = Some(step);
                (step, place) = (next, place + 1);
            }
        }
    }
}

fn sum(totals: &PolicyTotals) -> PolicyTotal {
    let mut all = PolicyTotal::default();
    for total in totals {
        all.merge(total);
    }
    all
}

/// Compares all policies; returns the report and the targets that were missed.
fn compare(seed: u64, wrong_share: f64) -> (String, Vec<String>) {
    let workload = workload(seed, wrong_share);
    let policy = policy_totals(&workload, seed);
    let rows = [
        ("policy", policy),
        ("always costly", fixed_totals(&workload, &[2])),
        ("always cheap", fixed_totals(&workload, &[0])),
        ("fixed cascade", fixed_totals(&workload, &[0, 1, 2])),
        ("best fixed, by ratings", hindsight_totals(&workload, HindsightView::Ratings)),
        ("best fixed, by truth", hindsight_totals(&workload, HindsightView::Truth)),
        ("oracle per request", oracle_totals(&workload)),
    ];
    let run = format!("seed {seed}, wrong ratings {wrong_share}");
    let mut report = format!("{run}: {} requests\n", workload.requests.len());
    report +=
        &format!("{:<26}{:>9}{:>12}{:>17}\n", "policy", "quality", "cost/req", "least vs target");
    for (name, totals) in &rows {
        let all = sum(totals);
        let cost = all.cost as f64 / all.requests as f64;
        let (quality, margin) = (all.quality(), least_margin(totals));
        report += &format!("{name:<26}{quality:>9.4}{cost:>12.1}{margin:>+17.4}\n");
    }
    let over = |row: usize| sum(&policy).cost as f64 / sum(&rows[row].1).cost as f64;
    let (costly, by_ratings, by_truth) = (over(1), over(4), over(5));
    report += &format!(
        "cost: {costly:.3} of always costly, {by_ratings:.3} of best fixed by ratings, \
         {by_truth:.3} by truth\n"
    );
    let checks = [
        (least_margin(&policy) >= 0.0, "quality target of a customer"),
        (costly < MAX_COSTLY_SHARE, "60% of always costly"),
        (by_ratings <= MAX_OVER_BEST_FIXED, "within 10% of best fixed, by ratings"),
    ];
    let missed = checks.iter().filter(|(met, _)| !met);
    (report, missed.map(|(_, name)| format!("{run}: missed {name}")).collect())
}

/// Smallest surplus of a customer's quality over its target.
fn least_margin(totals: &PolicyTotals) -> f64 {
    let margins =
        totals.iter().enumerate().map(|(customer, total)| total.quality() - target(customer));
    margins.fold(f64::INFINITY, f64::min)
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse().ok());
    let first = arguments.next().flatten().unwrap_or(1);
    let count = arguments.next().flatten().unwrap_or(2);
    let mut missed = Vec::new();
    for seed in first..first + count {
        let outcomes = std::thread::scope(|scope| {
            let spawn = |share| scope.spawn(move || compare(seed, share));
            WRONG_SHARES.map(spawn).map(|thread| thread.join().expect("comparison"))
        });
        for (report, run_missed) in outcomes {
            println!("{report}");
            missed.extend(run_missed);
        }
    }
    for line in &missed {
        println!("{line}");
    }
    std::process::exit(i32::from(!missed.is_empty()));
}
