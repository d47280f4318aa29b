//! Command interface of model engines.
//!
//! `POST /orders` takes an order, which is a command with a fencing token; `GET /state` returns
//! what is loaded. Some engines refuse a token older than the newest they have received, others
//! ignore the token.

use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::ids;

/// Timeout of one call. An engine answers an order at once and reports the version after loading.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum EngineCommand {
    LoadVersion {
        model: ids::ModelName,
        version: ids::VersionName,
    },
    /// Loads an adapter in addition to the loaded version.
    LoadAdapter {
        adapter: String,
    },
    ChangeRole {
        role: String,
    },
}

/// Command with the fencing token of the rollout lease holder that sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Create revision of the holder key.
    pub token: ids::FencingToken,
    pub command: EngineCommand,
}

/// What an engine reports to have loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    pub model: ids::ModelName,
    pub version: ids::VersionName,
    /// Token of the last order that took effect; 0 before the first.
    #[serde(default)]
    pub token: ids::FencingToken,
    /// Loaded adapters; empty if the engine does not report them.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// `None` if the engine does not report its role.
    #[serde(default)]
    pub role: Option<String>,
}

impl EngineState {
    /// Whether the state shows that the command is in effect.
    pub fn has_applied(&self, command: &EngineCommand) -> bool {
        match command {
            EngineCommand::LoadVersion { model, version } => {
                self.model == *model && self.version == *version
            }
            EngineCommand::LoadAdapter { adapter } => self.adapters.contains(adapter),
            EngineCommand::ChangeRole { role } => self.role.as_ref() == Some(role),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The engine has received a newer token.
    #[error("engine refused the order: fencing token is outdated")]
    OldToken,
    /// The call had no effect: the engine refused it or the connection.
    #[error("engine refused the call: {0}")]
    Refused(String),
    /// No valid answer; the order may have taken effect.
    #[error("no valid answer from the engine: {0}")]
    NoAnswer(String),
}

/// Command interface of one engine.
pub trait EngineControl: Send + Sync {
    /// Reads what the engine has loaded.
    ///
    /// # Errors
    /// If the call fails or the answer is not valid.
    fn read_state(&self) -> BoxFuture<'_, Result<EngineState, EngineError>>;

    /// Sends an order. `Ok` means that the engine has accepted it, not that it is in effect.
    ///
    /// # Errors
    /// `NoAnswer` if the order may have taken effect, else the order had no effect.
    fn send_order(&self, order: EngineOrder) -> BoxFuture<'_, Result<(), EngineError>>;
}

/// Command interface over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngineControl {
    http: reqwest::Client,
    base_url: String,
}

impl HttpEngineControl {
    pub fn new(http: reqwest::Client, base_url: impl Into<String>) -> Self {
        Self { http, base_url: base_url.into() }
    }
}

impl EngineControl for HttpEngineControl {
    fn read_state(&self) -> BoxFuture<'_, Result<EngineState, EngineError>> {
        async move {
            let url = format!("{}/state", self.base_url);
            let response =
                self.http.get(url).timeout(CALL_TIMEOUT).send().await.map_err(no_answer)?;
            check_status(response)?.json().await.map_err(no_answer)
        }
        .boxed()
    }

    fn send_order(&self, order: EngineOrder) -> BoxFuture<'_, Result<(), EngineError>> {
        async move {
            let url = format!("{}/orders", self.base_url);
            let request = self.http.post(url).timeout(CALL_TIMEOUT).json(&order);
            check_status(request.send().await.map_err(no_answer)?).map(drop)
        }
        .boxed()
    }
}

fn no_answer(error: reqwest::Error) -> EngineError {
    if error.is_connect() {
        EngineError::Refused(error.to_string())
    } else {
        EngineError::NoAnswer(error.to_string())
    }
}

fn check_status(response: reqwest::Response) -> Result<reqwest::Response, EngineError> {
    let status = response.status();
    if status == reqwest::StatusCode::CONFLICT {
        return Err(EngineError::OldToken);
    }
    if status.is_client_error() || status == reqwest::StatusCode::SERVICE_UNAVAILABLE {
        return Err(EngineError::Refused(status.to_string()));
    }
    if !status.is_success() {
        return Err(EngineError::NoAnswer(status.to_string()));
    }
    Ok(response)
}
