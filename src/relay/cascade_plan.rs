//! Which of a route's models answers a call, and whether its answer is kept.
//!
//! Models stand from small to large. A small one costs little and is quick; its confidence says,
//! roughly, whether the call was too hard for it. An answer below the threshold is dropped before
//! the caller has any of it, and the largest model answers.

use std::time::Duration;

/// Confidence, 0 to 100, below which an answer of a smaller model is dropped while the replicas of
/// the largest one have room.
const MAX_CONFIDENCE_THRESHOLD: f64 = 43.0;
/// Requests at a replica of the largest model up to which it has room.
const LOW_LOAD_REQUESTS: f64 = 4.0;
/// Requests at a replica of the largest model from which every answer of a smaller one is kept.
/// Each further request there lengthens the steps of all.
const HIGH_LOAD_REQUESTS: f64 = 16.0;
/// Part of the objective that must be left for a second answer.
const MIN_OBJECTIVE_LEFT_FRACTION: f64 = 0.5;
/// Position of the model that answers first: the smallest.
pub const FIRST_MODEL_INDEX: usize = 0;

/// First answer of a call, and what a second one would meet.
#[derive(Clone, Copy, Debug)]
pub struct FirstAnswer {
    /// Position of the model.
    pub model_index: usize,
    /// Models of the route.
    pub model_count: usize,
    /// Whether the call may run again; a dropped answer has run.
    pub repeatable: bool,
    /// Confidence that the model states.
    pub confidence: Option<u8>,
    /// Time left of the objective.
    pub objective_left: Duration,
    /// Objective.
    pub objective: Duration,
    /// Requests at the replica of the largest model that would be chosen; none if there is none.
    pub largest_model_requests: Option<u32>,
}

/// Confidence below which an answer is dropped, given the requests at the next replica.
pub fn confidence_threshold(largest_model_requests: u32) -> f64 {
    let excess = (f64::from(largest_model_requests) - LOW_LOAD_REQUESTS).max(0.0);
    MAX_CONFIDENCE_THRESHOLD * (1.0 - excess / (HIGH_LOAD_REQUESTS - LOW_LOAD_REQUESTS)).max(0.0)
}

/// Position of the model that answers next, if the first answer is to be dropped.
pub fn escalation_model_index(answer: &FirstAnswer) -> Option<usize> {
    let largest = answer.model_count.checked_sub(1)?;
    let (confidence, largest_model_requests) = (answer.confidence?, answer.largest_model_requests?);
    let is_unsure = f64::from(confidence) < confidence_threshold(largest_model_requests);
    let is_in_time = answer.objective_left >= answer.objective.mul_f64(MIN_OBJECTIVE_LEFT_FRACTION);
    (answer.repeatable && answer.model_index < largest && is_unsure && is_in_time)
        .then_some(largest)
}
