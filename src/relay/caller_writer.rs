//! Writes answers to one caller connection.
//!
//! The progress of the current answer decides what may still be sent: once a part of it may have
//! been written, no other answer can follow.

use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp;

use super::caller_refusal::{self, CallerRefusal};
use super::run_proof::NotRunProof;
use crate::http1::response_head::ResponseHead;

/// Time for a refusal to be written. A caller that reads nothing must not keep the body of its call in
/// memory.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Content type of JSON answers that the router generates.
pub const JSON_CONTENT_TYPE: &str = "application/json";

/// Progress of the answer to the current call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerProgress {
    /// Nothing was written.
    NotStarted,
    /// A part of the answer may have been written.
    Started,
    /// Complete answer was written.
    Complete,
}

/// Writing side of a caller connection.
#[derive(Debug)]
pub struct CallerWriter {
    sink: tcp::OwnedWriteHalf,
    progress: AnswerProgress,
    closes_connection: bool,
    omits_body: bool,
}

impl CallerWriter {
    pub fn new(sink: tcp::OwnedWriteHalf) -> Self {
        let progress = AnswerProgress::NotStarted;
        Self { sink, progress, closes_connection: false, omits_body: false }
    }

    /// Resets the progress for the next call. `closes_connection` announces to the caller that the
    /// connection ends after the answer; `omits_body` is set for a HEAD request.
    pub fn begin_answer(&mut self, closes_connection: bool, omits_body: bool) {
        self.progress = AnswerProgress::NotStarted;
        self.closes_connection = closes_connection;
        self.omits_body = omits_body;
    }

    /// Whether the connection ends after the current answer.
    pub fn closes_connection(&self) -> bool {
        self.closes_connection
    }

    pub fn progress(&self) -> AnswerProgress {
        self.progress
    }

    /// Writes the interim response to a request with `Expect: 100-continue`.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn write_continue(&mut self) -> io::Result<()> {
        self.sink.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Writes an answer of a replica that is not a stream.
    ///
    /// # Errors
    /// When the connection fails, or the status guarantees "not run" and there is no proof.
    pub async fn write_complete_answer(
        &mut self,
        head: &ResponseHead,
        body: &Bytes,
        proof: Option<NotRunProof>,
    ) -> io::Result<()> {
        if proof.is_none() && caller_refusal::is_guarantee(head.status) {
            return Err(io::Error::other("answer guarantees what is not proven"));
        }
        let mut text = self.encode_head(head);
        append_header(&mut text, b"Content-Length", body.len().to_string().as_bytes());
        text.extend_from_slice(b"\r\n");
        let body: &[u8] = if self.omits_body { b"" } else { body };
        self.write_end(text.as_slice().chain(body)).await
    }

    /// Writes an answer that the router generates.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn write_router_answer(
        &mut self,
        status: u16,
        content_type: &str,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = status_line(status);
        append_header(&mut text, b"Content-Type", content_type.as_bytes());
        for (name, value) in fields {
            append_header(&mut text, name.as_bytes(), value.as_bytes());
        }
        self.append_connection_header(&mut text);
        append_header(&mut text, b"Content-Length", body.len().to_string().as_bytes());
        text.extend_from_slice(b"\r\n");
        let body = if self.omits_body { b"" } else { body };
        self.write_end(text.as_slice().chain(body)).await
    }

    /// Writes a refusal with its JSON error body.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn write_refusal(
        &mut self,
        refusal: &CallerRefusal,
        retry_after_s: Option<f64>,
    ) -> io::Result<()> {
        let body = serde_json::to_vec(&refusal.refusal().body())?;
        let retry_after = retry_after_s.map(|seconds| ("Retry-After", format!("{seconds:.2}")));
        let fields = retry_after.as_slice();
        let writing = self.write_router_answer(refusal.status(), JSON_CONTENT_TYPE, fields, &body);
        let outcome = tokio::time::timeout(REFUSAL_TIMEOUT, writing).await;
        outcome.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Writes the head of a stream and its first event, which may be empty.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn start_stream(&mut self, head: &ResponseHead, event: &[u8]) -> io::Result<()> {
        let mut text = self.encode_head(head);
        text.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        if !self.omits_body {
            append_chunk(&mut text, event);
        }
        self.progress = AnswerProgress::Started;
        self.sink.write_all(&text).await
    }

    /// Writes a subsequent event of a stream.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn write_event(&mut self, event: &[u8]) -> io::Result<()> {
        let mut text = Vec::with_capacity(event.len() + 16);
        append_chunk(&mut text, event);
        self.sink.write_all(&text).await
    }

    /// Writes the final chunk, which marks the stream as complete.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn finish_stream(&mut self) -> io::Result<()> {
        let end: &[u8] = if self.omits_body { b"" } else { b"0\r\n\r\n" };
        self.write_end(end).await
    }

    /// Closes the writing side of the connection.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn shut_down(&mut self) -> io::Result<()> {
        self.sink.shutdown().await
    }

    /// Resets the connection, so that a truncated answer does not look complete.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(self.sink.as_ref());
        // If the option cannot be set, the connection still ends before the final chunk.
        let _ = socket.set_linger(Some(std::time::Duration::ZERO));
    }

    /// Writes a head and a body in one system call where they fit. They are not joined first, as a slow
    /// caller would keep both copies of the body in memory.
    async fn write_end(&mut self, mut text: impl Buf) -> io::Result<()> {
        // The write ends early if the time of the call does.
        self.progress = AnswerProgress::Started;
        self.sink.write_all_buf(&mut text).await?;
        self.progress = AnswerProgress::Complete;
        Ok(())
    }

    fn encode_head(&self, head: &ResponseHead) -> Vec<u8> {
        let mut text = status_line(head.status);
        for field in head.headers.iter() {
            if !head.headers.is_hop_by_hop(&field.name) {
                append_header(&mut text, &field.name, &field.value);
            }
        }
        self.append_connection_header(&mut text);
        text
    }

    fn append_connection_header(&self, text: &mut Vec<u8>) {
        if self.closes_connection {
            append_header(text, b"Connection", b"close");
        }
    }
}

fn append_chunk(text: &mut Vec<u8>, data: &[u8]) {
    // An empty chunk would mark the end of the stream.
    if data.is_empty() {
        return;
    }
    text.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    text.extend_from_slice(data);
    text.extend_from_slice(b"\r\n");
}

fn append_header(text: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    text.extend_from_slice(name);
    text.extend_from_slice(b": ");
    text.extend_from_slice(value);
    text.extend_from_slice(b"\r\n");
}

fn status_line(status: u16) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    };
    let mut line = Vec::with_capacity(512);
    line.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
    line
}
