//! Client of a model engine.
//!
//! Every answer is read as a stream of server-sent events, also where the
//! caller wants it whole: one path gives progress timeouts, resumption and the
//! check that each event belongs to the request.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use eventsource_stream::Eventsource as _;
use futures::{Stream, StreamExt as _};
use reqwest::header::RETRY_AFTER;
use serde::Deserialize;

use crate::http1::response_head::ResponseHead;
use crate::{error_body, ids, replica_table, retry_after, retry_reason};

/// Time for the response head. An engine sends it on admission, before the first
/// token, so that a connection gone silent is noticed long before a slow prompt ends.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the first token after the head.
pub const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two tokens.
pub const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Prefixes of cache events that one reading asks for.
pub const EVENT_PREFIXES: usize = 32;
/// Time for a load report, cache events or a cancel.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Priority that the engine honours.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EnginePriority {
    /// A person waits.
    #[default]
    Interactive,
    /// Nobody waits.
    Batch,
}

impl EnginePriority {
    /// Value of the priority header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }
}

/// One attempt at an engine.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Address of the replica.
    pub address: SocketAddr,
    /// Request to which every event must belong.
    pub request_id: ids::RequestId,
    /// Chat-completions body with model and version set.
    pub body: Bytes,
    /// Tokens that were already received from this replica.
    pub resume_offset: u64,
    /// Priority at the engine.
    pub priority: EnginePriority,
    /// Time left for the request.
    pub time_left: Duration,
    /// Whether to open a new connection instead of a pooled one.
    pub fresh_connection: bool,
}

impl EngineCall {
    /// Request identifier as engines receive and repeat it.
    fn id_text(&self) -> String {
        format!("{:032x}", self.request_id)
    }
}

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", reason.code())]
pub struct AttemptError {
    /// Reason of a retry.
    pub reason: retry_reason::RetryReason,
    /// Whether the engine may have run the request.
    pub ran: error_body::RunState,
    /// Time for which the engine wants no requests.
    pub pause: Option<Duration>,
    /// Message for logs.
    pub message: String,
}

impl AttemptError {
    fn not_run(reason: retry_reason::RetryReason, message: impl ToString) -> Self {
        let message = message.to_string();
        Self { reason, ran: error_body::RunState::No, pause: None, message }
    }

    fn unknown(reason: retry_reason::RetryReason, message: impl ToString) -> Self {
        let message = message.to_string();
        Self { reason, ran: error_body::RunState::Unknown, pause: None, message }
    }
}

/// Event of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// Next token: its offset, its text and the event as received.
    Token(u64, String, Bytes),
    /// End marker with the number of tokens and the reason of the end.
    End(TokenUsage, String),
}

/// Tokens of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, serde::Serialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// Load report as engines send it.
#[derive(Clone, Debug, Deserialize, serde::Serialize)]
pub struct EngineLoad {
    /// Requests running or queued.
    pub requests: u32,
    /// Whether the engine still warms up.
    pub cold: bool,
    /// Start of the engine process.
    pub boot: ids::BootId,
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug, Default, Deserialize, serde::Serialize)]
pub struct EngineCacheEvent {
    /// Dense number within the boot, from 1.
    pub sequence: u64,
    /// Prefixes that entered the cache.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Prefixes that left the cache.
    #[serde(default)]
    pub evicted: Vec<u64>,
}

/// Cache events as engines publish them.
#[derive(Clone, Debug, Deserialize, serde::Serialize)]
pub struct EngineCacheEvents {
    /// Start of the engine process.
    pub boot: ids::BootId,
    /// Events in the order of their numbers.
    pub events: Vec<EngineCacheEvent>,
}

#[derive(Deserialize)]
struct ChunkBody {
    id: String,
    #[serde(default)]
    offset: u64,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    usage: Option<TokenUsage>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct ChunkDelta {
    content: Option<String>,
}

/// Client of all engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pooled: reqwest::Client,
    fresh: reqwest::Client,
}

impl EngineClient {
    /// Client with a pool, and one without for attempts after a silent connection.
    ///
    /// # Errors
    /// When the HTTP library cannot be set up.
    pub fn new() -> Result<Self, reqwest::Error> {
        let builder = || reqwest::Client::builder().tcp_nodelay(true).connect_timeout(HEAD_TIMEOUT);
        Ok(Self { pooled: builder().build()?, fresh: builder().pool_max_idle_per_host(0).build()? })
    }

