//! Reads the bodies of requests within the memory account.
//!
//! A body of announced length reserves all of it before it is read, so that callers learn at once
//! whether there is room. A chunked body reserves in steps that double, as most are far below the
//! limit. While a buffer grows, the smaller one exists besides, for one body at a time.

use std::net::IpAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::tcp;
use tokio::time::Instant;

use super::caller_server::RECEIVE_BUFFER_BYTES;
use super::memory_holder::{MemoryHolder, SHORT_BODY_BYTES};
use super::memory_reservation::MemoryReservation;
use super::memory_shortage::MemoryShortage;
use super::shared_memory::SharedMemory;
use crate::http1::body_decoder::{BodyDecoder, BodyFraming};
use crate::http1::message_error::MessageError;
use crate::http1::message_reader::MessageReader;

/// Time for a body to arrive after its head. Long, as a large body may come over a slow link.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval in which a long body must make progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
/// Bytes of a long body that must arrive in each interval. The shortest long body that takes all of
/// `BODY_TIMEOUT` at an even pace brings twice as many.
const MIN_PROGRESS_BYTES: usize = SHORT_BODY_BYTES / 8;
/// First step of a chunked body.
const FIRST_STEP_BYTES: usize = 2 * 1_024;
/// Pieces of bodies after which other tasks run. With one byte each, a full socket buffer would occupy
/// the process for tenths of a second otherwise.
const PIECES_PER_TURN: usize = 256;
/// Receive buffer of the socket of a long body, which already has its reservation.
const LONG_RECEIVE_BUFFER_BYTES: usize = 208 * 1_024;

/// Reason why a body was not read.
#[derive(Debug)]
pub(super) enum BodyFailure {
    Message(MessageError),
    /// The holder has no room for the body.
    NoRoom(MemoryHolder, MemoryShortage),
}

impl From<MessageError> for BodyFailure {
    fn from(error: MessageError) -> Self {
        Self::Message(error)
    }
}

/// Body that is being read.
#[derive(Debug)]
pub(super) struct CallerBody {
    memory: SharedMemory,
    caller: IpAddr,
    framing: BodyFraming,
    max_bytes: usize,
    reservation: MemoryReservation,
    buffer: BytesMut,
    /// Pieces that were read, such as the data of a chunk.
    pieces: usize,
}

impl CallerBody {
    /// Reserves memory for the body that follows a head.
    ///
    /// # Errors
    /// When the announced length is over the limit, or there is no room.
    pub(super) fn reserve(
        memory: &SharedMemory,
        caller: IpAddr,
        framing: BodyFraming,
        max_bytes: usize,
    ) -> Result<Self, BodyFailure> {
        let capacity = match framing {
            BodyFraming::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            BodyFraming::Chunked | BodyFraming::UntilClose => FIRST_STEP_BYTES.min(max_bytes),
        };
        if capacity > max_bytes {
            return Err(MessageError::BodyTooLarge.into());
        }
        let reservation = reserve_capacity(memory, caller, capacity)?;
        let buffer = BytesMut::with_capacity(capacity);
        Ok(Self {
            memory: memory.clone(),
            caller,
            framing,
            max_bytes,
            reservation,
            buffer,
            pieces: 0,
        })
    }

    /// Reads the body, which keeps its reservation.
    ///
    /// # Errors
    /// When the connection fails, or the body is truncated, malformed, over the limit or too slow, or
    /// a chunked body finds no more room.
    pub(super) async fn read(
        mut self,
        reader: &mut MessageReader<tcp::OwnedReadHalf>,
    ) -> Result<Bytes, BodyFailure> {
        let mut decoder = BodyDecoder::new(self.framing);
        let deadline = Instant::now() + BODY_TIMEOUT;
        // A long body of announced length must make progress from its first byte on.
        let is_complete = !self.is_long() && {
            let reading = self.read_step(reader, &mut decoder);
            let outcome = tokio::time::timeout_at(deadline, reading).await;
            outcome.map_err(|_| MessageError::TimedOut)??
        };
        if !is_complete {
            // Only a failed socket refuses the option, and the next read shows that.
            let _ = reader.set_receive_buffer(LONG_RECEIVE_BUFFER_BYTES);
            self.read_long(reader, &mut decoder, deadline).await?;
            let _ = reader.set_receive_buffer(RECEIVE_BUFFER_BYTES);
        }
        Ok(self.reservation.attach(self.buffer.freeze()))
    }

