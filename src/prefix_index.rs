//! Index of the replicas that hold a prompt prefix in their cache.
//!
//! Rows come from the node's own sends and from the replicas' cache events,
//! which arrive late and with gaps. The index keeps its rows after a gap: a
//! missed eviction costs one wrong bonus, but removing the replica would send
//! its sessions elsewhere. With every 20th event lost, removal gave fewer hits
//! than no events at all (55% against 84% in `examples/prefix_hits.rs`).

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::ids;

/// The prefix recorded least recently is removed first.
pub const MAX_PREFIXES: usize = 4_096;
/// The replica recorded least recently is removed first.
const MAX_REPLICAS_PER_PREFIX: usize = 8;
/// Lengths at which a prompt is hashed.
const PREFIX_LENGTHS_BYTES: [usize; 5] = [256, 1_024, 4_096, 16_384, 65_536];
/// Largest bonus, as a fraction of a replica's capacity. A larger one would send requests to a
/// replica whose queue costs more than the cached prefix saves.
pub const MAX_BONUS_FRACTION: f64 = 0.25;

/// Hash of the first bytes of a prompt.
pub type PrefixHash = u64;

/// Hashes of the prefixes of a prompt, shortest first.
pub type PromptPrefixes = SmallVec<[PrefixHash; 5]>;

/// Change of the prefix cache of a replica.
#[derive(Clone, Debug)]
pub struct CacheEvent {
    pub replica: ids::ReplicaName,
    /// Identifies the start of the engine process.
    pub boot: ids::BootId,
    /// Counts the events of one boot, from 1 and without gaps at the replica.
    pub sequence: u64,
    /// Prefixes that entered the cache.
    pub stored: Vec<PrefixHash>,
    /// Prefixes that left the cache.
    pub evicted: Vec<PrefixHash>,
}

#[derive(Clone, Debug)]
struct PrefixRow {
    replicas: SmallVec<[ids::ReplicaName; 2]>,
    last_use: u64,
}

/// Prefixes in the caches of the replicas, as far as this node has seen them.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    rows: HashMap<PrefixHash, PrefixRow>,
    prefixes_by_use: BTreeMap<u64, PrefixHash>,
    next_use: u64,
    last_events: HashMap<ids::ReplicaName, (ids::BootId, u64)>,
}

/// Hashes the prefixes of a prompt. Prompts below 256 bytes have none, as caching them saves too
/// little.
pub fn prompt_prefixes(prompt: &[u8]) -> PromptPrefixes {
    PREFIX_LENGTHS_BYTES
        .iter()
        .take_while(|&&length| length <= prompt.len())
        .map(|&length| xxh3::xxh3_64(&prompt[..length]))
        .collect()
}

impl PrefixIndex {
    /// Records that a prompt with these prefixes was sent to a replica, which then caches them.
    pub fn record_send(&mut self, replica: &ids::ReplicaName, prefixes: &[PrefixHash]) {
        for &prefix in prefixes {
            self.add_replica_to_prefix(prefix, replica);
        }
    }

    /// Applies a cache event. Repeated events are ignored; a new boot clears the replica's
    /// prefixes.
    pub fn apply_event(&mut self, event: &CacheEvent) {
        let known = self.last_events.get(&event.replica);
        let is_same_boot = known.is_some_and(|(boot, _)| *boot == event.boot);
        let last_sequence = known.map_or(0, |(_, sequence)| *sequence);
        if is_same_boot && event.sequence <= last_sequence {
            return;
        }
        if !is_same_boot && known.is_some() {
            self.remove_replica(&event.replica);
        }
        self.last_events.insert(event.replica.clone(), (event.boot.clone(), event.sequence));
        for &prefix in &event.evicted {
            self.remove_replica_from_prefix(prefix, &event.replica);
        }
        for &prefix in &event.stored {
            self.add_replica_to_prefix(prefix, &event.replica);
        }
    }

    /// Boot and sequence number of the last event of a replica.
    pub fn last_event(&self, replica: &str) -> Option<&(ids::BootId, u64)> {
        self.last_events.get(replica)
    }

    /// Removes a replica from all prefixes.
    pub fn remove_replica(&mut self, replica: &str) {
        self.last_events.remove(replica);
        let prefixes: Vec<PrefixHash> = self.rows.keys().copied().collect();
        for prefix in prefixes {
            self.remove_replica_from_prefix(prefix, replica);
        }
    }

    /// Bonus of a replica for a prompt, from 0 to `MAX_BONUS_FRACTION`; grows with the longest
    /// prefix that the replica holds.
    pub fn replica_bonus(&self, replica: &str, prefixes: &[PrefixHash]) -> f64 {
        let is_held = |prefix: &PrefixHash| {
            self.rows
                .get(prefix)
                .is_some_and(|row| row.replicas.iter().any(|name| &**name == replica))
        };
        let held_count = prefixes.iter().rposition(is_held).map_or(0, |position| position + 1);
        MAX_BONUS_FRACTION * held_count as f64 / prefixes.len().max(1) as f64
    }

    /// Removes the event positions of unknown replicas; their prefixes are evicted as they age.
    pub fn retain_replicas(&mut self, is_known: impl Fn(&str) -> bool) {
        self.last_events.retain(|name, _| is_known(name));
    }

    /// Number of indexed prefixes.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn add_replica_to_prefix(&mut self, prefix: PrefixHash, replica: &ids::ReplicaName) {
        let use_number = self.next_use;
        self.next_use += 1;
        let row = self
            .rows
            .entry(prefix)
            .or_insert(PrefixRow { replicas: SmallVec::new(), last_use: use_number });
        self.prefixes_by_use.remove(&row.last_use);
        row.last_use = use_number;
        row.replicas.retain(|name| name != replica);
        if row.replicas.len() == MAX_REPLICAS_PER_PREFIX {
            row.replicas.remove(0);
        }
        row.replicas.push(replica.clone());
        self.prefixes_by_use.insert(use_number, prefix);
        if self.rows.len() > MAX_PREFIXES
            && let Some((_, oldest)) = self.prefixes_by_use.pop_first()
        {
            self.rows.remove(&oldest);
        }
    }

    fn remove_replica_from_prefix(&mut self, prefix: PrefixHash, replica: &str) {
        let Some(row) = self.rows.get_mut(&prefix) else { return };
        row.replicas.retain(|name| &**name != replica);
        if row.replicas.is_empty() {
            self.prefixes_by_use.remove(&row.last_use);
            self.rows.remove(&prefix);
        }
    }
}
