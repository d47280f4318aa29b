//! Reasons for which an attempt failed, as retries and their metrics state them.

/// Reason for which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RetryReason {
    /// No connection could be opened, so nothing was sent.
    ConnectFailed,
    /// The backend server refused because it is warming up.
    BackendCold,
    /// The backend server refused because it is at its limit.
    BackendBusy,
    /// The backend server answered with an error.
    BackendError,
    /// Another backend server answers at the address and does not serve the model and version.
    VersionNotServed,
    /// No byte arrived within the progress timeout.
    ProgressTimeout,
    /// The stream ended before its end marker.
    StreamTruncated,
    /// The answer belongs to another request.
    AnswerMismatched,
}

impl RetryReason {
    /// For the metrics and the test of the documentation.
    pub const ALL: [Self; 8] = [
        Self::ConnectFailed,
        Self::BackendCold,
        Self::BackendBusy,
        Self::BackendError,
        Self::VersionNotServed,
        Self::ProgressTimeout,
        Self::StreamTruncated,
        Self::AnswerMismatched,
    ];

    /// Code in metric labels; part of the public interface.
    pub fn code(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::BackendCold => "backend_cold",
            Self::BackendBusy => "backend_busy",
            Self::BackendError => "backend_error",
            Self::VersionNotServed => "version_not_served",
            Self::ProgressTimeout => "progress_timeout",
            Self::StreamTruncated => "stream_truncated",
            Self::AnswerMismatched => "answer_mismatched",
        }
    }
}
