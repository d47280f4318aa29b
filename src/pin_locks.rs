//! Turns of requests that ask for the pin of one session.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use tokio::sync::{Mutex, MutexGuard};

use crate::session_table;

/// Number of turns; sessions that share one wait for each other.
const LOCK_COUNT: usize = 1_024;

/// Turns by the hash of the session.
#[derive(Debug)]
pub struct PinLocks(Vec<Mutex<()>>);

impl Default for PinLocks {
    fn default() -> Self {
        Self((0..LOCK_COUNT).map(|_| Mutex::new(())).collect())
    }
}

impl PinLocks {
    /// Waits for the turn of a session.
    pub async fn lock_session(&self, key: &session_table::SessionModel) -> MutexGuard<'_, ()> {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let place = hasher.finish() as usize % self.0.len();
        self.0[place].lock().await
    }
}
