//! Refusals of the administration API with their HTTP status.

use salvo::http::{HeaderValue, StatusCode, header};
use salvo::prelude::Response;
use salvo::writing::Json;

use crate::admin_types::AdminFault;
use crate::config_apply::ApplyError;
use crate::error_body::{ErrorDetail, RequestRefusal, RunState};
use crate::ids;
use crate::refusal_reason::RefusalReason;

/// Seconds after which a failed call to the key-value service may be repeated.
const STORE_RETRY_S: u64 = 5;

/// Refusal of one call.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// Refusal that other calls share.
    #[error(transparent)]
    Refused(#[from] RequestRefusal),
    /// Change that was not accepted.
    #[error("{error}")]
    Apply {
        /// What went wrong.
        error: ApplyError,
        /// Identifier of the call.
        apply_id: ids::ApplyId,
    },
    /// The history cannot be read.
    #[error("{0}")]
    Store(#[from] crate::config_apply::ConfigError),
    /// No such record.
    #[error("no record {0}")]
    RecordUnknown(String),
}

impl AdminError {
    /// Refusal of a body that cannot be used.
    pub fn body(message: impl Into<String>) -> Self {
        Self::Refused(RequestRefusal::not_run(RefusalReason::BodyInvalid, message))
    }

    /// Status and stable code.
    pub fn status_code(&self) -> (u16, &'static str) {
        match self {
            Self::Refused(refusal) => (refusal.reason.status(), refusal.reason.code()),
            Self::Store(_) => (503, "store_failed"),
            Self::RecordUnknown(_) => (404, "record_unknown"),
            Self::Apply { error, .. } => match error {
                ApplyError::Findings(_) => (422, "records_invalid"),
                ApplyError::Conflict(_) => (409, "conflict"),
                ApplyError::ExpectedUnknown { .. } => (409, "expected_sequence_unknown"),
                ApplyError::TooLarge { .. } => (413, "change_too_large"),
                ApplyError::Contended(_) => (503, "contended"),
                ApplyError::Refused(refusal) => (refusal.reason.status(), refusal.reason.code()),
                ApplyError::Store(_) => (503, "store_failed"),
                ApplyError::OutcomeUnknown { .. } => (504, "outcome_unknown"),
            },
        }
    }

    fn retry_after_s(&self) -> Option<u64> {
        match self {
            Self::Refused(refusal) => refusal.reason.retry_after_s(),
            Self::Store(_) | Self::Apply { error: ApplyError::Store(_), .. } => Some(STORE_RETRY_S),
            Self::Apply { error: ApplyError::Contended(_), .. } => Some(1),
            _ => None,
        }
    }

    fn ran(&self) -> RunState {
        match self {
            Self::Refused(refusal) => refusal.ran,
            Self::Apply { error: ApplyError::OutcomeUnknown { .. }, .. } => RunState::Unknown,
            _ => RunState::No,
        }
    }

    /// Writes the refusal to a response.
    pub fn render(self, response: &mut Response) {
        let (status, code) = self.status_code();
        let error = ErrorDetail {
            code: code.to_owned(),
            message: match &self {
                Self::Refused(refusal) => refusal.message.clone(),
                other => other.to_string(),
            },
            kind: "yuccareel_refusal".to_owned(),
            ran: self.ran(),
            param: None,
        };
        response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST));
        if let Some(seconds) = self.retry_after_s() {
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        let mut fault = AdminFault { error, findings: Vec::new(), conflict: None, apply_id: None };
        if let Self::Apply { error, apply_id } = self {
            fault.apply_id = Some(apply_id);
            match error {
                ApplyError::Findings(findings) => fault.findings = findings,
                ApplyError::Conflict(conflict) => fault.conflict = Some(conflict),
                _ => {}
            }
        }
        response.render(Json(fault));
    }
}
