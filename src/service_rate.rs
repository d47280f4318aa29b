//! Measured rate at which a queue is served.

use std::time::Duration;

/// Time over which one sample is taken.
const SAMPLE_WINDOW: Duration = Duration::from_millis(500);
/// Time over which the first sample is taken; a surge is let in unchecked until then.
const INITIAL_WINDOW: Duration = Duration::from_millis(200);
/// Longest first window without any dispatch: a new instance waits for its first shares, and a
/// rate of 0 would refuse the requests that arrive after them.
const MAX_INITIAL_WINDOW: Duration = Duration::from_secs(2);
/// Weight of the newest sample.
const NEW_SAMPLE_WEIGHT: f64 = 0.5;
/// Smallest rate per second, so that a stall does not refuse everything for good.
const MIN_COST_PER_S: f64 = 0.1;

/// Measured rate at which a queue is served.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    window_start: Duration,
    window_cost: f64,
    was_idle: bool,
    cost_per_s: Option<f64>,
}

impl ServiceRate {
    /// Counts dispatched work.
    pub fn record_dispatched(&mut self, cost: u32) {
        self.window_cost += f64::from(cost);
    }

    /// Takes back work that was counted but could not be dispatched.
    pub fn undo_dispatched(&mut self, cost: u32) {
        self.window_cost = (self.window_cost - f64::from(cost)).max(0.0);
    }

    /// Closes the window when its time is over; `backlog` states whether requests wait now.
    pub fn update(&mut self, now: Duration, has_backlog: bool) {
        if self.cost_per_s.is_none() && self.was_idle && has_backlog {
            // The first sample of a surge starts with its backlog, so that it comes soon.
            (self.window_start, self.window_cost, self.was_idle) = (now, 0.0, false);
        }
        self.was_idle |= !has_backlog;
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < if self.cost_per_s.is_none() { INITIAL_WINDOW } else { SAMPLE_WINDOW } {
            return;
        }
        if self.cost_per_s.is_none() && self.window_cost == 0.0 && elapsed < MAX_INITIAL_WINDOW {
            return;
        }
        let sample = self.window_cost / elapsed.as_secs_f64();
        // A queue that ran empty was limited by arrivals, so such a sample is a lower bound only.
        self.cost_per_s = match (self.cost_per_s, self.was_idle) {
            (None, true) => None,
            (None, false) => Some(sample),
            (Some(rate), true) => Some(rate.max(sample)),
            (Some(rate), false) => Some(rate + (sample - rate) * NEW_SAMPLE_WEIGHT),
        };
        self.cost_per_s = self.cost_per_s.map(|rate| rate.max(MIN_COST_PER_S));
        (self.window_start, self.window_cost, self.was_idle) = (now, 0.0, !has_backlog);
    }

    /// Work per second; none before a window with a constant backlog.
    pub fn cost_per_s(&self) -> Option<f64> {
        self.cost_per_s
    }
}
