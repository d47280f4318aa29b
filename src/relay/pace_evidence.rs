//! Slow answers of both versions of a rollout under like conditions.
//!
//! A replica with a queue is slow whatever its version, and crashes leave a queue at the replicas
//! that remain. So answers of replicas that were known to have a queue, or were cold, are left out.
//! Answers of the old version count only if its replica was known to have none, and only from the
//! first call on the new version on, as earlier ones may have had other conditions.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::replica_choice::ReplicaChoice;
use super::rollout_plan::VersionDoubt;
use super::version_comparison::{self, AnswerCount};

/// Age up to which a load report shows that a replica has no queue.
const MAX_LOAD_AGE: Duration = Duration::from_millis(250);

/// Load of a replica when an attempt is sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaLoad {
    /// It has reported lately that no request waits.
    Idle,
    /// It has not reported lately, as when it gets few calls.
    Unknown,
    /// Requests wait, or it is cold.
    Busy,
}

impl ReplicaLoad {
    pub fn of_choice(choice: &ReplicaChoice) -> Self {
        if choice.is_cold || choice.waiting_requests > 0 {
            Self::Busy
        } else if choice.load_age.is_some_and(|age| age <= MAX_LOAD_AGE) {
            Self::Idle
        } else {
            Self::Unknown
        }
    }
}

/// Compared answers of both versions since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceEvidence {
    /// Of the old version.
    pub from: AnswerCount,
    /// Of the new version.
    pub to: AnswerCount,
    /// Time of the first call on the new version.
    #[serde(skip)]
    compared_since: Option<Instant>,
}

impl PaceEvidence {
    /// Records an attempt that is sent now. Returns whether its answer is to be compared.
    pub fn record_sent(&mut self, is_target: bool, load: ReplicaLoad, now: Instant) -> bool {
        if is_target {
            self.compared_since.get_or_insert(now);
            return load != ReplicaLoad::Busy;
        }
        self.compared_since.is_some() && load == ReplicaLoad::Idle
    }

    /// Counts `answers` answers, of which `slow` are slow.
    pub fn record(&mut self, is_target: bool, answers: u64, slow: u64) {
        let count = if is_target { &mut self.to } else { &mut self.from };
        count.bad += slow;
        count.total += answers;
    }

    /// Adds the increase of the counts of an instance since its last report.
    pub fn add_increase(&mut self, new: &Self, counted: &Self) {
        for (count, new, counted) in
            [(&mut self.from, new.from, counted.from), (&mut self.to, new.to, counted.to)]
        {
            count.bad += new.bad.saturating_sub(counted.bad);
            count.total += new.total.saturating_sub(counted.total);
        }
    }

    /// Doubt about the pace of the new version.
    pub fn doubt(&self) -> VersionDoubt {
        version_comparison::pace_doubt(self.from, self.to)
    }

    /// Whether the new version is clearly slower.
    pub fn is_target_worse(&self) -> bool {
        version_comparison::is_slower(self.from, self.to)
    }
}
