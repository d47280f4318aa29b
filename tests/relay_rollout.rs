//! Rollouts that operators order with a time limit.

use std::time::Duration;

use tokio::time::Instant;
use yuccareel::ids;
use yuccareel::relay::rollout_plan::{RolloutPhase, RolloutView, next_phase, takes_target};
use yuccareel::relay::rollout_table::{EvidenceRecord, RolloutRecord, RolloutTable};
use yuccareel::relay::store_codec::RolloutOrder;
use yuccareel::relay::version_rule::VersionRule;
use yuccareel::rollout_evidence::{EvidenceBlock, VersionEvidence};

const DURATIONS_S: [u64; 4] = [12, 16, 24, 60];

fn view(duration: Duration) -> RolloutView {
    RolloutView {
        phase: RolloutPhase::Trial,
        elapsed: Duration::ZERO,
        in_phase: Duration::ZERO,
        duration,
        answers: 50,
        replicas: 3,
        bad: false,
    }
}

/// Time of each stage of a rollout, as a share of its duration.
fn stages(duration: Duration, change: impl Fn(&mut RolloutView)) -> Vec<(RolloutPhase, f64)> {
    let step = Duration::from_millis(300);
    let mut view = view(duration);
    let mut stages = Vec::new();
    while view.elapsed < duration {
        change(&mut view);
        if let Some(phase) = next_phase(&view) {
            stages.push((phase, view.elapsed.as_secs_f64() / duration.as_secs_f64()));
            view.phase = phase;
            view.in_phase = Duration::ZERO;
        }
        view.elapsed += step;
        view.in_phase += step;
    }
    stages
}

/// Guards against a good version that is not in use everywhere in time, and against sessions that
/// are moved to it in the first half.
#[test]
fn good_versions_are_complete_in_time() {
    for duration_s in DURATIONS_S {
        for answers in [0, 100] {
            let duration = Duration::from_secs(duration_s);
            let stages = stages(duration, |view| view.answers = answers);
            let phases: Vec<_> = stages.iter().map(|(phase, _)| *phase).collect();
            let expected = [RolloutPhase::Load, RolloutPhase::Full, RolloutPhase::Completed];
            assert_eq!(phases, expected, "{duration_s} s, {answers} answers: {stages:?}");
            assert!(stages[0].1 > 0.5, "{duration_s} s: {stages:?}");
            assert!(stages[2].1 < 0.95, "{duration_s} s: {stages:?}");
        }
    }
}

/// Guards against a version that turns bad late, or under load, and goes on.
#[test]
fn bad_versions_are_rolled_back_in_every_stage() {
    for bad_from in [0.0, 0.3, 0.55, 0.7] {
        let duration = Duration::from_secs(24);
        let stages = stages(duration, |view| view.bad = view.elapsed >= duration.mul_f64(bad_from));
        let last = stages.last().unwrap();
        assert_eq!(last.0, RolloutPhase::RolledBack, "{stages:?}");
        assert!(last.1 < bad_from + 0.05, "{stages:?}");
    }
    let completed =
        RolloutView { phase: RolloutPhase::Completed, bad: true, ..view(Duration::from_secs(24)) };
    assert_eq!(next_phase(&completed), None, "the old replicas are gone");
}

/// Guards against a rollout that moves on without a replica of the new version.
#[test]
fn rollouts_wait_for_replicas() {
    assert!(stages(Duration::from_secs(24), |view| view.replicas = 0).is_empty());
}

/// Guards against sessions that change their version in the first half or go back in the second.
#[test]
fn sessions_move_once() {
    let service: ids::ServiceName = "pool".into();
    let phases =
        [RolloutPhase::Trial, RolloutPhase::Load, RolloutPhase::Full, RolloutPhase::Completed];
    let mut moved = 0;
    for session in 0..500 {
        let session = format!("session-{session}");
        let taken: Vec<_> = phases
            .iter()
            .enumerate()
            .map(|(call, phase)| takes_target(*phase, &service, Some(&session), &call.to_string()))
            .collect();
        assert!(!taken[0], "{session} is moved while the version is on trial");
        assert!(taken.is_sorted(), "{session}: {taken:?}");
        moved += usize::from(taken[1]);
    }
    assert!((120..280).contains(&moved), "{moved} of 500 sessions test the version under load");
}

fn order(target: &str) -> RolloutOrder {
    let duration = Duration::from_secs(24);
    RolloutOrder { service: "pool".into(), target: target.into(), duration }
}

fn record(target: &str, order: ids::KvRevision, phase: RolloutPhase) -> RolloutRecord {
    RolloutRecord { target: target.into(), order, phase, ordered_unix_ms: 0 }
}

