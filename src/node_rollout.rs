//! Rollout system: evidence of this node, its way to the holder, and the holder's role.
//!
//! Every node sends its evidence to the first watcher of its data centre, which
//! adds it up and sends it on to the holder. The states of the rollouts travel
//! back as the answers; `node_learning` sends them.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;

use crate::event_catalogue::LogEvent;
use crate::{
    chat_job, config_snapshot, held_rollouts, ids, kv_store, node, node_orders, peer_message,
    records, replica_table, rollout_evidence, rollout_holder, rollout_loads, rollout_stage,
};

/// Time between two reports of evidence.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);
/// First-token time above which an answer counts as slow.
pub const SLOW_FIRST_TOKEN: Duration = Duration::from_millis(460);

/// Outcome of one answer as evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// Whole answer, and whether its first token came late.
    Whole(bool),
    /// Failed answer.
    Failed,
    /// Rating of an answer that was counted before: whether it met the quality target.
    Rated(bool),
}

impl AnswerOutcome {
    fn add_to(self, evidence: &mut rollout_evidence::VersionEvidence) {
        match self {
            Self::Whole(slow) => evidence.record(false, None, slow),
            Self::Failed => evidence.record(true, None, false),
            Self::Rated(passed) => evidence.rate(passed),
        }
    }
}

/// Rollouts as this node knows them.
#[derive(Default)]
pub struct RolloutView {
    /// States as the holder last wrote them.
    pub states: ArcSwap<peer_message::RolloutStates>,
    /// Role of the holder, while this node has it.
    pub role: Mutex<Option<rollout_holder::HolderRole>>,
    /// Loads that engines have shown to this node as holder.
    pub shown: Mutex<node_orders::ShownLoads>,
    /// Versions that this node stopped by itself.
    pub stops: Mutex<rollout_stage::LocalStops>,
    /// Evidence that has not been sent on.
    collectors: Mutex<HashMap<ids::RolloutName, rollout_evidence::EvidenceCollector>>,
    sequence: Mutex<u64>,
    /// Process whose quality counts this node took over last, and their revision there.
    pub known_counts: Mutex<Option<(ids::InstanceName, u64)>>,
}

impl RolloutView {
    /// Version that a new session prefers; the old one while no replica of the new one is listed.
    pub fn preferred(
        &self,
        snapshot: &config_snapshot::ConfigSnapshot,
        table: &replica_table::ReplicaTable,
        model: &str,
        session: &str,
    ) -> Option<ids::VersionName> {
        let (states, stops) = (self.states.load(), self.stops.lock());
        let version = rollout_stage::preferred_version(snapshot, &states, &stops, model, session)?;
        let pool = replica_table::ReplicaPool::Version(model.into(), version.clone());
        if !table.pool_indexes(&pool).is_empty() {
            return Some(version);
        }
        let rollout = snapshot.rollouts.values().find(|rollout| &*rollout.model == model);
        Some(rollout.map_or(version, |rollout| rollout.from.clone()))
    }

    /// Drops the evidence and local stops of rollouts that were removed.
    pub fn retain(&self, snapshot: &config_snapshot::ConfigSnapshot) {
        self.collectors.lock().retain(|name, _| snapshot.rollouts.contains_key(name));
        self.stops.lock().retain(|model, version| {
            let mut rollouts = snapshot.rollouts.values();
            rollouts.any(|rollout| *rollout.model == *model && *rollout.to == *version)
        });
    }

    /// Names of the rollouts whose evidence is kept.
    pub fn collected(&self) -> Vec<ids::RolloutName> {
        self.collectors.lock().keys().cloned().collect()
    }

    /// Adds evidence that a node sent; false when it is a repetition.
    pub fn record(&self, report: &rollout_evidence::EvidenceReport) -> bool {
        let mut collectors = self.collectors.lock();
        collectors.entry(report.rollout.clone()).or_default().record(report)
    }

    fn take(
        &self,
        rollout: &ids::RolloutName,
    ) -> (rollout_evidence::EvidenceBlock, BTreeSet<ids::InstanceName>) {
        self.collectors.lock().entry(rollout.clone()).or_default().take()
    }

    /// Number for the next report of this node.
    pub fn next_sequence(&self) -> u64 {
        let mut sequence = self.sequence.lock();
        *sequence += 1;
        *sequence
    }
}

