//! Client of the platform's weight store, from which engines load.

use std::time::Duration;

use serde::{Deserialize, Serialize};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Rate limit of the weight store for all engines together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightStoreLimit {
    /// Loads that may start per second.
    pub loads_per_s: f64,
}

/// Failure to read the limit.
#[derive(Debug, thiserror::Error)]
#[error("weight store: {0}")]
pub struct WeightStoreError(#[from] reqwest::Error);

#[derive(Clone, Debug)]
pub struct WeightStoreClient {
    http: reqwest::Client,
    base_url: String,
}

impl WeightStoreClient {
    pub fn new(http: reqwest::Client, base_url: impl Into<String>) -> Self {
        Self { http, base_url: base_url.into() }
    }

    /// Reads the current rate limit.
    ///
    /// # Errors
    /// If the store cannot be reached, does not answer within 2 s or answers with anything else.
    pub async fn read_limit(&self) -> Result<WeightStoreLimit, WeightStoreError> {
        let url = format!("{}/limits", self.base_url);
        let reply = self.http.get(url).timeout(CALL_TIMEOUT).send().await?;
        Ok(reply.error_for_status()?.json().await?)
    }
}
