//! Pauses between calls to a service that fails.

use std::time::Duration;

use rand::RngExt as _;

/// Pause after the first of some failed calls in a row. Another path to the store is taken after
/// 600 ms of failures.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause. The store counts refused calls too; after its return a change must still be read
/// well within the time in which it takes effect.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Part of a pause by which it is longer or shorter at random, so that instances that failed at
/// the same moment do not call again at the same moment.
const SPREAD: f64 = 0.25;

/// Pause that doubles with each failure in a row.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    next: Duration,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self { next: FIRST_PAUSE }
    }
}

impl RetryBackoff {
    /// Counts a failure; returns how long to wait before the next call.
    pub fn next_delay(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(LONGEST_PAUSE);
        pause.mul_f64(rand::rng().random_range(1.0 - SPREAD..=1.0 + SPREAD))
    }

    /// Counts an answer.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
