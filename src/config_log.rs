//! Configuration in effect and the changes that led to it.
//!
//! Only the change with the next number or a newer snapshot is applied, so the
//! sequence number never decreases, whatever arrives late, twice or out of order.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::{config_change, config_snapshot, ids, peer_message};

/// Changes kept to answer peers that are behind; the key-value service keeps as many.
pub const KEPT_CHANGES: usize = 1_000;

/// Result of an attempt to apply a change or a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in effect.
    Applied,
    /// Its sequence number was already in effect; nothing changed.
    Known,
    /// Changes before it are missing; nothing changed.
    Gap,
}

/// Configuration in effect with its recent changes.
#[derive(Clone, Debug, Default)]
pub struct ConfigLog {
    snapshot: Arc<config_snapshot::ConfigSnapshot>,
    /// Changes with dense numbers that end at the snapshot's.
    changes: VecDeque<Arc<config_change::ConfigChange>>,
}

impl ConfigLog {
    /// Configuration in effect.
    pub fn snapshot(&self) -> &Arc<config_snapshot::ConfigSnapshot> {
        &self.snapshot
    }

    /// Sequence number in effect.
    pub fn sequence(&self) -> ids::ConfigSequence {
        self.snapshot.sequence
    }

    /// Applies a change if it is the next one.
    pub fn apply(&mut self, change: Arc<config_change::ConfigChange>) -> ApplyOutcome {
        if change.sequence <= self.sequence() {
            return ApplyOutcome::Known;
        }
        if change.sequence != self.sequence() + 1 {
            return ApplyOutcome::Gap;
        }
        // Decisions may hold the former snapshot, so it is copied, not changed.
        let mut snapshot = (*self.snapshot).clone();
        for (kind, name) in &change.removals {
            snapshot.remove(kind, name);
        }
        for record in &change.puts {
            snapshot.put(record.clone());
        }
        snapshot.sequence = change.sequence;
        self.snapshot = Arc::new(snapshot);
        if self.changes.len() == KEPT_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        ApplyOutcome::Applied
    }

    /// Replaces the configuration by a newer one.
    pub fn apply_snapshot(&mut self, snapshot: config_snapshot::ConfigSnapshot) -> ApplyOutcome {
        if snapshot.sequence <= self.sequence() {
            return ApplyOutcome::Known;
        }
        self.snapshot = Arc::new(snapshot);
        self.changes.clear();
        ApplyOutcome::Applied
    }

    /// Applies what a peer returned; the outcome is that of the last part.
    pub fn apply_fetched(&mut self, fetched: peer_message::FetchedConfig) -> ApplyOutcome {
        match fetched {
            peer_message::FetchedConfig::Nothing => ApplyOutcome::Known,
            peer_message::FetchedConfig::Changes(changes) => {
                changes.into_iter().fold(ApplyOutcome::Known, |_, change| self.apply(change))
            }
            peer_message::FetchedConfig::Snapshot { sequence, records } => self
                .apply_snapshot(config_snapshot::ConfigSnapshot::from_records(sequence, records)),
        }
    }

    /// What a peer misses whose configuration has the sequence number `after`.
    pub fn changes_after(&self, after: ids::ConfigSequence) -> peer_message::FetchedConfig {
        let Some(missing) = self.sequence().checked_sub(after).filter(|&missing| missing > 0)
        else {
            return peer_message::FetchedConfig::Nothing;
        };
        match usize::try_from(missing).ok().and_then(|count| self.changes.len().checked_sub(count))
        {
            Some(start) => {
                let changes = self.changes.range(start..).cloned().collect();
                peer_message::FetchedConfig::Changes(changes)
            }
            None => peer_message::FetchedConfig::from_snapshot(&self.snapshot),
        }
    }
}
