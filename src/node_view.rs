//! Members, freshness and instance list as the request path reads them.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{freshness, ids, instance_list, member_digest};

/// Members and freshness as of the last tick.
#[derive(Clone, Debug)]
pub struct NodeView {
    /// Whether this node may start work.
    pub freshness: freshness::Freshness,
    /// Live nodes, this one included.
    pub members: Vec<ids::InstanceName>,
    /// Digests of the member table, which change with incarnations and addresses.
    pub digests: member_digest::TableDigest,
}

impl Default for NodeView {
    fn default() -> Self {
        Self {
            freshness: freshness::Freshness::Isolated,
            members: Vec::new(),
            digests: [0; member_digest::DIGEST_BUCKETS],
        }
    }
}

/// Instance list as last read or received.
#[derive(Clone, Debug, Default)]
pub struct ListedView {
    /// Entries in the order of their names.
    pub entries: Vec<instance_list::ListedInstance>,
    /// Clock of this node when the list was read, here or at a peer.
    pub read_at: Option<Duration>,
    /// Digest of the entries, by which peers notice different lists.
    pub digest: u64,
}

impl ListedView {
    /// Replaces the entries.
    pub fn set(&mut self, entries: Vec<instance_list::ListedInstance>, read_at: Duration) {
        let bytes = serde_json::to_vec(&entries).unwrap_or_default();
        self.digest = xxh3::xxh3_64(&bytes);
        self.entries = entries;
        self.read_at = Some(read_at);
    }
}
