//! Judgement of one replica from the answers that this instance had of it.
//!
//! A replica may fail a part of its calls, or answer none, while its entry says that it is well.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of one answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Share of failures above which the replica is avoided. Services fail up to about a seventh of
/// their calls when nothing is wrong; sick replicas fail two fifths and more.
const FAILURE_LIMIT: f64 = 0.38;
/// Failures without an answer in a row after which the replica is avoided.
const SILENT_LIMIT: u32 = 2;
/// First time for which a replica is avoided.
const FIRST_PAUSE: Duration = Duration::from_millis(800);
/// Longest time for which a replica is avoided without a trial.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// End of one attempt as the judgement counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthOutcome {
    /// Whole answer.
    Good,
    /// Answer that tells of a failure.
    Failure,
    /// Answer that was cut or unreadable.
    Cut,
    /// No answer in time.
    Silent,
    /// No connection: the process is gone, and one failure tells so.
    Unreachable,
}

/// Health of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaHealth {
    failure_share: f64,
    silent_in_row: u32,
    avoided_until: Option<Instant>,
    pause: Duration,
}

impl ReplicaHealth {
    /// Whether calls go elsewhere where they can.
    pub fn avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// End of the time for which calls go elsewhere.
    pub fn avoided_until(&self) -> Option<Instant> {
        self.avoided_until
    }

    /// Share of failures, by which two replicas are compared.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Notes that a trial after a pause was sent: further calls wait for its outcome.
    pub fn record_send(&mut self, now: Instant) {
        if self.avoided_until.is_some_and(|until| now >= until) {
            self.avoided_until = Some(now + self.pause);
        }
    }

    /// Counts the end of an attempt; returns whether the replica is avoided from now on.
    pub fn record(&mut self, outcome: HealthOutcome, now: Instant) -> bool {
        let bad = outcome != HealthOutcome::Good;
        self.failure_share += (f64::from(u8::from(bad)) - self.failure_share) * FAILURE_WEIGHT;
        let silent = matches!(outcome, HealthOutcome::Silent | HealthOutcome::Unreachable);
        self.silent_in_row = if silent { self.silent_in_row + 1 } else { 0 };
        if !bad {
            if self.avoided_until.take().is_some() {
                self.failure_share = self.failure_share.min(FAILURE_LIMIT / 2.0);
            }
            self.pause = Duration::ZERO;
            return false;
        }
        let sick = self.failure_share > FAILURE_LIMIT
            || self.silent_in_row >= SILENT_LIMIT
            || outcome == HealthOutcome::Unreachable;
        if !sick || self.avoided(now) {
            return false;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.avoided_until = Some(now + self.pause);
        true
    }
}
