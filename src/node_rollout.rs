//! Rollout system of a node: collects evidence, runs the tick of the lease holder and keeps the
//! rollout states that the holder wrote.
//!
//! Every node sends its evidence to the first watcher of its data centre, which sums it and sends
//! it on to the holder. The replies carry the rollout states back; `node_learning` sends both.

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

/// Time between two ticks of the rollout system, each of which reports evidence or decides.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time to the first token above which an answer counts as slow.
pub const SLOW_FIRST_TOKEN_THRESHOLD: Duration = Duration::from_millis(460);

/// Outcome of one answer, as counted in the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// Complete answer, and whether it was slow.
    Complete(bool),
    Failed,
    /// Rating of an answer that was counted before, and whether it met the quality target.
    Rated(bool),
}

impl AnswerOutcome {
    fn add_to(self, evidence: &mut rollout_evidence::VersionEvidence) {
        match self {
            Self::Complete(slow) => evidence.record_answer(false, None, slow),
            Self::Failed => evidence.record_answer(true, None, false),
            Self::Rated(passed) => evidence.record_rating(passed),
        }
    }
}

/// This node's view of the rollouts, and its evidence on them.
#[derive(Default)]
pub struct RolloutView {
    /// States that the holder wrote last, as far as they have reached this node.
    pub states: ArcSwap<peer_message::RolloutStates>,
    /// Role of this node as lease holder; `None` while it does not hold the lease.
    pub holder_role: Mutex<Option<rollout_holder::HolderRole>>,
    /// Loads that engines have confirmed to this node as lease holder.
    pub confirmed_loads: Mutex<node_orders::ConfirmedLoads>,
    /// Versions that this node stopped on its own because of consecutive errors.
    pub local_stops: Mutex<rollout_stage::LocalStops>,
    /// Evidence that was not yet sent on.
    collectors: Mutex<HashMap<ids::RolloutName, rollout_evidence::EvidenceCollector>>,
    /// Number of the last evidence report of this node.
    sequence: Mutex<u64>,
    /// Process that last sent its quality counts to this node, and the revision of these counts in
    /// that process.
    pub last_applied_counts: Mutex<Option<(ids::InstanceName, u64)>>,
}

impl RolloutView {
    /// Version that a new session should use; the old one while no listed replica serves the
    /// new one, `None` for an unknown model.
    pub fn preferred_version(
        &self,
        snapshot: &config_snapshot::ConfigSnapshot,
        table: &replica_table::ReplicaTable,
        model: &str,
        session: &str,
    ) -> Option<ids::VersionName> {
        let (states, stops) = (self.states.load(), self.local_stops.lock());
        let version = rollout_stage::preferred_version(snapshot, &states, &stops, model, session)?;
        let pool = replica_table::ReplicaPool::Version(model.into(), version.clone());
        if !table.pool_indexes(&pool).is_empty() {
            return Some(version);
        }
        let rollout = snapshot.rollouts.values().find(|rollout| &*rollout.model == model);
        Some(rollout.map_or(version, |rollout| rollout.from.clone()))
    }

    /// Removes the evidence and local stops of rollouts that are no longer configured.
    pub fn retain_configured(&self, snapshot: &config_snapshot::ConfigSnapshot) {
        self.collectors.lock().retain(|name, _| snapshot.rollouts.contains_key(name));
        self.local_stops.lock().retain(|model, version| {
            let mut rollouts = snapshot.rollouts.values();
            rollouts.any(|rollout| *rollout.model == *model && *rollout.to == *version)
        });
    }

    /// Names of the rollouts with collected evidence.
    pub fn collected_rollouts(&self) -> Vec<ids::RolloutName> {
        self.collectors.lock().keys().cloned().collect()
    }

    /// Adds the evidence of a report. Returns `false` for a repeated report, which is dropped.
    pub fn record_report(&self, report: &rollout_evidence::EvidenceReport) -> bool {
        let mut collectors = self.collectors.lock();
        collectors.entry(report.rollout.clone()).or_default().record_report(report)
    }

