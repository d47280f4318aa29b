//! Escalation of a call from the smallest model of its route to the largest.
//!
//! The models of a route are sorted from small to large. A small model is cheap and fast, and its
//! confidence is a rough measure of whether the call was too hard for it. An answer below the
//! confidence threshold is dropped before any of it is sent to the caller, and the largest model
//! answers instead. The threshold falls as the replicas of the largest model fill up.

use std::time::Duration;

/// Confidence, from 0 to 100, below which the answer of a smaller model is dropped while the load
/// on the largest model is low.
const MAX_CONFIDENCE_THRESHOLD: f64 = 43.0;
/// Requests at a replica of the largest model up to which its load is low.
const LOW_LOAD_REQUESTS: f64 = 4.0;
/// Requests at a replica of the largest model from which every answer of a smaller model is kept.
/// Each further request on a replica lengthens the engine steps of all others there.
const HIGH_LOAD_REQUESTS: f64 = 16.0;
/// Fraction of the latency objective that must be left for a second answer.
const MIN_OBJECTIVE_LEFT_FRACTION: f64 = 0.5;
/// Index of the model that answers first: the smallest.
pub const FIRST_MODEL_INDEX: usize = 0;

/// First answer of a call, with the state that decides whether a larger model answers it again.
#[derive(Clone, Copy, Debug)]
pub struct FirstAnswer {
    /// Index of the model that answered, among those of the route.
    pub model_index: usize,
    /// Number of models of the route.
    pub model_count: usize,
    /// Whether the call may run a second time; a call whose answer is dropped has already run once.
    pub is_repeatable: bool,
    /// Confidence that the model reported, from 0 to 100; `None` if it reported none.
    pub confidence: Option<u8>,
    /// Time left until the latency objective is missed.
    pub objective_left: Duration,
    pub latency_objective: Duration,
    /// Requests at the replica of the largest model that would be chosen; `None` if no replica can
    /// be chosen.
    pub largest_model_requests: Option<u32>,
}

/// Confidence below which an answer is dropped, given the requests at the replica of the largest
/// model. Falls linearly to 0 between low and high load.
pub fn confidence_threshold(largest_model_requests: u32) -> f64 {
    let excess = (f64::from(largest_model_requests) - LOW_LOAD_REQUESTS).max(0.0);
    MAX_CONFIDENCE_THRESHOLD * (1.0 - excess / (HIGH_LOAD_REQUESTS - LOW_LOAD_REQUESTS)).max(0.0)
}

/// Index of the model that answers next; `None` if the first answer is kept.
pub fn escalation_model_index(answer: &FirstAnswer) -> Option<usize> {
    let largest = answer.model_count.checked_sub(1)?;
    let (confidence, largest_model_requests) = (answer.confidence?, answer.largest_model_requests?);
    let is_unsure = f64::from(confidence) < confidence_threshold(largest_model_requests);
    let is_in_time =
        answer.objective_left >= answer.latency_objective.mul_f64(MIN_OBJECTIVE_LEFT_FRACTION);
    (answer.is_repeatable && answer.model_index < largest && is_unsure && is_in_time)
        .then_some(largest)
}
