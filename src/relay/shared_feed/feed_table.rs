//! Logs of all scopes of an instance, with notification of changes.

use std::time::{Duration, SystemTime};

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use super::feed_batch::FeedBatch;
use super::feed_log::FeedLog;
use crate::ids;
use crate::relay::mirror_scope::MirrorScope;

/// Time for which an instance that read from this one is expected to read again.
const READER_TTL: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct FeedSlot {
    log: Mutex<FeedLog>,
    /// Revision of the log when it last changed.
    changed: watch::Sender<ids::KvRevision>,
    /// Time of the last request of another instance.
    requested_at: watch::Sender<Option<Instant>>,
}

/// Logs of all scopes.
#[derive(Debug)]
pub struct FeedTable {
    slots: [FeedSlot; MirrorScope::ALL.len()],
}

impl Default for FeedTable {
    fn default() -> Self {
        let slot = |_| FeedSlot {
            log: Mutex::default(),
            changed: watch::Sender::new(0),
            requested_at: watch::Sender::new(None),
        };
        Self { slots: MirrorScope::ALL.map(slot) }
    }
}

impl FeedTable {
    /// Log of a scope.
    pub fn log(&self, scope: MirrorScope) -> &Mutex<FeedLog> {
        &self.slot(scope).log
    }

    /// Wakes those that wait for changes of a scope.
    pub fn notify(&self, scope: MirrorScope) {
        let revision = self.log(scope).lock().revision();
        self.slot(scope).changed.send_replace(revision);
    }

    /// Batch for a receiver that has the changes of a scope up to `after`. Waits up to `max_hold` for
    /// a change; `None` if the scope was not read yet.
    pub async fn next_batch(
        &self,
        scope: MirrorScope,
        after: ids::KvRevision,
        max_hold: Duration,
    ) -> Option<FeedBatch> {
        let (slot, started) = (self.slot(scope), Instant::now());
        slot.requested_at.send_replace(Some(started));
        let mut changed = slot.changed.subscribe();
        let has_news = |_: &ids::KvRevision| slot.log.lock().has_news(after);
        // The sender lives as long as the table; without news by then, the batch is empty.
        let _ = tokio::time::timeout(max_hold, changed.wait_for(has_news)).await;
        slot.log.lock().batch(after, started.elapsed(), Instant::now(), SystemTime::now())
    }

    /// Whether another instance has read this scope lately.
    pub fn has_readers(&self, scope: MirrorScope, now: Instant) -> bool {
        let requested_at = *self.slot(scope).requested_at.borrow();
        requested_at.is_some_and(|at| now < at + READER_TTL)
    }

    /// Waits until another instance reads this scope.
    pub async fn wait_for_reader(&self, scope: MirrorScope) {
        let mut requested_at = self.slot(scope).requested_at.subscribe();
        requested_at.borrow_and_update();
        // The sender lives as long as the table.
        let _ = requested_at.changed().await;
    }

    fn slot(&self, scope: MirrorScope) -> &FeedSlot {
        &self.slots[usize::from(scope.code())]
    }
}
