//! Whether a larger model answers again when the answer of a small one is doubtful.
//!
//! In a shortage, the most doubtful answers whose escalation costs least go first: reading a short or
//! cached prompt again takes little of the room that long prompts compete for. No call escalates whose
//! answer the larger model could not complete before the deadline. It would be cut, and would keep
//! others waiting until then.

use std::time::Duration;

/// Confidence, from 0 to 100, below which an answer is dropped while the load is low.
const MAX_THRESHOLD: f64 = 43.0;
/// The same for an escalation that costs next to nothing.
const MAX_CHEAP_THRESHOLD: f64 = 55.0;
/// Lowest cost that counts in a shortage, as the events of a stream take time too.
const MIN_SHORTAGE_COST: f64 = 0.2;
/// Requests at a replica of the larger model up to which its load is low.
const LOW_LOAD_REQUESTS: f64 = 4.0;
/// Requests from which an escalation of mean cost is ruled out. Each further request on a replica
/// lengthens the engine steps of all others there.
const HIGH_LOAD_REQUESTS: f64 = 16.0;
/// Fraction of the latency objective that must be left for a second answer.
const MIN_OBJECTIVE_LEFT_FRACTION: f64 = 0.5;
/// Fraction of the time left until the deadline within which the events must come.
const MAX_TIME_FRACTION: f64 = 0.8;

/// Answer of a small model with what its escalation would take.
#[derive(Clone, Copy, Debug)]
pub struct DoubtfulAnswer {
    /// Confidence that the model reported, from 0 to 100.
    pub confidence: u8,
    /// Time left until the latency objective is missed.
    pub objective_left: Duration,
    pub latency_objective: Duration,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Expected time from the first event of the larger model to the last.
    pub generation_time: Duration,
    /// Requests at the replica of the larger model that would be chosen.
    pub requests: u32,
    /// Tokens to read there, relative to the mean of the calls of the larger model.
    pub relative_cost: f64,
}

impl DoubtfulAnswer {
    /// Confidence below which the answer is dropped.
    pub fn threshold(&self) -> f64 {
        let cost = self.relative_cost.clamp(0.0, 1.0);
        let highest = MAX_CHEAP_THRESHOLD + (MAX_THRESHOLD - MAX_CHEAP_THRESHOLD) * cost;
        let excess = f64::from(self.requests) - LOW_LOAD_REQUESTS;
        let shortage = excess.max(0.0) / (HIGH_LOAD_REQUESTS - LOW_LOAD_REQUESTS);
        highest * (1.0 - shortage * cost.max(MIN_SHORTAGE_COST)).max(0.0)
    }

    /// Whether the larger model answers again.
    pub fn escalates(&self) -> bool {
        let min_objective_left = self.latency_objective.mul_f64(MIN_OBJECTIVE_LEFT_FRACTION);
        f64::from(self.confidence) < self.threshold()
            && self.objective_left >= min_objective_left
            && self.generation_time < self.time_left.mul_f64(MAX_TIME_FRACTION)
    }
}
