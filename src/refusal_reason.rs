//! Closed set of reasons for which a request is refused.
//!
//! Each reason has a stable code, an HTTP status and a counter. Whether the
//! request ran is not part of the reason: it depends on how far it got.

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalReason {
    /// No bearer token.
    TokenMissing,
    /// Token of no customer.
    TokenUnknown,
    /// Body is not valid JSON or lacks a field.
    BodyInvalid,
    /// Body over the limit.
    BodyTooLarge,
    /// Headers over the limit.
    HeadersTooLarge,
    /// Caller sends too slowly.
    CallerSlow,
    /// No such path or method.
    RouteUnknown,
    /// Model in no record.
    ModelUnknown,
    /// Customer may not use the model or version.
    ModelNotAllowed,
    /// Every allowed version is withdrawn.
    VersionWithdrawn,
    /// The only permitted replicas stand in a drained data centre.
    DataCentreDrained,
    /// No live replica of an allowed version.
    NoReplica,
    /// Replicas are cold and bear no more now.
    ColdStart,
    /// Queue full, or the deadline cannot be met.
    Overloaded,
    /// Customer's rate limit.
    RateLimited,
    /// Customer's concurrency limit.
    ConcurrencyLimited,
    /// Customer's spend limit.
    SpendLimited,
    /// Node cannot confirm that its configuration is current.
    Isolated,
    /// Node has no configuration yet.
    NotReady,
    /// Claim for a call that may not be repeated cannot be recorded now.
    ClaimsUnavailable,
    /// Same idempotency key with a different request.
    IdempotencyConflict,
    /// Outcome of an earlier call under the same key is not known.
    OutcomeUnknown,
    /// Deadline passed.
    DeadlineExceeded,
    /// Back end failed and no retry is left.
    BackendFailed,
    /// Answer stopped before its end and could not be resumed.
    AnswerTruncated,
    /// Instance is shutting down.
    ShuttingDown,
}

impl RefusalReason {
    /// All reasons, for the metrics and the documentation test.
    pub const ALL: [Self; 26] = [
        Self::TokenMissing,
        Self::TokenUnknown,
        Self::BodyInvalid,
        Self::BodyTooLarge,
        Self::HeadersTooLarge,
        Self::CallerSlow,
        Self::RouteUnknown,
        Self::ModelUnknown,
        Self::ModelNotAllowed,
        Self::VersionWithdrawn,
        Self::DataCentreDrained,
        Self::NoReplica,
        Self::ColdStart,
        Self::Overloaded,
        Self::RateLimited,
        Self::ConcurrencyLimited,
        Self::SpendLimited,
        Self::Isolated,
        Self::NotReady,
        Self::ClaimsUnavailable,
        Self::IdempotencyConflict,
        Self::OutcomeUnknown,
        Self::DeadlineExceeded,
        Self::BackendFailed,
        Self::AnswerTruncated,
        Self::ShuttingDown,
    ];

    /// Stable code in error bodies and metric labels.
    pub fn code(self) -> &'static str {
        match self {
            Self::TokenMissing => "token_missing",
            Self::TokenUnknown => "token_unknown",
            Self::BodyInvalid => "body_invalid",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadersTooLarge => "headers_too_large",
            Self::CallerSlow => "caller_slow",
            Self::RouteUnknown => "route_unknown",
            Self::ModelUnknown => "model_unknown",
            Self::ModelNotAllowed => "model_not_allowed",
            Self::VersionWithdrawn => "version_withdrawn",
            Self::DataCentreDrained => "data_centre_drained",
            Self::NoReplica => "no_replica",
            Self::ColdStart => "cold_start",
            Self::Overloaded => "overloaded",
            Self::RateLimited => "rate_limited",
            Self::ConcurrencyLimited => "concurrency_limited",
            Self::SpendLimited => "spend_limited",
            Self::Isolated => "isolated",
            Self::NotReady => "not_ready",
            Self::ClaimsUnavailable => "claims_unavailable",
            Self::IdempotencyConflict => "idempotency_conflict",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::BackendFailed => "backend_failed",
            Self::AnswerTruncated => "answer_truncated",
            Self::ShuttingDown => "shutting_down",
        }
    }

    /// HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::TokenMissing | Self::TokenUnknown => 401,
            Self::BodyInvalid => 400,
            Self::BodyTooLarge => 413,
            Self::HeadersTooLarge => 431,
            Self::CallerSlow => 408,
            Self::RouteUnknown | Self::ModelUnknown => 404,
            Self::ModelNotAllowed => 403,
            Self::RateLimited | Self::ConcurrencyLimited | Self::SpendLimited => 429,
            Self::IdempotencyConflict => 422,
            Self::OutcomeUnknown => 409,
            Self::DeadlineExceeded => 504,
            Self::BackendFailed | Self::AnswerTruncated => 502,
            Self::VersionWithdrawn
            | Self::DataCentreDrained
            | Self::NoReplica
            | Self::ColdStart
            | Self::Overloaded
            | Self::Isolated
            | Self::NotReady
            | Self::ClaimsUnavailable
            | Self::ShuttingDown => 503,
        }
    }

    /// Seconds after which a retry may succeed, where waiting helps.
    pub fn retry_after_s(self) -> Option<u64> {
        match self {
            Self::ColdStart
            | Self::Overloaded
            | Self::RateLimited
            | Self::ConcurrencyLimited
            | Self::NotReady
            | Self::ShuttingDown => Some(1),
            Self::NoReplica | Self::Isolated | Self::ClaimsUnavailable => Some(5),
            Self::DataCentreDrained | Self::SpendLimited => Some(60),
            _ => None,
        }
    }
}