    fn take_evidence(
        &self,
        rollout: &ids::RolloutName,
    ) -> (rollout_evidence::EvidenceBlock, BTreeSet<ids::InstanceName>) {
        self.collectors.lock().entry(rollout.clone()).or_default().take_evidence()
    }

    /// Returns the number of the next evidence report of this node.
    pub fn next_sequence(&self) -> u64 {
        let mut sequence = self.sequence.lock();
        *sequence += 1;
        *sequence
    }
}

impl node::Node {
    /// Records the outcome of an answer in the evidence of the rollout that its version belongs to;
    /// ignores versions without a rollout.
    pub fn record_rollout_outcome(&self, target: &chat_job::VersionTarget, outcome: AnswerOutcome) {
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
            let mut stops = self.rollouts.local_stops.lock();
            let is_failure = outcome == AnswerOutcome::Failed;
            let is_new_answer = !matches!(outcome, AnswerOutcome::Rated(_));
            if is_new_answer && stops.record_answer(&target.model.name, &target.version, is_failure)
            {
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
        self.rollouts.record_report(&rollout_evidence::EvidenceReport {
            rollout: rollout.name.clone(),
            sender: format!("{}/answers", self.process).into(),
            sequence: self.rollouts.next_sequence(),
            block,
            stopped: BTreeSet::new(),
        });
    }

    /// Returns the evidence since the last call and the nodes that have stopped the new version,
    /// this node included if it has.
    ///
    /// The stop is reported again every second, because the holder counts the nodes that report it
    /// in the same tick, and a stopped version gets no further answers here.
    pub fn take_evidence(
        &self,
        rollout: &records::rollout::RolloutRecord,
    ) -> (rollout_evidence::EvidenceBlock, BTreeSet<ids::InstanceName>) {
        let (block, mut stopped) = self.rollouts.take_evidence(&rollout.name);
        if self.rollouts.local_stops.lock().is_stopped(&rollout.model, &rollout.to) {
            stopped.insert(self.process.clone());
        }
        (block, stopped)
    }

    /// Whether any engine must still load the version for the current stage of a rollout.
    pub fn has_pending_loads(
        &self,
        record: &records::rollout::RolloutRecord,
        state: &rollout_stage::RolloutState,
    ) -> bool {
        let (table, confirmed_loads) = (self.replicas.load(), self.rollouts.confirmed_loads.lock());
        rollout_loads::replicas_to_load(record, state, &table).any(|row| {
            !confirmed_loads.contains(&node_orders::LoadOrder {
                replica: row.name.clone(),
                model: record.model.clone(),
                version: record.to.clone(),
            })
        })
    }

    /// Whether the version belongs to a rollout, so that its answers count as evidence.
    pub fn is_under_rollout(&self, target: &chat_job::VersionTarget) -> bool {
        let snapshot = self.snapshot.load();
        snapshot.rollouts.values().any(|rollout| {
            rollout.model == target.model.name
                && (rollout.from == target.version || rollout.to == target.version)
        })
    }

    /// Sends evidence or decides every second, and campaigns for the role of the lease holder if
    /// this node is a watcher. Runs until the shutdown, then sends on or writes what is left and
    /// gives up the role.
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
        // Without this call the successor would have to wait for the lease to expire.
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
            let was_holder = holder.role().is_some();
            // An error leaves the role as it was; the next tick tries again.
            let _ = holder.tick().await;
            match (was_holder, holder.role()) {
                (false, Some(role)) => {
                    self.emit(LogEvent::HolderTaken, slog::o!("token" => role.token));
                }
                (true, None) => self.emit(LogEvent::HolderLost, slog::o!()),
                _ => {}
            }
        }
        *self.rollouts.holder_role.lock() = holder.role();
        match holder.role() {
            Some(role) => {
                held.step_all(self, holder, role.token, &snapshot).await;
                self.apply_states(held.current_states());
                // The holder is the last receiver of the counts and sends them to no other node.
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

    /// Replaces the rollout states by those that the holder wrote.
    pub fn apply_states(&self, states: peer_message::RolloutStates) {
        let current_states = self.rollouts.states.load();
        if **current_states == states {
            return;
        }
        self.rollouts.states.store(Arc::new(states));
    }
}
