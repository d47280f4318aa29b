//! Budget of the writes that share parts with a single crash.
//!
//! A crash concerns all requests that waited at the replica. If many replicas crash at once, for
//! another reason, the records of those requests must not use up the calls to the store.

use tokio::time::Instant;

/// Writes per second, over all instances.
const WRITES_PER_S: f64 = 100.0;
/// Time over which unused writes of an instance add up.
const BURST_S: f64 = 2.0;

/// Writes that this instance has left; starts with a full burst.
#[derive(Debug, Default)]
pub struct SuspectBudget {
    used_writes: f64,
    updated_at: Option<Instant>,
}

impl SuspectBudget {
    /// Takes one write; `false` if none is left. Each of `members` instances has an equal share.
    pub fn take(&mut self, members: usize, now: Instant) -> bool {
        let rate_per_s = WRITES_PER_S / members.max(1) as f64;
        let elapsed = self.updated_at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.updated_at = Some(now);
        self.used_writes = (self.used_writes - elapsed * rate_per_s).max(0.0);
        let is_left = self.used_writes + 1.0 <= (rate_per_s * BURST_S).max(1.0);
        self.used_writes += f64::from(u8::from(is_left));
        is_left
    }
}
