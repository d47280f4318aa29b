//! Record of a prompt part under which replicas crashed, as the instances share it in the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids;

/// Crashes under a part from which prompts with it are refused.
const MIN_CRASHES: usize = 3;
/// The same for a part that had sound answers shortly before. Replicas may begin to crash under a
/// part when they change, but a part in wide use is more often next to another request's crash.
const MIN_CRASHES_AFTER_SOUND: usize = 5;
/// Latest crashes that a record lists. Requests that were sent before a quarantine still crash
/// replicas after its start, and the record has to account for these crashes too.
const MAX_CRASHES: usize = 32;
/// Time from the start of a quarantine to the first trial, and from there to the second.
const INITIAL_TRIAL_INTERVAL: Duration = Duration::from_secs(30);
/// Factor by which each failed trial lengthens the time to the next one.
const TRIAL_INTERVAL_FACTOR: u32 = 3;
/// Longest time between two trials; also the longest lease of the store.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(600);

/// Process of a replica that crashed. A restarted replica may keep its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashedProcess {
    pub replica: ids::ReplicaName,
    pub started_unix_ms: Option<u64>,
}

/// Crashes under one prompt part since its last sound answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    pub crashes: Vec<CrashedProcess>,
    /// Whether an instance knew sound answers from before the crashes.
    #[serde(default)]
    pub was_sound: bool,
    /// Trials that were admitted since the start of the quarantine.
    #[serde(default)]
    pub trials: u32,
}

impl SuspectRecord {
    /// Whether prompts with the part are to be refused, by this record alone.
    pub fn is_quarantined(&self) -> bool {
        self.crashes.len() >= self.min_crashes()
    }

    /// Crashes from which prompts with the part are refused.
    pub fn min_crashes(&self) -> usize {
        if self.was_sound { MIN_CRASHES_AFTER_SOUND } else { MIN_CRASHES }
    }

    /// Adds a crash unless it is listed; returns whether the record changed.
    pub fn add_crash(&mut self, process: &CrashedProcess) -> bool {
        if self.crashes.contains(process) {
            return false;
        }
        self.crashes.push(process.clone());
        self.limit_crashes();
        true
    }

    /// Removes the oldest crashes if there are too many.
    pub fn limit_crashes(&mut self) {
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
    }

    /// Number of crashes that another record lists too.
    pub fn shared_crashes(&self, other: &Self) -> usize {
        self.crashes.iter().filter(|process| other.crashes.contains(process)).count()
    }

    /// Time from the last trial, or from the start of the quarantine, to the next one.
    pub fn trial_interval(&self) -> Duration {
        let factor = TRIAL_INTERVAL_FACTOR.saturating_pow(self.trials.saturating_sub(1));
        INITIAL_TRIAL_INTERVAL.saturating_mul(factor).min(MAX_TRIAL_INTERVAL)
    }
}
