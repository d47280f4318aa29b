//! Measured rate at which a queue is served.

use std::time::Duration;

/// Time over which one sample is taken.
const WINDOW: Duration = Duration::from_millis(500);
/// Time over which the first sample is taken; a surge is let in unchecked until then.
const FIRST_WINDOW: Duration = Duration::from_millis(200);
/// Longest first window without any dispatch: a new instance waits for its first shares, and a
/// rate of 0 would refuse the requests that arrive after them.
const FIRST_WINDOW_MAX: Duration = Duration::from_secs(2);
/// Weight of the newest sample.
const SAMPLE_WEIGHT: f64 = 0.5;
/// Smallest rate per second, so that a stall does not refuse everything for good.
const MIN_RATE: f64 = 0.1;

/// Measured rate at which a queue is served.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    window_start: Duration,
    work: f64,
    idle_seen: bool,
    per_s: Option<f64>,
}

impl ServiceRate {
    /// Counts dispatched work.
    pub fn count(&mut self, work: u32) {
        self.work += f64::from(work);
    }

    /// Takes back work that was counted but could not be dispatched.
    pub fn take_back(&mut self, work: u32) {
        self.work = (self.work - f64::from(work)).max(0.0);
    }

    /// Closes the window when its time is over; `backlog` states whether requests wait now.
    pub fn observe(&mut self, now: Duration, backlog: bool) {
        if self.per_s.is_none() && self.idle_seen && backlog {
            // The first sample of a surge starts with its backlog, so that it comes soon.
            (self.window_start, self.work, self.idle_seen) = (now, 0.0, false);
        }
        self.idle_seen |= !backlog;
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < if self.per_s.is_none() { FIRST_WINDOW } else { WINDOW } {
            return;
        }
        if self.per_s.is_none() && self.work == 0.0 && elapsed < FIRST_WINDOW_MAX {
            return;
        }
        let sample = self.work / elapsed.as_secs_f64();
        // A queue that ran empty was limited by arrivals, so such a sample is a lower bound only.
        self.per_s = match (self.per_s, self.idle_seen) {
            (None, true) => None,
            (None, false) => Some(sample),
            (Some(rate), true) => Some(rate.max(sample)),
            (Some(rate), false) => Some(rate + (sample - rate) * SAMPLE_WEIGHT),
        };
        self.per_s = self.per_s.map(|rate| rate.max(MIN_RATE));
        (self.window_start, self.work, self.idle_seen) = (now, 0.0, !backlog);
    }

    /// Work per second; none before a window with a constant backlog.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }
}
