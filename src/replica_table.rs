//! Table of the replicas in the instance list, with their last load reports.
//!
//! Rows are kept in a dense vector with an index by pool, so that a routing
//! decision reads only the rows of its candidates.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::{ids, instance_list};

/// Position of a row in its table; other tables have other positions.
pub type ReplicaIndex = usize;

/// Pool of interchangeable replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicaPool {
    /// Engines that serve one version of a model.
    Version(ids::ModelName, ids::VersionName),
    /// Instances of a service without a model.
    Service(ids::ServiceName),
}

/// Replica with its load.
#[derive(Clone, Debug)]
pub struct ReplicaRow {
    pub name: ids::ReplicaName,
    pub address: SocketAddr,
    pub data_centre: ids::DataCentreName,
    pub pool: ReplicaPool,
    /// Whether it shuts down and accepts no new requests.
    pub is_leaving: bool,
    /// Node clock in milliseconds at which another server answered at the address; 0 if none did.
    /// The replica gets no requests until the instance list is read again.
    pub reassigned_at_ms: Arc<AtomicU64>,
    /// Node clock in milliseconds until which the replica wants no requests of this node, as it said
    /// in a refusal.
    pub paused_until_ms: Arc<AtomicU64>,
    /// Whether the engine refuses orders that carry an old fencing token.
    pub checks_fencing: bool,
    /// `None` before the first load report.
    pub report: Option<LoadReport>,
    /// Requests of this node in flight; the guards of those requests hold it too.
    pub in_flight: Arc<AtomicU32>,
}

impl ReplicaRow {
    /// Whether another server answers at the address.
    pub fn is_reassigned(&self) -> bool {
        self.reassigned_at_ms.load(Ordering::Relaxed) > 0
    }

    /// Records that another server answered at the address; returns false if that was recorded
    /// before.
    pub fn mark_reassigned(&self, now: Duration) -> bool {
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX).max(1);
        self.reassigned_at_ms.swap(now_ms, Ordering::Relaxed) == 0
    }

    /// Whether the replica has asked for a pause that has not ended.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < Duration::from_millis(self.paused_until_ms.load(Ordering::Relaxed))
    }

    /// Sends no requests for the duration. A pause never ends sooner than was asked before.
    pub fn pause(&self, duration: Duration, now: Duration) {
        let until_ms = u64::try_from((now + duration).as_millis()).unwrap_or(u64::MAX);
        self.paused_until_ms.fetch_max(until_ms, Ordering::Relaxed);
    }

    /// Allows requests again if the list was read after the other server had answered.
    pub fn clear_reassigned(&self, list_read_at: Duration) {
        let reassigned_at = Duration::from_millis(self.reassigned_at_ms.load(Ordering::Relaxed));
        if list_read_at > reassigned_at {
            self.reassigned_at_ms.store(0, Ordering::Relaxed);
        }
    }
}

/// Load report of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests of all nodes that run or wait at the replica.
    pub requests: u32,
    /// Whether the replica is still warming up.
    pub is_cold: bool,
    /// Identifies the start of the engine process that made the report.
    pub boot: ids::BootId,
    /// Node clock at which the report was received.
    pub received_at: Duration,
}

/// Counts one request in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicU32>);

impl InFlightGuard {
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

/// Replicas of the instance list, indexed by pool and by name.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    rows: Vec<ReplicaRow>,
    pools: HashMap<ReplicaPool, Vec<ReplicaIndex>>,
    names: HashMap<ids::ReplicaName, ReplicaIndex>,
}

impl ReplicaTable {
    /// Builds the table of the listed instances.
    ///
    /// A replica that has the same address in `former` keeps its load report and counts.
    pub fn from_list(list: &[instance_list::ListedInstance], former: &Self) -> Self {
        let mut table = Self::default();
        for listed in list {
            if let Some(row) = listed_row(listed, former) {
                table.push(row);
            }
        }
        table
    }

    pub fn push(&mut self, row: ReplicaRow) {
        let index = self.rows.len();
        self.pools.entry(row.pool.clone()).or_default().push(index);
        self.names.insert(row.name.clone(), index);
        self.rows.push(row);
    }

    pub fn rows(&self) -> &[ReplicaRow] {
        &self.rows
    }

    /// # Panics
    /// If the position is outside of this table.
    pub fn row(&self, index: ReplicaIndex) -> &ReplicaRow {
        &self.rows[index]
    }

    pub fn find(&self, name: &str) -> Option<&ReplicaRow> {
        self.names.get(name).map(|&index| &self.rows[index])
    }

    pub fn pool_indexes(&self, pool: &ReplicaPool) -> &[ReplicaIndex] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Replaces the load report of a replica; ignores unknown replicas.
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
        paused_until_ms: known.map(|row| Arc::clone(&row.paused_until_ms)).unwrap_or_default(),
        checks_fencing,
        report: known.and_then(|row| row.report.clone()),
        in_flight: known.map(|row| Arc::clone(&row.in_flight)).unwrap_or_default(),
    })
}
