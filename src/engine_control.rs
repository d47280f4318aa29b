//! Command interface of model engines.
//!
//! `POST /orders` takes a command with a fencing token, `GET /state` tells what is
//! loaded. Some engines refuse a token older than the newest they have seen,
//! others ignore it.

use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::ids;

/// Time for one call; an engine that loads answers at once and reports the version when it is in.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Command to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum EngineCommand {
    /// Loads a version of a model.
    LoadVersion {
        /// Model.
        model: ids::ModelName,
        /// Version.
        version: ids::VersionName,
    },
    /// Loads an adapter beside the version that is loaded.
    LoadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Changes the engine's role.
    ChangeRole {
        /// Role.
        role: String,
    },
}

/// Command with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Create revision of the holder key.
    pub token: ids::FencingToken,
    /// Command.
    pub command: EngineCommand,
}

/// What an engine has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Model.
    pub model: ids::ModelName,
    /// Version.
    pub version: ids::VersionName,
    /// Token of the last order that took effect; 0 when there was none.
    #[serde(default)]
    pub token: ids::FencingToken,
    /// Adapters, if the engine reports them.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Role, if the engine reports it.
    #[serde(default)]
    pub role: Option<String>,
}

impl EngineState {
    /// Whether a command is in effect.
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

/// Error of a call to an engine's command interface.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The engine has seen a newer token.
    #[error("engine refused an old fencing token")]
    OldToken,
    /// The engine refused the call; it had no effect.
    #[error("engine refused the call: {0}")]
    Refused(String),
    /// No readable answer; an order may have taken effect.
    #[error("engine did not answer: {0}")]
    NoAnswer(String),
}

/// Command interface of one engine.
pub trait EngineControl: Send + Sync {
    /// Reads what is loaded.
    fn read_state(&self) -> BoxFuture<'_, Result<EngineState, EngineError>>;

    /// Sends an order.
    fn send_order(&self, order: EngineOrder) -> BoxFuture<'_, Result<(), EngineError>>;
}

/// Command interface over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngineControl {
    http: reqwest::Client,
    base_url: String,
}

impl HttpEngineControl {
    /// Client for an engine's base URL.
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
