//! Reader of the messages that arrive on one connection.

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt as _};
use tokio::net::tcp;

use super::body_decoder::{BodyDecoder, BodyFraming, DecodeStep};
use super::message_error::MessageError;

/// Bytes for which room is made before each read.
const READ_BYTES: usize = 8 * 1_024;

/// Reader with the bytes that it holds.
#[derive(Debug)]
pub struct MessageReader<R> {
    source: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Reader of a source of which `buffer` was read already.
    pub fn new(source: R, buffer: BytesMut) -> Self {
        Self { source, buffer }
    }

    /// Number of bytes that were read and belong to no message yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Reads once; 0 bytes mean that the peer closed its side.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn fill(&mut self) -> Result<usize, MessageError> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.source.read_buf(&mut self.buffer).await?)
    }

    /// Reads a head up to and with its empty line.
    ///
    /// # Errors
    /// When the connection ends or fails, or the head is over the limit.
    pub async fn read_head(&mut self, limit_bytes: usize) -> Result<Bytes, MessageError> {
        let mut searched = 0_usize;
        loop {
            if let Some(end) = head_end(&self.buffer, searched) {
                if end > limit_bytes {
                    return Err(MessageError::HeadTooLarge);
                }
                return Ok(self.buffer.split_to(end).freeze());
            }
            if self.buffer.len() > limit_bytes {
                return Err(MessageError::HeadTooLarge);
            }
            searched = self.buffer.len().saturating_sub(3);
            if self.fill().await? == 0 {
                let empty = self.buffer.is_empty();
                return Err(if empty { MessageError::Ended } else { MessageError::Truncated });
            }
        }
    }

    /// Reads the next piece of a body; none once it is complete.
    ///
    /// # Errors
    /// When the body is cut or malformed.
    pub async fn read_body_data(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, MessageError> {
        loop {
            match decoder.decode(&mut self.buffer)? {
                DecodeStep::Data(data) => return Ok(Some(data)),
                DecodeStep::Complete => return Ok(None),
                DecodeStep::NeedMore => {}
            }
            if self.fill().await? == 0 {
                let ended = decoder.is_close_delimited();
                return if ended { Ok(None) } else { Err(MessageError::Truncated) };
            }
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    /// When the body is cut, malformed or over the limit.
    pub async fn read_body(
        &mut self,
        framing: BodyFraming,
        limit_bytes: usize,
    ) -> Result<Bytes, MessageError> {
        let over = |length: u64| length > limit_bytes as u64;
        if matches!(framing, BodyFraming::Length(length) if over(length)) {
            return Err(MessageError::BodyTooLarge);
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut whole = BytesMut::new();
        while let Some(piece) = self.read_body_data(&mut decoder).await? {
            if over((whole.len() + piece.len()) as u64) {
                return Err(MessageError::BodyTooLarge);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }
}

impl MessageReader<tcp::OwnedReadHalf> {
    /// Whether bytes wait to be read or the connection has ended, without waiting.
    pub fn try_read_byte(&mut self, probe: &mut [u8; 1]) -> bool {
        match self.source.try_read(probe) {
            Ok(_) => true,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Position after the empty line that ends a head. A bare line feed ends a line as well here, so
/// that a head with one is found and refused rather than awaited for ever.
fn head_end(buffer: &[u8], from: usize) -> Option<usize> {
    let feeds = (from..buffer.len()).filter(|place| buffer[*place] == b'\n');
    feeds
        .filter(|place| {
            let before = &buffer[..*place];
            before.ends_with(b"\n") || before.ends_with(b"\n\r")
        })
        .map(|place| place + 1)
        .next()
}
