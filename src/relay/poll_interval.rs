//! Pauses between two reads of the changes in the store.

use std::time::Duration;

/// Pauses that grow while changes keep coming and are short again after a quiet time.
#[derive(Clone, Copy, Debug)]
pub struct PollInterval {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl PollInterval {
    /// Pauses from `first` to `longest`.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest, next: first }
    }

    /// Pause after a read that waited some time for its changes.
    pub fn after_read(&mut self, waited: Duration) -> Duration {
        if waited >= self.longest {
            self.next = self.first;
        }
        let pause = self.next;
        self.next = (pause * 2).min(self.longest);
        pause
    }
}
