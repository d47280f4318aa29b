//! Stage of a rollout: which sessions enter the new version, and what to do next.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::records::{model, rollout};
use crate::{config_snapshot, ids, rollout_evidence};

/// Consecutive errors after which a node stops a version by itself.
pub const CONSECUTIVE_ERROR_LIMIT: u32 = 5;
/// Nodes that stop a version by themselves before it is rolled back. A single node may have met
/// one broken replica rather than a bad version.
pub const MIN_STOPPED_NODES: usize = 2;
/// Largest time between two ticks that counts as dwell time; a longer gap was an outage.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(10);

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "phase")]
pub enum RolloutPhase {
    /// New sessions enter at the share of the stage.
    Running,
    /// All new sessions enter.
    Completed,
    /// No new session enters.
    RolledBack {
        /// Reason.
        reason: RollbackReason,
    },
}

/// Reason of a roll-back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RollbackReason {
    /// The evidence raised an alarm.
    Evidence(rollout_evidence::EvidenceAlarm),
    /// Several nodes stopped the version.
    LocalStops,
    /// An operator withdrew the version.
    Withdrawn,
}

/// State of a rollout, as kept under `rollout/state/<name>`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// Version that is replaced; a changed record starts a new rollout.
    pub from: ids::VersionName,
    /// Version that replaces it.
    pub to: ids::VersionName,
    /// Progress.
    pub phase: RolloutPhase,
    /// Position in the stages of the record.
    pub stage: usize,
    /// Time spent in the stage under a holder, in milliseconds.
    pub stage_elapsed_ms: u64,
    /// Requests of the new version in the stage.
    pub stage_requests: u64,
    /// Tests over the whole rollout.
    pub tests: rollout_evidence::RolloutTests,
    /// Identifier of the decision that wrote this state, by which its writer knows it again.
    pub decision_id: String,
}

/// Next step of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutDecision {
    /// Stay in the stage.
    Hold,
    /// Enter the next stage, or complete after the last.
    Advance,
    /// Take the new version back.
    RollBack(RollbackReason),
}

/// Evidence and clock of one tick of the holder.
#[derive(Clone, Debug, Default)]
pub struct RolloutTick {
    /// Time since the former tick of this holder.
    pub elapsed: Duration,
    /// Evidence since then.
    pub block: rollout_evidence::EvidenceBlock,
    /// Nodes that have stopped the new version.
    pub stopped_nodes: usize,
}

impl RolloutState {
    /// State of a rollout that starts.
    pub fn new(record: &rollout::RolloutRecord) -> Self {
        Self {
            from: record.from.clone(),
            to: record.to.clone(),
            phase: RolloutPhase::Running,
            stage: 0,
            stage_elapsed_ms: 0,
            stage_requests: 0,
            tests: rollout_evidence::RolloutTests::new(
                record.max_error_rise,
                record.max_quality_fall,
            ),
            decision_id: String::new(),
        }
    }

    /// Whether the state belongs to the record's versions.
    pub fn belongs_to(&self, record: &rollout::RolloutRecord) -> bool {
        self.from == record.from && self.to == record.to
    }

    /// Share of new sessions that enter the new version.
    pub fn new_version_fraction(&self, record: &rollout::RolloutRecord) -> f64 {
        match self.phase {
            RolloutPhase::Running => {
                let stage = record.stages.get(self.stage).or(record.stages.last());
                stage.copied().unwrap_or(0.0).clamp(0.0, 1.0)
            }
            RolloutPhase::Completed => 1.0,
            RolloutPhase::RolledBack { .. } => 0.0,
        }
    }

    /// Takes the evidence of a tick and decides, without applying the decision.
    ///
    /// A paused rollout is held at its stage, but evidence and withdrawals still roll it back.
    pub fn decide(
        &mut self,
        record: &rollout::RolloutRecord,
        to_active: bool,
        tick: &RolloutTick,
    ) -> RolloutDecision {
        if self.phase != RolloutPhase::Running {
            return self.decide_after_end(to_active);
        }
        self.tests.record_block(&tick.block);
        self.stage_elapsed_ms += tick.elapsed.min(MAX_TICK_INTERVAL).as_millis() as u64;
        self.stage_requests += tick.block.to.requests;
        if !to_active {
            return RolloutDecision::RollBack(RollbackReason::Withdrawn);
        }
        if let Some(alarm) = self.tests.first_alarm() {
            return RolloutDecision::RollBack(RollbackReason::Evidence(alarm));
        }
        if tick.stopped_nodes >= MIN_STOPPED_NODES {
            return RolloutDecision::RollBack(RollbackReason::LocalStops);
        }
        let dwelt = self.stage_elapsed_ms >= record.stage_dwell_s.saturating_mul(1_000);
        let enough = self.stage_requests >= record.stage_min_requests;
        if record.paused || tick.stopped_nodes > 0 || !dwelt || !enough {
            return RolloutDecision::Hold;
        }
        RolloutDecision::Advance
    }

