//! Longest wait that a call to a plain service may have at a replica.
//!
//! A replica queues requests beyond its slots, so a call is refused for the wait that it would have and
//! not because all slots are taken. Most refused calls return too late for their objective.

use std::time::Duration;

/// Fraction of the time left until the deadline that a call may take if it misses its objective. The
/// remaining part is for calls that are still in time and for the way back.
const LATE_FRACTION: f64 = 0.5;

/// What one call can bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitRule {
    /// Longest time to the answer.
    pub max_time: Duration,
    /// Seed from which the loads of replicas are drawn, different for each call.
    pub seed: u64,
}

impl WaitRule {
    /// Rule for a call that misses its objective after `objective_left` and ends after `time_left`.
    pub fn new(objective_left: Duration, time_left: Duration, seed: u64) -> Self {
        let max_time = objective_left.max(time_left.mul_f64(LATE_FRACTION)).min(time_left);
        Self { max_time, seed }
    }

    /// Time after which a call that would take `answer_time` now can be served; zero if it can now.
    pub fn time_to_return(&self, answer_time: Duration) -> Duration {
        answer_time.saturating_sub(self.max_time)
    }
}
