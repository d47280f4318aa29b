//! Outlier ejection: health of one replica, derived from its answers to this instance.
//!
//! A replica may fail some of its calls, or answer none, while its entry in the store is ready.
//! Such a replica is avoided for a period and then tried again with a single call. Until it
//! gives a good answer, each period is longer than the last, up to a limit.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of the latest outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Fraction of failures above which the replica is avoided. Healthy services fail up to about a
/// seventh of their calls, faulty replicas two fifths or more.
const MAX_FAILURE_FRACTION: f64 = 0.38;
/// Number of consecutive attempts without an answer after which the replica is avoided.
const CONSECUTIVE_SILENT_THRESHOLD: u32 = 2;
const INITIAL_AVOIDANCE_PERIOD: Duration = Duration::from_millis(800);
/// Upper limit of the period after which a trial call is sent to an avoided replica.
const MAX_AVOIDANCE_PERIOD: Duration = Duration::from_secs(5);

/// Outcome of one attempt, as it counts for the health of the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthOutcome {
    /// Complete answer without a failure.
    Good,
    /// Complete answer that reports a failure.
    Failure,
    /// Truncated or malformed answer.
    Cut,
    /// No answer in time.
    Silent,
    /// Connection failed. The process is gone, so a single such outcome is enough to avoid it.
    Unreachable,
}

/// Health of one replica, as seen by this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaHealth {
    /// Moving average of failures, from 0 to 1.
    failure_fraction: f64,
    consecutive_silent: u32,
    avoided_until: Option<Instant>,
    /// Length of the current avoidance period; zero for a healthy replica.
    avoidance_period: Duration,
}

impl ReplicaHealth {
    /// Whether calls are sent to other replicas if there are any.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// End of the avoidance period, possibly in the past; `None` if none has started since the last
    /// good answer.
    pub fn avoided_until(&self) -> Option<Instant> {
        self.avoided_until
    }

    /// Moving average of failures, from 0 to 1.
    pub fn failure_fraction(&self) -> f64 {
        self.failure_fraction
    }

    /// Records a sent call. After an avoidance period this is the trial call, and the replica is
    /// avoided for another period until its outcome is known.
    pub fn record_send(&mut self, now: Instant) {
        if self.avoided_until.is_some_and(|until| now >= until) {
            self.avoided_until = Some(now + self.avoidance_period);
        }
    }

    /// Records the outcome of an attempt; returns whether it starts an avoidance period.
    pub fn record_outcome(&mut self, outcome: HealthOutcome, now: Instant) -> bool {
        let has_failed = outcome != HealthOutcome::Good;
        self.failure_fraction +=
            (f64::from(u8::from(has_failed)) - self.failure_fraction) * OUTCOME_WEIGHT;
        let is_silent = matches!(outcome, HealthOutcome::Silent | HealthOutcome::Unreachable);
        self.consecutive_silent = if is_silent { self.consecutive_silent + 1 } else { 0 };
        if !has_failed {
            if self.avoided_until.take().is_some() {
                self.failure_fraction = self.failure_fraction.min(MAX_FAILURE_FRACTION / 2.0);
            }
            self.avoidance_period = Duration::ZERO;
            return false;
        }
        let is_failing = self.failure_fraction > MAX_FAILURE_FRACTION
            || self.consecutive_silent >= CONSECUTIVE_SILENT_THRESHOLD
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
