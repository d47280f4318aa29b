//! Rollout lease holder against the key-value stand-in with faults, on paused time.

use std::sync::Arc;
use std::time::Duration;

use yuccareel::kv_store::KvStore as _;
use yuccareel::quality_table::{PassCount, QualityCell};
use yuccareel::records::rollout;
use yuccareel::rollout_evidence::{EvidenceBlock, VersionEvidence};
use yuccareel::rollout_holder::{self, HolderError, RolloutHolder, StoredState};
use yuccareel::rollout_stage::{RolloutDecision, RolloutPhase, RolloutTick};
use yuccareel::standins::kv;

fn record() -> rollout::RolloutRecord {
    rollout::RolloutRecord {
        name: Arc::from("r"),
        model: Arc::from("m"),
        from: Arc::from("1"),
        to: Arc::from("2"),
        stages: vec![0.1, 0.5, 1.0],
        stage_dwell_s: 1,
        stage_min_requests: 1,
        max_error_rise: 0.02,
        max_quality_fall: 0.05,
        paused: false,
        replicas: Vec::new(),
    }
}

/// Tick with enough time and requests to advance one stage.
fn good_tick() -> RolloutTick {
    let some = VersionEvidence { requests: 10, ..VersionEvidence::default() };
    let block = EvidenceBlock { from: some, to: some };
    RolloutTick { elapsed: Duration::from_secs(1), block, stopped_nodes: 0 }
}

fn holder(store: &kv::KvStandin, name: &str) -> RolloutHolder {
    RolloutHolder::new(Arc::new(store.clone()), Arc::from(name))
}

async fn step(
    holder: &mut RolloutHolder,
    stored: &mut StoredState,
) -> Result<RolloutDecision, HolderError> {
    holder.step_rollout(&record(), true, &good_tick(), stored).await
}

/// Guards against two holders at a time, a role that outlives its lease, and a role that is lost
/// although its lease is renewed.
#[tokio::test(start_paused = true)]
async fn one_node_holds_the_role_under_its_lease() {
    let store = kv::KvStandin::default();
    let (mut first, mut second) = (holder(&store, "a"), holder(&store, "b"));
    let token = first.tick().await.unwrap().unwrap().token;
    for _ in 0..30 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(first.tick().await.unwrap().unwrap().token, token);
        assert_eq!(second.tick().await.unwrap(), None);
    }
    tokio::time::sleep(Duration::from_secs(11)).await;
    let successor = second.tick().await.unwrap().unwrap();
    assert!(successor.token > token);
    assert_eq!(first.tick().await.unwrap(), None);
    second.resign().await.unwrap();
    assert!(first.tick().await.unwrap().is_some());
}

/// Guards against a former holder that writes after a pause beyond its lease, and a successor that
/// starts the rollout over.
#[tokio::test(start_paused = true)]
async fn paused_holder_cannot_write_and_successor_continues() {
    let store = kv::KvStandin::default();
    let (mut first, mut second) = (holder(&store, "a"), holder(&store, "b"));
    first.tick().await.unwrap();
    let mut paused = first.read_state(&record()).await.unwrap();
    assert_eq!(step(&mut first, &mut paused).await.unwrap(), RolloutDecision::Advance);

    tokio::time::sleep(Duration::from_secs(11)).await;
    second.tick().await.unwrap();
    let mut continued = second.read_state(&record()).await.unwrap();
    assert_eq!(continued.state, paused.state);

    // The successor has not written yet, so that only the holder key stops the former holder.
    let error = step(&mut first, &mut paused).await.unwrap_err();
    assert!(matches!(error, HolderError::RoleLost), "{error}");
    assert_eq!(first.role(), None);
    assert_eq!(step(&mut second, &mut continued).await.unwrap(), RolloutDecision::Advance);
    assert_eq!(second.read_state(&record()).await.unwrap().state.stage, 2);
}

/// Guards against a stage that changes in memory but not in the store, or the reverse, when a write
/// fails or its answer is lost.
#[tokio::test(start_paused = true)]
async fn write_faults() {
    struct Case {
        name: &'static str,
        faults: kv::KvFaults,
        succeeds: bool,
    }
    let none = kv::KvFaults::default;
    let cases = [
        Case { name: "outage", faults: kv::KvFaults { outage: true, ..none() }, succeeds: false },
        Case {
            name: "answer lost",
            faults: kv::KvFaults { lose_answers: 1, ..none() },
            succeeds: true,
        },
        Case {
            name: "write lost",
            faults: kv::KvFaults { lose_writes: 1, ..none() },
            succeeds: false,
        },
    ];
    for case in cases {
        let store = kv::KvStandin::default();
        let mut holder = holder(&store, "a");
        holder.tick().await.unwrap();
        let mut stored = holder.read_state(&record()).await.unwrap();
        step(&mut holder, &mut stored).await.unwrap();
        *store.faults.lock() = case.faults;
        let outcome = step(&mut holder, &mut stored).await;
        *store.faults.lock() = none();
        assert_eq!(outcome.is_ok(), case.succeeds, "{}", case.name);
        let stage = if case.succeeds { 2 } else { 1 };
        assert_eq!(stored.state.stage, stage, "{}", case.name);
        let found = holder.read_state(&record()).await.unwrap();
        assert_eq!((found.state.stage, found.revision), (stage, stored.revision), "{}", case.name);
        // After the fault the rollout continues, and the evidence of the failed tick is kept.
        step(&mut holder, &mut stored).await.unwrap();
        let ended = stored.state.phase == RolloutPhase::Completed;
        assert_eq!((stored.state.stage, ended), (2, case.succeeds), "{}", case.name);
    }
}

