//! Replicas that this node uses, at most 8 for each pool.
//!
//! A concurrency limit of 2 cannot be divided among 1,300 nodes, so each node
//! uses few replicas. The subset is rebuilt when the replica table or the
//! configuration changes, not for each decision.

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::{config_snapshot, ids, rendezvous, replica_table};

/// Maximum number of replicas of one pool that a node uses.
pub const MAX_SUBSET_REPLICAS: usize = 8;

/// Replica in a subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetMember {
    /// Position in the table from which the subset was built.
    pub index: replica_table::ReplicaIndex,
    /// Round trip from the node's data centre, in microseconds.
    pub distance_us: u32,
}

/// Replica table and the subset built from it. Both are replaced together, because the positions
/// in a subset mean other replicas in another table.
#[derive(Clone, Debug, Default)]
pub struct RouteView {
    pub table: Arc<replica_table::ReplicaTable>,
    pub subset: Arc<ReplicaSubset>,
}

/// Replicas that this node uses, by pool.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSubset {
    pools: HashMap<replica_table::ReplicaPool, SmallVec<[SubsetMember; MAX_SUBSET_REPLICAS]>>,
}

impl ReplicaSubset {
    /// Builds the subset of a node: replicas that accept requests come first, then those of its own
    /// data centre, then those of the highest rank, which differs from node to node.
    pub fn build(
        snapshot: &config_snapshot::ConfigSnapshot,
        table: &replica_table::ReplicaTable,
        node: &ids::InstanceName,
        data_centre: &ids::DataCentreName,
    ) -> Self {
        let mut ranked: HashMap<_, Vec<_>> = HashMap::new();
        for (index, row) in table.rows().iter().enumerate() {
            let is_unavailable = row.is_leaving || snapshot.drained(&row.data_centre);
            let is_remote = row.data_centre != *data_centre;
            let rank = rendezvous::member_rank(node, &row.name);
            let order = (is_unavailable, is_remote, std::cmp::Reverse(rank), index);
            ranked.entry(&row.pool).or_default().push(order);
        }
        let pools = ranked.into_iter().map(|(pool, mut orders)| {
            orders.sort_unstable();
            let members =
                orders.iter().take(MAX_SUBSET_REPLICAS).map(|&(.., index)| SubsetMember {
                    index,
                    distance_us: distance_us(snapshot, data_centre, &table.row(index).data_centre),
                });
            (pool.clone(), members.collect())
        });
        Self { pools: pools.collect() }
    }

    pub fn members(&self, pool: &replica_table::ReplicaPool) -> &[SubsetMember] {
        self.pools.get(pool).map_or(&[], SmallVec::as_slice)
    }

    /// Members of all pools.
    pub fn all_members(&self) -> impl Iterator<Item = &SubsetMember> {
        self.pools.values().flatten()
    }
}

/// Round trip between two data centres, in microseconds; 0 within one or if no record states it.
pub fn distance_us(snapshot: &config_snapshot::ConfigSnapshot, from: &str, to: &str) -> u32 {
    if from == to {
        return 0;
    }
    let stated = |a: &str, b: &str| {
        snapshot.data_centres.get(a).and_then(|record| record.distance_us.get(b).copied())
    };
    stated(from, to).or_else(|| stated(to, from)).unwrap_or(0)
}
