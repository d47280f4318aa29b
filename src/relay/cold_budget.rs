//! Calls that this instance may send to a cold replica.
//!
//! A cold replica bears a rate that all instances share, also those that the store refuses. Each
//! replica therefore has a fixed set of instances that may send to it while it is cold, chosen by
//! rendezvous hashing, and each of them sends at most one call in any second.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::{ids, rendezvous};

/// Time between two calls of one instance. Longer than the second over which the rate is bound,
/// so that no such second holds two.
pub const COLD_SEND_INTERVAL: Duration = Duration::from_millis(1_050);
/// Part of the bound that is handed out. Instances may differ by some members in what they take
/// for the fleet.
const USED_FRACTION: f64 = 0.7;

/// Bound on the calls that a cold replica gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRateLimit {
    /// Factor on the rate that the replica states.
    pub factor: f64,
    /// Calls a second beyond.
    pub slack: f64,
}

impl ColdRateLimit {
    /// Number of instances that may send one call a second to a replica of a stated rate.
    pub fn max_senders(&self, rate_per_s: f64) -> usize {
        let bound = USED_FRACTION * (rate_per_s.max(0.0) * self.factor + self.slack);
        // The cast saturates, and a bound below 1 leaves no sender.
        bound as usize
    }

    /// Whether an instance is among the senders to a replica.
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
        let own = rendezvous::rank(replica, instance);
        let higher = members.iter().filter(|member| rendezvous::rank(replica, member) > own);
        higher.take(max_senders).count() < max_senders
    }
}

/// Spacing of the calls to one cold replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdSpacing {
    last_sent: Option<Instant>,
}

impl ColdSpacing {
    /// Whether a call may be sent now.
    pub fn allows_send(&self, now: Instant) -> bool {
        self.last_sent.is_none_or(|last| now >= last + COLD_SEND_INTERVAL)
    }

    /// Notes a call.
    pub fn record_send(&mut self, now: Instant) {
        self.last_sent = Some(now);
    }
}
