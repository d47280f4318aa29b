//! Pace of the answer to one attempt: the time to its first event, and the time between events.
//!
//! A slow answer is recognised while it runs. If only complete answers counted, a version that
//! answers several times slower would have no evidence against it until a rollout is over.

use std::time::Duration;

use tokio::time::Instant;

use super::pace_baseline::PaceLimits;

/// Events after which the time between them is judged.
const MIN_JUDGED_EVENTS: u32 = 4;

/// Pace of the answer to one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerPace {
    sent_at: Option<Instant>,
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    events: u32,
    /// Whether the answer is slow, once that has been judged.
    judgement: Option<bool>,
}

impl AnswerPace {
    /// Starts to measure the answer to a request that is sent now.
    pub fn start(now: Instant) -> Self {
        Self { sent_at: Some(now), ..Self::default() }
    }

    pub fn record_event(&mut self, now: Instant) {
        self.first_event_at.get_or_insert(now);
        self.last_event_at = Some(now);
        self.events += 1;
    }

    /// Time of the last event.
    pub fn last_event_at(&self) -> Option<Instant> {
        self.last_event_at
    }

    /// Time from sending the request to the first event.
    pub fn time_to_first_event(&self) -> Option<Duration> {
        Some(self.first_event_at?.saturating_duration_since(self.sent_at?))
    }

    /// Mean time between two events; `None` before the second.
    pub fn event_interval(&self) -> Option<Duration> {
        let elapsed = self.last_event_at?.saturating_duration_since(self.first_event_at?);
        (self.events > 1).then(|| elapsed / (self.events - 1))
    }

    /// Whether the answer is slow by what has arrived so far.
    pub fn is_slow(&self, limits: &PaceLimits) -> bool {
        self.time_to_first_event().is_some_and(|time| time >= limits.time_to_first_event)
            || self.event_interval().is_some_and(|interval| interval >= limits.event_interval)
    }

    /// Judges the answer once it shows its pace; `None` if it was judged before or does not yet.
    pub fn judge(&mut self, limits: &PaceLimits) -> Option<bool> {
        let is_slow = self.is_slow(limits);
        let is_clear = is_slow || self.events >= MIN_JUDGED_EVENTS;
        if self.judgement.is_some() || !is_clear {
            return None;
        }
        self.judgement = Some(is_slow);
        Some(is_slow)
    }

    /// Whether the answer was judged to be slow; `None` if it has not been judged.
    pub fn judgement(&self) -> Option<bool> {
        self.judgement
    }

    /// Records that the answer was judged to be slow before its first event.
    pub fn set_late(&mut self) {
        self.judgement = Some(true);
    }
}