/// Guards against work for a version that was rolled back, not ordered yet or replaced.
#[test]
fn calls_run_on_the_versions_of_their_stage() {
    struct VersionCase {
        name: &'static str,
        order: Option<(&'static str, ids::KvRevision)>,
        record: Option<RolloutRecord>,
        /// Rules that some call may get.
        rules: Vec<VersionRule>,
    }
    let (only, not) = (VersionRule::Only("v2".into()), VersionRule::Not("v2".into()));
    let cases = [
        VersionCase { name: "none", order: None, record: None, rules: vec![VersionRule::Any] },
        VersionCase {
            name: "ordered, not begun",
            order: Some(("v2", 5)),
            record: None,
            rules: vec![not.clone()],
        },
        VersionCase {
            name: "on trial",
            order: Some(("v2", 5)),
            record: Some(record("v2", 5, RolloutPhase::Trial)),
            rules: vec![not.clone(), only.clone()],
        },
        VersionCase {
            name: "complete",
            order: Some(("v2", 5)),
            record: Some(record("v2", 5, RolloutPhase::Completed)),
            rules: vec![only.clone()],
        },
        VersionCase {
            name: "rolled back",
            order: Some(("v2", 5)),
            record: Some(record("v2", 5, RolloutPhase::RolledBack)),
            rules: vec![not.clone()],
        },
        VersionCase {
            name: "rolled back, and the order taken away",
            order: None,
            record: Some(record("v2", 5, RolloutPhase::RolledBack)),
            rules: vec![not.clone()],
        },
        VersionCase {
            name: "ordered again after it was rolled back",
            order: Some(("v2", 9)),
            record: Some(record("v2", 5, RolloutPhase::RolledBack)),
            rules: vec![not.clone()],
        },
    ];
    for case in cases {
        let mut table = RolloutTable::default();
        let now = Instant::now();
        if let Some((target, revision)) = case.order {
            table.put_order(order(target), revision, now);
        }
        if let Some(record) = case.record {
            table.put_record(&"pool".into(), record, 1, now);
        }
        let mut found = Vec::new();
        for call in 0..300 {
            let rule = table.version_choice(&"pool".into(), None, &call.to_string()).preferred;
            if !found.contains(&rule) {
                found.push(rule);
            }
        }
        assert!(found.iter().all(|rule| case.rules.contains(rule)), "{}: {found:?}", case.name);
        assert_eq!(found.len(), case.rules.len(), "{}", case.name);
    }
}

/// Guards against a stage that goes back when records arrive late, and against evidence of an
/// earlier order that counts for a later one.
#[test]
fn stages_and_evidence_belong_to_one_order() {
    let (mut table, now) = (RolloutTable::default(), Instant::now());
    let service: ids::ServiceName = "pool".into();
    table.put_order(order("v2"), 5, now);
    assert!(table.put_record(&service, record("v2", 5, RolloutPhase::Load), 6, now));
    assert!(!table.put_record(&service, record("v2", 5, RolloutPhase::Trial), 7, now));
    for _ in 0..4 {
        table.record_answer("pool", "v2", true, false);
    }
    let stopped = |table: &RolloutTable| table.rows().any(|(_, row)| row.stopped());
    assert!(stopped(&table), "the instance stops a version that fails all of its calls");
    table.put_order(order("v2"), 9, now);
    assert!(!stopped(&table));
    assert!(table.put_record(&service, record("v2", 9, RolloutPhase::Trial), 7, now));
}

fn report(started_unix_ms: u64, requests: u64) -> EvidenceRecord {
    let to = VersionEvidence { requests, ..VersionEvidence::default() };
    let block = EvidenceBlock { to, ..EvidenceBlock::default() };
    EvidenceRecord { order: 5, started_unix_ms, block, stopped: false }
}

/// Guards against evidence that is counted twice when the store does a write late.
#[test]
fn late_reports_do_not_replace_newer_ones() {
    struct ReportCase {
        name: &'static str,
        report: EvidenceRecord,
        requests: u64,
    }
    let cases = [
        ReportCase { name: "more answers", report: report(1, 12), requests: 12 },
        ReportCase { name: "done late", report: report(1, 5), requests: 10 },
        ReportCase { name: "after a restart", report: report(2, 1), requests: 1 },
        ReportCase { name: "of a former process", report: report(0, 50), requests: 10 },
    ];
    for case in cases {
        let mut table = RolloutTable::default();
        table.put_order(order("v2"), 5, Instant::now());
        for report in [report(1, 10), case.report] {
            table.put_report("pool", "instance".into(), report);
        }
        let (_, row) = table.rows().next().unwrap();
        assert_eq!(row.reports["instance"].block.to.requests, case.requests, "{}", case.name);
    }
}
