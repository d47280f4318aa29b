//! Rollout stages, local stops and the sequential test, with seeded traffic.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use yuccareel::config_snapshot;
use yuccareel::records::{RoutingRecord, model, rollout};
use yuccareel::rollout_evidence::{
    BadCount, EvidenceAlarm, EvidenceBlock, EvidenceCollector, EvidenceReport, FALSE_ALARM_RATE,
    SequentialTest, VersionEvidence,
};
use yuccareel::rollout_stage::{
    self, LocalStops, RollbackReason, RolloutDecision, RolloutPhase, RolloutState, RolloutTick,
};

fn record() -> rollout::RolloutRecord {
    rollout::RolloutRecord {
        name: Arc::from("r"),
        model: Arc::from("m"),
        from: Arc::from("1"),
        to: Arc::from("2"),
        stages: vec![0.05, 0.25, 1.0],
        stage_dwell_s: 30,
        stage_min_requests: 20,
        max_error_rise: 0.02,
        max_quality_fall: 0.05,
        paused: false,
        replicas: Vec::new(),
    }
}

fn side(requests: u64, errors: u64, random: &mut StdRng, rate: f64) -> VersionEvidence {
    let mut side = VersionEvidence { requests, errors, ..VersionEvidence::default() };
    for _ in 0..requests {
        side.errors += u64::from(random.random_bool(rate));
        side.rated += 1;
        side.rated_bad += u64::from(random.random_bool(rate));
        side.slow += u64::from(random.random_bool(rate));
    }
    side
}

/// Simulates a rollout in ticks of one second until it ends, for at most 600 s. Returns its state
/// and the number of requests that the new version got.
///
/// `new_rate` maps the second and the old version's rate of bad answers to that of the new one.
fn run(seed: u64, new_rate: impl Fn(u64, f64) -> f64) -> (RolloutState, u64) {
    let (record, mut random) = (record(), StdRng::seed_from_u64(seed));
    let (mut state, mut exposed) = (RolloutState::new(&record), 0);
    let traffic = random.random_range(5..40_u64);
    let base = random.random_range(0.0..0.15);
    for second in 0..600 {
        // A platform-wide fault raises the rate of both versions for 5 of every 97 seconds.
        let old = if second % 97 < 5 { base + 0.3 } else { base };
        let entered = (0..traffic)
            .filter(|_| random.random_bool(0.9 * state.new_version_fraction(&record)))
            .count() as u64;
        let from = side(traffic - entered, 0, &mut random, old);
        let to = side(entered, 0, &mut random, new_rate(second, old));
        exposed += entered;
        let block = EvidenceBlock { from, to };
        let tick = RolloutTick { elapsed: Duration::from_secs(1), block, stopped_nodes: 0 };
        let decision = state.decide(&record, true, &tick);
        state.apply(&record, &decision);
        if state.phase != RolloutPhase::Running {
            break;
        }
    }
    (state, exposed)
}

/// Guards against rollbacks of good versions. Allows the false-alarm rate of 1% of 1,000 rollouts
/// plus three standard deviations (10 + 9.4).
#[test]
fn good_versions_are_rolled_back_in_at_most_one_percent() {
    let rolled_back = (0..1_000)
        .filter(|&seed| matches!(run(seed, |_, old| old).0.phase, RolloutPhase::RolledBack { .. }))
        .count();
    assert!(rolled_back <= 19, "{rolled_back} of 1,000 good versions were rolled back");
}

/// Guards against bad versions that complete the rollout, or that get as many requests as in a
/// rollout whose stages only depend on time.
#[test]
fn bad_versions_are_rolled_back_early() {
    struct Case {
        name: &'static str,
        rise: fn(u64) -> f64,
        max_mean_requests: f64,
    }
    // For comparison: a timed rollout of 3 stages of 30 s sends the new version the equivalent of
    // about 10.5 s of full traffic in the first two stages and 27 s in the last one. That is about
    // 790 requests at the mean traffic of 22/s.
    let cases = [
        Case { name: "30% more failures", rise: |_| 0.3, max_mean_requests: 100.0 },
        Case { name: "every answer bad", rise: |_| 1.0, max_mean_requests: 10.0 },
        Case { name: "15% more failures", rise: |_| 0.15, max_mean_requests: 200.0 },
        Case {
            name: "turns bad at 40 s",
            rise: |second| if second < 40 { 0.0 } else { 0.3 },
            max_mean_requests: 350.0,
        },
    ];
    for case in cases {
        let mut exposed = 0;
        for seed in 0..100 {
            let (state, requests) = run(seed, |second, old| (old + (case.rise)(second)).min(1.0));
            let phase = state.phase;
            assert!(matches!(phase, RolloutPhase::RolledBack { .. }), "{} {seed}", case.name);
            exposed += requests;
        }
        let mean = exposed as f64 / 100.0;
        assert!(
            mean <= case.max_mean_requests,
            "{}: {mean} requests on the bad version on average",
            case.name
        );
    }
}

