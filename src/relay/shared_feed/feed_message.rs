//! Encoding of the messages between a reader and the instances that it serves.
//!
//! Integers are big-endian; texts and values have a length of 32 bits before them. The first byte of
//! a message is the version of the format.

use std::time::Duration;

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};

use super::feed_batch::{BatchContent, FeedBatch};
use crate::ids;
use crate::kv_store::{KvEntry, KvEvent};
use crate::relay::mirror_scope::MirrorScope;
use crate::relay::store_era;

/// Version of the format.
const FORMAT_VERSION: u8 = 1;
/// The same for revisions with an era. Instances of earlier releases refuse it, as they would take
/// the era for a part of the revision.
const ERA_FORMAT_VERSION: u8 = 2;
/// Value of [`FeedBatch::since_store_return`] without an outage.
const NO_STORE_RETURN: u64 = u64::MAX;
const CHANGES_CODE: u8 = 0;
const SNAPSHOT_CODE: u8 = 1;
const PUT_CODE: u8 = 0;
const DELETE_CODE: u8 = 1;

/// Message that cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FeedMessageError {
    #[error("message ends early")]
    Truncated,
    #[error("message has bytes after its end")]
    TrailingBytes,
    #[error("format version {0} is unknown")]
    UnknownVersion(u8),
    #[error("code {0} is unknown")]
    UnknownCode(u8),
    #[error("key is not UTF-8")]
    InvalidKey,
}

/// Request for the changes of a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedRequest {
    pub scope: MirrorScope,
    /// Revision up to which the sender has the changes.
    pub after: ids::KvRevision,
}

impl FeedRequest {
    /// Size of an encoded request.
    pub const ENCODED_BYTES: usize = 10;

    pub fn encode(&self) -> Bytes {
        let mut message = BytesMut::with_capacity(Self::ENCODED_BYTES);
        message.put_u8(format_version(self.after));
        message.put_u8(self.scope.code());
        message.put_i64(self.after);
        message.freeze()
    }

    /// Decodes a request.
    ///
    /// # Errors
    /// When the message is malformed.
    pub fn decode(mut message: Bytes) -> Result<Self, FeedMessageError> {
        take_version(&mut message)?;
        let code = take_u8(&mut message)?;
        let scope = MirrorScope::from_code(code).ok_or(FeedMessageError::UnknownCode(code))?;
        let after = take_i64(&mut message)?;
        check_end(&message)?;
        Ok(Self { scope, after })
    }
}

impl FeedBatch {
    pub fn encode(&self) -> Bytes {
        let (code, events) = match &self.content {
            BatchContent::Changes(events) => (CHANGES_CODE, events),
            BatchContent::Snapshot(events) => (SNAPSHOT_CODE, events),
        };
        let mut message = BytesMut::new();
        message.put_u8(format_version(self.revision));
        message.put_u8(code);
        message.put_i64(self.after);
        message.put_i64(self.revision);
        message.put_u64(millis_rounded_up(self.age));
        message.put_u64(self.held.as_millis() as u64);
        message.put_u64(
            self.since_store_return.map_or(NO_STORE_RETURN, |since| since.as_millis() as u64),
        );
        for event in events {
            match event {
                KvEvent::Put(entry) => {
                    message.put_u8(PUT_CODE);
                    put_bytes(&mut message, entry.key.as_bytes());
                    message.put_i64(entry.mod_revision);
                    message.put_i64(entry.create_revision);
                    message.put_i64(entry.lease);
                    put_bytes(&mut message, &entry.value);
                }
                KvEvent::Delete(key, revision) => {
                    message.put_u8(DELETE_CODE);
                    put_bytes(&mut message, key.as_bytes());
                    message.put_i64(*revision);
                }
            }
        }
        message.freeze()
    }

    /// Decodes a batch.
    ///
    /// # Errors
    /// When the message is malformed.
    pub fn decode(mut message: Bytes) -> Result<Self, FeedMessageError> {
        take_version(&mut message)?;
        let code = take_u8(&mut message)?;
        let after = take_i64(&mut message)?;
        let revision = take_i64(&mut message)?;
        let age = Duration::from_millis(take_u64(&mut message)?);
        let held = Duration::from_millis(take_u64(&mut message)?);
        let since_store_return = take_u64(&mut message)?;
        let mut events = Vec::new();
        while message.has_remaining() {
            events.push(take_event(&mut message)?);
        }
        let content = match code {
            CHANGES_CODE => BatchContent::Changes(events),
            SNAPSHOT_CODE => BatchContent::Snapshot(events),
            other => return Err(FeedMessageError::UnknownCode(other)),
        };
        let since_store_return = (since_store_return != NO_STORE_RETURN)
            .then(|| Duration::from_millis(since_store_return));
        Ok(Self { content, after, revision, age, held, since_store_return })
    }
}

fn take_event(message: &mut Bytes) -> Result<KvEvent, FeedMessageError> {
    match take_u8(message)? {
        PUT_CODE => {
            let key = take_key(message)?;
            let (mod_revision, create_revision) = (take_i64(message)?, take_i64(message)?);
            let lease = take_i64(message)?;
            let value = take_bytes(message)?;
            Ok(KvEvent::Put(KvEntry { key, value, create_revision, mod_revision, lease }))
        }
        DELETE_CODE => Ok(KvEvent::Delete(take_key(message)?, take_i64(message)?)),
        other => Err(FeedMessageError::UnknownCode(other)),
    }
}

/// Version of the format for a message with this revision.
fn format_version(revision: ids::KvRevision) -> u8 {
    if store_era::era_of(revision) == 0 { FORMAT_VERSION } else { ERA_FORMAT_VERSION }
}

/// Rounds up, so that an age is never understated.
fn millis_rounded_up(duration: Duration) -> u64 {
    duration.as_nanos().div_ceil(1_000_000) as u64
}

fn put_bytes(message: &mut BytesMut, text: &[u8]) {
    message.put_u32(text.len() as u32);
    message.put_slice(text);
}

fn take_version(message: &mut Bytes) -> Result<(), FeedMessageError> {
    match take_u8(message)? {
        FORMAT_VERSION | ERA_FORMAT_VERSION => Ok(()),
        other => Err(FeedMessageError::UnknownVersion(other)),
    }
}

fn take_u8(message: &mut Bytes) -> Result<u8, FeedMessageError> {
    message.try_get_u8().map_err(|_| FeedMessageError::Truncated)
}

fn take_i64(message: &mut Bytes) -> Result<i64, FeedMessageError> {
    message.try_get_i64().map_err(|_| FeedMessageError::Truncated)
}

fn take_u64(message: &mut Bytes) -> Result<u64, FeedMessageError> {
    message.try_get_u64().map_err(|_| FeedMessageError::Truncated)
}

fn take_bytes(message: &mut Bytes) -> Result<Bytes, FeedMessageError> {
    let length = message.try_get_u32().map_err(|_| FeedMessageError::Truncated)? as usize;
    if length > message.len() {
        return Err(FeedMessageError::Truncated);
    }
    Ok(message.split_to(length))
}

fn take_key(message: &mut Bytes) -> Result<String, FeedMessageError> {
    String::from_utf8(take_bytes(message)?.to_vec()).map_err(|_| FeedMessageError::InvalidKey)
}

fn check_end(message: &Bytes) -> Result<(), FeedMessageError> {
    if message.is_empty() { Ok(()) } else { Err(FeedMessageError::TrailingBytes) }
}
