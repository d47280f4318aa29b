//! Incremental decoder of message bodies.

use bytes::{Buf as _, Bytes, BytesMut};

use super::message_error::MessageError;

/// Limit for a line with a chunk size or a trailer field.
const MAX_LINE_BYTES: usize = 1_024;

const LINE_END_BYTES: usize = 2;

/// Limit on the trailer fields of a body.
const MAX_TRAILER_FIELDS: u32 = 32;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// Body has this many bytes.
    Length(u64),
    /// Body is sent in chunks, of which the last is empty.
    Chunked,
    /// Body ends when the connection is closed. Only responses may use this.
    UntilClose,
}

/// Result of one step of decoding.
#[derive(Debug, PartialEq, Eq)]
pub enum DecodeStep {
    /// Next bytes of the body, never empty.
    Data(Bytes),
    /// The body is incomplete and its next part needs more input than the buffer holds.
    NeedMore,
    Complete,
}

/// What the decoder expects next. Numbers are the bytes that remain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecodeState {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// Trailer fields that may still follow.
    Trailer(u32),
    UntilClose,
    Complete,
}

#[derive(Debug)]
pub struct BodyDecoder {
    state: DecodeState,
}

impl BodyDecoder {
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(length) => DecodeState::Length(length),
            BodyFraming::Chunked => DecodeState::ChunkSize,
            BodyFraming::UntilClose => DecodeState::UntilClose,
        };
        Self { state }
    }

    /// Whether the body ends when the peer closes the connection.
    pub fn is_close_delimited(&self) -> bool {
        self.state == DecodeState::UntilClose
    }

    /// Removes the next bytes of the body from the buffer, and leaves those after the body.
    ///
    /// # Errors
    /// When the chunked coding is malformed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<DecodeStep, MessageError> {
        loop {
            match self.state {
                DecodeState::Complete | DecodeState::Length(0) => return Ok(DecodeStep::Complete),
                _ if buffer.is_empty() => return Ok(DecodeStep::NeedMore),
                DecodeState::UntilClose => {
                    return Ok(DecodeStep::Data(buffer.split().freeze()));
                }
                DecodeState::Length(remaining) => {
                    let data = take_up_to(buffer, remaining);
                    self.state = DecodeState::Length(remaining - data.len() as u64);
                    return Ok(DecodeStep::Data(data));
                }
                DecodeState::ChunkData(remaining) => {
                    let data = take_up_to(buffer, remaining);
                    let remaining = remaining - data.len() as u64;
                    self.state = if remaining == 0 {
                        DecodeState::ChunkEnd
                    } else {
                        DecodeState::ChunkData(remaining)
                    };
                    return Ok(DecodeStep::Data(data));
                }
                DecodeState::ChunkEnd | DecodeState::ChunkSize | DecodeState::Trailer(_) => {
                    let Some(length) = line_length(buffer)? else {
                        return Ok(DecodeStep::NeedMore);
                    };
                    self.state = self.state_after_line(&buffer[..length])?;
                    buffer.advance(length + LINE_END_BYTES);
                }
            }
        }
    }

    /// State after a line of the chunked coding. Lines are not copied, as there are two for each byte of
    /// a body in the smallest chunks.
    fn state_after_line(&self, line: &[u8]) -> Result<DecodeState, MessageError> {
        match self.state {
            DecodeState::ChunkEnd if line.is_empty() => Ok(DecodeState::ChunkSize),
            DecodeState::ChunkEnd => Err(MessageError::Malformed("chunk is longer than stated")),
            DecodeState::ChunkSize => Ok(match parse_chunk_size(line)? {
                0 => DecodeState::Trailer(MAX_TRAILER_FIELDS),
                size => DecodeState::ChunkData(size),
            }),
            DecodeState::Trailer(_) if line.is_empty() => Ok(DecodeState::Complete),
            DecodeState::Trailer(0) => {
                Err(MessageError::Malformed("body has too many trailer fields"))
            }
            DecodeState::Trailer(remaining) => Ok(DecodeState::Trailer(remaining - 1)),
            state => Ok(state),
        }
    }
}

fn take_up_to(buffer: &mut BytesMut, limit: u64) -> Bytes {
    let count = usize::try_from(limit).unwrap_or(usize::MAX).min(buffer.len());
    buffer.split_to(count).freeze()
}

/// Length of the first line of the buffer without its end, which must be CR LF. `None` if the line is
/// incomplete.
fn line_length(buffer: &[u8]) -> Result<Option<usize>, MessageError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        let is_overlong = buffer.len() > MAX_LINE_BYTES;
        return if is_overlong {
            Err(MessageError::Malformed("line is too long"))
        } else {
            Ok(None)
        };
    };
    if end == 0 || buffer[end - 1] != b'\r' {
        return Err(MessageError::Malformed("line ends without a carriage return"));
    }
    let length = end - 1;
    if buffer[..length].contains(&b'\r') {
        return Err(MessageError::Malformed("carriage return within a line"));
    }
    Ok(Some(length))
}

/// Parses the size of a chunk; extensions after `;` are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, MessageError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    let text = std::str::from_utf8(digits).unwrap_or_default();
    if text.is_empty() || text.len() > 15 || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return Err(MessageError::Malformed("chunk size is not a number"));
    }
    u64::from_str_radix(text, 16).map_err(|_| MessageError::Malformed("chunk size is too large"))
}
