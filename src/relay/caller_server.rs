//! Server for the connections of callers.
//!
//! One task per connection answers its calls one after another. While a call runs, the task also
//! reads from the connection, so that it notices when the caller disconnects. It then drops the
//! attempt, which closes the connection to the replica and so cancels the request there.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::time::Instant;

use super::call_job::CallProgress;
use super::caller_body::{BodyFailure, CallerBody};
use super::caller_refusal::CallerRefusal;
use super::caller_sockets::CallerSockets;
use super::caller_writer::{AnswerProgress, CallerWriter};
use super::memory_holder::MemoryHolder;
use super::memory_shortage::MemoryShortage;
use super::relay_config::CallerLimits;
use super::relay_node::RelayNode;
use super::run_proof::{NotRunProof, UnsentRequest};
use super::{accept_loop, call_failure};
use crate::event_catalogue::LogEvent;
use crate::http1::body_decoder::BodyFraming;
use crate::http1::connection;
use crate::http1::message_error::MessageError;
use crate::http1::message_reader::MessageReader;
use crate::http1::request_head::RequestHead;
use crate::refusal_reason::RefusalReason;

/// Input buffered beyond the current call. Above this, nothing is read until the call is answered.
/// Small, as it is not in the memory account.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1_024;
/// Receive buffer of a socket. The system doubles it, which gives its own initial size, but does not
/// let it grow to megabytes then.
pub(super) const RECEIVE_BUFFER_BYTES: usize = 64 * 1_024;
/// Fraction of the sockets that callers may use, as numerator and denominator. The others are left
/// for connections to replicas and the store.
const CALLER_SOCKET_FRACTION: (usize, usize) = (3, 5);
/// Time for which the rest of a refused call is still read. Closing with unread input would reset
/// the connection, and the caller might lose the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts and serves connections of callers until the process ends.
pub async fn run(node: Arc<RelayNode>, listener: TcpListener) {
    let max_connections =
        node.settings.max_sockets * CALLER_SOCKET_FRACTION.0 / CALLER_SOCKET_FRACTION.1;
    let sockets = Arc::new(Mutex::new(CallerSockets::new(max_connections)));
    let on_accept = |stream, peer: SocketAddr| {
        let caller = peer.ip();
        if !sockets.lock().open(caller) {
            let open = sockets.lock().open_count();
            node.emit(LogEvent::CallerRejected, slog::o!("open" => open));
            return;
        }
        let (node, sockets) = (node.clone(), sockets.clone());
        tokio::spawn(async move {
            serve(node, stream, caller).await;
            sockets.lock().close(caller);
        });
    };
    accept_loop::run(&node, listener, on_accept).await;
}

struct CallerConnection {
    node: Arc<RelayNode>,
    caller: IpAddr,
    reader: MessageReader<tcp::OwnedReadHalf>,
    writer: CallerWriter,
    /// Request that is being read.
    request: Option<UnsentRequest>,
}

async fn serve(node: Arc<RelayNode>, stream: TcpStream, caller: IpAddr) {
    if let Err(error) = connection::set_socket_options(&stream) {
        node.emit(LogEvent::CallerGone, slog::o!("error" => error.to_string()));
        return;
    }
    let (reader, writer) = stream.into_split();
    let reader = MessageReader::new(reader, BytesMut::new());
    // A failed socket fails the first read, too.
    let _ = reader.set_receive_buffer(RECEIVE_BUFFER_BYTES);
    let writer = CallerWriter::new(writer);
    let mut connection = CallerConnection { node, caller, reader, writer, request: None };
    match connection.run().await {
        Ok(()) | Err(MessageError::Ended) => {
            // An error means that the connection is closed already.
            let _ = connection.writer.shut_down().await;
        }
        Err(error) => connection.close_with_error(error).await,
    }
}

impl CallerConnection {
    async fn run(&mut self) -> Result<(), MessageError> {
        loop {
            self.request = Some(UnsentRequest::before_reading());
            let limits = self.limits();
            let (head, received) = self.read_head(&limits).await?;
            let closes = !head.is_keep_alive || self.node.drain_elapsed().is_some();
            self.writer.begin_answer(closes, head.is_head_request());
            let body = match self.read_body(&head, &limits).await {
                Ok(body) => body,
                Err(BodyFailure::Message(error)) => return Err(error),
                Err(BodyFailure::NoRoom(holder, shortage)) => {
                    return self.refuse_body(&head, holder, &shortage).await;
                }
            };
            self.answer_call(head, body, received).await?;
            if self.writer.closes_connection() {
                return Ok(());
            }
        }
    }

    /// Reads the next head, and returns it with the time at which it was first seen.
    ///
    /// An idle connection ends with [`MessageError::Ended`], as a closed one does.
    async fn read_head(
        &mut self,
        limits: &CallerLimits,
    ) -> Result<(RequestHead, Instant), MessageError> {
        if self.reader.buffered_bytes() == 0 {
            let first_read = tokio::time::timeout(limits.idle_timeout, self.reader.fill());
            match first_read.await {
                Ok(Ok(0)) | Err(_) => return Err(MessageError::Ended),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(error),
            }
        }
        let received = Instant::now();
        let reading =
            tokio::time::timeout(limits.head_timeout, self.reader.read_head(limits.max_head_bytes));
        let text = reading.await.map_err(|_| MessageError::TimedOut)??;
        Ok((RequestHead::parse(&text)?, received))
    }