    /// Reads the rest of a long body.
    async fn read_long(
        &mut self,
        reader: &mut MessageReader<tcp::OwnedReadHalf>,
        decoder: &mut BodyDecoder,
        deadline: Instant,
    ) -> Result<(), BodyFailure> {
        loop {
            let (start, limit) = (self.buffer.len(), Instant::now() + PROGRESS_INTERVAL);
            let reading = async {
                while !self.read_step(reader, decoder).await? {}
                Ok(())
            };
            match tokio::time::timeout_at(limit.min(deadline), reading).await {
                Ok(outcome) => return outcome,
                Err(_) if limit >= deadline || self.buffer.len() - start < MIN_PROGRESS_BYTES => {
                    return Err(MessageError::TimedOut.into());
                }
                Err(_) => {}
            }
        }
    }

    /// Reads until the body is complete, which returns true, or its buffer is long. May be dropped and
    /// called again.
    async fn read_step(
        &mut self,
        reader: &mut MessageReader<tcp::OwnedReadHalf>,
        decoder: &mut BodyDecoder,
    ) -> Result<bool, BodyFailure> {
        while let Some(data) = reader.read_body_data(decoder).await? {
            self.append(&data)?;
            self.pieces += 1;
            if self.pieces.is_multiple_of(PIECES_PER_TURN) {
                tokio::task::yield_now().await;
            }
            if self.is_long() {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn is_long(&self) -> bool {
        self.buffer.capacity() > SHORT_BODY_BYTES
    }

    /// Adds bytes, and reserves a larger buffer for them first if necessary.
    fn append(&mut self, data: &[u8]) -> Result<(), BodyFailure> {
        let length = self.buffer.len() + data.len();
        if length > self.max_bytes {
            return Err(MessageError::BodyTooLarge.into());
        }
        let capacity = self.buffer.capacity();
        if length > capacity {
            self.grow((capacity * 2).max(length).min(self.max_bytes))?;
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    fn grow(&mut self, capacity: usize) -> Result<(), BodyFailure> {
        let holder = self.reservation.holder();
        if holder == MemoryHolder::ShortBodies && capacity > SHORT_BODY_BYTES {
            self.reservation = reserve_capacity(&self.memory, self.caller, capacity)?;
        } else {
            let more = capacity - self.buffer.capacity();
            match self.reservation.grow(more) {
                Ok(()) => {}
                Err(_) if holder == MemoryHolder::ShortBodies => {
                    self.reservation = reserve_capacity(&self.memory, self.caller, capacity)?;
                }
                Err(error) => return Err(BodyFailure::NoRoom(holder, error)),
            }
        }
        let mut larger = BytesMut::with_capacity(capacity);
        larger.extend_from_slice(&self.buffer);
        self.buffer = larger;
        Ok(())
    }
}

/// Reserves from the share for the size of a body. A short one may also use the share of long ones.
fn reserve_capacity(
    memory: &SharedMemory,
    caller: IpAddr,
    bytes: usize,
) -> Result<MemoryReservation, BodyFailure> {
    let long = || {
        let reserved = memory.reserve(MemoryHolder::LongBodies, Some(caller), bytes);
        reserved.map_err(|error| BodyFailure::NoRoom(MemoryHolder::LongBodies, error))
    };
    if bytes > SHORT_BODY_BYTES {
        return long();
    }
    memory
        .reserve(MemoryHolder::ShortBodies, Some(caller), bytes)
        .or_else(|error| long().map_err(|_| BodyFailure::NoRoom(MemoryHolder::ShortBodies, error)))
}
