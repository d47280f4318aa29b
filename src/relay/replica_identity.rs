//! Whether the server at a replica's address is still that replica.
//!
//! A server refuses a request as misdirected if it is not the replica that the request names: an
//! address may be assigned again after its replica has ended. The replica itself refuses a request
//! in the same way if it lacks the model that the caller names. An address is assigned again only
//! after some time, so a replica that answered another request within that time is still there, and
//! the refused request is at fault. Otherwise the replica is doubted: it is used only if no other is
//! left, until it answers a request or a growing delay has passed.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which a replica is doubted at first.
const INITIAL_DOUBT: Duration = Duration::from_secs(1);
/// Longest time for which a replica is doubted without another attempt.
const MAX_DOUBT: Duration = Duration::from_secs(30);

/// Why a server refused a request as misdirected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MisdirectionCause {
    /// The server is the expected replica, so the request is at fault.
    Request,
    /// The address may belong to another server.
    Address,
}

/// Evidence on the identity of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaIdentity {
    /// Latest time at which the replica is known to have had its address.
    confirmed_at: Option<Instant>,
    doubted_until: Option<Instant>,
    /// Refusals since the replica was last confirmed.
    refusals: u32,
}

impl ReplicaIdentity {
    /// Records that the replica itself answered a request that was sent at `sent_at`.
    pub fn confirm(&mut self, sent_at: Instant) {
        *self = Self { confirmed_at: self.confirmed_at.max(Some(sent_at)), ..Self::default() };
    }

    /// Records a refusal as misdirected. `last_activity` is the time of the last data on any open
    /// answer of the replica, `reuse_delay` the shortest time from the end of a replica to another
    /// use of its address.
    pub fn record_refusal(
        &mut self,
        last_activity: Option<Instant>,
        reuse_delay: Duration,
        now: Instant,
    ) -> MisdirectionCause {
        let seen_at = self.confirmed_at.max(last_activity);
        if seen_at.is_some_and(|at| now < at + reuse_delay) {
            return MisdirectionCause::Request;
        }
        let doubt = INITIAL_DOUBT.saturating_mul(2_u32.saturating_pow(self.refusals));
        self.refusals = self.refusals.saturating_add(1);
        self.doubted_until = Some(now + doubt.min(MAX_DOUBT));
        MisdirectionCause::Address
    }

    /// Ends the doubt, as the replica has written its entry.
    pub fn end_doubt(&mut self) {
        self.doubted_until = None;
        self.refusals = 0;
    }

    /// Withdraws the last doubt, as the refused request was at fault.
    pub fn withdraw_doubt(&mut self) {
        self.doubted_until = None;
        self.refusals = self.refusals.saturating_sub(1);
    }

    /// Whether another server may have the replica's address.
    pub fn is_doubted(&self, now: Instant) -> bool {
        self.doubted_until.is_some_and(|until| now < until)
    }

    /// Time since the replica last answered a request; `None` if it has not.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }
}
