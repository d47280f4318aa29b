//! Writer of answers to one caller.

use std::io;

use bytes::Bytes;
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp;

use crate::error_body;
use crate::http1::response_head::ResponseHead;

/// Type of the router's own answers.
pub const JSON_TYPE: &str = "application/json";

/// How far the answer to the current call has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerProgress {
    /// Caller has none of it.
    NotStarted,
    /// Caller has a part of a stream.
    Streaming,
    /// Caller has all of it.
    Complete,
}

/// Writer with the progress of the current answer.
#[derive(Debug)]
pub struct CallerWriter {
    sink: tcp::OwnedWriteHalf,
    progress: AnswerProgress,
    closes: bool,
}

impl CallerWriter {
    /// Writer on a connection.
    pub fn new(sink: tcp::OwnedWriteHalf) -> Self {
        Self { sink, progress: AnswerProgress::NotStarted, closes: false }
    }

    /// Starts with the answer to a further call; `closes` tells the caller to take another
    /// connection afterwards.
    pub fn begin(&mut self, closes: bool) {
        self.progress = AnswerProgress::NotStarted;
        self.closes = closes;
    }

    /// Whether the connection ends after the current answer.
    pub fn closes(&self) -> bool {
        self.closes
    }

    /// How far the current answer has got.
    pub fn progress(&self) -> AnswerProgress {
        self.progress
    }

    /// Tells a caller that waits for it to send its body.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn write_continue(&mut self) -> io::Result<()> {
        self.sink.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Writes a whole answer of a replica.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn write_whole(&mut self, head: &ResponseHead, body: &Bytes) -> io::Result<()> {
        let mut text = self.replica_head(head);
        append_field(&mut text, b"Content-Length", body.len().to_string().as_bytes());
        text.extend_from_slice(b"\r\n");
        text.extend_from_slice(body);
        self.write_last(&text).await
    }

    /// Writes an answer of the router itself.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn write_own(
        &mut self,
        status: u16,
        content_type: &str,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = status_line(status);
        append_field(&mut text, b"Content-Type", content_type.as_bytes());
        for (name, value) in fields {
            append_field(&mut text, name.as_bytes(), value.as_bytes());
        }
        self.append_connection(&mut text);
        append_field(&mut text, b"Content-Length", body.len().to_string().as_bytes());
        text.extend_from_slice(b"\r\n");
        text.extend_from_slice(body);
        self.write_last(&text).await
    }

    /// Writes a refusal.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn write_refusal(
        &mut self,
        status: u16,
        refusal: &error_body::RequestRefusal,
        retry_after_s: Option<f64>,
    ) -> io::Result<()> {
        let body = serde_json::to_vec(&refusal.body())?;
        let retry_after = retry_after_s.map(|seconds| ("Retry-After", format!("{seconds:.2}")));
        self.write_own(status, JSON_TYPE, retry_after.as_slice(), &body).await
    }

    /// Starts a stream with its first event.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn start_stream(&mut self, head: &ResponseHead, event: &[u8]) -> io::Result<()> {
        let mut text = self.replica_head(head);
        text.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        append_chunk(&mut text, event);
        self.progress = AnswerProgress::Streaming;
        self.sink.write_all(&text).await
    }

    /// Writes a further event.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn write_event(&mut self, event: &[u8]) -> io::Result<()> {
        let mut text = Vec::with_capacity(event.len() + 16);
        append_chunk(&mut text, event);
        self.sink.write_all(&text).await
    }

    /// Ends a stream as complete.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn finish_stream(&mut self) -> io::Result<()> {
        self.write_last(b"0\r\n\r\n").await
    }

    /// Closes the sending side.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn shut_down(&mut self) -> io::Result<()> {
        self.sink.shutdown().await
    }

    /// Resets the connection, so that an answer that was cut does not look complete.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(self.sink.as_ref());
        // Without the option the connection still ends within a chunk, which callers see.
        let _ = socket.set_linger(Some(std::time::Duration::ZERO));
    }

    async fn write_last(&mut self, text: &[u8]) -> io::Result<()> {
        self.sink.write_all(text).await?;
        self.progress = AnswerProgress::Complete;
        Ok(())
    }

    fn replica_head(&self, head: &ResponseHead) -> Vec<u8> {
        let mut text = status_line(head.status);
        for field in head.headers.iter() {
            if !head.headers.is_hop_by_hop(&field.name) {
                append_field(&mut text, &field.name, &field.value);
            }
        }
        self.append_connection(&mut text);
        text
    }

    fn append_connection(&self, text: &mut Vec<u8>) {
        if self.closes {
            append_field(text, b"Connection", b"close");
        }
    }
}

fn append_chunk(text: &mut Vec<u8>, data: &[u8]) {
    // An empty chunk would end the stream.
    if data.is_empty() {
        return;
    }
    text.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    text.extend_from_slice(data);
    text.extend_from_slice(b"\r\n");
}

fn append_field(text: &mut Vec<u8>, name: &[u8], value: &[u8]) {
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
