//! Ordered places of a prompt prefix among the replicas that may run a call.
//!
//! All instances compute the same order from the names of the replicas, so that they agree on where a
//! prefix is cached without a message, and a replica that joins or leaves moves only the prefixes that
//! it gains or had. When the first place is busy, calls go to the second and not to any replica, so
//! that a prefix is read at few of them.

use smallvec::SmallVec;

use crate::{ids, rendezvous};

/// Fraction of the prefix that each place is assumed to have cached, because other instances send
/// prompts with the same prefix there.
const CACHED_FRACTIONS: [f64; 4] = [0.8, 0.5, 0.3, 0.15];

/// Places of one prefix, the first one first.
#[derive(Clone, Debug, Default)]
pub struct PartPlaces<'a> {
    replicas: SmallVec<[(u64, &'a ids::ReplicaName); CACHED_FRACTIONS.len()]>,
}

impl<'a> PartPlaces<'a> {
    /// Finds the places of the prefix with a cache key.
    pub fn new(prefix_key: u64, replicas: impl IntoIterator<Item = &'a ids::ReplicaName>) -> Self {
        let key = prefix_key.to_string();
        let mut places = Self::default();
        for replica in replicas {
            let rank = rendezvous::member_rank(&key, replica);
            let position = places.replicas.partition_point(|(other, _)| *other >= rank);
            if position < CACHED_FRACTIONS.len() {
                places.replicas.truncate(CACHED_FRACTIONS.len() - 1);
                places.replicas.insert(position, (rank, replica));
            }
        }
        places
    }

    /// Fraction of the prefix that a replica is assumed to have cached.
    pub fn cached_fraction(&self, replica: &ids::ReplicaName) -> f64 {
        let position = self.replicas.iter().position(|(_, name)| *name == replica);
        position.map_or(0.0, |position| CACHED_FRACTIONS[position])
    }
}
