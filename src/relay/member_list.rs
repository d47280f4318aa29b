//! Instances of the fleet, as their entries in the store tell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom as _;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::expiring_table::ExpiringTable;
use crate::ids;

/// Time after a return of the store for which members that lapsed are kept. Members that live
/// have registered again by then.
const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

/// Entry of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Address for calls.
    pub calls: SocketAddr,
    /// Address for peers that cannot reach the store.
    pub tunnel: SocketAddr,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Region.
    pub region: Arc<str>,
}

#[derive(Debug)]
struct MemberRow {
    entry: MemberEntry,
    lease: ids::LeaseId,
}

/// Instances that live.
#[derive(Debug)]
pub struct MemberList {
    rows: ExpiringTable<MemberRow>,
}

impl Default for MemberList {
    fn default() -> Self {
        Self { rows: ExpiringTable::new(LAPSE_GRACE) }
    }
}

impl MemberList {
    /// Notes that the store answers again after an outage.
    pub fn store_returned(&mut self, now: Instant) {
        self.rows.record_store_return(now);
    }

    /// Adds or replaces a member; returns whether it is new.
    pub fn put(
        &mut self,
        name: ids::InstanceName,
        entry: MemberEntry,
        lease: ids::LeaseId,
    ) -> bool {
        self.rows.insert(name, MemberRow { entry, lease })
    }

    /// Whether the entry of a member stands under a lease.
    pub fn is_current(&self, name: &str, lease: ids::LeaseId) -> bool {
        self.rows.is_current(name) && self.rows.get(name).is_some_and(|row| row.lease == lease)
    }

    /// Removes a member whose entry is gone; returns whether it is gone now.
    pub fn remove(&mut self, name: &str, now: Instant) -> bool {
        self.rows.expire(name, now)
    }

    /// Drops members whose grace has passed; returns their names.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ids::InstanceName> {
        self.rows.remove_expired(now)
    }

    /// Names of all members.
    pub fn names(&self) -> Vec<ids::InstanceName> {
        self.rows.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Members with their entries.
    pub fn iter(&self) -> impl Iterator<Item = (&ids::InstanceName, &MemberEntry)> {
        self.rows.iter().map(|(name, row)| (name, &row.entry))
    }

    /// Addresses to which callers of a region and data centre connect.
    ///
    /// Members of the caller's own data centre come alone where there are at least `least` of
    /// them, which keeps calls off the links between data centres. Of more than `most`, each answer
    /// names others at random.
    pub fn addresses(
        &self,
        region: Option<&str>,
        data_centre: Option<&str>,
        least: usize,
        most: usize,
    ) -> Vec<SocketAddr> {
        let in_centre = |entry: &MemberEntry| Some(&*entry.data_centre) == data_centre;
        let in_region = |entry: &MemberEntry| region.is_none_or(|region| *entry.region == *region);
        let mut found = self.addresses_where(in_centre);
        if found.len() < least.max(1) {
            found = self.addresses_where(in_region);
        }
        if found.is_empty() {
            found = self.addresses_where(|_| true);
        }
        let (named, _) = found.partial_shuffle(&mut rand::rng(), most);
        named.to_vec()
    }

    fn addresses_where(&self, suits: impl Fn(&MemberEntry) -> bool) -> Vec<SocketAddr> {
        let entries = self.rows.values().map(|row| &row.entry);
        entries.filter(|entry| suits(entry)).map(|entry| entry.calls).collect()
    }
}