/// Guards against a role that stays unusable until its lease expires because the answer to its
/// acquisition is lost.
#[tokio::test(start_paused = true)]
async fn role_survives_a_lost_answer() {
    struct Case {
        name: &'static str,
        /// When answers start to be lost. Each call to the store takes 100 ms.
        lost_from_ms: u64,
    }
    let cases = [
        Case { name: "lease grant", lost_from_ms: 150 },
        Case { name: "holder key", lost_from_ms: 250 },
    ];
    for case in cases {
        let store = kv::KvStandin::default();
        let mut holder = holder(&store, "a");
        store.faults.lock().delay_ms = 100;
        let lose_answer = async {
            tokio::time::sleep(Duration::from_millis(case.lost_from_ms)).await;
            store.faults.lock().lose_answers = 1;
        };
        let (outcome, ()) = tokio::join!(holder.tick(), lose_answer);
        outcome.unwrap_err();
        let role = holder.tick().await.unwrap().expect(case.name);
        let entry = store.get(rollout_holder::HOLDER_KEY).await.unwrap().unwrap();
        let found = (role.token, role.lease);
        assert_eq!(found, (entry.create_revision, entry.lease), "{}", case.name);
    }
}

/// Guards against two decisions on one state, and against the use of the state of other versions.
#[tokio::test(start_paused = true)]
async fn state_is_written_once_and_for_its_versions() {
    let store = kv::KvStandin::default();
    let mut holder = holder(&store, "a");
    holder.tick().await.unwrap();
    let mut stored = holder.read_state(&record()).await.unwrap();
    let mut stale = stored.clone();
    step(&mut holder, &mut stored).await.unwrap();
    let error = step(&mut holder, &mut stale).await.unwrap_err();
    assert!(matches!(error, HolderError::Conflict(_)), "{error}");

    let next = rollout::RolloutRecord { to: Arc::from("3"), ..record() };
    let mut fresh = holder.read_state(&next).await.unwrap();
    assert_eq!((fresh.state.stage, &*fresh.state.to), (0, "3"));
    holder.step_rollout(&next, true, &good_tick(), &mut fresh).await.unwrap();
    assert_eq!(holder.read_state(&next).await.unwrap().state.stage, 1);
}

/// Guards against evidence that is lost with the holder because no decision was due.
#[tokio::test(start_paused = true)]
async fn evidence_is_saved_while_the_stage_is_held() {
    let store = kv::KvStandin::default();
    let mut holder = holder(&store, "a");
    let paused = rollout::RolloutRecord { paused: true, ..record() };
    holder.tick().await.unwrap();
    let mut stored = holder.read_state(&paused).await.unwrap();
    let mut revisions = std::collections::BTreeSet::new();
    for _ in 0..30 {
        holder.tick().await.unwrap();
        holder.step_rollout(&paused, true, &good_tick(), &mut stored).await.unwrap();
        revisions.insert(stored.revision);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(revisions.len(), 3, "one write in 10 s");
    assert!(holder.read_state(&paused).await.unwrap().state.stage_requests >= 200);
}

/// Guards against a quality summary that a former holder overwrites or that is not read back
/// completely.
#[tokio::test(start_paused = true)]
async fn summary_is_written_by_the_lease_holder_only() {
    let store = kv::KvStandin::default();
    let (mut first, mut second) = (holder(&store, "a"), holder(&store, "b"));
    let row = |passes| {
        let name = || Arc::from("x");
        let cell = QualityCell { customer: name(), kind: name(), model: name(), after: None };
        vec![(cell, PassCount { passes, failures: 0.1 })]
    };
    first.tick().await.unwrap();
    first.write_summary(7, &row(1.0)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(11)).await;
    second.tick().await.unwrap();
    second.write_summary(7, &row(2.0)).await.unwrap();
    let error = first.write_summary(7, &row(3.0)).await.unwrap_err();
    assert!(matches!(error, HolderError::RoleLost), "{error}");
    assert_eq!(rollout_holder::read_summary(&store, 7).await.unwrap(), row(2.0));
    assert!(rollout_holder::read_summary(&store, 8).await.unwrap().is_empty());
}
