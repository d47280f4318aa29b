//! Judgement of one replica from the answers that this instance had of it.
//!
//! A replica may fail a part of its calls, or answer none, while its entry says that it is well.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of one answer in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Share of failures above which the replica is avoided. Services fail up to about a seventh of
/// their calls when nothing is wrong; sick replicas fail two fifths and more.
const MAX_FAILURE_FRACTION: f64 = 0.38;
/// Failures without an answer in a row after which the replica is avoided.
const SILENT_IN_ROW_THRESHOLD: u32 = 2;
/// First time for which a replica is avoided.
const INITIAL_AVOIDANCE_PERIOD: Duration = Duration::from_millis(800);
/// Longest time for which a replica is avoided without a trial.
const MAX_AVOIDANCE_PERIOD: Duration = Duration::from_secs(5);

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
    failure_fraction: f64,
    silent_in_row: u32,
    avoided_until: Option<Instant>,
    avoidance_period: Duration,
}

impl ReplicaHealth {
    /// Whether calls go elsewhere where they can.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// End of the time for which calls go elsewhere.
    pub fn avoided_until(&self) -> Option<Instant> {
        self.avoided_until
    }

    /// Share of failures, by which two replicas are compared.
    pub fn failure_fraction(&self) -> f64 {
        self.failure_fraction
    }

    /// Notes that a trial after a pause was sent: further calls wait for its outcome.
    pub fn record_send(&mut self, now: Instant) {
        if self.avoided_until.is_some_and(|until| now >= until) {
            self.avoided_until = Some(now + self.avoidance_period);
        }
    }

    /// Counts the end of an attempt; returns whether the replica is avoided from now on.
    pub fn record_outcome(&mut self, outcome: HealthOutcome, now: Instant) -> bool {
        let has_failed = outcome != HealthOutcome::Good;
        self.failure_fraction +=
            (f64::from(u8::from(has_failed)) - self.failure_fraction) * OUTCOME_WEIGHT;
        let is_silent = matches!(outcome, HealthOutcome::Silent | HealthOutcome::Unreachable);
        self.silent_in_row = if is_silent { self.silent_in_row + 1 } else { 0 };
        if !has_failed {
            if self.avoided_until.take().is_some() {
                self.failure_fraction = self.failure_fraction.min(MAX_FAILURE_FRACTION / 2.0);
            }
            self.avoidance_period = Duration::ZERO;
            return false;
        }
        let is_failing = self.failure_fraction > MAX_FAILURE_FRACTION
            || self.silent_in_row >= SILENT_IN_ROW_THRESHOLD
            || outcome == HealthOutcome::Unreachable;
        if !is_failing || self.is_avoided(now) {
            return false;
        }
        self.avoidance_period =
            (self.avoidance_period * 2).clamp(INITIAL_AVOIDANCE_PERIOD, MAX_AVOIDANCE_PERIOD);
        self.avoided_until = Some(now + self.avoidance_period);
        true
    }
}
