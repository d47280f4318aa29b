//! Keys, revisions and leases of the key-value stand-in.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::{ids, kv_client, kv_store};

/// Keys, revisions and leases.
#[derive(Clone, Debug, Default)]
pub struct KvTable {
    revision: ids::KvRevision,
    entries: BTreeMap<String, kv_store::KvEntry>,
    history: Vec<(ids::KvRevision, kv_store::KvEvent)>,
    leases: BTreeMap<ids::LeaseId, LeaseRow>,
    last_lease: ids::LeaseId,
}

#[derive(Clone, Debug)]
struct LeaseRow {
    ttl: Duration,
    expires_at: Instant,
}

impl KvTable {
    /// Revision of the last change.
    pub fn revision(&self) -> ids::KvRevision {
        self.revision
    }

    /// Entries with a key in `[key, end)`, or with exactly the key.
    pub fn range(&mut self, key: &str, end: Option<&str>) -> kv_store::KvRange {
        self.expire_leases();
        let entries = match end {
            Some(end) => self
                .entries
                .range(key.to_owned()..end.to_owned())
                .map(|(_, entry)| entry.clone())
                .collect(),
            None => self.entries.get(key).cloned().into_iter().collect(),
        };
        kv_store::KvRange { revision: self.revision, entries }
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// When a written key names a lease that has lapsed; nothing is written then.
    pub fn commit(
        &mut self,
        transaction: &kv_store::KvTransaction,
    ) -> Result<kv_store::KvOutcome, kv_store::KvError> {
        self.expire_leases();
        if !transaction.compares.iter().all(|compare| self.holds(compare)) {
            let keys = transaction.compares.iter().map(kv_store::KvCompare::key);
            let current = keys.filter_map(|key| self.entries.get(key).cloned()).collect();
            return Ok(kv_store::KvOutcome { committed: false, revision: self.revision, current });
        }
        let lapsed = |operation: &kv_store::KvOperation| match operation {
            kv_store::KvOperation::Put(_, _, lease) => {
                *lease != 0 && !self.leases.contains_key(lease)
            }
            kv_store::KvOperation::Delete(_) => false,
        };
        if transaction.operations.iter().any(lapsed) {
            return Err(kv_store::KvError::Refused("requested lease not found".to_owned()));
        }
        if !transaction.operations.is_empty() {
            self.revision += 1;
        }
        for operation in &transaction.operations {
            match operation {
                kv_store::KvOperation::Put(key, value, lease) => {
                    self.put(key, value.clone(), *lease)
                }
                kv_store::KvOperation::Delete(key) => self.delete(key),
            }
        }
        Ok(kv_store::KvOutcome { committed: true, revision: self.revision, current: Vec::new() })
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, ttl: Duration) -> ids::LeaseId {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, LeaseRow { ttl, expires_at: Instant::now() + ttl });
        self.last_lease
    }

    /// Renews a lease; false when it has lapsed.
    pub fn renew_lease(&mut self, lease: ids::LeaseId) -> bool {
        self.expire_leases();
        match self.leases.get_mut(&lease) {
            Some(row) => {
                row.expires_at = Instant::now() + row.ttl;
                true
            }
            None => false,
        }
    }

    /// Ends a lease and deletes its keys.
    pub fn revoke_lease(&mut self, lease: ids::LeaseId) {
        self.leases.remove(&lease);
        self.delete_leased(&[lease]);
    }

    /// Ends every lease, as if all holders had been paused past their time to live.
    pub fn expire_all_leases(&mut self) {
        let all: Vec<_> = std::mem::take(&mut self.leases).into_keys().collect();
        self.delete_leased(&all);
    }

    /// Events below a prefix after a revision.
    pub fn events_after(
        &mut self,
        key: &str,
        end: &str,
        after: ids::KvRevision,
    ) -> Vec<(ids::KvRevision, kv_store::KvEvent)> {
        self.expire_leases();
        let first = self.history.partition_point(|(revision, _)| *revision <= after);
        let inside = |event: &kv_store::KvEvent| {
            let found = match event {
                kv_store::KvEvent::Put(entry) => entry.key.as_str(),
                kv_store::KvEvent::Delete(key, _) => key.as_str(),
            };
            found >= key && found < end
        };
        self.history[first..].iter().filter(|(_, event)| inside(event)).cloned().collect()
    }

    fn holds(&self, compare: &kv_store::KvCompare) -> bool {
        let entry = self.entries.get(compare.key());
        match compare {
            kv_store::KvCompare::ModRevision(_, revision) => {
                entry.map_or(0, |entry| entry.mod_revision) == *revision
            }
            kv_store::KvCompare::CreateRevision(_, revision) => {
                entry.map_or(0, |entry| entry.create_revision) == *revision
            }
        }
    }

    fn put(&mut self, key: &str, value: bytes::Bytes, lease: ids::LeaseId) {
        let created = self.entries.get(key).map(|entry| entry.create_revision);
        let entry = kv_store::KvEntry {
            key: key.to_owned(),
            value,
            create_revision: created.unwrap_or(self.revision),
            mod_revision: self.revision,
            lease,
        };
        self.history.push((self.revision, kv_store::KvEvent::Put(entry.clone())));
        self.entries.insert(key.to_owned(), entry);
    }

    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            let event = kv_store::KvEvent::Delete(key.to_owned(), self.revision);
            self.history.push((self.revision, event));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let lapsed: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, row)| row.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        self.leases.retain(|_, row| row.expires_at > now);
        self.delete_leased(&lapsed);
    }

    fn delete_leased(&mut self, leases: &[ids::LeaseId]) {
        let leased = |entry: &&kv_store::KvEntry| entry.lease != 0 && leases.contains(&entry.lease);
        let keys: Vec<_> =
            self.entries.values().filter(leased).map(|entry| entry.key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.delete(&key);
        }
    }

    /// Entries with a prefix, for checks in tests.
    pub fn with_prefix(&mut self, prefix: &str) -> Vec<kv_store::KvEntry> {
        self.range(prefix, Some(&kv_client::prefix_end(prefix))).entries
    }
}