    /// Starts an attempt; returns once the engine has admitted it.
    ///
    /// # Errors
    /// With the reason for a retry and whether the engine may have run the request.
    pub async fn open(&self, call: &EngineCall) -> Result<EngineStream, AttemptError> {
        use retry_reason::RetryReason as Reason;
        let client = if call.fresh_connection { &self.fresh } else { &self.pooled };
        let request = client
            .post(format!("http://{}/v1/chat/completions", call.address))
            .header("content-type", "application/json")
            .header("x-request-id", call.id_text())
            .header("x-resume-offset", call.resume_offset)
            .header("x-priority", call.priority.as_str())
            .header("x-deadline-ms", call.time_left.as_millis() as u64)
            .body(call.body.clone());
        let sent = tokio::time::timeout(HEAD_TIMEOUT.min(call.time_left), request.send());
        let response = match sent.await {
            Err(elapsed) => return Err(AttemptError::unknown(Reason::ProgressTimeout, elapsed)),
            Ok(Err(error)) if error.is_connect() => {
                return Err(AttemptError::not_run(Reason::ConnectFailed, error));
            }
            Ok(Err(error)) => return Err(AttemptError::unknown(Reason::StreamTruncated, error)),
            Ok(Ok(response)) => response,
        };
        let boot = response.headers().get("x-boot-id").and_then(|value| value.to_str().ok());
        let boot = boot.map(ids::BootId::from);
        check_status(&response, call)?;
        let events = response.bytes_stream().eventsource().boxed();
        Ok(EngineStream {
            boot,
            events,
            request_id: call.id_text(),
            next_offset: call.resume_offset,
            started: false,
            mismatched: 0,
        })
    }

    /// Reads the load report of an engine or a plain service.
    ///
    /// # Errors
    /// When the replica cannot be reached or its answer is no load report.
    pub async fn load(&self, address: SocketAddr) -> Result<EngineLoad, reqwest::Error> {
        let request = self.pooled.get(format!("http://{address}/load")).timeout(CONTROL_TIMEOUT);
        request.send().await?.error_for_status()?.json().await
    }

    /// Reads published cache events after those that are known, up to `EVENT_PREFIXES` prefixes.
    ///
    /// # Errors
    /// When the engine cannot be reached or publishes no events.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        known: &Option<(ids::BootId, u64)>,
    ) -> Result<EngineCacheEvents, reqwest::Error> {
        let (boot, after) = known.as_ref().map_or(("", 0), |(boot, last)| (boot, *last));
        let url = format!(
            "http://{address}/cache-events?boot={boot}&after={after}&prefixes={EVENT_PREFIXES}"
        );
        let request = self.pooled.get(url).timeout(CONTROL_TIMEOUT);
        request.send().await?.error_for_status()?.json().await
    }

    /// Cancels a request at an engine; a failure only costs the engine's time.
    pub async fn cancel(&self, address: SocketAddr, request_id: ids::RequestId) {
        let url = format!("http://{address}/v1/requests/{request_id:032x}");
        let _ = self.pooled.delete(url).timeout(CONTROL_TIMEOUT).send().await;
    }
}

/// Row values of a load report.
pub fn load_report(load: EngineLoad, received_at: Duration) -> replica_table::LoadReport {
    replica_table::LoadReport {
        requests: load.requests,
        is_cold: load.cold,
        boot: load.boot,
        received_at,
    }
}

/// Refusals that prove that nothing ran carry `x-ran: no`. A 404 proves it by itself: the server at
/// the address does not serve the model and version of the body. Neither proves it if the refusal
/// may be that of another request.
fn check_status(response: &reqwest::Response, call: &EngineCall) -> Result<(), AttemptError> {
    use retry_reason::RetryReason as Reason;
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    if !ResponseHead::is_final_status(status.as_u16()) {
        return Err(AttemptError::unknown(Reason::BackendError, "invalid status"));
    }
    let owner = refusal_owner(response, call);
    if owner == RefusalOwner::OtherCall {
        return Err(AttemptError::unknown(Reason::AnswerMismatched, "refusal of another request"));
    }
    let says_not_run = response.headers().get("x-ran").is_some_and(|value| value == "no");
    let (reason, says_not_run) = match status.as_u16() {
        404 => (Reason::VersionNotServed, true),
        503 => (Reason::BackendCold, says_not_run),
        429 => (Reason::BackendBusy, says_not_run),
        _ => (Reason::BackendError, says_not_run),
    };
    let error = if says_not_run && owner == RefusalOwner::ThisCall {
        AttemptError::not_run(reason, status)
    } else {
        AttemptError::unknown(reason, status)
    };
    let pause = response.headers().get(RETRY_AFTER).filter(|_| status.as_u16() == 503);
    let pause = pause.and_then(|value| value.to_str().ok());
    let pause = pause.and_then(|value| retry_after::parse(value, SystemTime::now()));
    Err(AttemptError { pause, ..error })
}

