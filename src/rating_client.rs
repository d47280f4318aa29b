//! Client of the answer-rating service.
//!
//! A rating delays the answer, so each call times out after 150 ms. `RatingHealth`
//! lets requests skip the rating while the service is slow or unreachable.

use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// Timeout of one rating.
pub const RATING_TIMEOUT: Duration = Duration::from_millis(150);
/// Consecutive failures after which the service counts as unavailable.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Minimum time between two probes of an unavailable service.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Answer to be rated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingRequest {
    pub customer: String,
    pub kind: String,
    pub prompt: String,
    pub answer: String,
}

/// Reason why an answer could not be rated.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RatingError {
    /// No response within `RATING_TIMEOUT`.
    #[error("rating service timed out")]
    TimedOut,
    /// The service cannot be reached or refused the call.
    #[error("rating service failed: {0}")]
    Failed(String),
    /// The response has no score from 0 to 1.
    #[error("rating service returned an invalid body: {0}")]
    Unreadable(String),
}

/// Answer-rating service.
pub trait RatingService: Send + Sync {
    /// Rates an answer, 0 to 1, within `RATING_TIMEOUT`.
    fn rate(&self, request: RatingRequest) -> BoxFuture<'_, Result<f64, RatingError>>;
}

/// Rating service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpRatingService {
    http: reqwest::Client,
    base_url: String,
}

impl HttpRatingService {
    /// Client for a base URL.
    pub fn new(http: reqwest::Client, base_url: impl Into<String>) -> Self {
        Self { http, base_url: base_url.into() }
    }

    async fn call(&self, request: &RatingRequest) -> Result<f64, RatingError> {
        let url = format!("{}/rate", self.base_url);
        let reply = self.http.post(url).json(request).send().await;
        let reply = reply.and_then(reqwest::Response::error_for_status);
        let reply = reply.map_err(|error| RatingError::Failed(error.to_string()))?;
        let body: RatingBody =
            reply.json().await.map_err(|error| RatingError::Unreadable(error.to_string()))?;
        if !(0.0..=1.0).contains(&body.score) {
            return Err(RatingError::Unreadable(format!("score {}", body.score)));
        }
        Ok(body.score)
    }
}

impl RatingService for HttpRatingService {
    fn rate(&self, request: RatingRequest) -> BoxFuture<'_, Result<f64, RatingError>> {
        async move {
            tokio::time::timeout(RATING_TIMEOUT, self.call(&request))
                .await
                .unwrap_or(Err(RatingError::TimedOut))
        }
        .boxed()
    }
}

/// Response body of the service.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RatingBody {
    /// Score, 0 to 1.
    pub score: f64,
}

/// Health of the rating service, from the calls of this node.
#[derive(Clone, Debug, Default)]
pub struct RatingHealth {
    failures: u32,
    last_probe: Option<Duration>,
}

impl RatingHealth {
    /// Records the outcome of a rating.
    pub fn record(&mut self, succeeded: bool) {
        self.failures = if succeeded { 0 } else { self.failures.saturating_add(1) };
    }

    /// Whether plans may rely on ratings.
    pub fn is_available(&self) -> bool {
        self.failures < MAX_CONSECUTIVE_FAILURES
    }

    /// Whether to rate a delivered answer in order to probe the service.
    ///
    /// Returns `true` at most once per `PROBE_INTERVAL`, and only while the service is unavailable.
    pub fn try_take_probe(&mut self, now: Duration) -> bool {
        let is_due = self.last_probe.is_none_or(|last| now.saturating_sub(last) >= PROBE_INTERVAL);
        if self.is_available() || !is_due {
            return false;
        }
        self.last_probe = Some(now);
        true
    }
}
