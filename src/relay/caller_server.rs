//! Connections of callers.
//!
//! One task reads a connection, answers its calls in turn and watches, while a call runs, whether
//! the caller has left: the attempt is then dropped, which closes the replica's connection and
//! ends its work.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::time::Instant;

use super::accept_loop;
use super::caller_writer::{AnswerProgress, CallerWriter};
use super::relay_config::CallerLimits;
use super::relay_node::RelayNode;
use crate::error_body::RequestRefusal;
use crate::event_catalogue::LogEvent;
use crate::http1::connection;
use crate::http1::message_error::MessageError;
use crate::http1::message_reader::MessageReader;
use crate::http1::request_head::RequestHead;
use crate::refusal_reason::RefusalReason;

/// Bytes of a further call that are read while one is being answered.
const READ_AHEAD_BYTES: usize = 64 * 1_024;
/// Time for a body to arrive after its head; a caller may send a long one over a slow link.
const BODY_LIMIT: Duration = Duration::from_secs(20);
/// Part of the sockets that callers may hold; the others go to replicas and the store.
const CALLER_SOCKETS: (usize, usize) = (3, 5);
/// Time for which the rest of a refused call is read, so that the caller gets the answer and not
/// a reset.
const LINGER_LIMIT: Duration = Duration::from_millis(500);

/// Serves callers until the process ends.
pub async fn run(node: Arc<RelayNode>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    let most = node.settings.max_sockets * CALLER_SOCKETS.0 / CALLER_SOCKETS.1;
    let accepted = |stream, _| {
        if open.load(Ordering::Relaxed) >= most {
            node.emit(LogEvent::CallerRejected, slog::o!("open" => most));
            return;
        }
        let (node, open) = (node.clone(), open.clone());
        tokio::spawn(async move {
            open.fetch_add(1, Ordering::Relaxed);
            serve(node, stream).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    };
    accept_loop::run(&node, listener, accepted).await;
}

struct CallerConnection {
    node: Arc<RelayNode>,
    reader: MessageReader<tcp::OwnedReadHalf>,
    writer: CallerWriter,
}

async fn serve(node: Arc<RelayNode>, stream: TcpStream) {
    if let Err(error) = connection::set_socket_options(&stream) {
        node.emit(LogEvent::CallerGone, slog::o!("error" => error.to_string()));
        return;
    }
    let (reader, writer) = stream.into_split();
    let reader = MessageReader::new(reader, BytesMut::new());
    let mut connection = CallerConnection { node, reader, writer: CallerWriter::new(writer) };
    match connection.run().await {
        Ok(()) | Err(MessageError::Ended) => {
            // The caller has closed its side, or reads the end after the last answer.
            let _ = connection.writer.shut_down().await;
        }
        Err(error) => connection.end_with(error).await,
    }
}

impl CallerConnection {
    async fn run(&mut self) -> Result<(), MessageError> {
        loop {
            let limits = self.limits();
            let (head, received) = self.read_head(&limits).await?;
            let closes = !head.is_keep_alive || self.node.drain_elapsed().is_some();
            self.writer.begin(closes);
            if head.headers.contains_token("expect", "100-continue") {
                self.writer.write_continue().await?;
            }
            let reading = self.reader.read_body(head.framing, limits.body_bytes);
            let body = tokio::time::timeout(BODY_LIMIT, reading).await;
            let body = body.map_err(|_| MessageError::TimedOut)??;
            let _held = HeldBody::new(&self.node, body.len());
            self.answer(head, body, received).await?;
            if self.writer.closes() {
                return Ok(());
            }
        }
    }

    async fn read_head(
        &mut self,
        limits: &CallerLimits,
    ) -> Result<(RequestHead, Instant), MessageError> {
        if self.reader.buffered_bytes() == 0 {
            let waiting = tokio::time::timeout(limits.idle_time, self.reader.fill());
            match waiting.await {
                Ok(Ok(0)) | Err(_) => return Err(MessageError::Ended),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(error),
            }
        }
        let received = Instant::now();
        let reading =
            tokio::time::timeout(limits.head_time, self.reader.read_head(limits.head_bytes));
        let text = reading.await.map_err(|_| MessageError::TimedOut)??;
        Ok((RequestHead::parse(&text)?, received))
    }

    /// Answers a call unless the caller leaves first.
    async fn answer(
        &mut self,
        head: RequestHead,
        body: Bytes,
        received: Instant,
    ) -> Result<(), MessageError> {
        let Self { node, reader, writer } = self;
        let _in_flight = InFlight::new(node);
        let answering = node.answer(head, body, received, writer);
        tokio::pin!(answering);
        loop {
            tokio::select! {
                biased;
                outcome = &mut answering => return outcome,
                read = reader.fill(), if reader.buffered_bytes() < READ_AHEAD_BYTES => {
                    if !matches!(read, Ok(count) if count > 0) {
                        return Err(MessageError::Ended);
                    }
                }
            }
        }
    }

    async fn refuse(&mut self, reason: RefusalReason, message: &str) -> Result<(), MessageError> {
        let refusal = RequestRefusal::not_run(reason, message);
        Ok(self.writer.write_refusal(reason.status(), &refusal, Some(1.0)).await?)
    }

    /// Tells a caller whose message cannot be read why, and ends the connection.
    async fn end_with(mut self, error: MessageError) {
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
        if self.writer.progress() == AnswerProgress::Streaming {
            self.writer.reset();
            return;
        }
        self.writer.begin(true);
        let refused = self.refuse(reason, &error.to_string()).await;
        if refused.is_err() || self.writer.shut_down().await.is_err() {
            return;
        }
        let reading = async { while matches!(self.reader.fill().await, Ok(count) if count > 0) {} };
        // The caller may never close its side.
        let _ = tokio::time::timeout(LINGER_LIMIT, reading).await;
    }

    fn limits(&self) -> CallerLimits {
        self.node.config.load().as_ref().map_or_else(CallerLimits::default, |config| config.limits)
    }
}

/// Bytes of a body that are held while its call is answered.
struct HeldBody {
    node: Arc<RelayNode>,
    bytes: usize,
}

impl HeldBody {
    fn new(node: &Arc<RelayNode>, bytes: usize) -> Self {
        node.buffered_body_bytes.fetch_add(bytes, Ordering::Relaxed);
        Self { node: node.clone(), bytes }
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.node.buffered_body_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Call that is being answered.
struct InFlight(Arc<RelayNode>);

impl InFlight {
    fn new(node: &Arc<RelayNode>) -> Self {
        node.calls_in_flight.fetch_add(1, Ordering::Relaxed);
        Self(node.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.calls_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