    /// Reserves memory for the body of a call and reads it.
    async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: &CallerLimits,
    ) -> Result<Bytes, BodyFailure> {
        let body = match head.framing {
            BodyFraming::Length(0) => None,
            framing => Some(CallerBody::reserve(
                &self.node.memory,
                self.caller,
                framing,
                limits.max_body_bytes,
            )?),
        };
        if head.headers.contains_token("expect", "100-continue") {
            self.writer.write_continue().await.map_err(MessageError::from)?;
        }
        match body {
            Some(body) => body.read(&mut self.reader).await,
            None => Ok(Bytes::new()),
        }
    }

    /// Refuses a call whose body finds no room, and closes the connection without reading the body.
    async fn refuse_body(
        &mut self,
        head: &RequestHead,
        holder: MemoryHolder,
        shortage: &MemoryShortage,
    ) -> Result<(), MessageError> {
        self.node.report_shortage(holder, shortage);
        let message = "bodies hold all of their memory";
        let Some(request) = self.request.take() else { return Err(MessageError::Truncated) };
        let refusal = CallerRefusal::proven(request.proof(), RefusalReason::Overloaded, message);
        let id = self.node.call_codec.read_call(head).id_text();
        self.node.log_refusal(&refusal, &id, None, &CallProgress::default());
        self.writer.begin_answer(true, head.is_head_request());
        let retry_after = call_failure::add_jitter(shortage.retry_after.as_secs_f64());
        self.writer.write_refusal(&refusal, Some(retry_after)).await?;
        self.writer.shut_down().await?;
        self.linger().await;
        Ok(())
    }

    /// Reads and discards what the caller still sends, for a limited time.
    async fn linger(&mut self) {
        let reading =
            async { while matches!(self.reader.discard().await, Ok(count) if count > 0) {} };
        // The caller may never close its side.
        let _ = tokio::time::timeout(LINGER_TIMEOUT, reading).await;
    }

    /// Answers a call. Returns [`MessageError::Ended`] if the caller disconnects first.
    async fn answer_call(
        &mut self,
        head: RequestHead,
        body: Bytes,
        received: Instant,
    ) -> Result<(), MessageError> {
        let Self { node, reader, writer, request, .. } = self;
        // Without a request, nothing can be answered or refused with a guarantee.
        let Some(request) = request.take() else { return Err(MessageError::Truncated) };
        let _in_flight = InFlightGuard::new(node);
        let answering = node.answer_call(head, body, received, request, writer);
        tokio::pin!(answering);
        loop {
            tokio::select! {
                biased;
                outcome = &mut answering => return outcome,
                read = reader.fill(), if reader.buffered_bytes() < MAX_READ_AHEAD_BYTES => {
                    if !matches!(read, Ok(count) if count > 0) {
                        return Err(MessageError::Ended);
                    }
                }
            }
        }
    }

    async fn refuse(
        &mut self,
        proof: NotRunProof,
        reason: RefusalReason,
        message: &str,
    ) -> Result<(), MessageError> {
        let refusal = CallerRefusal::proven(proof, reason, message);
        Ok(self.writer.write_refusal(&refusal, Some(1.0)).await?)
    }

    /// Sends a refusal for a message that cannot be read, and closes the connection.
    ///
    /// Resets the connection instead if it has failed, or if an answer is under way, which must not
    /// look complete.
    async fn close_with_error(mut self, error: MessageError) {
        let reason = match &error {
            MessageError::Malformed(_) => RefusalReason::BodyInvalid,
            MessageError::HeadTooLarge => RefusalReason::HeadersTooLarge,
            MessageError::BodyTooLarge => RefusalReason::BodyTooLarge,
            MessageError::TimedOut => RefusalReason::CallerSlow,
            MessageError::Truncated | MessageError::Ended | MessageError::Io(_) => {
                self.writer.reset();
                return;
            }
        };
        self.node.emit(
            LogEvent::RequestRefused,
            slog::o!("reason" => reason.code(), "error" => error.to_string()),
        );
        let unsent_request = self.request.take();
        let Some(request) =
            unsent_request.filter(|_| self.writer.progress() != AnswerProgress::Started)
        else {
            self.writer.reset();
            return;
        };
        self.writer.begin_answer(true, false);
        let refused = self.refuse(request.proof(), reason, &error.to_string()).await;
        if refused.is_err() || self.writer.shut_down().await.is_err() {
            return;
        }
        self.linger().await;
    }

    fn limits(&self) -> CallerLimits {
        self.node.config.load().as_ref().map_or_else(CallerLimits::default, |config| config.limits)
    }
}

/// Counts a call as in flight until dropped.
struct InFlightGuard(Arc<RelayNode>);

impl InFlightGuard {
    fn new(node: &Arc<RelayNode>) -> Self {
        node.calls_in_flight.fetch_add(1, Ordering::Relaxed);
        Self(node.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.calls_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
