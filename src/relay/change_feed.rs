//! Key-value service whose changes are fetched by long polling.
//!
//! Each poll counts as a call to the service, so the caller chooses how often to poll. A watch that
//! delivers each change at once would cost one call per heartbeat of each replica.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;

use super::era_watch::EraWatch;
use crate::ids;
use crate::kv_store::{KvError, KvEvent, KvStore};

/// Result of one poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvChanges {
    /// Changes in the order of their revisions; may be empty.
    pub events: Vec<KvEvent>,
    /// Revision from which the next poll continues.
    pub revision: ids::KvRevision,
}

/// Key-value service that can be polled for changes.
pub trait ChangeFeed: KvStore {
    /// Eras of the service, whose revisions are then joined with them (see `store_era`); `None` if
    /// it has a single one.
    fn eras(&self) -> Option<Arc<EraWatch>> {
        None
    }

    /// Returns the changes below `prefix` since the revision `after`. If there are none yet, the
    /// service holds the poll for up to `wait`, after which its answer must begin within
    /// `answer_time`.
    ///
    /// # Errors
    /// `KvError::Unreadable` when the service no longer has the changes since that revision, or when
    /// they are too large for one answer.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: ids::KvRevision,
        wait: Duration,
        answer_time: Duration,
    ) -> BoxFuture<'a, Result<KvChanges, KvError>>;
}
