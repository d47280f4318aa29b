//! Replicas known to this node, with their load as far as it is known.
//!
//! Rows live in a dense vector; indexes list the rows of one pool, so that a
//! routing decision touches only candidates.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::{ids, instance_list};

/// Position of a row in its table.
pub type ReplicaIndex = usize;

/// Pool of interchangeable replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicaPool {
    /// Engines with one model and version.
    Version(ids::ModelName, ids::VersionName),
    /// Instances of a plain service.
    Service(ids::ServiceName),
}

/// Replica with its load.
#[derive(Clone, Debug)]
pub struct ReplicaRow {
    /// Unique name.
    pub name: ids::ReplicaName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: ids::DataCentreName,
    /// Pool that it belongs to.
    pub pool: ReplicaPool,
    /// Whether it takes new work.
    pub is_leaving: bool,
    /// Clock in milliseconds at which another server was found at the address; 0 while none was.
    /// The replica takes no work until the instance list is read again.
    pub reassigned_at_ms: Arc<AtomicU64>,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Last load report.
    pub report: Option<LoadReport>,
    /// Requests of this node in flight; shared with the guards of those requests.
    pub in_flight: Arc<AtomicU32>,
}

impl ReplicaRow {
    /// Whether another server was found at the address.
    pub fn is_reassigned(&self) -> bool {
        self.reassigned_at_ms.load(Ordering::Relaxed) > 0
    }

    /// Records that another server was found at the address; true when none was known there.
    pub fn mark_reassigned(&self, now: Duration) -> bool {
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX).max(1);
        self.reassigned_at_ms.swap(now_ms, Ordering::Relaxed) == 0
    }

    /// Lets the replica take work again when the list was read after the server was found.
    pub fn clear_reassigned(&self, list_read_at: Duration) {
        let found_at = Duration::from_millis(self.reassigned_at_ms.load(Ordering::Relaxed));
        if list_read_at > found_at {
            self.reassigned_at_ms.store(0, Ordering::Relaxed);
        }
    }
}

/// Load report of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests running or queued at the replica, of all nodes.
    pub requests: u32,
    /// Whether the replica still warms up.
    pub is_cold: bool,
    /// Start of the engine process to which the report belongs.
    pub boot: ids::BootId,
    /// Node clock when the report was received.
    pub received_at: Duration,
}

/// Counts one request in flight while it lives.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicU32>);

impl InFlightGuard {
    /// Counts one more request.
    pub fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Replicas known to this node.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    rows: Vec<ReplicaRow>,
    pools: HashMap<ReplicaPool, Vec<ReplicaIndex>>,
    names: HashMap<ids::ReplicaName, ReplicaIndex>,
}

impl ReplicaTable {
    /// Table of listed instances; keeps load and counts of rows that `former` knew.
    pub fn from_list(list: &[instance_list::ListedInstance], former: &Self) -> Self {
        let mut table = Self::default();
        for listed in list {
            if let Some(row) = listed_row(listed, former) {
                table.push(row);
            }
        }
        table
    }

    /// Appends one row.
    pub fn push(&mut self, row: ReplicaRow) {
        let index = self.rows.len();
        self.pools.entry(row.pool.clone()).or_default().push(index);
        self.names.insert(row.name.clone(), index);
        self.rows.push(row);
    }

    /// All rows.
    pub fn rows(&self) -> &[ReplicaRow] {
        &self.rows
    }

    /// Row at a position.
    pub fn row(&self, index: ReplicaIndex) -> &ReplicaRow {
        &self.rows[index]
    }

    /// Row of a name.
    pub fn find(&self, name: &str) -> Option<&ReplicaRow> {
        self.names.get(name).map(|&index| &self.rows[index])
    }

    /// Positions of the replicas of one pool.
    pub fn pool_indexes(&self, pool: &ReplicaPool) -> &[ReplicaIndex] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Records a load report; a report of an unknown replica is dropped.
    pub fn record_report(&mut self, name: &str, report: LoadReport) {
        if let Some(&index) = self.names.get(name) {
            self.rows[index].report = Some(report);
        }
    }
}

fn listed_row(listed: &instance_list::ListedInstance, former: &ReplicaTable) -> Option<ReplicaRow> {
    let (pool, checks_fencing) = match &listed.role {
        instance_list::InstanceRole::Entry => return None,
        instance_list::InstanceRole::Engine { model, version, checks_fencing } => {
            (ReplicaPool::Version(model.clone(), version.clone()), *checks_fencing)
        }
        instance_list::InstanceRole::Service { service } => {
            (ReplicaPool::Service(service.clone()), false)
        }
    };
    let known = former.find(&listed.name).filter(|row| row.address == listed.address);
    Some(ReplicaRow {
        name: listed.name.clone(),
        address: listed.address,
        data_centre: listed.data_centre.clone(),
        pool,
        is_leaving: listed.state == instance_list::InstanceState::Leaving,
        reassigned_at_ms: known.map(|row| Arc::clone(&row.reassigned_at_ms)).unwrap_or_default(),
        checks_fencing,
        report: known.and_then(|row| row.report.clone()),
        in_flight: known.map(|row| Arc::clone(&row.in_flight)).unwrap_or_default(),
    })
}
