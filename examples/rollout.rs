//! Exposure to a bad version and false alarms of the staged rollout.
//!
//! Compares the evidence-driven rollout with a timed one, which goes through the
//! same stages and dwell times without looking, and with a timed one that compares
//! error rates at the end of each stage. Exits with 1 when false alarms exceed 1%
//! by more than three standard deviations, or when a bad version is exposed to more
//! requests than under the plain timed rollout. Takes the number of seeds.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use yuccareel::records::rollout;
use yuccareel::{rollout_evidence, rollout_stage};

const STAGES: [f64; 4] = [0.01, 0.05, 0.25, 1.0];
const DWELL_S: u64 = 60;
const REQUESTS_PER_S: u64 = 100;
/// Share of the requests that pinned sessions keep on the old version at full stage.
const PINNED_SHARE: f64 = 0.2;
const RATED_SHARE: f64 = 0.5;

/// Rates of one version.
#[derive(Clone, Copy)]
struct VersionRates {
    error: f64,
    bad_rating: f64,
    slow: f64,
}

/// Version that is rolled out, and when it turns bad.
struct BadVersion {
    name: &'static str,
    rates: VersionRates,
    turns_bad_s: u64,
}

const GOOD: VersionRates = VersionRates { error: 0.01, bad_rating: 0.10, slow: 0.02 };

#[derive(Clone, Copy, PartialEq)]
enum RolloutRule {
    Evidence,
    Timed,
    TimedWithCheck,
}

/// What a rollout did.
struct RolloutRun {
    rolled_back: bool,
    /// Requests on the new version while it was bad.
    exposed: u64,
    /// Answers of the new version that failed or were bad, while it was bad.
    harmed: u64,
}

fn record() -> rollout::RolloutRecord {
    rollout::RolloutRecord {
        name: Arc::from("r"),
        model: Arc::from("m"),
        from: Arc::from("1"),
        to: Arc::from("2"),
        stages: STAGES.to_vec(),
        stage_dwell_s: DWELL_S,
        stage_min_requests: 50,
        max_error_rise: 0.02,
        max_quality_fall: 0.05,
        paused: false,
        replicas: Vec::new(),
    }
}

/// One second of traffic.
fn block(share: f64, new: VersionRates, random: &mut StdRng) -> rollout_evidence::EvidenceBlock {
    let mut block = rollout_evidence::EvidenceBlock::default();
    for _ in 0..REQUESTS_PER_S {
        let entered = random.random_bool(share * (1.0 - PINNED_SHARE));
        let (rates, side) = if entered { (new, &mut block.to) } else { (GOOD, &mut block.from) };
        let error = random.random_bool(rates.error);
        let rated = !error && random.random_bool(RATED_SHARE);
        let passed = rated.then(|| !random.random_bool(rates.bad_rating));
        side.record_answer(error, passed, random.random_bool(rates.slow));
    }
    block
}

/// Whether the error rate of the stage has risen beyond the limit.
fn check_fails(stage: &rollout_evidence::EvidenceBlock, record: &rollout::RolloutRecord) -> bool {
    let rate =
        |side: &rollout_evidence::VersionEvidence| side.errors as f64 / side.requests.max(1) as f64;
    let bad =
        |side: &rollout_evidence::VersionEvidence| side.rated_bad as f64 / side.rated.max(1) as f64;
    rate(&stage.to) > rate(&stage.from) + record.max_error_rise
        || bad(&stage.to) > bad(&stage.from) + record.max_quality_fall
}

