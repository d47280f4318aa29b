//! Highest era of the store that this process has seen, and the mark that guards its writes.
//!
//! Revisions are issued again after a restoration, so the condition of a write that was prepared
//! before may hold by chance. In each era that begins while instances run, one of them writes the
//! mark first. Conditional writes compare it, so that those of an instance that has not noticed the
//! new era fail.

use parking_lot::Mutex;
use tokio::sync::watch;

use super::store_era::{self, EraReading};
use crate::ids;
use crate::kv_store::{KvError, KvTransaction};

/// Key of the mark. Its value is the era in which it was written.
pub const MARK_KEY: &str = "yuccareel/era";

/// Mark as last read or written; absent by default.
#[derive(Clone, Copy, Debug, Default)]
struct EraMark {
    revision: ids::KvRevision,
    era: ids::StoreEra,
}

#[derive(Debug, Default)]
struct WatchState {
    known: Option<ids::StoreEra>,
    first: Option<ids::StoreEra>,
    mark: EraMark,
    /// Whether an era began while this process ran, in which the mark must be written first.
    needs_mark: bool,
}

/// Highest era seen; shared by all clients of one store.
#[derive(Debug)]
pub struct EraWatch {
    raised: watch::Sender<ids::StoreEra>,
    state: Mutex<WatchState>,
}

impl Default for EraWatch {
    fn default() -> Self {
        Self { raised: watch::Sender::new(0), state: Mutex::default() }
    }
}

impl EraWatch {
    /// Era of the store; 0 before its first response.
    pub fn current(&self) -> ids::StoreEra {
        self.known().unwrap_or_default()
    }

    /// Era of the store; `None` before its first response.
    pub fn known(&self) -> Option<ids::StoreEra> {
        self.state.lock().known
    }

    /// First era that this process has seen.
    pub fn first(&self) -> ids::StoreEra {
        self.state.lock().first.unwrap_or_default()
    }

    /// Subscribes to rises of the era after the first response.
    pub fn subscribe(&self) -> watch::Receiver<ids::StoreEra> {
        self.raised.subscribe()
    }

    /// Takes note of the era of a response, or of a message of another instance.
    pub fn observe(&self, era: ids::StoreEra) -> EraReading {
        let mut state = self.state.lock();
        let reading = store_era::read_era(state.known, era);
        if reading != EraReading::Old {
            state.known = Some(era);
            state.first.get_or_insert(era);
        }
        state.needs_mark |= reading == EraReading::Raised;
        drop(state);
        if reading == EraReading::Raised {
            self.raised.send_modify(|raised| *raised = era.max(*raised));
        }
        reading
    }

    /// Takes note of the mark that the store holds.
    pub fn set_mark(&self, revision: ids::KvRevision, value: &[u8]) {
        let era = String::from_utf8_lossy(value).parse().unwrap_or_default();
        let mut state = self.state.lock();
        if revision >= state.mark.revision {
            state.mark = EraMark { revision, era };
        }
    }

    /// Forgets a mark that the store no longer holds.
    pub fn clear_mark(&self) {
        self.state.lock().mark = EraMark::default();
    }

    /// Revision of the mark in the current era, 0 without one, if it must still be written.
    pub fn missing_mark(&self) -> Option<ids::KvRevision> {
        let current = self.current();
        let state = self.state.lock();
        let is_missing = state.needs_mark && state.mark.era != current;
        is_missing.then(|| {
            let is_current = store_era::era_of(state.mark.revision) == current;
            if is_current { state.mark.revision } else { 0 }
        })
    }

    /// Revision of the mark that a transaction must compare; `None` if it compares nothing, or the
    /// store has no eras.
    ///
    /// # Errors
    /// When the mark of the era is not written yet.
    pub fn guard(&self, transaction: &KvTransaction) -> Result<Option<ids::KvRevision>, KvError> {
        let writes_mark = transaction.compares.iter().any(|compare| compare.key() == MARK_KEY);
        if self.current() == 0 || transaction.compares.is_empty() || writes_mark {
            return Ok(None);
        }
        if self.missing_mark().is_some() {
            return Err(KvError::Refused("the era of the store is not marked yet".to_owned()));
        }
        Ok(Some(self.state.lock().mark.revision))
    }
}
