//! Age of the records that an instance holds.

use std::time::{Duration, SystemTime};

use tokio::time::Instant;

/// Time at which records were last known to be current in the store.
///
/// The steady clock does not advance while a machine is suspended, and the time of day may jump.
/// The age is the larger of the two differences, so that it is never understated for long; a jump
/// forward only causes an additional read.
#[derive(Clone, Copy, Debug)]
pub struct BeliefAge {
    steady: Instant,
    wall: SystemTime,
}

impl BeliefAge {
    /// Records that are `age` old now.
    pub fn aged(age: Duration, now: Instant, wall_now: SystemTime) -> Self {
        Self {
            steady: now.checked_sub(age).unwrap_or(now),
            wall: wall_now.checked_sub(age).unwrap_or(wall_now),
        }
    }

    /// Age of the records.
    pub fn age(&self, now: Instant, wall_now: SystemTime) -> Duration {
        let steady = now.saturating_duration_since(self.steady);
        steady.max(wall_now.duration_since(self.wall).unwrap_or_default())
    }
}

/// Age that records had when they were sent, plus the longest time that their message can have been
/// on the way: the time since the request, less the time for which the reader held it.
pub fn age_on_arrival(sent_age: Duration, elapsed: Duration, held: Duration) -> Duration {
    sent_age + elapsed.saturating_sub(held)
}