fn run(bad: &BadVersion, rule: RolloutRule, seed: u64) -> RolloutRun {
    let (record, mut random) = (record(), StdRng::seed_from_u64(seed));
    let mut state = rollout_stage::RolloutState::new(&record);
    let mut stage_block = rollout_evidence::EvidenceBlock::default();
    let mut run = RolloutRun { rolled_back: false, exposed: 0, harmed: 0 };
    for second in 0..DWELL_S * STAGES.len() as u64 {
        let is_bad = second >= bad.turns_bad_s;
        let rates = if is_bad { bad.rates } else { GOOD };
        let block = block(state.new_version_fraction(&record), rates, &mut random);
        if is_bad {
            run.exposed += block.to.requests;
            run.harmed += block.to.errors + block.to.rated_bad;
        }
        stage_block.add(&block);
        let stage_ends = (second + 1) % DWELL_S == 0;
        let decision = match rule {
            RolloutRule::Evidence => {
                let elapsed = Duration::from_secs(1);
                let tick = rollout_stage::RolloutTick { elapsed, block, stopped_nodes: 0 };
                state.decide(&record, true, &tick)
            }
            RolloutRule::TimedWithCheck if stage_ends && check_fails(&stage_block, &record) => {
                rollout_stage::RolloutDecision::RollBack(rollout_stage::RollbackReason::Evidence(
                    rollout_evidence::EvidenceAlarm::Errors,
                ))
            }
            _ if stage_ends => rollout_stage::RolloutDecision::Advance,
            _ => rollout_stage::RolloutDecision::Hold,
        };
        state.apply(&record, &decision);
        if stage_ends {
            stage_block = rollout_evidence::EvidenceBlock::default();
        }
        if matches!(decision, rollout_stage::RolloutDecision::RollBack(_)) {
            run.rolled_back = true;
            break;
        }
    }
    run
}

const BAD_VERSIONS: [BadVersion; 4] = [
    BadVersion { name: "10% errors", rates: VersionRates { error: 0.10, ..GOOD }, turns_bad_s: 0 },
    BadVersion { name: "50% errors", rates: VersionRates { error: 0.50, ..GOOD }, turns_bad_s: 0 },
    BadVersion {
        name: "20% bad ratings",
        rates: VersionRates { bad_rating: 0.20, ..GOOD },
        turns_bad_s: 0,
    },
    BadVersion {
        name: "10% errors from 150 s",
        rates: VersionRates { error: 0.10, ..GOOD },
        turns_bad_s: 150,
    },
];

const RULES: [(&str, RolloutRule); 3] = [
    ("evidence", RolloutRule::Evidence),
    ("timed", RolloutRule::Timed),
    ("timed with check", RolloutRule::TimedWithCheck),
];

/// Prints the exposure of one bad version; returns whether evidence exposes less than time does.
fn compare_exposure(bad: &BadVersion, seeds: u64) -> bool {
    let mut exposures = Vec::new();
    for (name, rule) in RULES {
        let runs: Vec<RolloutRun> = (0..seeds).map(|seed| run(bad, rule, seed)).collect();
        let mean = |value: fn(&RolloutRun) -> u64| {
            runs.iter().map(value).sum::<u64>() as f64 / seeds as f64
        };
        let (exposed, harmed) = (mean(|run| run.exposed), mean(|run| run.harmed));
        let rolled_back = mean(|run| u64::from(run.rolled_back));
        println!("{:<24}{name:<18}{exposed:>10.1}{harmed:>10.1}{rolled_back:>13.3}", bad.name);
        exposures.push(exposed);
    }
    exposures[0] < exposures[1]
}

/// Prints false alarms on good versions; returns whether they stay within 1%.
fn count_false_alarms(seeds: u64) -> bool {
    let good = BadVersion { name: "good", rates: GOOD, turns_bad_s: u64::MAX };
    let rate = rollout_evidence::FALSE_ALARM_RATE;
    let allowed = seeds as f64 * rate + 3.0 * (seeds as f64 * rate * (1.0 - rate)).sqrt();
    let mut within = true;
    for (name, rule) in RULES {
        let alarms = (0..seeds).filter(|&seed| run(&good, rule, seed).rolled_back).count();
        println!("false alarms, {name:<18}{alarms:>6} of {seeds}");
        within &= rule != RolloutRule::Evidence || alarms as f64 <= allowed;
    }
    println!("allowed at 1% and three standard deviations: {allowed:.1}");
    within
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(2_000);
    println!(
        "{:<24}{:<18}{:>10}{:>10}{:>13}",
        "version", "rule", "exposed", "harmed", "rolled back"
    );
    let mut met = true;
    for bad in &BAD_VERSIONS {
        met &= compare_exposure(bad, seeds.min(200));
    }
    met &= count_false_alarms(seeds);
    std::process::exit(i32::from(!met));
}
