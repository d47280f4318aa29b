//! Table of store entries that keeps expired entries for a grace period after a store outage.
//!
//! Leases expire while the store is unavailable, also those of live owners. Live owners write
//! their entries again soon after the store returns, so an entry that is deleted within the grace
//! period keeps its value until the end of that period.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

#[derive(Clone, Debug)]
struct ExpiringRow<V> {
    value: V,
    /// End of the grace period; `None` while the store has the entry.
    expires_at: Option<Instant>,
}

/// Values by the name of their entry.
///
/// The order of iteration differs between processes, so that instances with the same entries do
/// not all pick the first one.
#[derive(Debug)]
pub struct ExpiringTable<V> {
    rows: HashMap<Arc<str>, ExpiringRow<V>>,
    grace: Duration,
    store_returned_at: Option<Instant>,
}

impl<V> ExpiringTable<V> {
    /// Creates an empty table; `grace` is the time after the return of the store for which expired
    /// entries are kept.
    pub fn new(grace: Duration) -> Self {
        Self { rows: HashMap::new(), grace, store_returned_at: None }
    }

    /// Records that the store answers again after an outage, which starts the grace period.
    pub fn record_store_return(&mut self, now: Instant) {
        self.store_returned_at = self.store_returned_at.max(Some(now));
    }

    /// Sets the value of an entry and marks it as current; returns whether the name is new.
    pub fn insert(&mut self, name: Arc<str>, value: V) -> bool {
        self.rows.insert(name, ExpiringRow { value, expires_at: None }).is_none()
    }

    /// Marks an entry as current and returns its value, or `None` if the name is unknown.
    pub fn renew(&mut self, name: &str) -> Option<&mut V> {
        let row = self.rows.get_mut(name)?;
        row.expires_at = None;
        Some(&mut row.value)
    }

    /// Handles the deletion of an entry in the store: within the grace period its value stays until
    /// the end of the period. Returns the value if it was removed now.
    pub fn expire(&mut self, name: &str, now: Instant) -> Option<V> {
        let grace_end =
            self.store_returned_at.map(|at| at + self.grace).filter(|until| now < *until);
        match (grace_end, self.rows.get_mut(name)) {
            (Some(until), Some(row)) => {
                row.expires_at = Some(until);
                None
            }
            _ => self.remove(name),
        }
    }

    /// Keeps the value of an entry that a restoration of the store may have undone until `until`.
    pub fn suspend(&mut self, name: &str, until: Instant) {
        if let Some(row) = self.rows.get_mut(name) {
            row.expires_at = Some(until);
        }
    }

    /// Removes a value at once, without a grace period.
    pub fn remove(&mut self, name: &str) -> Option<V> {
        self.rows.remove(name).map(|row| row.value)
    }

    /// Removes the entries whose grace period has ended; returns their names and values.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<(Arc<str>, V)> {
        let is_expired =
            |_: &_, row: &mut ExpiringRow<V>| row.expires_at.is_some_and(|at| now >= at);
        self.rows.extract_if(is_expired).map(|(name, row)| (name, row.value)).collect()
    }

    /// Returns the value of a name, also of an expired entry in its grace period.
    pub fn get(&self, name: &str) -> Option<&V> {
        self.rows.get(name).map(|row| &row.value)
    }

    /// Mutable variant of [`Self::get`].
    pub fn get_mut(&mut self, name: &str) -> Option<&mut V> {
        self.rows.get_mut(name).map(|row| &mut row.value)
    }

    /// Whether the store has the entry: it exists and is not in its grace period.
    pub fn is_current(&self, name: &str) -> bool {
        self.rows.get(name).is_some_and(|row| row.expires_at.is_none())
    }

    /// Number of values, including those of expired entries.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Names and values, including those of expired entries.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &V)> {
        self.rows.iter().map(|(name, row)| (name, &row.value))
    }

    /// Values, including those of expired entries.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.rows.values().map(|row| &row.value)
    }

    /// Values of current entries only.
    pub fn current(&self) -> impl Iterator<Item = &V> {
        self.rows.values().filter(|row| row.expires_at.is_none()).map(|row| &row.value)
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.rows.values_mut().map(|row| &mut row.value)
    }
}
