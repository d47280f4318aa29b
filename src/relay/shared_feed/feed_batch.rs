//! Changes of the records of one scope, as one instance passes them to another.

use std::time::Duration;

use crate::ids;
use crate::kv_store::KvEvent;

/// Contents of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchContent {
    /// Changes after the requested revision, in their order.
    Changes(Vec<KvEvent>),
    /// All entries, as writes; keys that are missing no longer exist.
    Snapshot(Vec<KvEvent>),
}

/// Records of one scope at a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedBatch {
    pub content: BatchContent,
    /// Revision up to which the receiver must have the changes; 0 for a snapshot.
    pub after: ids::KvRevision,
    /// Revision of the store that the receiver has after it has applied the batch.
    pub revision: ids::KvRevision,
    /// Age of the records when the batch was made.
    pub age: Duration,
    /// Time for which the request was held.
    pub held: Duration,
    /// Time since the store answered again after its last outage; `None` if there was none.
    pub since_store_return: Option<Duration>,
}
