//! Splits the body of an event stream into complete events.
//!
//! Only complete events are forwarded, so that a stream that is truncated within an event can
//! resume at another replica after the last event that the caller received.

use bytes::{Bytes, BytesMut};

/// Complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Value of the `id` field; `None` if it is missing or not a number.
    pub id: Option<u64>,
    /// Text, including the empty line that ends the event.
    pub text: Bytes,
}

impl StreamEvent {
    /// Whether the event consists of comments, which carry no data and need no id.
    pub fn is_comment(&self) -> bool {
        let lines = self.text.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end);
        lines.filter(|line| !line.is_empty()).all(|line| line.starts_with(b":"))
    }
}

/// Splitter of one body, which arrives in pieces.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffered start that contains no end of an event.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Adds received bytes of the body.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Number of bytes that belong to no complete event yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes the next complete event; `None` if more data is needed.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.event_end()?;
        self.searched_bytes = 0;
        let text = self.buffer.split_to(end).freeze();
        Some(StreamEvent { id: event_id(&text), text })
    }

    /// Removes the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.searched_bytes = 0;
        self.buffer.split().freeze()
    }

    fn event_end(&mut self) -> Option<usize> {
        let buffer = &self.buffer;
        for index in self.searched_bytes..buffer.len() {
            if buffer[index] == b'\n' {
                let before = &buffer[..index];
                if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                    return Some(index + 1);
                }
            }
        }
        self.searched_bytes = buffer.len();
        None
    }
}

fn event_id(text: &[u8]) -> Option<u64> {
    let lines = text.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
