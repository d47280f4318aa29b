//! Limits of replicas whose entry is missing from the list.
//!
//! The list may lose and regain an entry while the replica states its limit all the time, so the
//! limit is kept by process beyond the entry.

use std::collections::HashMap;

use super::replica_entry::ReplicaEntry;
use super::replica_limit::ReplicaLimit;
use super::replica_row::ReplicaRow;
use crate::ids;

/// Replicas that are remembered, more than any fleet loses at once.
const MAX_REPLICAS: usize = 16_384;

#[derive(Debug)]
struct KeptLimit {
    started_unix_ms: Option<u64>,
    limit: Box<ReplicaLimit>,
}

/// Limits by replica.
#[derive(Debug, Default)]
pub(super) struct KeptLimits {
    limits: HashMap<ids::ReplicaName, KeptLimit>,
}

impl KeptLimits {
    /// Keeps the limit of a replica whose entry went, if it states one.
    pub(super) fn keep(&mut self, row: ReplicaRow) {
        if let Some(limit) = row.limit {
            self.insert(&row.entry, limit);
        }
    }

    /// Keeps the limit of a process without an entry.
    pub(super) fn insert(&mut self, entry: &ReplicaEntry, limit: Box<ReplicaLimit>) {
        if self.limits.len() >= MAX_REPLICAS {
            let forgotten = self.limits.keys().next().cloned();
            forgotten.and_then(|name| self.limits.remove(&name));
        }
        let started_unix_ms = entry.started_unix_ms;
        self.limits.insert(entry.name.clone(), KeptLimit { started_unix_ms, limit });
    }

    /// Removes and returns the limit of a process; forgets that of an earlier one.
    pub(super) fn take(&mut self, entry: &ReplicaEntry) -> Option<Box<ReplicaLimit>> {
        let kept = self.limits.remove(&entry.name)?;
        (kept.started_unix_ms == entry.started_unix_ms).then_some(kept.limit)
    }

    /// Names and limits of all replicas.
    pub(super) fn iter_mut(
        &mut self,
    ) -> impl Iterator<Item = (&ids::ReplicaName, &mut ReplicaLimit)> {
        self.limits.iter_mut().map(|(name, kept)| (name, &mut *kept.limit))
    }
}
