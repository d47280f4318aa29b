//! Records of one scope with their latest changes, from which other instances are served.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, SystemTime};

use tokio::time::Instant;

use super::belief_age::BeliefAge;
use super::feed_batch::{BatchContent, FeedBatch};
use crate::ids;
use crate::kv_store::{KvEntry, KvEvent};

/// Changes that are kept. A receiver that lacks older ones gets all entries.
const MAX_CHANGES: usize = 2_048;
/// Bytes of the changes that are kept. A value takes up to a megabyte, and a batch of this size is too
/// large for most links.
const MAX_CHANGE_BYTES: usize = 4 * 1_024 * 1_024;

/// Log of one scope.
#[derive(Debug, Default)]
pub struct FeedLog {
    entries: BTreeMap<String, KvEntry>,
    changes: VecDeque<KvEvent>,
    /// Sum over `changes`.
    change_bytes: usize,
    /// Revision after which `changes` holds all changes.
    changes_start: ids::KvRevision,
    revision: ids::KvRevision,
    confirmed: Option<BeliefAge>,
    store_returned_at: Option<Instant>,
}

impl FeedLog {
    /// Replaces all entries by those of a complete read. Returns the keys that are gone, or `None`
    /// if the read is older than the log, which is then unchanged.
    pub fn apply_all(
        &mut self,
        entries: impl IntoIterator<Item = KvEntry>,
        revision: ids::KvRevision,
    ) -> Option<Vec<String>> {
        if revision < self.revision {
            return None;
        }
        let entries = entries.into_iter().map(|entry| (entry.key.clone(), entry)).collect();
        let former = std::mem::replace(&mut self.entries, entries);
        self.changes.clear();
        self.change_bytes = 0;
        (self.changes_start, self.revision) = (revision, revision);
        Some(former.into_keys().filter(|key| !self.entries.contains_key(key)).collect())
    }

    /// Applies all changes from after the revision `after` up to `revision`; returns those that are
    /// newer than the log, or `None` if the log lacks earlier ones and is unchanged.
    pub fn apply_changes(
        &mut self,
        after: ids::KvRevision,
        events: Vec<KvEvent>,
        revision: ids::KvRevision,
    ) -> Option<Vec<KvEvent>> {
        if after > self.revision {
            return None;
        }
        let newer: Vec<_> =
            events.into_iter().filter(|event| event_revision(event) > self.revision).collect();
        for event in &newer {
            match event {
                KvEvent::Put(entry) => {
                    self.entries.insert(entry.key.clone(), entry.clone());
                }
                KvEvent::Delete(key, _) => {
                    self.entries.remove(key);
                }
            }
            self.changes.push_back(event.clone());
            self.change_bytes += event_bytes(event);
            self.revision = self.revision.max(event_revision(event));
        }
        self.revision = self.revision.max(revision);
        while self.changes.len() > MAX_CHANGES || self.change_bytes > MAX_CHANGE_BYTES {
            let Some(dropped) = self.changes.pop_front() else { break };
            self.change_bytes -= event_bytes(&dropped);
            self.changes_start = event_revision(&dropped);
        }
        Some(newer)
    }

    /// Records that the entries were current in the store `age` ago. An older confirmation than the
    /// present one changes nothing.
    pub fn confirm(&mut self, age: Duration, now: Instant, wall_now: SystemTime) {
        if self.age(now, wall_now).is_none_or(|present| age < present) {
            self.confirmed = Some(BeliefAge::aged(age, now, wall_now));
        }
    }

    /// Records that the store answers again after an outage.
    pub fn record_store_return(&mut self, at: Instant) {
        self.store_returned_at = self.store_returned_at.max(Some(at));
    }

    /// Time at which the store last answered again after an outage.
    pub fn store_returned_at(&self) -> Option<Instant> {
        self.store_returned_at
    }

    /// Revision of the entries; 0 before the first read.
    pub fn revision(&self) -> ids::KvRevision {
        self.revision
    }

    /// Whether the store has an entry.
    pub fn has_entry(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Age of the entries; `None` before the first read.
    pub fn age(&self, now: Instant, wall_now: SystemTime) -> Option<Duration> {
        self.confirmed.map(|confirmed| confirmed.age(now, wall_now))
    }

    /// Whether there is anything for a receiver that has the changes up to `after`.
    pub fn has_news(&self, after: ids::KvRevision) -> bool {
        after < self.changes_start
            || self.changes.back().is_some_and(|event| event_revision(event) > after)
    }

    /// Batch for a receiver that has the changes up to `after`; `None` before the first read.
    pub fn batch(
        &self,
        after: ids::KvRevision,
        held: Duration,
        now: Instant,
        wall_now: SystemTime,
    ) -> Option<FeedBatch> {
        let age = self.age(now, wall_now)?;
        let needs_all = after < self.changes_start;
        let content = if needs_all {
            BatchContent::Snapshot(self.entries.values().cloned().map(KvEvent::Put).collect())
        } else {
            let first = self.changes.partition_point(|event| event_revision(event) <= after);
            BatchContent::Changes(self.changes.range(first..).cloned().collect())
        };
        let since_store_return = self.store_returned_at.map(|at| now.saturating_duration_since(at));
        let after = if needs_all { 0 } else { after };
        let revision = self.revision;
        Some(FeedBatch { content, after, revision, age, held, since_store_return })
    }
}

/// Bytes of the key and the value of a change.
fn event_bytes(event: &KvEvent) -> usize {
    match event {
        KvEvent::Put(entry) => entry.key.len() + entry.value.len(),
        KvEvent::Delete(key, _) => key.len(),
    }
}

/// Revision at which a change was made.
pub fn event_revision(event: &KvEvent) -> ids::KvRevision {
    match event {
        KvEvent::Put(entry) => entry.mod_revision,
        KvEvent::Delete(_, revision) => *revision,
    }
}