/// Request to which a refusal belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalOwner {
    ThisCall,
    OtherCall,
    Unknown,
}

/// Compares the identifier that a refusal repeats.
///
/// Engines of older versions repeat none. Their refusals count on a new connection only, where no
/// other request was sent.
fn refusal_owner(response: &reqwest::Response, call: &EngineCall) -> RefusalOwner {
    let id = call.id_text();
    let names = response.headers().get_all("x-request-id");
    match names.iter().next() {
        None if call.fresh_connection => RefusalOwner::ThisCall,
        None => RefusalOwner::Unknown,
        Some(_) if names.iter().all(|name| name == id.as_str()) => RefusalOwner::ThisCall,
        Some(_) => RefusalOwner::OtherCall,
    }
}

type EventStream = Pin<
    Box<
        dyn Stream<
                Item = Result<
                    eventsource_stream::Event,
                    eventsource_stream::EventStreamError<reqwest::Error>,
                >,
            > + Send,
    >,
>;

/// Answer of an engine while it arrives.
pub struct EngineStream {
    /// Start of the engine process that answers.
    pub boot: Option<ids::BootId>,
    events: EventStream,
    request_id: String,
    next_offset: u64,
    started: bool,
    mismatched: u64,
}

impl EngineStream {
    /// Events dropped because they belong to another request or offset.
    pub fn mismatched(&self) -> u64 {
        self.mismatched
    }

    /// Offset of the next token.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Next event of this request; events of other requests are dropped.
    ///
    /// # Errors
    /// On silence, on an end without an end marker and on events that skip tokens.
    pub async fn next(&mut self) -> Result<EngineEvent, AttemptError> {
        use retry_reason::RetryReason as Reason;
        let limit = if self.started { TOKEN_TIMEOUT } else { FIRST_TOKEN_TIMEOUT };
        // One limit for the whole wait: events of other requests are no progress.
        let wait = tokio::time::timeout(limit, self.next_own());
        wait.await
            .unwrap_or_else(|elapsed| Err(AttemptError::unknown(Reason::ProgressTimeout, elapsed)))
    }

    async fn next_own(&mut self) -> Result<EngineEvent, AttemptError> {
        use retry_reason::RetryReason as Reason;
        loop {
            let event = match self.events.next().await {
                None => {
                    return Err(AttemptError::unknown(Reason::StreamTruncated, "no end marker"));
                }
                Some(Err(error)) => {
                    return Err(AttemptError::unknown(Reason::StreamTruncated, error));
                }
                Some(Ok(event)) => event,
            };
            let Ok(chunk) = serde_json::from_str::<ChunkBody>(&event.data) else {
                return Err(AttemptError::unknown(Reason::BackendError, "unreadable event"));
            };
            if chunk.id != self.request_id {
                self.mismatched += 1;
                if chunk.usage.is_some() {
                    return Err(AttemptError::unknown(Reason::AnswerMismatched, "other request"));
                }
                continue;
            }
            if let Some(usage) = chunk.usage {
                if usage.completion_tokens != self.next_offset {
                    return Err(AttemptError::unknown(Reason::StreamTruncated, "tokens missing"));
                }
                let reason = chunk.choices.into_iter().find_map(|choice| choice.finish_reason);
                return Ok(EngineEvent::End(usage, reason.unwrap_or_else(|| "stop".to_owned())));
            }
            if chunk.offset < self.next_offset {
                self.mismatched += 1;
                continue;
            }
            if chunk.offset > self.next_offset {
                return Err(AttemptError::unknown(Reason::StreamTruncated, "token skipped"));
            }
            self.next_offset += 1;
            self.started = true;
            let text = chunk.choices.into_iter().next().and_then(|choice| choice.delta.content);
            let raw = Bytes::from(event.data);
            return Ok(EngineEvent::Token(chunk.offset, text.unwrap_or_default(), raw));
        }
    }
}