    /// Applies a decision.
    pub fn apply(&mut self, record: &rollout::RolloutRecord, decision: &RolloutDecision) {
        match decision {
            RolloutDecision::Hold => {}
            RolloutDecision::Advance => {
                self.stage_elapsed_ms = 0;
                self.stage_requests = 0;
                if self.stage + 1 < record.stages.len() {
                    self.stage += 1;
                } else {
                    self.phase = RolloutPhase::Completed;
                }
            }
            RolloutDecision::RollBack(reason) => {
                self.phase = RolloutPhase::RolledBack { reason: *reason };
            }
        }
    }

    fn decide_after_end(&self, to_active: bool) -> RolloutDecision {
        if self.phase == RolloutPhase::Completed && !to_active {
            return RolloutDecision::RollBack(RollbackReason::Withdrawn);
        }
        RolloutDecision::Hold
    }
}

/// Whether a new session enters a version that takes a share of the sessions.
///
/// A session that enters at one share enters at every larger one.
pub fn enters_new_version(rollout: &str, session: &str, share: f64) -> bool {
    let hash = xxh3::xxh3_64_with_seed(session.as_bytes(), xxh3::xxh3_64(rollout.as_bytes()));
    // The top 53 bits fit a float exactly, so that a share of 1 covers every session.
    ((hash >> 11) as f64) < share * (1_u64 << 53) as f64
}

/// Version that a new session of a model prefers.
///
/// Without a known state of the rollout, new sessions stay on the old version.
pub fn preferred_version(
    snapshot: &config_snapshot::ConfigSnapshot,
    states: &BTreeMap<ids::RolloutName, RolloutState>,
    stops: &LocalStops,
    model: &str,
    session: &str,
) -> Option<ids::VersionName> {
    let record = snapshot.models.get(model)?;
    let active = |version: &str| record.version_state(version) == Some(model::VersionState::Active);
    let Some(rollout) = snapshot.rollouts.values().find(|rollout| &*rollout.model == model) else {
        return Some(record.default_version.clone());
    };
    let share = states
        .get(&rollout.name)
        .filter(|state| state.belongs_to(rollout))
        .map_or(0.0, |state| state.new_version_fraction(rollout));
    let usable = active(&rollout.to) && !stops.is_stopped(model, &rollout.to);
    if usable && (enters_new_version(&rollout.name, session, share) || !active(&rollout.from)) {
        return Some(rollout.to.clone());
    }
    Some(rollout.from.clone())
}

/// Versions that this node has stopped because of consecutive errors.
#[derive(Clone, Debug, Default)]
pub struct LocalStops {
    errors: BTreeMap<(ids::ModelName, ids::VersionName), u32>,
}

impl LocalStops {
    /// Records an answer of a version under rollout; returns whether it stops the version now.
    pub fn record_answer(
        &mut self,
        model: &ids::ModelName,
        version: &ids::VersionName,
        error: bool,
    ) -> bool {
        let count = self.errors.entry((model.clone(), version.clone())).or_default();
        if *count >= CONSECUTIVE_ERROR_LIMIT {
            return false;
        }
        *count = if error { *count + 1 } else { 0 };
        *count == CONSECUTIVE_ERROR_LIMIT
    }

    /// Whether the version takes no new sessions on this node.
    pub fn is_stopped(&self, model: &str, version: &str) -> bool {
        self.errors.iter().any(|((known_model, known), count)| {
            **known_model == *model && **known == *version && *count >= CONSECUTIVE_ERROR_LIMIT
        })
    }

    /// Forgets the versions that no rollout is about any more.
    pub fn retain(&mut self, rolled_out: impl Fn(&str, &str) -> bool) {
        self.errors.retain(|(model, version), _| rolled_out(model, version));
    }
}
