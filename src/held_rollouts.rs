//! Rollout states in memory of the lease holder, and its decisions on all rollouts in each tick.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::event_catalogue::LogEvent;
use crate::{
    config_snapshot, ids, node, peer_message, quality_table, records, rollout_holder, rollout_stage,
};

/// Rollout states of one term as lease holder; empty while this node does not hold the lease.
#[derive(Default)]
pub struct HeldRollouts {
    /// Token of the term to which the other fields belong; 0 before the first.
    token: ids::FencingToken,
    stored: BTreeMap<ids::RolloutName, rollout_holder::StoredState>,
    /// Configured rollouts when the states of all others were last deleted.
    cleaned_rollouts: Option<BTreeSet<ids::RolloutName>>,
    last_tick: Option<Instant>,
    /// Number of parts of the quality summary that were read in this term.
    summary_parts_read: u64,
}

impl HeldRollouts {
    /// Drops all states after the loss of the role.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Reads the parts of the quality summary that were not read yet; `true` once all were read.
    ///
    /// The holder writes the summary only after it has read it, so that it does not erase the
    /// counts of former holders.
    pub async fn load_summary(&mut self, node: &node::Node) -> bool {
        while self.summary_parts_read < quality_table::SUMMARY_PARTS {
            let store = node.options.store.as_ref();
            match rollout_holder::read_summary(store, self.summary_parts_read).await {
                Ok(rows) => node.quality.lock().import_rows(rows),
                // The next write replaces an unreadable part.
                Err(rollout_holder::HolderError::Unreadable { .. }) => {}
                Err(_) => return false,
            }
            self.summary_parts_read += 1;
        }
        true
    }

    /// States as last stored or read, by rollout.
    pub fn current_states(&self) -> peer_message::RolloutStates {
        self.stored.iter().map(|(name, stored)| (name.clone(), stored.state.clone())).collect()
    }

    /// Decides on all configured rollouts and deletes the states of removed ones.
    pub async fn step_all(
        &mut self,
        node: &node::Node,
        holder: &mut rollout_holder::RolloutHolder,
        token: ids::FencingToken,
        snapshot: &config_snapshot::ConfigSnapshot,
    ) {
        if self.token != token {
            self.clear();
            self.token = token;
        }
        let now = Instant::now();
        let elapsed = self.last_tick.map_or(Duration::ZERO, |last| now.duration_since(last));
        self.last_tick = Some(now);
        self.stored.retain(|name, _| snapshot.rollouts.contains_key(name));
        let names: BTreeSet<_> = snapshot.rollouts.keys().cloned().collect();
        if self.cleaned_rollouts.as_ref() != Some(&names)
            && holder.delete_removed_states(&snapshot.rollouts).await.is_ok()
        {
            self.cleaned_rollouts = Some(names);
        }
        for record in snapshot.rollouts.values() {
            self.step_rollout(node, holder, record, elapsed).await;
        }
    }

    async fn step_rollout(
        &mut self,
        node: &node::Node,
        holder: &mut rollout_holder::RolloutHolder,
        record: &records::rollout::RolloutRecord,
        elapsed: Duration,
    ) {
        let must_read =
            self.stored.get(&record.name).is_none_or(|stored| !stored.state.belongs_to(record));
        if must_read {
            let Ok(stored) = holder.read_state(record).await else { return };
            self.stored.insert(record.name.clone(), stored);
        }
        let Some(stored) = self.stored.get_mut(&record.name) else { return };
        let (block, stopped) = node.take_evidence(record);
        let tick = rollout_stage::RolloutTick { elapsed, block, stopped_nodes: stopped.len() };
        let to_active = node.snapshot.load().version_active(&record.model, &record.to);
        let mut record = record.clone();
        // The rollout must not advance before the engines of this stage have loaded the version.
        record.paused |= node.has_pending_loads(&record, &stored.state);
        let outcome = holder.step_rollout(&record, to_active, &tick, stored).await;
        match outcome {
            Ok(rollout_stage::RolloutDecision::Hold) => {}
            Ok(decision) => {
                let (label, event) = match decision {
                    rollout_stage::RolloutDecision::RollBack(_) => {
                        ("roll_back", LogEvent::RolloutRolledBack)
                    }
                    _ => ("advance", LogEvent::RolloutAdvanced),
                };
                let decision = format!("{decision:?}");
                let rollout = record.name.to_string();
                node.emit(event, slog::o!("rollout" => rollout, "decision" => decision));
                metrics::counter!("yuccareel_rollout_decisions_total", "decision" => label)
                    .increment(1);
            }
            Err(
                rollout_holder::HolderError::RoleLost | rollout_holder::HolderError::Conflict(_),
            ) => drop(self.stored.remove(&record.name)),
            Err(_) => {}
        }
    }
}
