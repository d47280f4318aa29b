//! Chat-completions request as the router reads it.
//!
//! Only the fields that routing needs are read; everything else passes to the
//! engine as the caller sent it.

use std::time::Duration;

use bytes::Bytes;
use serde_json::{Map, Value};

use crate::{engine_client, error_body, ids, refusal_reason};

/// Model name that stands for the customer's cascade.
pub const AUTO_MODEL: &str = "auto";
/// Longest deadline that a caller may ask for; it bounds how long a shutdown takes.
pub const LONGEST_DEADLINE: Duration = Duration::from_secs(600);
/// Prompt length in bytes above which a request without a kind counts as long.
const LONG_PROMPT_BYTES: usize = 4_096;

/// Chat-completions request.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// Model, cascade or `auto` as the caller named it.
    pub target: String,
    /// Version that the caller asked for.
    pub version: Option<ids::VersionName>,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// Kind, by which quality is learned.
    pub kind: ids::RequestKind,
    /// Session, whose version is kept.
    pub session: Option<ids::SessionKey>,
    /// Priority at queue and engine.
    pub priority: engine_client::EnginePriority,
    /// Time for the whole request.
    pub deadline: Duration,
    /// Most tokens to generate.
    pub max_tokens: Option<u64>,
    /// Text of all messages.
    pub prompt: String,
    fields: Map<String, Value>,
}

/// Headers that routing reads.
#[derive(Clone, Debug, Default)]
pub struct ChatHeaders {
    /// `x-yuccareel-kind`.
    pub kind: Option<String>,
    /// `x-yuccareel-session`.
    pub session: Option<String>,
    /// `x-yuccareel-priority`.
    pub priority: Option<String>,
    /// `x-yuccareel-deadline-ms`.
    pub deadline_ms: Option<u64>,
}

impl ChatRequest {
    /// Reads a body and its headers; `default_deadline` is the time of a request that names none.
    ///
    /// # Errors
    /// `body_invalid` with the field at fault; nothing ran.
    pub fn parse(
        body: &Bytes,
        headers: ChatHeaders,
        default_deadline: Duration,
    ) -> Result<Self, error_body::RequestRefusal> {
        let fields: Map<String, Value> =
            serde_json::from_slice(body).map_err(|error| invalid("body", &error.to_string()))?;
        let model = string_field(&fields, "model")?
            .ok_or_else(|| invalid("model", "is missing; name a model, a cascade or `auto`"))?;
        let (target, version) = match model.split_once('@') {
            Some((target, version)) => (target.to_owned(), Some(ids::VersionName::from(version))),
            None => (model, None),
        };
        if fields.get("n").is_some_and(|n| *n != 1) {
            return Err(invalid("n", "must be 1"));
        }
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(invalid("stream", "must be true or false")),
        };
        let prompt = prompt_text(&fields)?;
        let kind = headers.kind.unwrap_or_else(|| length_kind(&prompt).to_owned());
        let session = headers.session.or(string_field(&fields, "user")?);
        let deadline = headers.deadline_ms.map_or(default_deadline, Duration::from_millis);
        Ok(Self {
            target,
            version,
            stream,
            kind: ids::RequestKind::from(kind),
            session: session.map(ids::SessionKey::from),
            priority: priority(headers.priority.as_deref())?,
            deadline: deadline.min(LONGEST_DEADLINE),
            max_tokens: max_tokens(&fields)?,
            prompt,
            fields,
        })
    }

    /// Whether tokens leave for the caller as they arrive.
    ///
    /// A streamed batch request waits for its whole answer instead, so that a cheap answer can
    /// be rated before it is delivered: nobody waits for its first token.
    pub fn delivers_at_once(&self) -> bool {
        self.stream && self.priority == engine_client::EnginePriority::Interactive
    }

    /// Body for an engine: the caller's fields with model, version and streaming set.
    pub fn engine_body(&self, model: &str, version: &str) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("model".to_owned(), Value::from(model));
        fields.insert("version".to_owned(), Value::from(version));
        fields.insert("stream".to_owned(), Value::from(true));
        Bytes::from(Value::Object(fields).to_string())
    }
}

fn invalid(field: &str, fault: &str) -> error_body::RequestRefusal {
    let reason = refusal_reason::RefusalReason::BodyInvalid;
    error_body::RequestRefusal::not_run(reason, format!("{field}: {fault}"))
}

fn string_field(
    fields: &Map<String, Value>,
    name: &str,
) -> Result<Option<String>, error_body::RequestRefusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text.clone())),
        Some(_) => Err(invalid(name, "must be a string")),
    }
}

/// Limit of generated tokens, under its current name or its former one.
fn max_tokens(fields: &Map<String, Value>) -> Result<Option<u64>, error_body::RequestRefusal> {
    for name in ["max_completion_tokens", "max_tokens"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => {
                let limit = value.as_u64().filter(|limit| *limit > 0);
                return limit.map(Some).ok_or_else(|| invalid(name, "must be a positive number"));
            }
        }
    }
    Ok(None)
}

/// Text of all messages; content is a string or a list of parts.
fn prompt_text(fields: &Map<String, Value>) -> Result<String, error_body::RequestRefusal> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.ok_or_else(|| invalid("messages", "must be a list"))?;
    if messages.is_empty() {
        return Err(invalid("messages", "must not be empty"));
    }
    let mut texts = Vec::with_capacity(messages.len());
    for (place, message) in messages.iter().enumerate() {
        if !message["role"].is_string() {
            return Err(invalid(&format!("messages[{place}].role"), "must be a string"));
        }
        match &message["content"] {
            Value::String(text) => texts.push(text.as_str()),
            Value::Array(parts) => {
                texts.extend(parts.iter().filter_map(|part| part["text"].as_str()))
            }
            Value::Null => {}
            _ => {
                return Err(invalid(
                    &format!("messages[{place}].content"),
                    "must be text or parts",
                ));
            }
        }
    }
    Ok(texts.join("\n"))
}

fn length_kind(prompt: &str) -> &'static str {
    if prompt.len() > LONG_PROMPT_BYTES { "long" } else { "short" }
}

fn priority(
    header: Option<&str>,
) -> Result<engine_client::EnginePriority, error_body::RequestRefusal> {
    match header {
        None | Some("interactive") => Ok(engine_client::EnginePriority::Interactive),
        Some("batch") => Ok(engine_client::EnginePriority::Batch),
        Some(_) => Err(invalid("x-yuccareel-priority", "must be interactive or batch")),
    }
}

/// Rough number of tokens of a text, for bills of answers that the caller left
/// before the engine reported its count. English text has about 4 bytes a token.
pub fn estimated_tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(4)
}
