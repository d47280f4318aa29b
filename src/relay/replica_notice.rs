//! What a replica's own answers say of its willingness to take requests.
//!
//! An answer binds at once, also while the store still lists the replica as ready or cannot be
//! reached. It holds for the process that gave it: a restarted replica starts without a notice.

use std::time::Duration;

use tokio::time::Instant;

use super::replica_pause::ReplicaPause;

/// Notice in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerNotice {
    /// Whether the replica states that it leaves.
    pub is_leaving: bool,
    /// Time for which it wants no requests.
    pub pause: Option<Duration>,
}

/// Change of the willingness of a replica, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// The replica leaves and gets no further requests.
    Leaving,
    /// The replica gets no requests for the duration.
    Paused(Duration),
    /// The replica served a request after a pause, which started this long ago.
    Resumed(Duration),
}

/// Notices of one process of a replica. Small, as each choice reads those of all replicas.
#[derive(Clone, Debug, Default)]
pub struct ReplicaNotice {
    is_leaving: bool,
    pause: Option<Box<ReplicaPause>>,
}

impl ReplicaNotice {
    /// Notice of a replica that is known to leave.
    pub fn leaving() -> Self {
        Self { is_leaving: true, pause: None }
    }

    /// Applies the notice of an answer; returns what it changed.
    pub fn apply(&mut self, notice: AnswerNotice, now: Instant) -> Option<NoticeChange> {
        let begins_to_leave = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        let mut change = None;
        if let Some(duration) = notice.pause {
            let was_paused =
                self.pause.as_ref().is_some_and(|pause| !pause.time_left(now).is_zero());
            match &mut self.pause {
                Some(pause) => pause.extend(duration, now),
                None => self.pause = Some(Box::new(ReplicaPause::new(duration, now))),
            }
            change = (!was_paused).then_some(NoticeChange::Paused(duration));
        }
        if begins_to_leave { Some(NoticeChange::Leaving) } else { change }
    }

    /// Whether a request may be sent now, given those in flight.
    pub fn allows(&self, in_flight: u32, now: Instant) -> bool {
        !self.is_leaving && self.pause.as_ref().is_none_or(|pause| pause.allows(in_flight, now))
    }

    /// Counts a request that is about to be sent.
    pub fn record_send(&mut self, now: Instant) {
        if let Some(pause) = &mut self.pause {
            pause.record_send(now);
        }
    }

    /// Takes back the count of a request that the replica accepted no connection for.
    pub fn record_unsent(&mut self, now: Instant) {
        if let Some(pause) = &mut self.pause {
            pause.record_unsent(now);
        }
    }

    /// Records that the replica served a request that was sent at `sent_at`.
    pub fn record_served(&mut self, sent_at: Instant, now: Instant) -> Option<NoticeChange> {
        let pause = self.pause.as_mut()?;
        let (was_unserved, age) = (pause.is_unserved(), pause.age(now));
        let is_unlimited = pause.record_served(sent_at, now);
        let resumes = was_unserved && !pause.is_unserved();
        if is_unlimited {
            self.pause = None;
        }
        resumes.then_some(NoticeChange::Resumed(age))
    }

    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Time until a paused replica may get a request; `None` if it leaves or has no pause.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        let pause = self.pause.as_ref().filter(|_| !self.is_leaving)?;
        Some(pause.time_left(now))
    }
}
