//! Stages of a rollout: which new sessions enter the new version, and whether the rollout advances,
//! holds or rolls back.
//!
//! A hash of the session key decides whether a session enters, so that nodes with the same state of
//! a rollout agree without coordination.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::records::{model, rollout};
use crate::{config_snapshot, ids, rollout_evidence};

/// Consecutive errors after which a node stops sending new sessions to a version on its own.
pub const CONSECUTIVE_ERROR_LIMIT: u32 = 5;
/// Min number of nodes that have stopped a version on their own before it is rolled back. A single
/// node may have met a broken replica rather than a bad version.
pub const MIN_STOPPED_NODES: usize = 2;
/// Max dwell time that one tick adds; a longer gap between two ticks was an outage.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(10);

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "phase")]
pub enum RolloutPhase {
    /// The stage sets the fraction of new sessions that enter the new version.
    Running,
    /// All new sessions enter the new version.
    Completed,
    /// No new session enters the new version.
    RolledBack { reason: RollbackReason },
}

/// Reason for a rollback.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RollbackReason {
    /// A sequential test raised an alarm.
    Evidence(rollout_evidence::EvidenceAlarm),
    /// At least `MIN_STOPPED_NODES` nodes stopped the version on their own.
    LocalStops,
    /// An operator withdrew the version.
    Withdrawn,
}

/// State of a rollout, stored under `rollout/state/<name>`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The old version. A record that names other versions starts a new rollout.
    pub from: ids::VersionName,
    /// The new version.
    pub to: ids::VersionName,
    pub phase: RolloutPhase,
    /// Index of the current stage in the record's stages.
    pub stage: usize,
    /// Dwell time in the current stage, in milliseconds, without the time of outages.
    pub stage_elapsed_ms: u64,
    /// Requests that the new version has finished in the current stage.
    pub stage_requests: u64,
    /// Tests of the evidence of all stages.
    pub tests: rollout_evidence::RolloutTests,
    /// Identifier of the decision that wrote this state. Its writer reads it back to check whether
    /// a write without an answer took effect.
    pub decision_id: String,
}

/// Next step of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutDecision {
    /// Stay in the current stage.
    Hold,
    /// Enter the next stage, or complete the rollout after the last one.
    Advance,
    /// Send new sessions to the old version.
    RollBack(RollbackReason),
}

/// Input of one tick of the lease holder.
#[derive(Clone, Debug, Default)]
pub struct RolloutTick {
    /// Time since the previous tick of this holder.
    pub elapsed: Duration,
    /// Evidence that arrived since the previous tick.
    pub block: rollout_evidence::EvidenceBlock,
    /// Number of nodes that report to have stopped the new version on their own.
    pub stopped_nodes: usize,
}

impl RolloutState {
    /// Initial state of a rollout.
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

    /// Whether the state is that of the versions that the record names.
    pub fn belongs_to(&self, record: &rollout::RolloutRecord) -> bool {
        self.from == record.from && self.to == record.to
    }

    /// Fraction of new sessions that enter the new version.
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

    /// Adds the evidence of a tick and returns the decision without applying it.
    ///
    /// A paused rollout stays in its stage, but evidence, local stops and a withdrawal still roll
    /// it back. `to_active` is whether the model record lists the new version as active.
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
        let has_dwelt = self.stage_elapsed_ms >= record.stage_dwell_s.saturating_mul(1_000);
        let has_enough_requests = self.stage_requests >= record.stage_min_requests;
        if record.paused || tick.stopped_nodes > 0 || !has_dwelt || !has_enough_requests {
            return RolloutDecision::Hold;
        }
        RolloutDecision::Advance
    }

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

/// Whether a new session enters the new version when `fraction` of all new sessions do.
///
/// A session that enters at one fraction also enters at every larger one.
pub fn enters_new_version(rollout: &str, session: &str, fraction: f64) -> bool {
    let hash = xxh3::xxh3_64_with_seed(session.as_bytes(), xxh3::xxh3_64(rollout.as_bytes()));
    // A float holds 53 bits exactly, so that a fraction of 1 covers every session.
    ((hash >> 11) as f64) < fraction * (1_u64 << 53) as f64
}

/// Version that a new session of a model should use; `None` for an unknown model.
///
/// As long as the state of the rollout is not known here, new sessions use the old version.
pub fn preferred_version(
    snapshot: &config_snapshot::ConfigSnapshot,
    states: &BTreeMap<ids::RolloutName, RolloutState>,
    stops: &LocalStops,
    model: &str,
    session: &str,
) -> Option<ids::VersionName> {
    let record = snapshot.models.get(model)?;
    let is_active =
        |version: &str| record.version_state(version) == Some(model::VersionState::Active);
    let Some(rollout) = snapshot.rollouts.values().find(|rollout| &*rollout.model == model) else {
        return Some(record.default_version.clone());
    };
    let fraction = states
        .get(&rollout.name)
        .filter(|state| state.belongs_to(rollout))
        .map_or(0.0, |state| state.new_version_fraction(rollout));
    let is_usable = is_active(&rollout.to) && !stops.is_stopped(model, &rollout.to);
    if is_usable
        && (enters_new_version(&rollout.name, session, fraction) || !is_active(&rollout.from))
    {
        return Some(rollout.to.clone());
    }
    Some(rollout.from.clone())
}

/// Consecutive errors of versions under rollout on this node, and the versions that it has stopped
/// because of them.
#[derive(Clone, Debug, Default)]
pub struct LocalStops {
    errors: BTreeMap<(ids::ModelName, ids::VersionName), u32>,
}

impl LocalStops {
    /// Counts an answer of a version under rollout. Returns `true` if it is the error that stops
    /// the version.
    pub fn record_answer(
        &mut self,
        model: &ids::ModelName,
        version: &ids::VersionName,
        error: bool,
    ) -> bool {
        let error_count = self.errors.entry((model.clone(), version.clone())).or_default();
        if *error_count >= CONSECUTIVE_ERROR_LIMIT {
            return false;
        }
        *error_count = if error { *error_count + 1 } else { 0 };
        *error_count == CONSECUTIVE_ERROR_LIMIT
    }

    /// Whether this node sends no new sessions to the version.
    pub fn is_stopped(&self, model: &str, version: &str) -> bool {
        self.errors.iter().any(|((counted_model, counted_version), error_count)| {
            **counted_model == *model
                && **counted_version == *version
                && *error_count >= CONSECUTIVE_ERROR_LIMIT
        })
    }

    /// Removes the versions that are no longer under rollout.
    pub fn retain(&mut self, is_under_rollout: impl Fn(&str, &str) -> bool) {
        self.errors.retain(|(model, version), _| is_under_rollout(model, version));
    }
}