/// Guards against a version that turns bad late and is detected late because of its good blocks
/// before.
///
/// A start at block 1,000 has a weight of 1e-6 and must reach the alarm level of 100, together
/// 18.4 nats; a block of 3 failures in 10 answers adds about 1.8.
#[test]
fn good_blocks_hardly_delay_a_later_alarm() {
    let count = |bad| BadCount { bad, total: 10.0 };
    for good_blocks in [0, 100, 1_000] {
        let mut test = SequentialTest::new(0.05);
        for number in 0..good_blocks {
            test.record_block(count(f64::from(u8::from(number % 10 == 0))), count(0.0));
        }
        assert!(!test.is_alarmed(FALSE_ALARM_RATE));
        let undetected_blocks = (0..50).take_while(|_| {
            test.record_block(count(0.0), count(3.0));
            !test.is_alarmed(FALSE_ALARM_RATE)
        });
        let blocks = undetected_blocks.count() + 1;
        assert!(blocks <= 11, "{blocks} bad blocks after {good_blocks} good ones");
    }
}

/// Guards against a decision that ignores dwell time, evidence, a pause, a withdrawal or local
/// stops.
#[test]
fn decision_of_one_tick() {
    struct Case {
        name: &'static str,
        paused: bool,
        to_active: bool,
        elapsed_s: u64,
        requests: u64,
        errors: u64,
        stopped_nodes: usize,
        decision: RolloutDecision,
    }
    let ready = Case {
        name: "ready",
        paused: false,
        to_active: true,
        elapsed_s: 30,
        requests: 20,
        errors: 0,
        stopped_nodes: 0,
        decision: RolloutDecision::Advance,
    };
    let hold = RolloutDecision::Hold;
    let roll_back = RolloutDecision::RollBack;
    let alarm = RollbackReason::Evidence(EvidenceAlarm::Errors);
    let cases = [
        Case { name: "dwell is short", elapsed_s: 29, decision: hold.clone(), ..ready },
        Case { name: "few requests", requests: 19, decision: hold.clone(), ..ready },
        Case { name: "paused", paused: true, decision: hold.clone(), ..ready },
        Case {
            name: "paused and bad",
            paused: true,
            errors: 20,
            decision: roll_back(alarm),
            ..ready
        },
        Case {
            name: "withdrawn",
            to_active: false,
            decision: roll_back(RollbackReason::Withdrawn),
            ..ready
        },
        Case { name: "one node stopped", stopped_nodes: 1, decision: hold, ..ready },
        Case {
            name: "two nodes stopped",
            stopped_nodes: 2,
            decision: roll_back(RollbackReason::LocalStops),
            ..ready
        },
        Case { name: "bad", errors: 20, decision: roll_back(alarm), ..ready },
        ready,
    ];
    for case in cases {
        let record = rollout::RolloutRecord { paused: case.paused, ..record() };
        let mut state = RolloutState::new(&record);
        state.stage_elapsed_ms = (case.elapsed_s - 1) * 1_000;
        let old = VersionEvidence { requests: 500, ..VersionEvidence::default() };
        let new = VersionEvidence {
            requests: case.requests,
            errors: case.errors,
            ..VersionEvidence::default()
        };
        let tick = RolloutTick {
            elapsed: Duration::from_secs(1),
            block: EvidenceBlock { from: old, to: new },
            stopped_nodes: case.stopped_nodes,
        };
        assert_eq!(state.decide(&record, case.to_active, &tick), case.decision, "{}", case.name);
    }
}

/// Guards against dwell time that is counted during an outage, when no evidence is collected.
#[test]
fn an_outage_does_not_count_as_dwell_time() {
    let record = record();
    let mut state = RolloutState::new(&record);
    let block = EvidenceBlock {
        to: VersionEvidence { requests: 100, ..VersionEvidence::default() },
        ..EvidenceBlock::default()
    };
    let tick = RolloutTick { elapsed: Duration::from_secs(3_600), block, stopped_nodes: 0 };
    assert_eq!(state.decide(&record, true, &tick), RolloutDecision::Hold);
}

