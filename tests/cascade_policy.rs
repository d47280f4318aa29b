//! Choice of cascade plans and learning from ratings.

use std::sync::Arc;

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use yuccareel::cascade_policy::{
    self, AnswerDecision, CascadePlan, PolicyRequest, RatingAvailability, StepOption,
};
use yuccareel::quality_table::{self, PassCount, QualityCell, QualityTable};

/// Owns the data that a `PolicyRequest` borrows.
struct Fixture {
    customer: Arc<str>,
    kind: Arc<str>,
    steps: Vec<StepOption>,
}

impl Fixture {
    fn new(priors: &[f64]) -> Self {
        let step = |(number, &prior_quality): (usize, &f64)| StepOption {
            model: Arc::from(format!("m{number}")),
            cost: 100 * 5_u64.pow(number as u32),
            prior_quality,
            under_rollout: false,
        };
        let steps = priors.iter().enumerate().map(step).collect();
        Self { customer: Arc::from("c"), kind: Arc::from("k"), steps }
    }

    fn request(&self, quality_target: f64, rating: RatingAvailability) -> PolicyRequest<'_> {
        let (customer, kind, steps) = (&self.customer, &self.kind, &self.steps[..]);
        PolicyRequest { customer, kind, steps, quality_target, rating }
    }

    fn learn(&self, table: &mut QualityTable, step: usize, passes: u32, failures: u32) {
        let request = self.request(0.9, RatingAvailability::Available);
        let cell = cascade_policy::quality_cell(&request, step, None);
        for number in 0..passes + failures {
            // Spreads the failures evenly, because decay favours late answers.
            let passed = number * failures / (passes + failures)
                == (number + 1) * failures / (passes + failures);
            table.record(&cell, passed, 1.0);
        }
    }
}

fn steps(plan: &CascadePlan) -> Vec<usize> {
    plan.steps.to_vec()
}

/// Guards against plans that miss the target, cost more than needed, or depend on ratings that are
/// unavailable.
#[test]
fn cheapest_plan_that_meets_the_target() {
    struct Case {
        name: &'static str,
        passes: [u32; 3],
        target: f64,
        rating: RatingAvailability,
        plan: &'static [usize],
    }
    // `passes` counts good answers out of 1,000 per step.
    let cases = [
        Case {
            name: "cheap is good",
            passes: [980, 985, 990],
            target: 0.95,
            rating: RatingAvailability::Available,
            plan: &[0],
        },
        Case {
            name: "escalate",
            passes: [700, 750, 990],
            target: 0.95,
            rating: RatingAvailability::Available,
            plan: &[0, 2],
        },
        Case {
            name: "middle step",
            passes: [200, 960, 990],
            target: 0.95,
            rating: RatingAvailability::Available,
            plan: &[1],
        },
        Case {
            name: "streamed",
            passes: [700, 750, 990],
            target: 0.95,
            rating: RatingAvailability::Streamed,
            plan: &[2],
        },
        Case {
            name: "rating gone",
            passes: [700, 960, 990],
            target: 0.95,
            rating: RatingAvailability::Unavailable,
            plan: &[1],
        },
        Case {
            name: "unreachable target",
            passes: [300, 500, 800],
            target: 0.99,
            rating: RatingAvailability::Unavailable,
            plan: &[2],
        },
    ];
    for case in cases {
        let fixture = Fixture::new(&[0.7, 0.8, 0.95]);
        let mut table = QualityTable::default();
        for (step, passes) in case.passes.into_iter().enumerate() {
            fixture.learn(&mut table, step, passes, 1_000 - passes);
        }
        let request = fixture.request(case.target, case.rating);
        let plan = cascade_policy::best_plan(&table, &request).unwrap();
        assert_eq!(steps(&plan), case.plan, "{}", case.name);
    }
}

