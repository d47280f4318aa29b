//! Errors of messages and their connections.

use std::io;

/// The texts of errors in requests are sent to the caller with the refusal.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// Head or body is not valid, or the framing of the body is ambiguous.
    #[error("message is malformed: {0}")]
    Malformed(&'static str),
    #[error("message head is too large")]
    HeadTooLarge,
    #[error("message body is too large")]
    BodyTooLarge,
    /// Peer closed the connection within a message.
    #[error("connection closed within a message")]
    Truncated,
    /// Peer closed the connection between two messages, or it was idle for too long.
    #[error("connection closed")]
    Ended,
    #[error("nothing arrived in time")]
    TimedOut,
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
}
