//! Reasons for which a request is refused.
//!
//! The set is closed. Each reason has a stable code, an HTTP status and a counter. Whether the
//! request ran is not part of the reason, as it depends on how far the request got.

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The request has no bearer token.
    TokenMissing,
    /// The token belongs to no customer.
    TokenUnknown,
    /// The body is not valid JSON, or a field is missing or invalid.
    BodyInvalid,
    /// The body exceeds its size limit.
    BodyTooLarge,
    /// The headers exceed their size limit.
    HeadersTooLarge,
    /// The caller sends the request too slowly.
    CallerSlow,
    /// No route matches the path and method.
    RouteUnknown,
    /// No record exists for the model.
    ModelUnknown,
    /// The route does not lead to the model that the caller names.
    ModelNotOnRoute,
    /// The customer may not use the model or version.
    ModelNotAllowed,
    /// All allowed versions are withdrawn.
    VersionWithdrawn,
    /// The only permitted replicas are in a drained data centre.
    DataCentreDrained,
    /// No replica of an allowed version is live.
    NoReplica,
    /// The replicas are cold and at their concurrency limit.
    ColdStart,
    /// The queue is full, or the deadline cannot be met.
    Overloaded,
    /// Replicas crash under a part of the prompt.
    PromptQuarantined,
    /// The customer exceeds its rate limit.
    RateLimited,
    /// The customer exceeds its concurrency limit.
    ConcurrencyLimited,
    /// The customer exceeds its spend limit for the day.
    SpendLimited,
    /// The node cannot confirm that its configuration is current.
    Isolated,
    /// The node has no configuration yet.
    NotReady,
    /// The claim of a call that must not be repeated cannot be recorded now.
    ClaimsUnavailable,
    /// The idempotency key was used with a different request.
    IdempotencyConflict,
    /// The outcome of an earlier call with the same idempotency key is unknown.
    OutcomeUnknown,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The backend server failed, and no retry is left.
    BackendFailed,
    /// The answer was truncated and could not be resumed.
    AnswerTruncated,
    /// The instance is shutting down.
    ShuttingDown,
}

impl RefusalReason {
    /// Every reason, for the API description.
    pub const ALL: [Self; 28] = [
        Self::TokenMissing,
        Self::TokenUnknown,
        Self::BodyInvalid,
        Self::BodyTooLarge,
        Self::HeadersTooLarge,
        Self::CallerSlow,
        Self::RouteUnknown,
        Self::ModelUnknown,
        Self::ModelNotOnRoute,
        Self::ModelNotAllowed,
        Self::VersionWithdrawn,
        Self::DataCentreDrained,
        Self::NoReplica,
        Self::ColdStart,
        Self::Overloaded,
        Self::PromptQuarantined,
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
            Self::ModelNotOnRoute => "model_not_on_route",
            Self::ModelNotAllowed => "model_not_allowed",
            Self::VersionWithdrawn => "version_withdrawn",
            Self::DataCentreDrained => "data_centre_drained",
            Self::NoReplica => "no_replica",
            Self::ColdStart => "cold_start",
            Self::Overloaded => "overloaded",
            Self::PromptQuarantined => "prompt_quarantined",
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

    /// HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::TokenMissing | Self::TokenUnknown => 401,
            Self::BodyInvalid => 400,
            Self::BodyTooLarge => 413,
            Self::HeadersTooLarge => 431,
            Self::CallerSlow => 408,
            Self::RouteUnknown | Self::ModelUnknown => 404,
            Self::ModelNotAllowed => 403,
            Self::ModelNotOnRoute => 421,
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
            | Self::PromptQuarantined
            | Self::Isolated
            | Self::NotReady
            | Self::ClaimsUnavailable
            | Self::ShuttingDown => 503,
        }
    }

    /// Seconds after which a retry may succeed; `None` if waiting does not help.
    pub fn retry_after_s(self) -> Option<u64> {
        match self {
            Self::ColdStart
            | Self::Overloaded
            | Self::RateLimited
            | Self::ConcurrencyLimited
            | Self::NotReady
            | Self::ShuttingDown => Some(1),
            Self::NoReplica | Self::Isolated | Self::ClaimsUnavailable => Some(5),
            Self::PromptQuarantined => Some(30),
            Self::DataCentreDrained | Self::SpendLimited => Some(60),
            _ => None,
        }
    }
}
