//! Limit on the requests to a replica, as its own answers state, and its use by this instance.

use std::time::Duration;

use tokio::time::Instant;

use super::limit_share::{self, LimitShare};

/// Time in which the trial of an instance must be sent. An instance saves no trials, as many
/// instances would use the saved ones at the same moment.
const TRIAL_SLOT: Duration = Duration::from_secs(1);
/// Age of the last answer that stated the limit from which a trial is preferred to other replicas,
/// which may score better for hours.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(300);
/// Longest time until the next request that is reported.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
/// Longest time after which a refused caller may return, as the limit may end before.
const MAX_RETURN_TIME: Duration = Duration::from_secs(10);

/// Limit of one process of a replica, with the requests that this instance has sent under it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaLimit {
    rate_per_s: f64,
    share: LimitShare,
    /// Time of the last answer that stated the limit.
    stated_at: Instant,
    /// Requests that a sender has saved, at `counted_at`.
    saved_requests: f64,
    counted_at: Instant,
    last_trial: Option<Instant>,
}

impl ReplicaLimit {
    /// Starts a limit with the first answer that states it. Nothing is saved at first, as the
    /// replica has just got more requests than it takes.
    pub fn new(rate_per_s: f64, share: LimitShare, now: Instant) -> Self {
        Self {
            rate_per_s,
            share,
            stated_at: now,
            saved_requests: 0.0,
            counted_at: now,
            last_trial: None,
        }
    }

    /// Applies a further answer that states the limit.
    pub fn restate(&mut self, now: Instant) {
        self.stated_at = now;
    }

    /// Changes the rate or the share. What was saved counts within the burst of the new share, and
    /// is lost if that sends trials.
    pub fn change_share(&mut self, rate_per_s: f64, share: LimitShare, now: Instant) {
        (self.saved_requests, self.counted_at) = (self.saved_at(now), now);
        (self.rate_per_s, self.share) = (rate_per_s, share);
    }

    /// Whether an answer without a limit, to a request that was sent at `sent_at`, ends the limit.
    /// Answers may overtake each other.
    pub fn ends_with_answer_to(&self, sent_at: Instant) -> bool {
        sent_at > self.stated_at
    }

    /// Requests per second from all instances together.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Whether this instance may send a request now.
    pub fn allows(&self, now: Instant) -> bool {
        self.time_left(now).is_zero()
    }

    /// Whether a call should try the replica now, whatever its score.
    pub fn wants_trial(&self, now: Instant) -> bool {
        matches!(self.share, LimitShare::Trial { .. })
            && now.saturating_duration_since(self.stated_at) >= MAX_STATEMENT_AGE
            && self.allows(now)
    }

    /// Counts a request that is about to be sent.
    pub fn record_send(&mut self, now: Instant) {
        match self.share {
            LimitShare::Sender { .. } => {
                (self.saved_requests, self.counted_at) = (self.saved_at(now) - 1.0, now);
            }
            LimitShare::Trial { .. } => self.last_trial = Some(now),
        }
    }

    /// Time until this instance may send a request; zero if it may now.
    pub fn time_left(&self, now: Instant) -> Duration {
        match self.share {
            LimitShare::Sender { rate_per_s, .. } => {
                let missing = (1.0 - self.saved_at(now)).max(0.0);
                let seconds = if missing > 0.0 { missing / rate_per_s } else { 0.0 };
                Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT).min(MAX_WAIT)
            }
            LimitShare::Trial { interval, slot_at } => self.time_to_trial(interval, slot_at, now),
        }
    }

    /// Time after which a refused caller may return to any instance: one that is not a sender waits
    /// longer than the senders, each of which may send a request within this time.
    pub fn time_to_return(&self, now: Instant) -> Duration {
        let turn = limit_share::sender_turn(self.rate_per_s).unwrap_or(MAX_RETURN_TIME);
        self.time_left(now).min(turn).min(MAX_RETURN_TIME)
    }

    fn saved_at(&self, now: Instant) -> f64 {
        let LimitShare::Sender { rate_per_s, burst } = self.share else { return 0.0 };
        let elapsed_s = now.saturating_duration_since(self.counted_at).as_secs_f64();
        (self.saved_requests + elapsed_s * rate_per_s).min(burst)
    }

    fn time_to_trial(&self, interval: Duration, slot_at: Instant, now: Instant) -> Duration {
        // A shift of the slots does not allow a second trial.
        let earliest = self.last_trial.map_or(now, |at| now.max(at + interval / 2));
        let interval_s = interval.as_secs_f64();
        let into_slot_s = seconds_between(slot_at, earliest).rem_euclid(interval_s);
        let next_slot = if into_slot_s < TRIAL_SLOT.as_secs_f64() {
            earliest
        } else {
            earliest + Duration::from_secs_f64(interval_s - into_slot_s)
        };
        (next_slot - now).min(MAX_WAIT)
    }
}

/// Seconds from `start` to `end`, negative if `end` is before `start`.
fn seconds_between(start: Instant, end: Instant) -> f64 {
    end.saturating_duration_since(start).as_secs_f64()
        - start.saturating_duration_since(end).as_secs_f64()
}
