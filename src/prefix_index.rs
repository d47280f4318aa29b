//! Replicas that hold a prompt prefix in their cache.
//!
//! Rows come from the node's own sends and from the replicas' cache events,
//! which arrive late and with gaps. After a gap the index keeps what it knows: a
//! missed eviction costs one misdirected bonus, but forgetting the replica sends
//! its sessions elsewhere. With every 20th event lost, forgetting gave fewer hits
//! than no events at all (55% and 84% in `examples/prefix_hits.rs`).

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::ids;

/// Most prefixes that are kept.
pub const MAX_PREFIXES: usize = 4_096;
/// Most replicas that are kept for one prefix.
const MAX_REPLICAS_PER_PREFIX: usize = 8;
/// Lengths of the prefixes that are looked up, in bytes.
const PREFIX_LENGTHS_BYTES: [usize; 5] = [256, 1_024, 4_096, 16_384, 65_536];
/// Largest bonus, as a share of a replica's capacity. A larger one would send requests to a
/// replica whose queue costs more than the cached prefix saves.
pub const MAX_BONUS_FRACTION: f64 = 0.25;

/// Hash of the first bytes of a prompt.
pub type PrefixHash = u64;

/// Hashes of the prefixes of a prompt, the shortest first.
pub type PromptPrefixes = SmallVec<[PrefixHash; 5]>;

/// Cache event of a replica.
#[derive(Clone, Debug)]
pub struct CacheEvent {
    /// Replica.
    pub replica: ids::ReplicaName,
    /// Start of the engine process.
    pub boot: ids::BootId,
    /// Dense number within the boot, from 1.
    pub sequence: u64,
    /// Prefixes that entered the cache.
    pub stored: Vec<PrefixHash>,
    /// Prefixes that left the cache.
    pub evicted: Vec<PrefixHash>,
}

#[derive(Clone, Debug)]
struct PrefixRow {
    replicas: SmallVec<[ids::ReplicaName; 2]>,
    use_number: u64,
}

/// Prefixes known to this node.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    rows: HashMap<PrefixHash, PrefixRow>,
    uses: BTreeMap<u64, PrefixHash>,
    next_use: u64,
    events: HashMap<ids::ReplicaName, (ids::BootId, u64)>,
}

/// Prefixes of a prompt. Prompts below 256 bytes have none, as they save too little.
pub fn prompt_prefixes(prompt: &[u8]) -> PromptPrefixes {
    PREFIX_LENGTHS_BYTES
        .iter()
        .take_while(|&&length| length <= prompt.len())
        .map(|&length| xxh3::xxh3_64(&prompt[..length]))
        .collect()
}

impl PrefixIndex {
    /// Records that a prompt was sent to a replica.
    pub fn record_send(&mut self, replica: &ids::ReplicaName, prefixes: &[PrefixHash]) {
        for &prefix in prefixes {
            self.add_replica_to_prefix(prefix, replica);
        }
    }

    /// Applies a cache event. Repeated events are dropped; a new boot forgets the replica.
    pub fn apply_event(&mut self, event: &CacheEvent) {
        let known = self.events.get(&event.replica);
        let same_boot = known.is_some_and(|(boot, _)| *boot == event.boot);
        let last = known.map_or(0, |(_, last)| *last);
        if same_boot && event.sequence <= last {
            return;
        }
        if !same_boot && known.is_some() {
            self.remove_replica(&event.replica);
        }
        self.events.insert(event.replica.clone(), (event.boot.clone(), event.sequence));
        for &prefix in &event.evicted {
            self.remove_replica_from_prefix(prefix, &event.replica);
        }
        for &prefix in &event.stored {
            self.add_replica_to_prefix(prefix, &event.replica);
        }
    }

    /// Start of the engine process and number of the last event of a replica.
    pub fn last_event(&self, replica: &str) -> Option<&(ids::BootId, u64)> {
        self.events.get(replica)
    }

    /// Forgets all prefixes of a replica.
    pub fn remove_replica(&mut self, replica: &str) {
        self.events.remove(replica);
        let prefixes: Vec<PrefixHash> = self.rows.keys().copied().collect();
        for prefix in prefixes {
            self.remove_replica_from_prefix(prefix, replica);
        }
    }

    /// Bonus of a replica for a prompt, 0 to `MAX_BONUS_FRACTION`; grows with the longest cached prefix.
    pub fn replica_bonus(&self, replica: &str, prefixes: &[PrefixHash]) -> f64 {
        let held = |prefix: &PrefixHash| {
            self.rows
                .get(prefix)
                .is_some_and(|row| row.replicas.iter().any(|name| &**name == replica))
        };
        let longest = prefixes.iter().rposition(held).map_or(0, |place| place + 1);
        MAX_BONUS_FRACTION * longest as f64 / prefixes.len().max(1) as f64
    }

    /// Drops the event numbers of replicas that are gone.
    pub fn retain_replicas(&mut self, is_known: impl Fn(&str) -> bool) {
        self.events.retain(|name, _| is_known(name));
    }

    /// Number of prefixes.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn add_replica_to_prefix(&mut self, prefix: PrefixHash, replica: &ids::ReplicaName) {
        let use_number = self.next_use;
        self.next_use += 1;
        let row =
            self.rows.entry(prefix).or_insert(PrefixRow { replicas: SmallVec::new(), use_number });
        self.uses.remove(&row.use_number);
        row.use_number = use_number;
        row.replicas.retain(|name| name != replica);
        if row.replicas.len() == MAX_REPLICAS_PER_PREFIX {
            row.replicas.remove(0);
        }
        row.replicas.push(replica.clone());
        self.uses.insert(use_number, prefix);
        if self.rows.len() > MAX_PREFIXES
            && let Some((_, oldest)) = self.uses.pop_first()
        {
            self.rows.remove(&oldest);
        }
    }

    fn remove_replica_from_prefix(&mut self, prefix: PrefixHash, replica: &str) {
        let Some(row) = self.rows.get_mut(&prefix) else { return };
        row.replicas.retain(|name| &**name != replica);
        if row.replicas.is_empty() {
            self.uses.remove(&row.use_number);
            self.rows.remove(&prefix);
        }
    }
}