impl node::Node {
    /// Records the outcome of an answer of a version that is part of a rollout.
    pub fn note_outcome(&self, target: &chat_job::VersionTarget, outcome: AnswerOutcome) {
        let snapshot = self.snapshot.load();
        let rollouts = snapshot.rollouts.values();
        let Some(rollout) = rollouts.clone().find(|rollout| {
            rollout.model == target.model.name
                && (rollout.from == target.version || rollout.to == target.version)
        }) else {
            return;
        };
        let mut block = rollout_evidence::EvidenceBlock::default();
        let is_new = rollout.to == target.version;
        let side = if is_new { &mut block.to } else { &mut block.from };
        outcome.add_to(side);
        if is_new {
            let mut stops = self.rollouts.stops.lock();
            let failed = outcome == AnswerOutcome::Failed;
            let counts = !matches!(outcome, AnswerOutcome::Rated(_));
            if counts && stops.record(&target.model.name, &target.version, failed) {
                metrics::counter!("yuccareel_versions_stopped_total").increment(1);
                self.emit(
                    LogEvent::VersionStopped,
                    slog::o!(
                        "model" => target.model.name.to_string(),
                        "version" => target.version.to_string()
                    ),
                );
            }
        }
        self.rollouts.record(&rollout_evidence::EvidenceReport {
            rollout: rollout.name.clone(),
            sender: format!("{}/answers", self.process).into(),
            sequence: self.rollouts.next_sequence(),
            block,
            stopped: BTreeSet::new(),
        });
    }

    /// Evidence since the last call, with this node among those that have stopped the version.
    ///
    /// A stopped version gets no further answers here, so that the stop is reported again
    /// every second: the holder compares the nodes that report it in one tick.
    pub fn take_evidence(
        &self,
        rollout: &records::rollout::RolloutRecord,
    ) -> (rollout_evidence::EvidenceBlock, BTreeSet<ids::InstanceName>) {
        let (block, mut stopped) = self.rollouts.take(&rollout.name);
        if self.rollouts.stops.lock().stopped(&rollout.model, &rollout.to) {
            stopped.insert(self.process.clone());
        }
        (block, stopped)
    }

    /// Whether engines are still to load the version for the present stage of a rollout.
    pub fn loads_missing(
        &self,
        record: &records::rollout::RolloutRecord,
        state: &rollout_stage::RolloutState,
    ) -> bool {
        let (table, shown) = (self.replicas.load(), self.rollouts.shown.lock());
        rollout_loads::missing_rows(record, state, &table).any(|row| {
            !shown.contains(&node_orders::LoadOrder {
                replica: row.name.clone(),
                model: record.model.clone(),
                version: record.to.clone(),
            })
        })
    }

    /// Whether a version's answers are evidence for a rollout.
    pub fn under_rollout(&self, target: &chat_job::VersionTarget) -> bool {
        let snapshot = self.snapshot.load();
        snapshot.rollouts.values().any(|rollout| {
            rollout.model == target.model.name
                && (rollout.from == target.version || rollout.to == target.version)
        })
    }

    /// Sends evidence each second and campaigns for the holder's role on watchers.
    pub async fn run_rollouts(self: Arc<Self>) {
        let store: Arc<dyn kv_store::KvStore> = Arc::clone(&self.options.store);
        let mut holder = rollout_holder::RolloutHolder::new(store, self.process.clone());
        let mut held = held_rollouts::HeldRollouts::default();
        let mut ticks = tokio::time::interval(EVIDENCE_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => break,
                _ = ticks.tick() => self.tick_rollouts(&mut holder, &mut held).await,
            }
        }
        match holder.role() {
            Some(_) => while self.write_summary_part(&mut holder).await {},
            None => self.exchange_learning(&self.snapshot.load_full()).await,
        }
        // Without this the successor waits for the lease to expire.
        let _ = holder.resign().await;
    }

    async fn tick_rollouts(
        &self,
        holder: &mut rollout_holder::RolloutHolder,
        held: &mut held_rollouts::HeldRollouts,
    ) {
        let snapshot = self.snapshot.load_full();
        if snapshot.rollouts.is_empty() {
            self.rollouts.states.store(Arc::default());
        }
        if self.watches() {
            let held = holder.role().is_some();
            // An error leaves the role as it was.
            let _ = holder.tick().await;
            match (held, holder.role()) {
                (false, Some(role)) => {
                    self.emit(LogEvent::HolderTaken, slog::o!("token" => role.token));
                }
                (true, None) => self.emit(LogEvent::HolderLost, slog::o!()),
                _ => {}
            }
        }
        *self.rollouts.role.lock() = holder.role();
        match holder.role() {
            Some(role) => {
                held.step_all(self, holder, role.token, &snapshot).await;
                self.adopt_states(held.states());
                // The counts end here; nobody is left to send them on to.
                self.quality.lock().take_unsent();
                if held.load_summary(self).await {
                    self.write_summary_part(holder).await;
                }
            }
            None => {
                held.clear();
                self.exchange_learning(&snapshot).await;
            }
        }
    }

    /// Takes the states that the holder wrote.
    pub fn adopt_states(&self, states: peer_message::RolloutStates) {
        let former = self.rollouts.states.load();
        if **former == states {
            return;
        }
        self.rollouts.states.store(Arc::new(states));
    }
}
