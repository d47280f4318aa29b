//! One admitted chat request on its way through the cascade.

use std::sync::Arc;

use tokio::time::Instant;

use crate::{chat_request, ids, records};

/// Admitted chat request.
#[derive(Debug)]
pub struct ChatJob {
    /// Identifier in replies, bills and engine calls.
    pub id: ids::RequestId,
    /// Customer that pays.
    pub customer: Arc<records::customer::CustomerRecord>,
    /// What the caller asked for.
    pub request: chat_request::ChatRequest,
    /// Time by which the answer must be whole.
    pub deadline: Instant,
}

/// Model and version that one step of a job uses.
#[derive(Clone, Debug)]
pub struct VersionTarget {
    /// Model.
    pub model: Arc<records::model::ModelRecord>,
    /// Version.
    pub version: ids::VersionName,
    /// Whether the session had to leave a version that it may no longer use.
    pub repinned: bool,
}
