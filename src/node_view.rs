//! Members, freshness and instance list as the request path reads them.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{endpoint_answer, freshness, ids, instance_list};

/// Members and freshness as of the last tick.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeView {
    /// Digest of the member states from which the view was derived.
    pub digest: u64,
    /// Whether this node may start work.
    pub freshness: freshness::Freshness,
    /// Live nodes in the order of their names, this one included.
    pub members: Vec<ids::InstanceName>,
    /// Nodes that are leaving; they finish their requests.
    pub leaving: Vec<ids::InstanceName>,
    /// Processes that may still run requests.
    pub processes: Vec<ids::InstanceName>,
    /// Nodes as callers see them.
    pub endpoints: Vec<endpoint_answer::EndpointMember>,
}

impl Default for NodeView {
    fn default() -> Self {
        Self {
            digest: 0,
            freshness: freshness::Freshness::Isolated,
            members: Vec::new(),
            leaving: Vec::new(),
            processes: Vec::new(),
            endpoints: Vec::new(),
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

    /// Notes that the list had the digest when it was read elsewhere at `read_at`.
    ///
    /// Without it, each node would read the whole list again once its own read is stale.
    pub fn confirm(&mut self, digest: u64, read_at: Duration) {
        if self.digest == digest && self.read_at.is_some_and(|known| known < read_at) {
            self.read_at = Some(read_at);
        }
    }
}
