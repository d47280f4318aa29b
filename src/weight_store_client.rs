//! Client of the platform's weight store, from which engines load.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit of the weight store over all engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightStoreLimit {
    /// Loads that may start per second.
    pub loads_per_s: f64,
}

/// Error of a read of the limit.
#[derive(Debug, thiserror::Error)]
#[error("weight store: {0}")]
pub struct WeightStoreError(#[from] reqwest::Error);

/// Client of the weight store.
#[derive(Clone, Debug)]
pub struct WeightStoreClient {
    http: reqwest::Client,
    base_url: String,
}

impl WeightStoreClient {
    /// Client for a base URL.
    pub fn new(http: reqwest::Client, base_url: impl Into<String>) -> Self {
        Self { http, base_url: base_url.into() }
    }

    /// Reads the limit.
    ///
    /// # Errors
    /// When the store cannot be reached, is slower than 2 s or answers with anything but a limit.
    pub async fn read_limit(&self) -> Result<WeightStoreLimit, WeightStoreError> {
        let url = format!("{}/limits", self.base_url);
        let reply = self.http.get(url).timeout(CALL_TIMEOUT).send().await?;
        Ok(reply.error_for_status()?.json().await?)
    }
}