/// Guards against evidence that is counted twice because a report is sent twice.
#[test]
fn repeated_reports_count_once() {
    let mut collector = EvidenceCollector::default();
    let mut report = EvidenceReport {
        rollout: Arc::from("r"),
        sender: Arc::from("a"),
        sequence: 1,
        block: EvidenceBlock::default(),
        stopped: BTreeSet::from([Arc::from("a")]),
    };
    report.block.to.record_answer(true, Some(false), false);
    assert!(collector.record_report(&report));
    assert!(!collector.record_report(&report));
    report.sequence = 2;
    assert!(collector.record_report(&report));
    let (block, stopped) = collector.take_evidence();
    assert_eq!((block.to.requests, block.to.errors, block.to.rated_bad), (2, 2, 2));
    assert_eq!(stopped.len(), 1);
    assert_eq!(collector.take_evidence().0, EvidenceBlock::default());
}

/// Guards against a new session that enters a version in spite of the stage, a local stop or a
/// withdrawal.
#[test]
fn version_of_a_new_session() {
    struct Case {
        name: &'static str,
        stage: Option<usize>,
        to_withdrawn: bool,
        from_withdrawn: bool,
        errors: u32,
        version: &'static str,
    }
    let full = Case {
        name: "full stage",
        stage: Some(2),
        to_withdrawn: false,
        from_withdrawn: false,
        errors: 0,
        version: "2",
    };
    let cases = [
        Case { name: "state unknown", stage: None, version: "1", ..full },
        Case { name: "to withdrawn", to_withdrawn: true, version: "1", ..full },
        Case { name: "from withdrawn", stage: None, from_withdrawn: true, ..full },
        Case { name: "four errors", errors: 4, ..full },
        Case { name: "stopped here", errors: 5, version: "1", ..full },
        full,
    ];
    for case in cases {
        let snapshot = snapshot(case.to_withdrawn, case.from_withdrawn);
        let mut states = BTreeMap::new();
        if let Some(stage) = case.stage {
            states.insert(Arc::from("r"), RolloutState { stage, ..RolloutState::new(&record()) });
        }
        let mut stops = LocalStops::default();
        let stopped = (0..case.errors)
            .filter(|_| stops.record_answer(&Arc::from("m"), &Arc::from("2"), true));
        assert_eq!(stopped.count(), usize::from(case.errors >= 5), "{}", case.name);
        let version = rollout_stage::preferred_version(&snapshot, &states, &stops, "m", "s");
        assert_eq!(version.as_deref(), Some(case.version), "{}", case.name);
    }
}

fn snapshot(to_withdrawn: bool, from_withdrawn: bool) -> config_snapshot::ConfigSnapshot {
    let version = |name: &str, withdrawn| model::ModelVersion {
        name: Arc::from(name),
        state: if withdrawn { model::VersionState::Withdrawn } else { model::VersionState::Active },
    };
    let model = model::ModelRecord {
        name: Arc::from("m"),
        versions: vec![version("1", from_withdrawn), version("2", to_withdrawn)],
        default_version: Arc::from("1"),
        input_cost_per_1k: 1,
        output_cost_per_1k: 1,
        prior_quality: 0.9,
        cold_concurrency: 2,
        warm_concurrency: 8,
    };
    let records = [RoutingRecord::Model(model), RoutingRecord::Rollout(record())];
    config_snapshot::ConfigSnapshot::from_records(1, records)
}

/// Guards against a local stop after errors that are not consecutive.
#[test]
fn a_success_resets_the_error_count() {
    let mut stops = LocalStops::default();
    for number in 1..100 {
        assert!(!stops.record_answer(&Arc::from("m"), &Arc::from("2"), number % 5 != 0));
    }
    assert!(!stops.is_stopped("m", "2"));
}

proptest! {
    /// Guards against sessions that return to the old version when the fraction grows.
    #[test]
    fn sessions_stay_on_the_new_version_as_the_fraction_grows(
        session in ".{0,12}", low in 0.0_f64..=1.0, high in 0.0_f64..=1.0
    ) {
        let (low, high) = (low.min(high), low.max(high));
        prop_assert!(!rollout_stage::enters_new_version("r", &session, low)
            || rollout_stage::enters_new_version("r", &session, high));
        prop_assert!(rollout_stage::enters_new_version("r", &session, 1.0));
        prop_assert!(!rollout_stage::enters_new_version("r", &session, 0.0));
    }
}

/// Guards against a hash that misses the fraction: 10% of 10,000 sessions, within four standard
/// deviations of 30.
#[test]
fn the_set_fraction_of_sessions_enters() {
    let enters = |number: &u32| rollout_stage::enters_new_version("r", &format!("s{number}"), 0.1);
    let entered = (0..10_000).filter(enters).count();
    assert!((880..=1_120).contains(&entered), "{entered}");
}
