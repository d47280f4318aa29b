//! Instances of the fleet, from their entries in the store.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom as _;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::expiring_table::ExpiringTable;
use super::store_era;
use crate::ids;

/// Time after an outage of the store for which members with expired entries are kept. Live members
/// have registered again by then.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_500);

/// Entry of one instance, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Address at which the instance takes calls.
    pub calls: SocketAddr,
    /// Address of the tunnel for peers that cannot reach the store.
    pub tunnel: SocketAddr,
    pub data_centre: Arc<str>,
    /// Empty if the region of the data centre is not configured.
    pub region: Arc<str>,
    /// Address from which others take the store's changes; `None` in entries of older versions.
    #[serde(default)]
    pub feed: Option<SocketAddr>,
    /// Speed of the instance's link in Mbit/s.
    #[serde(default)]
    pub link_mbps: u32,
    /// Whether the instance takes calls. On their first start instances register before that, so
    /// that they find a reader.
    #[serde(default = "always_ready")]
    pub is_ready: bool,
}

/// Instances of older versions register only once they are ready.
fn always_ready() -> bool {
    true
}

#[derive(Debug)]
struct MemberRow {
    entry: MemberEntry,
    lease: ids::LeaseId,
}

/// Instances with a current entry, and those whose entry expired in an outage of the store.
#[derive(Debug)]
pub struct MemberList {
    rows: ExpiringTable<MemberRow>,
}

impl Default for MemberList {
    fn default() -> Self {
        Self { rows: ExpiringTable::new(EXPIRY_GRACE) }
    }
}

impl MemberList {
    /// Records that the store answers again after an outage.
    pub fn record_store_return(&mut self, now: Instant) {
        self.rows.record_store_return(now);
    }

    /// Keeps a member whose entry a restoration of the store has undone until it registers again.
    pub fn suspend(&mut self, name: &str, now: Instant) {
        self.rows.suspend(name, now + store_era::REPLICA_REWRITE_TIME);
    }

    /// Adds or replaces a member; returns whether it is new.
    pub fn apply_entry(
        &mut self,
        name: ids::InstanceName,
        entry: MemberEntry,
        lease: ids::LeaseId,
    ) -> bool {
        self.rows.insert(name, MemberRow { entry, lease })
    }

    /// Whether the member's entry exists in the store under `lease` and states this readiness.
    pub fn is_current(&self, name: &str, lease: ids::LeaseId, is_ready: bool) -> bool {
        let states_both = |row: &MemberRow| row.lease == lease && row.entry.is_ready == is_ready;
        self.rows.is_current(name) && self.rows.get(name).is_some_and(states_both)
    }

    /// Records that the entry of a member is gone from the store. Returns whether the member was
    /// removed; in the grace period after an outage it is kept.
    pub fn expire_entry(&mut self, name: &str, now: Instant) -> bool {
        self.rows.expire(name, now).is_some()
    }

    /// Removes members whose grace period has passed; returns their names.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ids::InstanceName> {
        self.rows.remove_expired(now).into_iter().map(|(name, _)| name).collect()
    }

    pub fn names(&self) -> Vec<ids::InstanceName> {
        self.rows.iter().map(|(name, _)| name.clone()).collect()
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether a member has this address.
    pub fn has_address(&self, address: IpAddr) -> bool {
        self.rows.values().any(|row| row.entry.calls.ip() == address)
    }

    /// Number of members in a data centre.
    pub fn count_in(&self, data_centre: &str) -> usize {
        self.rows.values().filter(|row| *row.entry.data_centre == *data_centre).count()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&ids::InstanceName, &MemberEntry)> {
        self.rows.iter().map(|(name, row)| (name, &row.entry))
    }

    /// Addresses for a caller in a region and data centre.
    ///
    /// If the caller's data centre has at least `min_local` members, only these are returned, which
    /// keeps calls off the links between data centres. Otherwise all members of the region are, or
    /// all members if the region has none. At most `max_count` are returned, picked at random for
    /// each call.
    pub fn call_addresses(
        &self,
        region: Option<&str>,
        data_centre: Option<&str>,
        min_local: usize,
        max_count: usize,
    ) -> Vec<SocketAddr> {
        let in_centre = |entry: &MemberEntry| Some(&*entry.data_centre) == data_centre;
        let in_region = |entry: &MemberEntry| region.is_none_or(|region| *entry.region == *region);
        let mut found = self.addresses_where(in_centre);
        if found.len() < min_local.max(1) {
            found = self.addresses_where(in_region);
        }
        if found.is_empty() {
            found = self.addresses_where(|_| true);
        }
        let (picked, _) = found.partial_shuffle(&mut rand::rng(), max_count);
        picked.to_vec()
    }

    fn addresses_where(&self, is_match: impl Fn(&MemberEntry) -> bool) -> Vec<SocketAddr> {
        let entries = self.rows.values().map(|row| &row.entry).filter(|entry| entry.is_ready);
        entries.filter(|entry| is_match(entry)).map(|entry| entry.calls).collect()
    }
}
