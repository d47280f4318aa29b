//! Ratings: asked before a decision, or later for learning.

use std::sync::Arc;

use rand::RngExt as _;

use crate::event_catalogue::LogEvent;
use crate::{cascade_policy, chat_job, node, node_rollout, quality_table, rating_client};

/// Share of delivered answers that are rated for learning.
const LEARNING_SAMPLE_RATE: f64 = 0.1;
/// Influence of one rated answer.
const ANSWER_WEIGHT: f64 = 1.0;

/// Answer with what its rating is recorded under.
#[derive(Clone, Debug)]
pub struct AnswerSample {
    /// Customer, kind and model.
    pub cell: quality_table::QualityCell,
    /// Model and version.
    pub target: chat_job::VersionTarget,
    /// Score from which the answer is good enough.
    pub quality_target: f64,
    /// Prompt.
    pub prompt: String,
    /// Answer.
    pub answer: String,
    /// Whether the plan of the request was chosen for learning.
    pub is_exploration: bool,
}

impl node::Node {
    /// What a plan may expect of ratings.
    pub fn rating_availability(&self, streamed: bool) -> cascade_policy::RatingAvailability {
        let available = self.options.rating.is_some() && self.rating_health.lock().is_available();
        match (available, streamed) {
            (true, true) => cascade_policy::RatingAvailability::Streamed,
            (true, false) => cascade_policy::RatingAvailability::Available,
            (false, _) => cascade_policy::RatingAvailability::Unavailable,
        }
    }

    /// Rates an answer within the time for one rating; none when the service is slow or gone.
    pub async fn rate_answer(&self, rated: AnswerSample) -> Option<f64> {
        let service = self.options.rating.as_ref()?;
        let request = rating_client::RatingRequest {
            customer: rated.cell.customer.to_string(),
            kind: rated.cell.kind.to_string(),
            prompt: rated.prompt,
            answer: rated.answer,
        };
        let score = service.rate(request).await;
        self.rating_health.lock().record(score.is_ok());
        let Ok(score) = score else {
            metrics::counter!("yuccareel_ratings_failed_total").increment(1);
            self.emit(LogEvent::RatingFailed, slog::o!());
            return None;
        };
        let passed = cascade_policy::meets_target(score, rated.quality_target);
        self.quality.lock().record(&rated.cell, passed, ANSWER_WEIGHT);
        self.note_outcome(&rated.target, node_rollout::AnswerOutcome::Rated(passed));
        Some(score)
    }

    /// Rates a delivered answer when it is evidence, is_exploration or sampled for learning, or a probe.
    pub fn rate_delivered_answer(self: &Arc<Self>, rated: AnswerSample) {
        let (available, probe) = {
            let mut health = self.rating_health.lock();
            (health.is_available(), health.try_take_probe(self.clock()))
        };
        let sampled = rated.is_exploration
            || self.under_rollout(&rated.target)
            || rand::rng().random_bool(LEARNING_SAMPLE_RATE);
        if probe || available && sampled {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.rate_answer(rated).await });
        }
    }
}
