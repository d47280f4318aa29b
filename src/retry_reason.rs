//! Closed set of reasons for which an attempt is repeated.

/// Reason of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RetryReason {
    /// Connection could not be opened; nothing was sent.
    ConnectFailed,
    /// Backend server refused because it is cold.
    BackendCold,
    /// Backend server refused because it is busy.
    BackendBusy,
    /// Backend server answered with an error.
    BackendError,
    /// Another backend server has the address; it does not serve the model and version.
    VersionNotServed,
    /// No byte within the progress timeout.
    ProgressTimeout,
    /// Stream ended before its end marker.
    StreamTruncated,
    /// Answer of another request arrived.
    AnswerMismatched,
}

impl RetryReason {
    /// All reasons, for the metrics and the documentation test.
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

    /// Stable code in metric labels.
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
