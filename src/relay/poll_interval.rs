//! Interval between two polls for changes in the store.

use std::time::Duration;

/// Poll interval that doubles while changes keep coming and is reset after a quiet time.
#[derive(Clone, Copy, Debug)]
pub struct PollInterval {
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl PollInterval {
    /// Interval that starts at `initial` and doubles up to `max`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self { initial, max, next: initial }
    }

    /// Returns the pause after a poll that took `waited` to return. If that is at least the longest
    /// interval, the pauses start from the initial one again.
    pub fn next_pause(&mut self, waited: Duration) -> Duration {
        if waited >= self.max {
            self.next = self.initial;
        }
        let pause = self.next;
        self.next = (pause * 2).min(self.max);
        pause
    }
}
