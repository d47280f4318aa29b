//! Refusal of a reservation of memory.

use std::time::Duration;

/// Why and for how long a reservation finds no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShortage {
    /// Mean time after which reservations of the holder have ended so far.
    pub retry_after: Duration,
    /// Whether this is the first refusal since the share was less than half used.
    pub is_first: bool,
    /// Whether the caller has used up its part although the share has room.
    pub is_caller_limit: bool,
}
