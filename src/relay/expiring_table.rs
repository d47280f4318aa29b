//! Table of entries of the store that are kept for a while after they lapsed in an outage.
//!
//! Entries lapse while the store is away, whether their owners live or not. Owners that live write
//! them again soon after its return.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

#[derive(Clone, Debug)]
struct ExpiringRow<V> {
    value: V,
    expires_at: Option<Instant>,
}

/// Values by the name of their entry.
///
/// The order of the values differs between processes, so that instances which know the same do
/// not all take the first one.
#[derive(Debug)]
pub struct ExpiringTable<V> {
    rows: HashMap<Arc<str>, ExpiringRow<V>>,
    grace: Duration,
    store_returned_at: Option<Instant>,
}

impl<V> ExpiringTable<V> {
    /// Empty table; `grace` is the time after a return of the store for which entries that lapse
    /// are kept.
    pub fn new(grace: Duration) -> Self {
        Self { rows: HashMap::new(), grace, store_returned_at: None }
    }

    /// Notes that the store answers again after an outage.
    pub fn record_store_return(&mut self, now: Instant) {
        self.store_returned_at = Some(now);
    }

    /// Sets the value of an entry that stands; returns whether the name is new.
    pub fn insert(&mut self, name: Arc<str>, value: V) -> bool {
        self.rows.insert(name, ExpiringRow { value, expires_at: None }).is_none()
    }

    /// Value of an entry that was written again and stands.
    pub fn renew(&mut self, name: &str) -> Option<&mut V> {
        let row = self.rows.get_mut(name)?;
        row.expires_at = None;
        Some(&mut row.value)
    }

    /// Notes that an entry is gone; returns whether its value is gone now.
    pub fn expire(&mut self, name: &str, now: Instant) -> bool {
        let grace = self.store_returned_at.map(|at| at + self.grace).filter(|until| now < *until);
        match (grace, self.rows.get_mut(name)) {
            (Some(until), Some(row)) => {
                row.expires_at = Some(until);
                false
            }
            _ => self.remove(name),
        }
    }

    /// Removes a value whatever its entry; returns whether there was one.
    pub fn remove(&mut self, name: &str) -> bool {
        self.rows.remove(name).is_some()
    }

    /// Removes the values whose grace has passed; returns their names.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Arc<str>> {
        let is_expired =
            |_: &_, row: &mut ExpiringRow<V>| row.expires_at.is_some_and(|at| now >= at);
        self.rows.extract_if(is_expired).map(|(name, _)| name).collect()
    }

    /// Value of a name.
    pub fn get(&self, name: &str) -> Option<&V> {
        self.rows.get(name).map(|row| &row.value)
    }

    /// Value of a name.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut V> {
        self.rows.get_mut(name).map(|row| &mut row.value)
    }

    /// Whether the entry of a name stands.
    pub fn is_current(&self, name: &str) -> bool {
        self.rows.get(name).is_some_and(|row| row.expires_at.is_none())
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no value.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Names with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &V)> {
        self.rows.iter().map(|(name, row)| (name, &row.value))
    }

    /// Values.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.rows.values().map(|row| &row.value)
    }

    /// Values whose entries stand.
    pub fn current(&self) -> impl Iterator<Item = &V> {
        self.rows.values().filter(|row| row.expires_at.is_none()).map(|row| &row.value)
    }

    /// Values, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.rows.values_mut().map(|row| &mut row.value)
    }
}
