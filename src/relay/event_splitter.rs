//! Splits the body of a stream into whole events.
//!
//! Only whole events are passed on, so that a stream that is cut within one can go on at another
//! replica after the last event that the caller has.

use bytes::{Bytes, BytesMut};

/// Whole event with its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number, where the event states one.
    pub id: Option<u64>,
    /// Text, with the empty line that ends it.
    pub text: Bytes,
}

/// Splitter of one body.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds a piece of the body.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.event_end()?;
        self.searched = 0;
        let text = self.buffer.split_to(end).freeze();
        Some(StreamEvent { id: event_id(&text), text })
    }

    /// Bytes after the last whole event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    fn event_end(&mut self) -> Option<usize> {
        let buffer = &self.buffer;
        for place in self.searched..buffer.len() {
            if buffer[place] == b'\n' {
                let before = &buffer[..place];
                if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                    return Some(place + 1);
                }
            }
        }
        self.searched = buffer.len();
        None
    }
}

fn event_id(text: &[u8]) -> Option<u64> {
    let lines = text.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
