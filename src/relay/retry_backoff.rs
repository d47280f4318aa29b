//! Backoff between calls to a failing service.

use std::time::Duration;

use rand::RngExt as _;

/// Delay after the first failed call in a row. Short enough for several tries before the path to
/// the store changes, which is after 600 ms of failures.
const INITIAL_DELAY: Duration = Duration::from_millis(200);
/// Longest delay. Long enough to spare the store, which counts refused calls too; short enough that
/// after its return a change is read well within the time in which it must take effect.
const MAX_DELAY: Duration = Duration::from_millis(800);
/// Random deviation of a delay in both directions, as a fraction of it, so that instances that
/// failed at the same moment do not retry at the same moment.
const JITTER_FRACTION: f64 = 0.25;

/// Exponential backoff with jitter.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    next: Duration,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self { next: INITIAL_DELAY }
    }
}

impl RetryBackoff {
    /// Records a failure; returns how long to wait before the next call.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(MAX_DELAY);
        delay.mul_f64(rand::rng().random_range(1.0 - JITTER_FRACTION..=1.0 + JITTER_FRACTION))
    }

    /// Records a successful call.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
