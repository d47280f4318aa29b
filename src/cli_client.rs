//! Calls of the command-line tool to the administration API.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::admin_types::{AdminFault, HistoryReply};
use crate::cli_exit::CliExit;

/// Time for one call; longer than the node's own limit for an apply.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Changes searched for a lost answer: the whole history.
const SEARCH_LIMIT: u64 = crate::config_plan::HISTORY_LENGTH;

/// Client of one instance.
#[derive(Clone, Debug)]
pub struct CliClient {
    http: reqwest::Client,
    server: String,
    token: String,
}

/// Error of a call.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent.
    #[error("server cannot be reached: {0}")]
    Unreachable(String),
    /// The answer is missing or unreadable.
    #[error("no usable answer from the server: {0}")]
    NoAnswer(String),
    /// The server refused.
    #[error("{}: {}", .0.error.code, .0.error.message)]
    Refused(Box<AdminFault>),
}

impl CallError {
    /// Exit code for the error.
    pub fn exit(&self) -> CliExit {
        match self {
            Self::Unreachable(_) => CliExit::Unreachable,
            Self::NoAnswer(_) => CliExit::Unknown,
            Self::Refused(fault) => match fault.error.code.as_str() {
                "records_invalid" => CliExit::Findings,
                "conflict" | "expected_sequence_unknown" => CliExit::Conflict,
                "outcome_unknown" => CliExit::Unknown,
                "record_unknown" => CliExit::NotFound,
                _ => CliExit::Refused,
            },
        }
    }
}

impl CliClient {
    /// Client of the instance behind a base URL.
    pub fn new(server: &str, token: &str) -> Self {
        let http = reqwest::Client::new();
        Self { http, server: server.to_owned(), token: token.to_owned() }
    }

    /// Reads a resource below `/admin/v1`.
    ///
    /// # Errors
    /// See `CallError`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        self.send(self.http.get(self.url(path))).await
    }

    /// Calls an operation below `/admin/v1`.
    ///
    /// # Errors
    /// See `CallError`; with `NoAnswer` the operation may have taken effect.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &(impl Serialize + Sync),
    ) -> Result<T, CallError> {
        self.send(self.http.post(self.url(path)).json(body)).await
    }

    /// Sequence number of the change with an apply id, when the history holds it.
    ///
    /// # Errors
    /// See `CallError`.
    pub async fn find_change(&self, apply_id: &str) -> Result<Option<u64>, CallError> {
        let history: HistoryReply = self.get(&format!("history?limit={SEARCH_LIMIT}")).await?;
        let own = history.changes.iter().find(|change| change["apply_id"] == apply_id);
        Ok(own.and_then(|change| change["sequence"].as_u64()))
    }

    fn url(&self, path: &str) -> String {
        format!("{}/admin/v1/{path}", self.server)
    }

    async fn send<T: DeserializeOwned>(
        &self,
        request: reqwest::RequestBuilder,
    ) -> Result<T, CallError> {
        let request = request.bearer_auth(&self.token).timeout(CALL_TIMEOUT);
        let reply = request.send().await.map_err(|error| {
            let message = describe(&error);
            if error.is_connect() || error.is_builder() {
                CallError::Unreachable(message)
            } else {
                CallError::NoAnswer(message)
            }
        })?;
        let status = reply.status();
        let bytes = reply.bytes().await.map_err(|error| CallError::NoAnswer(describe(&error)))?;
        if !status.is_success() {
            return Err(match serde_json::from_slice(&bytes) {
                Ok(fault) => CallError::Refused(Box::new(fault)),
                Err(_) => CallError::NoAnswer(format!("status {status}")),
            });
        }
        serde_json::from_slice(&bytes).map_err(|error| CallError::NoAnswer(error.to_string()))
    }
}

/// Message of an error with its causes.
fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        text.push_str(&format!(": {inner}"));
        cause = inner.source();
    }
    text
}
