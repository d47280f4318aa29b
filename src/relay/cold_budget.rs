//! Limit on the calls that this instance may send to a cold replica.
//!
//! The rate that a cold replica can handle is shared by all instances, including those that cannot
//! use the store. The limit therefore needs no coordination: rendezvous hashing selects for each
//! replica the instances that may send to it while it is cold, and each of them sends at most one
//! call in any second.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::{ids, rendezvous};

/// Shortest time between two calls of one instance to a cold replica. Longer than the one-second
/// window of the rate, so that no window holds two calls.
pub const COLD_SEND_INTERVAL: Duration = Duration::from_millis(1_050);
/// Fraction of the limit that is used. The rest covers instances whose member lists differ by some
/// members.
const USED_FRACTION: f64 = 0.7;

/// Limit on the calls per second that a cold replica receives from all instances together:
/// `factor` times the rate that the service states for a cold replica, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRateLimit {
    pub factor: f64,
    /// Calls per second.
    pub slack: f64,
}

impl ColdRateLimit {
    /// Number of instances that may each send one call per second to a cold replica.
    pub fn max_senders(&self, rate_per_s: f64) -> usize {
        let limit_per_s = USED_FRACTION * (rate_per_s.max(0.0) * self.factor + self.slack);
        // The cast saturates; a limit below 1 allows no sender.
        limit_per_s as usize
    }

    /// Whether an instance is one of those that may send to a cold replica.
    pub fn allows_sender(
        &self,
        replica: &ids::ReplicaName,
        rate_per_s: f64,
        instance: &ids::InstanceName,
        members: &[Arc<str>],
    ) -> bool {
        let max_senders = self.max_senders(rate_per_s);
        if members.len() <= max_senders {
            return max_senders > 0;
        }
        let own_rank = rendezvous::member_rank(replica, instance);
        let higher =
            members.iter().filter(|member| rendezvous::member_rank(replica, member) > own_rank);
        higher.take(max_senders).count() < max_senders
    }
}

/// Spacing of the calls that this instance sends to one cold replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdSpacing {
    last_sent: Option<Instant>,
}

impl ColdSpacing {
    /// Whether [`COLD_SEND_INTERVAL`] has passed since the last call.
    pub fn allows_send(&self, now: Instant) -> bool {
        self.last_sent.is_none_or(|last| now >= last + COLD_SEND_INTERVAL)
    }

    pub fn record_send(&mut self, now: Instant) {
        self.last_sent = Some(now);
    }
}
