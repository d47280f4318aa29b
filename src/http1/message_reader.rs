//! Buffered reader of HTTP messages.

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt as _};
use tokio::net::tcp;

use super::body_decoder::{BodyDecoder, BodyFraming, DecodeStep};
use super::message_error::MessageError;

/// Buffer space reserved before each read.
const READ_BUFFER_BYTES: usize = 8 * 1_024;

/// Reader of consecutive messages from one source.
#[derive(Debug)]
pub struct MessageReader<R> {
    source: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Creates a reader; `buffer` holds bytes that were read from the source already.
    pub fn new(source: R, buffer: BytesMut) -> Self {
        Self { source, buffer }
    }

    /// Number of bytes that were received but not yet consumed as part of a message.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Reads once into the buffer. Returns 0 if the peer has closed its side.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn fill(&mut self) -> Result<usize, MessageError> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        Ok(self.source.read_buf(&mut self.buffer).await?)
    }

    /// Reads once and discards what was read, with what was buffered. Returns 0 if the peer has closed
    /// its side.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn discard(&mut self) -> Result<usize, MessageError> {
        self.buffer.clear();
        self.fill().await
    }

    /// Reads a head, including the empty line that ends it.
    ///
    /// # Errors
    /// When the connection closes or fails, or the head is over the limit.
    pub async fn read_head(&mut self, max_bytes: usize) -> Result<Bytes, MessageError> {
        let mut searched = 0_usize;
        loop {
            if let Some(end) = find_head_end(&self.buffer, searched) {
                if end > max_bytes {
                    return Err(MessageError::HeadTooLarge);
                }
                return Ok(self.buffer.split_to(end).freeze());
            }
            if self.buffer.len() > max_bytes {
                return Err(MessageError::HeadTooLarge);
            }
            // The end of a head may be split between two reads.
            searched = self.buffer.len().saturating_sub(3);
            if self.fill().await? == 0 {
                let is_empty = self.buffer.is_empty();
                return Err(if is_empty { MessageError::Ended } else { MessageError::Truncated });
            }
        }
    }

    /// Reads the next bytes of a body; `None` once it is complete.
    ///
    /// # Errors
    /// When the connection fails or the body is truncated or malformed.
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
                let is_complete = decoder.is_close_delimited();
                return if is_complete { Ok(None) } else { Err(MessageError::Truncated) };
            }
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    /// When the connection fails or the body is truncated, malformed or over the limit.
    pub async fn read_body(
        &mut self,
        framing: BodyFraming,
        max_bytes: usize,
    ) -> Result<Bytes, MessageError> {
        let exceeds_limit = |length: u64| length > max_bytes as u64;
        if matches!(framing, BodyFraming::Length(length) if exceeds_limit(length)) {
            return Err(MessageError::BodyTooLarge);
        }
        let mut decoder = BodyDecoder::new(framing);
        // A buffer that grows is held twice while it is copied.
        let mut body = match framing {
            BodyFraming::Length(length) => BytesMut::with_capacity(length as usize),
            BodyFraming::Chunked | BodyFraming::UntilClose => BytesMut::new(),
        };
        while let Some(data) = self.read_body_data(&mut decoder).await? {
            if exceeds_limit((body.len() + data.len()) as u64) {
                return Err(MessageError::BodyTooLarge);
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }
}

impl MessageReader<tcp::OwnedReadHalf> {
    /// Sets the size of the socket's receive buffer, of which the system uses a part for itself.
    ///
    /// # Errors
    /// When the system refuses it.
    pub fn set_receive_buffer(&self, bytes: usize) -> Result<(), MessageError> {
        Ok(socket2::SockRef::from(self.source.as_ref()).set_recv_buffer_size(bytes)?)
    }

    /// Tries to read one byte without waiting. Returns true if it read the byte, or if the
    /// connection has closed or failed.
    pub fn try_read_byte(&mut self, byte: &mut [u8; 1]) -> bool {
        match self.source.try_read(byte) {
            Ok(_) => true,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Position after the empty line that ends a head. Bare line feeds count as line ends here, so that
/// a head with them is refused by the parser at once instead of after a timeout.
fn find_head_end(buffer: &[u8], from: usize) -> Option<usize> {
    let line_feeds = (from..buffer.len()).filter(|index| buffer[*index] == b'\n');
    line_feeds
        .filter(|index| {
            let before = &buffer[..*index];
            before.ends_with(b"\n") || before.ends_with(b"\n\r")
        })
        .map(|index| index + 1)
        .next()
}
