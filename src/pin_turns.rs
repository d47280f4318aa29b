//! Turns of requests that ask for the pin of one session.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use tokio::sync::{Mutex, MutexGuard};

use crate::session_table;

/// Number of turns; sessions that share one wait for each other.
const TURNS: usize = 1_024;

/// Turns by the hash of the session.
#[derive(Debug)]
pub struct PinTurns(Vec<Mutex<()>>);

impl Default for PinTurns {
    fn default() -> Self {
        Self((0..TURNS).map(|_| Mutex::new(())).collect())
    }
}

impl PinTurns {
    /// Waits for the turn of a session.
    pub async fn turn(&self, key: &session_table::SessionModel) -> MutexGuard<'_, ()> {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let place = hasher.finish() as usize % self.0.len();
        self.0[place].lock().await
    }
}
