//! Decoder of a message body, by the way in which it is framed.

use bytes::{Buf as _, Bytes, BytesMut};

use super::message_error::MessageError;

/// Longest line with a chunk size or a trailer, in bytes.
const MAX_LINE_BYTES: usize = 1_024;

/// Way in which a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// Stated length in bytes.
    Length(u64),
    /// Chunks with a final empty one.
    Chunked,
    /// Ends with the connection; only answers may use it.
    UntilClose,
}

/// What the decoder found next.
#[derive(Debug, PartialEq, Eq)]
pub enum DecodeStep {
    /// Bytes of the body.
    Data(Bytes),
    /// More input is needed.
    NeedMore,
    /// Body is complete.
    Complete,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecodeState {
    Sized(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Complete,
}

/// Decoder of one body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecodeState,
}

impl BodyDecoder {
    /// Decoder of a body with a framing.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(length) => DecodeState::Sized(length),
            BodyFraming::Chunked => DecodeState::ChunkSize,
            BodyFraming::UntilClose => DecodeState::UntilClose,
        };
        Self { state }
    }

    /// Whether an orderly end of the connection completes the body.
    pub fn is_close_delimited(&self) -> bool {
        self.state == DecodeState::UntilClose
    }

    /// Takes the next piece of the body out of the buffer.
    ///
    /// # Errors
    /// When the chunks are malformed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<DecodeStep, MessageError> {
        loop {
            match self.state {
                DecodeState::Complete | DecodeState::Sized(0) => return Ok(DecodeStep::Complete),
                _ if buffer.is_empty() => return Ok(DecodeStep::NeedMore),
                DecodeState::UntilClose => {
                    return Ok(DecodeStep::Data(buffer.split().freeze()));
                }
                DecodeState::Sized(left) => {
                    let data = take(buffer, left);
                    self.state = DecodeState::Sized(left - data.len() as u64);
                    return Ok(DecodeStep::Data(data));
                }
                DecodeState::ChunkData(left) => {
                    let data = take(buffer, left);
                    let left = left - data.len() as u64;
                    self.state = if left == 0 {
                        DecodeState::ChunkEnd
                    } else {
                        DecodeState::ChunkData(left)
                    };
                    return Ok(DecodeStep::Data(data));
                }
                DecodeState::ChunkEnd => match take_line(buffer)? {
                    None => return Ok(DecodeStep::NeedMore),
                    Some(line) if line.is_empty() => self.state = DecodeState::ChunkSize,
                    Some(_) => return Err(MessageError::Malformed("chunk is longer than stated")),
                },
                DecodeState::ChunkSize => match take_line(buffer)? {
                    None => return Ok(DecodeStep::NeedMore),
                    Some(line) => match chunk_size(&line)? {
                        0 => self.state = DecodeState::Trailer,
                        size => self.state = DecodeState::ChunkData(size),
                    },
                },
                DecodeState::Trailer => match take_line(buffer)? {
                    None => return Ok(DecodeStep::NeedMore),
                    Some(line) if line.is_empty() => self.state = DecodeState::Complete,
                    Some(_) => {}
                },
            }
        }
    }
}

fn take(buffer: &mut BytesMut, limit: u64) -> Bytes {
    let count = usize::try_from(limit).unwrap_or(usize::MAX).min(buffer.len());
    buffer.split_to(count).freeze()
}

/// Takes a line that ends with CR LF, without its end.
fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, MessageError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        let overlong = buffer.len() > MAX_LINE_BYTES;
        return if overlong { Err(MessageError::Malformed("line is too long")) } else { Ok(None) };
    };
    if end == 0 || buffer[end - 1] != b'\r' {
        return Err(MessageError::Malformed("line ends without a carriage return"));
    }
    let line = buffer.split_to(end - 1).freeze();
    buffer.advance(2);
    if line.contains(&b'\r') {
        return Err(MessageError::Malformed("carriage return within a line"));
    }
    Ok(Some(line))
}

fn chunk_size(line: &Bytes) -> Result<u64, MessageError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    let text = std::str::from_utf8(digits).unwrap_or_default();
    if text.is_empty() || text.len() > 15 || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return Err(MessageError::Malformed("chunk size is not a number"));
    }
    u64::from_str_radix(text, 16).map_err(|_| MessageError::Malformed("chunk size is too large"))
}
