//! Refusals and their error body, in the form that chat clients expect.

use serde::{Deserialize, Serialize};

use crate::refusal_reason;

/// Whether the request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// Nothing was sent, or the backend server proved that it ran nothing.
    No,
    /// The request may have run.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", reason.code())]
pub struct RequestRefusal {
    pub reason: refusal_reason::RefusalReason,
    pub ran: RunState,
    /// Message for the caller. It names the field or part of the request at fault, if any.
    pub message: String,
}

impl RequestRefusal {
    /// Refusal of a request that did not run.
    pub fn not_run(reason: refusal_reason::RefusalReason, message: impl Into<String>) -> Self {
        Self { reason, ran: RunState::No, message: message.into() }
    }

    /// Refusal of a request that may have run.
    pub fn may_have_run(reason: refusal_reason::RefusalReason, message: impl Into<String>) -> Self {
        Self { reason, ran: RunState::Unknown, message: message.into() }
    }

    /// The refusal after earlier attempts. If one of them may have run, it never says that nothing
    /// ran.
    #[must_use]
    pub fn after_attempts(self, may_have_run: bool) -> Self {
        let ran = if may_have_run { RunState::Unknown } else { self.ran };
        Self { ran, ..self }
    }

    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                code: self.reason.code().to_owned(),
                message: self.message.clone(),
                kind: "yuccareel_refusal".to_owned(),
                ran: self.ran,
                param: None,
            },
        }
    }
}

/// JSON object of the answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: ErrorDetail,
}

/// Error object of chat clients, extended by the run state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Code of the reason.
    pub code: String,
    pub message: String,
    /// Error type, which is the same for all refusals.
    #[serde(rename = "type")]
    pub kind: String,
    pub ran: RunState,
    /// Always `null`; clients expect the field.
    pub param: Option<String>,
}
