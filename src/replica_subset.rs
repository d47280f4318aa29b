//! Replicas that this node uses, at most 8 for each pool.
//!
//! A limit of 2 cannot be divided among 1,300 nodes, so each node uses few
//! replicas. The subset is rebuilt when the replica table or the configuration
//! changes, not for each decision.

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::{config_snapshot, ids, rendezvous, replica_table};

/// Replicas of one pool that a node uses.
pub const SUBSET_SIZE: usize = 8;

/// Replica within a subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetMember {
    /// Position in the table from which the subset was built.
    pub index: replica_table::ReplicaIndex,
    /// Round trip from the node's data centre, in microseconds.
    pub distance_us: u32,
}

/// Replica table with the subset whose positions refer to it; read as one, because a subset
/// of another table names other replicas.
#[derive(Clone, Debug, Default)]
pub struct RouteView {
    /// Known replicas.
    pub table: Arc<replica_table::ReplicaTable>,
    /// Replicas that this node uses.
    pub subset: Arc<ReplicaSubset>,
}

/// Replicas that this node uses, by pool.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSubset {
    pools: HashMap<replica_table::ReplicaPool, SmallVec<[SubsetMember; SUBSET_SIZE]>>,
}

impl ReplicaSubset {
    /// Subset of a node: replicas that take work first, then its own data centre, then by rank.
    pub fn build(
        snapshot: &config_snapshot::ConfigSnapshot,
        table: &replica_table::ReplicaTable,
        node: &ids::InstanceName,
        data_centre: &ids::DataCentreName,
    ) -> Self {
        let mut ranked: HashMap<_, Vec<_>> = HashMap::new();
        for (index, row) in table.rows().iter().enumerate() {
            let idle = row.is_leaving || snapshot.drained(&row.data_centre);
            let far = row.data_centre != *data_centre;
            let rank = rendezvous::member_rank(node, &row.name);
            let order = (idle, far, std::cmp::Reverse(rank), index);
            ranked.entry(&row.pool).or_default().push(order);
        }
        let pools = ranked.into_iter().map(|(pool, mut orders)| {
            orders.sort_unstable();
            let members = orders.iter().take(SUBSET_SIZE).map(|&(.., index)| SubsetMember {
                index,
                distance_us: distance_us(snapshot, data_centre, &table.row(index).data_centre),
            });
            (pool.clone(), members.collect())
        });
        Self { pools: pools.collect() }
    }

    /// Members of one pool.
    pub fn members(&self, pool: &replica_table::ReplicaPool) -> &[SubsetMember] {
        self.pools.get(pool).map_or(&[], SmallVec::as_slice)
    }

    /// All members, for the renewal of their shares.
    pub fn all_members(&self) -> impl Iterator<Item = &SubsetMember> {
        self.pools.values().flatten()
    }
}

/// Round trip between two data centres; 0 within one or where no record states it.
pub fn distance_us(snapshot: &config_snapshot::ConfigSnapshot, from: &str, to: &str) -> u32 {
    if from == to {
        return 0;
    }
    let stated = |a: &str, b: &str| {
        snapshot.data_centres.get(a).and_then(|record| record.distance_us.get(b).copied())
    };
    stated(from, to).or_else(|| stated(to, from)).unwrap_or(0)
}
