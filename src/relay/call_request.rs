//! Caller's request as the router needs it, decoded from the platform's headers.
//!
//! A [`CallCodec`](super::call_codec::CallCodec) fills it in, so that routing and retries do not
//! depend on header names.

use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::ids;

/// Part of a prompt, the unit in which replicas cache prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub id: ids::PromptPartId,
    pub tokens: u32,
}

/// Request of a caller, without its body.
#[derive(Clone, Debug, Default)]
pub struct CallRequest {
    /// Request identifier; a caller that retries sends a new one.
    pub id: Option<Bytes>,
    /// Host in lower case and without a port.
    pub host: String,
    /// Time that the caller waits for an answer, from the arrival of the head.
    pub timeout: Option<Duration>,
    /// Key that identifies the customer, without the authentication scheme.
    pub api_key: Option<Bytes>,
    /// Whether the router may choose any model of the route.
    pub accepts_any_model: bool,
    /// Model named by the caller.
    pub model: Option<Bytes>,
    /// Length of the prompt as stated by the caller; 0 if unstated.
    pub prompt_tokens: u32,
    /// Limit on generated tokens; 0 if unstated.
    pub max_output_tokens: u32,
    /// Parts of the prompt in order; the last belongs to this request alone.
    pub prompt_parts: SmallVec<[PromptPart; 4]>,
    /// Session key; calls of one session stay on one version.
    pub session: Option<Bytes>,
    /// Last event that the caller received before it reconnected.
    pub last_event_id: Option<u64>,
}

impl CallRequest {
    /// Prompt parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.prompt_parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Hash of the request identifier.
    pub fn id_hash(&self) -> u64 {
        xxh3::xxh3_64(self.id.as_deref().unwrap_or_default())
    }

    /// Request identifier for logs; empty if there is none.
    pub fn id_text(&self) -> String {
        self.id.as_ref().map(|id| String::from_utf8_lossy(id).into_owned()).unwrap_or_default()
    }
}