/// Guards against escalation of good answers and delivery of unrated answers below the target.
#[test]
fn decision_after_an_answer() {
    struct Case {
        name: &'static str,
        plan_index: usize,
        score: Option<f64>,
        decision: AnswerDecision,
    }
    let cases = [
        Case { name: "good", plan_index: 0, score: Some(0.95), decision: AnswerDecision::Deliver },
        Case {
            name: "bad",
            plan_index: 0,
            score: Some(0.5),
            decision: AnswerDecision::Escalate(1),
        },
        Case {
            name: "bad at the last step",
            plan_index: 2,
            score: Some(0.5),
            decision: AnswerDecision::Deliver,
        },
        Case {
            name: "unrated below the target",
            plan_index: 0,
            score: None,
            decision: AnswerDecision::Escalate(2),
        },
        Case {
            name: "unrated at the last step",
            plan_index: 2,
            score: None,
            decision: AnswerDecision::Deliver,
        },
    ];
    let fixture = Fixture::new(&[0.5, 0.7, 0.99]);
    let (table, plan) = (QualityTable::default(), cascade_policy::fixed_plan([0, 1, 2]));
    let request = fixture.request(0.9, RatingAvailability::Available);
    for case in cases {
        let found = cascade_policy::decide_after_answer(
            &table,
            &request,
            &plan,
            case.plan_index,
            case.score,
        );
        assert_eq!(found, case.decision, "{}", case.name);
    }
}

/// Guards against exploration that is missing, too frequent, or done while ratings are unavailable.
#[test]
fn two_percent_explore() {
    let fixture = Fixture::new(&[0.7, 0.8, 0.99]);
    let (table, mut random) = (QualityTable::default(), StdRng::seed_from_u64(7));
    let mut explored = |rating| {
        let request = fixture.request(0.9, rating);
        let plans = (0..20_000)
            .map(|_| cascade_policy::choose_plan(&table, &request, &mut random).unwrap());
        plans.filter(|plan| plan.is_exploration).count()
    };
    // 400 expected, standard deviation 20.
    assert!((320..=480).contains(&explored(RatingAvailability::Available)));
    assert_eq!(explored(RatingAvailability::Unavailable), 0);
}

/// Guards against streams that never learn the pass rate of a cheaper model, and against
/// exploration that lowers the answers of a customer below the target.
#[test]
fn streams_learn_cheaper_steps_within_the_target() {
    struct Case {
        name: &'static str,
        skills: [f64; 3],
        target: f64,
        /// Entry step of streams after learning.
        step: usize,
    }
    let cases = [
        Case { name: "as recorded", skills: [0.75, 0.95, 0.985], target: 0.9, step: 1 },
        Case { name: "worse than recorded", skills: [0.75, 0.6, 0.985], target: 0.9, step: 2 },
        Case { name: "cheap is good", skills: [0.97, 0.97, 0.985], target: 0.9, step: 0 },
        Case { name: "no surplus", skills: [0.75, 0.95, 0.99], target: 0.985, step: 2 },
    ];
    let fixture = Fixture::new(&[0.75, 0.92, 0.985]);
    for case in cases {
        let (mut table, mut random) = (QualityTable::default(), StdRng::seed_from_u64(7));
        let request = fixture.request(case.target, RatingAvailability::Streamed);
        let mut good = 0_u32;
        for number in 1..=5_000 {
            let plan = cascade_policy::choose_plan(&table, &request, &mut random).unwrap();
            let step = plan.steps[0];
            let passed = random.random_bool(case.skills[step]);
            good += u32::from(passed);
            if plan.is_exploration || random.random_bool(0.1) {
                table.record(&cascade_policy::quality_cell(&request, step, None), passed, 1.0);
            }
            let (quality, answers) = (f64::from(good) / f64::from(number), f64::from(number));
            let spread = 3.0 * (case.target * (1.0 - case.target) / answers).sqrt();
            assert!(quality >= case.target - spread, "{}: {quality} of {number}", case.name);
        }
        let plan = cascade_policy::best_plan(&table, &request).unwrap();
        assert_eq!(steps(&plan), [case.step], "{}", case.name);
    }
}

/// Guards against exploration that sends requests to a version under rollout.
#[test]
fn steps_under_rollout_are_not_explored() {
    let mut fixture = Fixture::new(&[0.75, 0.92, 0.985]);
    for (first, second) in [(true, false), (false, true), (true, true)] {
        fixture.steps[0].under_rollout = first;
        fixture.steps[1].under_rollout = second;
        for rating in [RatingAvailability::Available, RatingAvailability::Streamed] {
            let (table, mut random) = (QualityTable::default(), StdRng::seed_from_u64(7));
            let request = fixture.request(0.9, rating);
            let plans = (0..5_000)
                .map(|_| cascade_policy::choose_plan(&table, &request, &mut random).unwrap());
            let explored: Vec<_> = plans.filter(|plan| plan.is_exploration).collect();
            let uses_rollout = |plan: &&CascadePlan| {
                plan.steps.iter().any(|step| fixture.steps[*step].under_rollout)
            };
            assert_eq!(explored.iter().find(uses_rollout), None, "{rating:?}");
            let expected = rating == RatingAvailability::Available || !(first && second);
            assert_eq!(!explored.is_empty(), expected, "{rating:?}");
        }
    }
}

