//! Rollouts that a node decides on while it holds the role.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::event_catalogue::LogEvent;
use crate::{
    config_snapshot, ids, node, peer_message, quality_table, records, rollout_holder, rollout_stage,
};

/// Rollouts that this node decides on while it holds the role.
#[derive(Default)]
pub struct HeldRollouts {
    token: ids::FencingToken,
    stored: BTreeMap<ids::RolloutName, rollout_holder::StoredState>,
    /// Rollouts at the last deletion of the states of all others.
    cleaned: Option<BTreeSet<ids::RolloutName>>,
    last_tick: Option<Instant>,
    /// Parts of the quality summary that were read since the role was taken.
    parts_read: u64,
}

impl HeldRollouts {
    /// Forgets everything, because the role is lost.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Reads the quality summary once; true when the whole of it was read.
    ///
    /// A part is written only after it was read, so that a new holder does not erase it.
    pub async fn load_summary(&mut self, node: &node::Node) -> bool {
        while self.parts_read < quality_table::SUMMARY_PARTS {
            let store = node.options.store.as_ref();
            match rollout_holder::read_summary(store, self.parts_read).await {
                Ok(rows) => node.quality.lock().import_rows(rows),
                // An unreadable part is written anew.
                Err(rollout_holder::HolderError::Unreadable { .. }) => {}
                Err(_) => return false,
            }
            self.parts_read += 1;
        }
        true
    }

    /// States as stored.
    pub fn states(&self) -> peer_message::RolloutStates {
        self.stored.iter().map(|(name, stored)| (name.clone(), stored.state.clone())).collect()
    }

    /// Decides on all rollouts and deletes the states of removed ones.
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
        if self.cleaned.as_ref() != Some(&names)
            && holder.delete_removed(&snapshot.rollouts).await.is_ok()
        {
            self.cleaned = Some(names);
        }
        for record in snapshot.rollouts.values() {
            self.step(node, holder, record, elapsed).await;
        }
    }

    async fn step(
        &mut self,
        node: &node::Node,
        holder: &mut rollout_holder::RolloutHolder,
        record: &records::rollout::RolloutRecord,
        elapsed: Duration,
    ) {
        let fresh =
            self.stored.get(&record.name).is_none_or(|stored| !stored.state.belongs_to(record));
        if fresh {
            let Ok(stored) = holder.read(record).await else { return };
            self.stored.insert(record.name.clone(), stored);
        }
        let Some(stored) = self.stored.get_mut(&record.name) else { return };
        let (block, stopped) = node.take_evidence(record);
        let tick = rollout_stage::RolloutTick { elapsed, block, stopped_nodes: stopped.len() };
        let to_active = node.snapshot.load().version_active(&record.model, &record.to);
        let mut record = record.clone();
        // Sessions of the next stage need the engines of this one.
        record.paused |= node.loads_missing(&record, &stored.state);
        let decided = holder.step(&record, to_active, &tick, stored).await;
        match decided {
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
