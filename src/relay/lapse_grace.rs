//! Time for which entries that the store dropped are kept.
//!
//! Entries lapse while the store is away, whether their owners live or not. Owners that live write
//! them again soon after its return.

use std::time::Duration;

use tokio::time::Instant;

/// Grace for entries that lapse around an outage of the store.
#[derive(Clone, Copy, Debug)]
pub struct LapseGrace {
    time: Duration,
    store_returned: Option<Instant>,
}

impl LapseGrace {
    /// Grace of some time after each return of the store.
    pub fn new(time: Duration) -> Self {
        Self { time, store_returned: None }
    }

    /// Notes that the store answers again after an outage.
    pub fn store_returned(&mut self, now: Instant) {
        self.store_returned = Some(now);
    }

    /// End of the grace for an entry that lapses now; none if it is gone at once.
    pub fn until(&self, now: Instant) -> Option<Instant> {
        self.store_returned.map(|at| at + self.time).filter(|until| now < *until)
    }
}
