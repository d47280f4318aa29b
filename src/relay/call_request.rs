//! What a caller says of its call, decoded from the headers of the platform.

use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

/// Part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Call as its caller describes it.
#[derive(Clone, Debug, Default)]
pub struct CallRequest {
    /// Identifier of this one attempt of the caller.
    pub id: Option<Bytes>,
    /// Host that selects the route, in lower case and without a port.
    pub host: String,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Credential of a customer.
    pub api_key: Option<Bytes>,
    /// Whether the caller leaves the choice of the model to the router.
    pub accepts_any_model: bool,
    /// Model that the caller names.
    pub model: Option<Bytes>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that are generated.
    pub max_output_tokens: u32,
    /// Parts of the prompt, in their order.
    pub prompt_parts: SmallVec<[PromptPart; 4]>,
    /// Session that keeps its version.
    pub session: Option<Bytes>,
    /// Last event that the caller has of an earlier answer.
    pub last_event_id: Option<u64>,
}

impl CallRequest {
    /// Parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.prompt_parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Identifier as text for logs.
    pub fn id_text(&self) -> String {
        self.id.as_ref().map(|id| String::from_utf8_lossy(id).into_owned()).unwrap_or_default()
    }
}
