//! Pause for which a replica has asked with a refusal.
//!
//! A replica that refuses a request may state for how long it wants no further ones from this
//! instance. Its requests after the pause start with one at a time, so that the end of a common pause
//! brings no burst to it.

use std::time::Duration;

use tokio::time::Instant;

/// Time into a longer pause after which a single request finds out whether the replica serves
/// again. A replica may ask for an hour by mistake and would otherwise be lost for that long.
pub const MAX_UNTRIED_PAUSE: Duration = Duration::from_secs(60);
/// Time after which such a request is tried again that the replica accepted no connection for.
const UNSENT_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Factor from one such request to the next within a pause.
const TRIAL_INTERVAL_FACTOR: u32 = 8;
/// Requests that may be sent within a pause.
const MAX_TRIALS: u32 = 2;
/// Requests in flight from which a replica is no longer limited after a pause.
const UNLIMITED_REQUESTS: u32 = 64;

/// Pause of one replica, and the limit that follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaPause {
    /// Start of the first of the pauses that follow each other.
    started_at: Instant,
    /// Time of the last refusal that asked for a pause.
    asked_at: Instant,
    ends_at: Instant,
    /// Requests sent within the pause.
    trials: u32,
    next_trial_at: Option<Instant>,
    /// Requests in flight that are allowed after the pause.
    request_limit: u32,
}

impl ReplicaPause {
    /// Starts a pause of the given length.
    pub fn new(duration: Duration, now: Instant) -> Self {
        Self {
            started_at: now,
            asked_at: now,
            ends_at: now + duration,
            trials: 0,
            next_trial_at: (duration > MAX_UNTRIED_PAUSE).then(|| now + MAX_UNTRIED_PAUSE),
            request_limit: 1,
        }
    }

    /// Applies a further refusal. The pause never ends sooner than was asked before.
    pub fn extend(&mut self, duration: Duration, now: Instant) {
        let trials = if now < self.ends_at { self.trials } else { 0 };
        let next_trial_at = (trials == 0 && duration > MAX_UNTRIED_PAUSE)
            .then(|| now + MAX_UNTRIED_PAUSE)
            .or(self.next_trial_at.filter(|_| now < self.ends_at));
        *self = Self {
            started_at: self.started_at,
            asked_at: now,
            ends_at: self.ends_at.max(now + duration),
            trials,
            next_trial_at,
            request_limit: 1,
        };
    }

    /// Whether a request may be sent now, given those in flight.
    pub fn allows(&self, in_flight: u32, now: Instant) -> bool {
        if now < self.ends_at {
            self.next_trial_at.is_some_and(|at| now >= at)
        } else {
            in_flight < self.request_limit
        }
    }

    /// Counts a request that is about to be sent.
    pub fn record_send(&mut self, now: Instant) {
        if now < self.ends_at {
            self.trials += 1;
            let interval = MAX_UNTRIED_PAUSE * TRIAL_INTERVAL_FACTOR.saturating_pow(self.trials);
            self.next_trial_at = (self.trials < MAX_TRIALS).then(|| now + interval);
        }
    }

    /// Takes back the count of the last request, which the replica accepted no connection for.
    pub fn record_unsent(&mut self, now: Instant) {
        if now < self.ends_at && self.trials > 0 {
            self.trials -= 1;
            self.next_trial_at = Some(now + UNSENT_TRIAL_DELAY);
        }
    }

    /// Records that the replica served a request that was sent at `sent_at`. Returns whether it is
    /// no longer limited.
    pub fn record_served(&mut self, sent_at: Instant, now: Instant) -> bool {
        if sent_at <= self.asked_at {
            return false;
        }
        self.ends_at = self.ends_at.min(now);
        self.request_limit = self.request_limit.saturating_mul(2);
        self.request_limit >= UNLIMITED_REQUESTS
    }

    /// Whether the replica has served no request since the pause.
    pub fn is_unserved(&self) -> bool {
        self.request_limit == 1
    }

    /// Time since the start of the pause.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Time until a request may be sent; zero if the pause has ended.
    pub fn time_left(&self, now: Instant) -> Duration {
        let end = self.next_trial_at.map_or(self.ends_at, |at| at.min(self.ends_at));
        end.saturating_duration_since(now)
    }
}
