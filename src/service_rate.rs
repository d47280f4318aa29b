//! Rate at which a queue is served, measured to predict the wait of new requests.

use std::time::Duration;

/// Length of the window of one sample.
const SAMPLE_WINDOW: Duration = Duration::from_millis(500);
/// Shorter for the first sample, because requests of a surge are admitted unchecked until then.
const INITIAL_WINDOW: Duration = Duration::from_millis(200);
/// Limit of a first window without any dispatch. A new instance dispatches nothing until its first
/// shares arrive, and a rate of 0 would refuse the requests that follow them.
const MAX_INITIAL_WINDOW: Duration = Duration::from_secs(2);
/// Weight of the newest sample.
const NEW_SAMPLE_WEIGHT: f64 = 0.5;
/// Keeps a stall from causing all later requests to be refused.
const MIN_COST_PER_S: f64 = 0.1;

/// Smoothed cost per second that a queue dispatches.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    window_start: Duration,
    window_cost: f64,
    /// Whether the queue was empty at any update of the current window.
    was_idle: bool,
    cost_per_s: Option<f64>,
}

impl ServiceRate {
    /// Adds the cost of a dispatched request to the current window.
    pub fn record_dispatched(&mut self, cost: u32) {
        self.window_cost += f64::from(cost);
    }

    /// Subtracts the cost of a request that was recorded but could not be dispatched.
    pub fn undo_dispatched(&mut self, cost: u32) {
        self.window_cost = (self.window_cost - f64::from(cost)).max(0.0);
    }

    /// Takes a sample if the window has ended; `has_backlog` states whether requests wait now.
    pub fn update(&mut self, now: Duration, has_backlog: bool) {
        if self.cost_per_s.is_none() && self.was_idle && has_backlog {
            // The first sample of a surge starts when its backlog does, so that it ends soon.
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
        // The rate of a queue that ran empty was limited by arrivals, so the sample is only a lower
        // bound.
        self.cost_per_s = match (self.cost_per_s, self.was_idle) {
            (None, true) => None,
            (None, false) => Some(sample),
            (Some(rate), true) => Some(rate.max(sample)),
            (Some(rate), false) => Some(rate + (sample - rate) * NEW_SAMPLE_WEIGHT),
        };
        self.cost_per_s = self.cost_per_s.map(|rate| rate.max(MIN_COST_PER_S));
        (self.window_start, self.window_cost, self.was_idle) = (now, 0.0, !has_backlog);
    }

    /// `None` until a window had requests waiting throughout.
    pub fn cost_per_s(&self) -> Option<f64> {
        self.cost_per_s
    }
}
