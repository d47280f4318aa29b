//! Decides whether this node may start new work now.
//!
//! A confirmation is the proof that a sequence number was the head of the
//! configuration at a time. Ages of confirmations are passed on in heartbeats and
//! are adopted from replies only, counted from the sending of the request, so
//! that transit time never makes them look younger.

use std::time::Duration;

use crate::{ids, member_reach, peer_message};

/// Age up to which a confirmation is sufficient.
pub const CONFIRMED_AGE: Duration = Duration::from_secs(3);

/// Whether this node may start new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The configuration in effect was confirmed within 3 s.
    Confirmed,
    /// No member of a reachable majority has a newer confirmation.
    OutageQuorum,
    /// The configuration may have changed without this node's knowledge.
    Isolated,
}

impl Freshness {
    /// Whether new work may start.
    pub fn starts_work(self) -> bool {
        self != Self::Isolated
    }
}

/// Confirmations known to this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmationClock {
    /// Time of the newest confirmation that covers the configuration in effect.
    adopted_at: Option<Duration>,
    /// Time of the newest confirmation that any peer reported.
    reported_at: Option<Duration>,
}

impl ConfirmationClock {
    /// Records that the key-value service confirmed `head` in a read sent at `sent_at`.
    pub fn confirm(
        &mut self,
        sent_at: Duration,
        head: ids::ConfigSequence,
        in_effect: ids::ConfigSequence,
    ) -> bool {
        self.report(Some(sent_at), head, in_effect)
    }

    /// Records the status in a reply to a heartbeat that was sent at `sent_at`.
    ///
    /// Returns false when the peer is ahead: its confirmation is of a newer
    /// configuration. The caller then fetches the changes and records the same
    /// status again.
    pub fn adopt(
        &mut self,
        sent_at: Duration,
        status: &peer_message::NodeStatus,
        in_effect: ids::ConfigSequence,
    ) -> bool {
        let at = status.confirmation_age.and_then(|age| sent_at.checked_sub(age));
        self.report(at, status.sequence, in_effect)
    }

    /// Age of the newest confirmation of the configuration in effect.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.adopted_at.map(|at| now.saturating_sub(at))
    }

    /// Whether new work may start now.
    pub fn freshness(&self, now: Duration, reach: member_reach::MemberReach) -> Freshness {
        if self.age(now).is_some_and(|age| age <= CONFIRMED_AGE) {
            Freshness::Confirmed
        } else if reach.outage_majority() && self.reported_at <= self.adopted_at {
            Freshness::OutageQuorum
        } else {
            Freshness::Isolated
        }
    }

    /// Whether the administration API accepts changes now.
    pub fn accepts_changes(&self, now: Duration, reach: member_reach::MemberReach) -> bool {
        self.freshness(now, reach) == Freshness::Confirmed && reach.majority()
    }

    fn report(
        &mut self,
        at: Option<Duration>,
        sequence: ids::ConfigSequence,
        in_effect: ids::ConfigSequence,
    ) -> bool {
        self.reported_at = self.reported_at.max(at);
        let covered = in_effect >= sequence;
        if covered {
            self.adopted_at = self.adopted_at.max(at);
        }
        covered
    }
}