/// Guards against a seed that ignores the answers to other customers, or one that outweighs the
/// customer's own answers where customers differ.
#[test]
fn customers_share_the_pass_rate_of_a_model() {
    struct Case {
        name: &'static str,
        /// Pass rates of the other customers, in percent.
        others: [u32; 4],
        seed: f64,
        mean: std::ops::Range<f64>,
        deviation: std::ops::Range<f64>,
    }
    let cases = [
        Case {
            name: "customers alike",
            others: [95, 94, 96, 95],
            seed: 0.5,
            mean: 0.90..0.97,
            deviation: 0.0..0.04,
        },
        Case {
            name: "customers differ",
            others: [95, 20, 60, 90],
            seed: 0.5,
            mean: 0.5..0.8,
            deviation: 0.1..0.2,
        },
    ];
    for case in cases {
        let mut table = QualityTable::default();
        let cell = |customer: &str| QualityCell {
            customer: Arc::from(customer),
            kind: Arc::from("k"),
            model: Arc::from("m"),
            after: None,
        };
        for (number, rate) in case.others.into_iter().enumerate() {
            let counts = PassCount { passes: f64::from(rate), failures: f64::from(100 - rate) };
            table.merge_counts([(cell(&format!("other {number}")), counts)]);
        }
        let estimate = table.estimate(&cell("new"), case.seed);
        assert!(case.mean.contains(&estimate.mean), "{}: {estimate:?}", case.name);
        let deviation = estimate.variance.sqrt();
        assert!(case.deviation.contains(&deviation), "{}: {estimate:?}", case.name);
        for _ in 0..500 {
            table.record(&cell("new"), false, 1.0);
        }
        let own = table.estimate(&cell("new"), case.seed).mean;
        assert!(own < 0.25, "{}: {own} after 500 bad answers", case.name);
    }
}

/// Guards against an unbounded influence of one answer or of a short burst of wrong ratings.
#[test]
fn wrong_ratings_move_the_rate_little() {
    struct Case {
        name: &'static str,
        wrong: u32,
        weight: f64,
        max_change: f64,
    }
    let cases = [
        Case { name: "one answer", wrong: 1, weight: 1.0, max_change: 0.002 },
        Case { name: "one answer of a huge weight", wrong: 1, weight: 1e9, max_change: 0.002 },
        Case { name: "weight that is no number", wrong: 1, weight: f64::NAN, max_change: 0.0 },
        Case { name: "burst of 20", wrong: 20, weight: 1.0, max_change: 0.025 },
    ];
    for case in cases {
        let fixture = Fixture::new(&[0.9]);
        let mut table = QualityTable::default();
        fixture.learn(&mut table, 0, 4_750, 250);
        let request = fixture.request(0.9, RatingAvailability::Available);
        let cell = cascade_policy::quality_cell(&request, 0, None);
        let before = table.estimate(&cell, 0.9).mean;
        (0..case.wrong).for_each(|_| table.record(&cell, false, case.weight));
        let moved = before - table.estimate(&cell, 0.9).mean;
        assert!((0.0..=case.max_change).contains(&moved), "{}: {moved}", case.name);
    }
}

/// Guards against pass rates that stay high after the quality of a model falls.
#[test]
fn old_answers_decay() {
    let fixture = Fixture::new(&[0.9]);
    let mut table = QualityTable::default();
    fixture.learn(&mut table, 0, 10_000, 0);
    fixture.learn(&mut table, 0, 0, 2_000);
    let request = fixture.request(0.9, RatingAvailability::Available);
    let cell = cascade_policy::quality_cell(&request, 0, None);
    assert!(table.estimate(&cell, 0.9).mean < 0.2);
}

/// Guards against a summary that loses cells or overwrites counts with more answers.
#[test]
fn summary_survives_export_and_import() {
    let mut table = QualityTable::default();
    let cell = |number: u32| QualityCell {
        customer: Arc::from(format!("c{number}")),
        kind: Arc::from("k"),
        model: Arc::from("m"),
        after: number.is_multiple_of(2).then(|| Arc::from("cheap")),
    };
    for number in 0..200 {
        table.record(&cell(number), number % 3 == 0, 1.0);
    }
    let mut copy = QualityTable::default();
    copy.record(&cell(0), false, 1.0);
    copy.record(&cell(0), false, 1.0);
    for part in 0..quality_table::SUMMARY_PARTS {
        let text = serde_json::to_vec(&table.export_part(part)).unwrap();
        copy.import_rows(serde_json::from_slice::<Vec<_>>(&text).unwrap());
    }
    assert_eq!(copy.len(), 200);
    assert_eq!(copy.estimate(&cell(3), 0.5), table.estimate(&cell(3), 0.5));
    assert!(copy.estimate(&cell(0), 0.5).mean < 0.5, "the fresher counts were overwritten");
}

