//! Typed error body of every refusal.

use serde::{Deserialize, Serialize};

use crate::refusal_reason;

/// Whether the request ran on a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// Nothing was sent, or the back end proved that it ran nothing.
    No,
    /// The request may have run.
    Unknown,
}

/// Refusal with its reason, run state and message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", reason.code())]
pub struct RequestRefusal {
    /// Reason of the refusal.
    pub reason: refusal_reason::RefusalReason,
    /// Whether the request ran.
    pub ran: RunState,
    /// Message that names the place of the fault.
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

    /// JSON value of the error body.
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

/// Outer object of an error body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Error as chat clients read it, with the run state added.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Reason code.
    pub code: String,
    /// Message for people.
    pub message: String,
    /// Constant error type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Whether the request ran.
    pub ran: RunState,
    /// Always null; clients expect the field.
    pub param: Option<String>,
}
