//! Age of the last exchange with a node, in one byte.

use std::time::Duration;

use crate::member_digest;

/// Step of an age.
const AGE_UNIT: Duration = Duration::from_millis(50);
/// Age of a node without an exchange, or with one longer ago than 12.7 s.
const UNKNOWN_AGE: u8 = u8::MAX;

/// Age of the last exchange in steps of 50 ms.
///
/// Ages are rounded up, so that passing them on never makes a node look younger
/// than it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberAge(u8);

impl MemberAge {
    /// No exchange.
    pub const UNKNOWN: Self = Self(UNKNOWN_AGE);

    /// Age of a time of exchange.
    pub fn since(exchanged_at: Option<Duration>, now: Duration) -> Self {
        let Some(at) = exchanged_at else { return Self::UNKNOWN };
        let steps = now.saturating_sub(at).as_nanos().div_ceil(AGE_UNIT.as_nanos());
        Self(u8::try_from(steps).unwrap_or(UNKNOWN_AGE))
    }

    /// Age of a byte on the wire.
    pub const fn from_byte(byte: u8) -> Self {
        Self(byte)
    }

    /// Byte on the wire.
    pub const fn byte(self) -> u8 {
        self.0
    }

    /// Age below the key of a name's hash.
    pub fn keyed(self, hash: u64) -> u32 {
        member_digest::hash_key(hash) << 8 | u32::from(self.0)
    }

    /// Age and key of the name's hash.
    pub fn from_keyed(keyed: u32) -> (Self, u32) {
        (Self(keyed as u8), keyed >> 8)
    }

    /// Time of the exchange, when the age was true no earlier than at `reference`.
    ///
    /// `None` when the age is unknown or the exchange precedes the node's start.
    pub fn time_before(self, reference: Duration) -> Option<Duration> {
        if self == Self::UNKNOWN {
            return None;
        }
        reference.checked_sub(AGE_UNIT * u32::from(self.0))
    }
}
