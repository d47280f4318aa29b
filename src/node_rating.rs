//! Rating of answers, before delivery to decide on escalation or after it to learn pass rates.

use std::sync::Arc;

use rand::RngExt as _;

use crate::event_catalogue::LogEvent;
use crate::{cascade_policy, chat_job, node, node_rollout, quality_table, rating_client};

/// Fraction of delivered answers that are rated for learning.
const LEARNING_SAMPLE_RATE: f64 = 0.1;
/// Weight of one rated answer in the quality table.
const ANSWER_WEIGHT: f64 = 1.0;

/// Answer to rate, with the keys under which the outcome is recorded.
#[derive(Clone, Debug)]
pub struct AnswerSample {
    pub cell: quality_table::QualityCell,
    pub target: chat_job::VersionTarget,
    /// Minimum score of a good answer.
    pub quality_target: f64,
    pub prompt: String,
    pub answer: String,
    /// Whether the plan of the request was drawn for exploration.
    pub is_exploration: bool,
}

impl node::Node {
    /// Whether ratings are available to a plan.
    pub fn rating_availability(&self, is_streamed: bool) -> cascade_policy::RatingAvailability {
        let is_available =
            self.options.rating.is_some() && self.rating_health.lock().is_available();
        match (is_available, is_streamed) {
            (true, true) => cascade_policy::RatingAvailability::Streamed,
            (true, false) => cascade_policy::RatingAvailability::Available,
            (false, _) => cascade_policy::RatingAvailability::Unavailable,
        }
    }

    /// Score of an answer, which is also recorded; `None` if the rating fails or times out.
    pub async fn rate_answer(&self, sample: AnswerSample) -> Option<f64> {
        let service = self.options.rating.as_ref()?;
        let request = rating_client::RatingRequest {
            customer: sample.cell.customer.to_string(),
            kind: sample.cell.kind.to_string(),
            prompt: sample.prompt,
            answer: sample.answer,
        };
        let score = service.rate(request).await;
        self.rating_health.lock().record(score.is_ok());
        let Ok(score) = score else {
            metrics::counter!("yuccareel_ratings_failed_total").increment(1);
            self.emit(LogEvent::RatingFailed, slog::o!());
            return None;
        };
        let passed = cascade_policy::meets_target(score, sample.quality_target);
        self.quality.lock().record(&sample.cell, passed, ANSWER_WEIGHT);
        self.record_rollout_outcome(&sample.target, node_rollout::AnswerOutcome::Rated(passed));
        Some(score)
    }

    /// Rates a delivered answer in the background if its plan is an exploration, its version is
    /// under rollout, it is drawn for learning, or a probe of the rating service is due.
    pub fn rate_delivered_answer(self: &Arc<Self>, sample: AnswerSample) {
        let (is_available, is_probe) = {
            let mut health = self.rating_health.lock();
            (health.is_available(), health.try_take_probe(self.clock()))
        };
        let is_sampled = sample.is_exploration
            || self.is_under_rollout(&sample.target)
            || rand::rng().random_bool(LEARNING_SAMPLE_RATE);
        if is_probe || is_available && is_sampled {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.rate_answer(sample).await });
        }
    }
}
