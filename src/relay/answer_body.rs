//! Reads the bodies of answers within the memory account.
//!
//! A faulty replica may send bytes without end to many calls at once, and callers may read their
//! answers slowly. Each body has a limit of its own, and the long ones together have a share of the
//! memory, which they keep until they are written. Short answers are not affected.

use bytes::{Bytes, BytesMut};

use super::memory_holder::MemoryHolder;
use super::relay_node::RelayNode;
use crate::http1::body_decoder::{BodyDecoder, BodyFraming};
use crate::http1::connection::ClientConnection;
use crate::http1::message_error::MessageError;
use crate::http1::response_head::ResponseHead;

/// Limit on the body of an answer that is not a stream.
pub(super) const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;
/// Size up to which a body is read whatever others hold.
const SHORT_ANSWER_BYTES: usize = 64 * 1_024;

impl RelayNode {
    /// Reads the whole body of an answer. A long one is tied to its reservation of memory.
    ///
    /// # Errors
    /// When the connection fails, or the body is truncated, malformed or over a limit.
    pub(super) async fn read_answer_body(
        &self,
        connection: &mut ClientConnection,
        head: &ResponseHead,
    ) -> Result<Bytes, MessageError> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        let mut reservation = None;
        while let Some(data) = connection.read_body_data(&mut decoder).await? {
            let length = body.len() + data.len();
            if length > MAX_ANSWER_BYTES {
                return Err(MessageError::BodyTooLarge);
            }
            let needs_room = reservation.is_none() || length > body.capacity();
            if length > SHORT_ANSWER_BYTES && needs_room {
                let capacity = next_capacity(head.framing, length);
                let reserved = match &mut reservation {
                    None => self
                        .memory
                        .reserve(MemoryHolder::Answers, None, capacity)
                        .map(|new| reservation = Some(new)),
                    Some(held) => held.grow(capacity - body.capacity()),
                };
                reserved.map_err(|shortage| {
                    self.report_shortage(MemoryHolder::Answers, &shortage);
                    MessageError::BodyTooLarge
                })?;
                let mut larger = BytesMut::with_capacity(capacity);
                larger.extend_from_slice(&body);
                body = larger;
            }
            body.extend_from_slice(&data);
        }
        let body = body.freeze();
        Ok(match reservation {
            Some(reservation) => reservation.attach(body),
            None => body,
        })
    }
}

/// Capacity of the buffer for a body of which `length` bytes have arrived.
fn next_capacity(framing: BodyFraming, length: usize) -> usize {
    let expected = match framing {
        BodyFraming::Length(total) => usize::try_from(total).unwrap_or(usize::MAX),
        BodyFraming::Chunked | BodyFraming::UntilClose => length * 2,
    };
    expected.clamp(length, MAX_ANSWER_BYTES)
}
