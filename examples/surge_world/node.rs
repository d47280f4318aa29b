//! Tables of one node of the surge.

use std::collections::HashMap;
use std::time::Duration;

use yuccareel::admission_queue::AdmissionQueue;
use yuccareel::cold_start::AnswerCount;
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::ids;
use yuccareel::quota_allocator::QuotaAllocator;
use yuccareel::quota_lease::ShareTable;
use yuccareel::replica_subset::ReplicaSubset;
use yuccareel::replica_table::ReplicaTable;
use yuccareel::retry_budget::RetryBudget;

use super::{CUSTOMERS, Caller, DATA_CENTRES, QUEUE_BOUND, REPLICAS};
use crate::fixtures::{replica, replica_table, version_pool};

/// Tables of one node.
pub struct Node {
    pub table: ReplicaTable,
    pub subset: ReplicaSubset,
    pub shares: ShareTable,
    pub home: QuotaAllocator,
    pub queue: AdmissionQueue<Caller>,
    pub budget: RetryBudget,
    pub answers: HashMap<usize, AnswerCount>,
    pub renewed_at: Duration,
    /// Smoothed queue length by replica.
    pub queued: f64,
}

pub fn replica_name(index: usize) -> String {
    format!("replica-{index}")
}

pub fn node(
    snapshot: &ConfigSnapshot,
    names: &[ids::InstanceName],
    index: usize,
    name: &ids::InstanceName,
) -> Node {
    let rows = (0..REPLICAS)
        .map(|row| replica(&replica_name(row), DATA_CENTRES[row % 3], version_pool("m", "v1")));
    let table = replica_table(rows);
    let own = DATA_CENTRES[index % 3].into();
    let mut home = QuotaAllocator::new(name.clone(), 1, Duration::ZERO);
    home.set_members(names, &[], Duration::ZERO);
    let weights = CUSTOMERS.iter().map(|(name, weight)| ((*name).into(), *weight)).collect();
    Node {
        subset: ReplicaSubset::build(snapshot, &table, name, &own),
        table,
        shares: ShareTable::new(name.clone(), 1),
        home,
        queue: AdmissionQueue::new(QUEUE_BOUND, weights),
        budget: RetryBudget::default(),
        answers: HashMap::new(),
        renewed_at: Duration::ZERO,
        queued: 0.0,
    }
}
