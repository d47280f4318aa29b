//! Replicas that stated in an answer that they leave.
//!
//! The list of replicas may lag behind or lose and regain an entry, so the statement is kept by
//! process beyond the entry.

use std::collections::VecDeque;

use super::replica_entry::ReplicaEntry;
use crate::ids;

/// Processes that are remembered; the oldest are forgotten first. Replicas leave within seconds.
const MAX_PROCESSES: usize = 256;

/// Processes by name and start, oldest first.
#[derive(Debug, Default)]
pub(super) struct LeavingReplicas {
    processes: VecDeque<(ids::ReplicaName, Option<u64>)>,
}

impl LeavingReplicas {
    pub(super) fn insert(&mut self, entry: &ReplicaEntry) {
        if self.contains(entry) {
            return;
        }
        if self.processes.len() >= MAX_PROCESSES {
            self.processes.pop_front();
        }
        self.processes.push_back((entry.name.clone(), entry.started_unix_ms));
    }

    pub(super) fn contains(&self, entry: &ReplicaEntry) -> bool {
        self.processes.iter().any(|(name, started_unix_ms)| {
            *name == entry.name && *started_unix_ms == entry.started_unix_ms
        })
    }
}
