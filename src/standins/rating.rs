//! Answer-rating stand-in with its fault switches.
//!
//! The difficulty of a request is a hash of its prompt, so that tests know which
//! answers are good without asking. An answer names its model and the ability
//! with which it was made.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use salvo::prelude::{Depot, Request, Response, Router, StatusCode, handler};
use xxhash_rust::xxh3;

use crate::rating_client;

/// Share of the difficulty that all models meet alike; the rest differs by model.
const SHARED_DIFFICULTY: f64 = 0.8;
/// Ability of an answer that names none.
const UNKNOWN_ABILITY: f64 = 0.5;
/// Seeds that keep the hashes of one text independent of each other.
const DIFFICULTY_SEED: u64 = 1;
const MODEL_SEED: u64 = 2;
const SCORE_SEED: u64 = 3;
const WRONG_SEED: u64 = 4;

/// Fault switches.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct RatingFaults {
    /// Every call is refused.
    pub outage: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Share of answers that are rated the wrong way round, 0 to 1.
    pub wrong_share: f64,
}

/// Rating stand-in; clones share their switches.
#[derive(Clone, Debug, Default)]
pub struct RatingStandin {
    /// Fault switches.
    pub faults: Arc<Mutex<RatingFaults>>,
    calls: Arc<AtomicU64>,
}

/// Text of an answer of a model with an ability, 0 to 1.
pub fn answer_text(model: &str, ability: f64) -> String {
    format!("model={model} ability={ability:.4}")
}

/// Whether a model with an ability answers a prompt well.
pub fn is_good(prompt: &str, model: &str, ability: f64) -> bool {
    let shared = unit_hash(prompt.as_bytes(), DIFFICULTY_SEED);
    let own = unit_hash(format!("{model} {prompt}").as_bytes(), MODEL_SEED);
    SHARED_DIFFICULTY * shared + (1.0 - SHARED_DIFFICULTY) * own < ability
}

/// Score of an answer when a share of ratings is wrong.
pub fn score(prompt: &str, answer: &str, wrong_share: f64) -> f64 {
    let both = format!("{prompt} {answer}");
    let good = is_good(prompt, field(answer, "model=").unwrap_or(""), answer_ability(answer));
    let wrong = unit_hash(both.as_bytes(), WRONG_SEED) < wrong_share;
    let spread = unit_hash(both.as_bytes(), SCORE_SEED);
    if good == wrong { 0.5 * spread } else { 1.0 - 0.01 * spread }
}

/// Number in `[0, 1)` that depends on a text and a seed only.
pub fn unit_hash(text: &[u8], seed: u64) -> f64 {
    (xxh3::xxh3_64_with_seed(text, seed) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Routes of the service.
pub fn router(service: RatingStandin) -> Router {
    Router::with_path("rate").post(RateHandler { service })
}

impl RatingStandin {
    /// Number of ratings asked for.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    async fn answer(
        &self,
        request: &rating_client::RatingRequest,
    ) -> Result<f64, rating_client::RatingError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let faults = self.faults.lock().clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage {
            return Err(rating_client::RatingError::Failed("outage".to_owned()));
        }
        Ok(score(&request.prompt, &request.answer, faults.wrong_share))
    }
}

impl rating_client::RatingService for RatingStandin {
    fn rate(
        &self,
        request: rating_client::RatingRequest,
    ) -> BoxFuture<'_, Result<f64, rating_client::RatingError>> {
        async move {
            tokio::time::timeout(rating_client::RATING_TIMEOUT, self.answer(&request))
                .await
                .unwrap_or(Err(rating_client::RatingError::TimedOut))
        }
        .boxed()
    }
}

struct RateHandler {
    service: RatingStandin,
}

#[handler]
impl RateHandler {
    async fn handle(&self, request: &mut Request, _depot: &mut Depot, response: &mut Response) {
        let Ok(body) = request.parse_json::<rating_client::RatingRequest>().await else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        match self.service.answer(&body).await {
            Ok(score) => response.render(salvo::writing::Json(rating_client::RatingBody { score })),
            Err(_) => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }
}

fn answer_ability(answer: &str) -> f64 {
    field(answer, "ability=").and_then(|text| text.parse().ok()).unwrap_or(UNKNOWN_ABILITY)
}

/// Word that follows a name in an answer.
fn field<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    answer.split_whitespace().find_map(|word| word.strip_prefix(name))
}
