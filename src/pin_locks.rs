//! Locks that admit one request at a time to the pin of a session.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use tokio::sync::{Mutex, MutexGuard};

use crate::session_table;

/// Sessions whose hashes fall on the same lock wait for each other.
const LOCK_COUNT: usize = 1_024;

/// Locks by the hash of the session and model.
#[derive(Debug)]
pub struct PinLocks(Vec<Mutex<()>>);

impl Default for PinLocks {
    fn default() -> Self {
        Self((0..LOCK_COUNT).map(|_| Mutex::new(())).collect())
    }
}

impl PinLocks {
    /// Waits for the lock of a session and model. The lock is held until the guard is dropped.
    pub async fn lock_session(&self, key: &session_table::SessionModel) -> MutexGuard<'_, ()> {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let index = hasher.finish() as usize % self.0.len();
        self.0[index].lock().await
    }
}