/// Guards against memory exhaustion by callers that choose a new kind for each request.
#[test]
fn cells_of_one_customer_are_bounded() {
    let mut table = QualityTable::default();
    let cell = |customer: &str, number: u32| QualityCell {
        customer: Arc::from(customer),
        kind: Arc::from(format!("k{number}")),
        model: Arc::from("m"),
        after: None,
    };
    for number in 0..1_000 {
        table.record(&cell("many", number), true, 1.0);
    }
    table.record(&cell("other", 0), false, 1.0);
    table.merge_counts([(cell("many", 2_000), PassCount { passes: 1.0, failures: 0.0 })]);
    assert_eq!(table.len(), 301);
    assert_eq!(table.take_unsent().len(), 301);
    table.record(&cell("many", 0), true, 1.0);
    assert!(table.answer_count(&cell("many", 0)) > 1.9, "a known cell still learns");
}

/// Guards against counts that are sent twice, and against invalid or huge rows of other nodes.
#[test]
fn counts_of_other_nodes_are_bounded() {
    let fixture = Fixture::new(&[0.9]);
    let (mut sender, mut holder) = (QualityTable::default(), QualityTable::default());
    fixture.learn(&mut sender, 0, 90, 10);
    holder.merge_counts(sender.take_unsent());
    assert!(sender.take_unsent().is_empty());
    let request = fixture.request(0.9, RatingAvailability::Available);
    let cell = cascade_policy::quality_cell(&request, 0, None);
    for (passes, failures) in [(f64::NAN, 1.0), (-5.0, 1.0), (0.0, f64::INFINITY)] {
        holder.merge_counts([(cell.clone(), PassCount { passes, failures })]);
    }
    let mean = holder.estimate(&cell, 0.9).mean;
    assert!((0.85..0.95).contains(&mean), "{mean}");
    holder.merge_counts([(cell.clone(), PassCount { passes: 0.0, failures: 1e12 })]);
    assert!(holder.answer_count(&cell) < 2_000.0);
}

proptest! {
    /// Guards against plans that return to a cheaper step, repeat a step, or are enumerated twice.
    #[test]
    fn plan_steps_are_ascending(step_count in 0_usize..9, max_steps in 1_usize..5) {
        let plans = cascade_policy::enumerate_plans(step_count, max_steps);
        for plan in &plans {
            prop_assert!(plan.steps.windows(2).all(|pair| pair[0] < pair[1]));
            prop_assert!(plan.steps.len() <= max_steps.min(3));
            prop_assert!(plan.steps.iter().all(|&step| step < step_count));
        }
        let mut unique: Vec<_> = plans.iter().map(steps).collect();
        unique.sort();
        unique.dedup();
        prop_assert_eq!(unique.len(), plans.len());
    }

    /// Guards against estimates outside 0 to 1 and costs below the entry step or above the sum.
    #[test]
    fn estimates_stay_in_range(
        rates in prop::collection::vec((0_u32..50, 0_u32..50, 0.0_f64..=1.0), 1..5),
    ) {
        let fixture = Fixture::new(&rates.iter().map(|rate| rate.2).collect::<Vec<_>>());
        let mut table = QualityTable::default();
        for (step, &(passes, failures, _)) in rates.iter().enumerate() {
            fixture.learn(&mut table, step, passes, failures.max(1));
        }
        let request = fixture.request(0.9, RatingAvailability::Available);
        for plan in cascade_policy::enumerate_plans(rates.len(), 3) {
            let estimate = cascade_policy::estimate_plan(&table, &request, &plan);
            let cost = |&step: &usize| fixture.steps[step].cost as f64;
            let highest: f64 = plan.steps.iter().map(cost).sum();
            prop_assert!((0.0..=1.0).contains(&estimate.quality));
            prop_assert!(estimate.cost >= cost(&plan.steps[0]) && estimate.cost <= highest + 1e-6);
        }
    }
}
