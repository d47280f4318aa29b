//! Time that work takes on the machine of a replica, relative to the usual, from reports that age.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which the average is taken, and after which the last report says little. The pace of a
/// machine that others share changes several times a second.
const AVERAGE_TIME: Duration = Duration::from_secs(2);
const MEMORY: Duration = Duration::from_millis(400);
/// Time after which a replica that states nothing counts as usual, so that it is tried again.
const EXPIRY_TIME: Duration = Duration::from_secs(4);
/// Range in which a stated pace is believed.
const MIN_WORK_FACTOR: f64 = 0.1;
const MAX_WORK_FACTOR: f64 = 20.0;

/// Pace of one replica. A factor of 1 is usual, and of 2 means that work takes twice as long.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceHistory {
    last_factor: f64,
    average_factor: f64,
    reported_at: Option<Instant>,
}

impl PaceHistory {
    /// Adds a report.
    pub fn record_report(&mut self, factor: f64, now: Instant) {
        let factor = factor.clamp(MIN_WORK_FACTOR, MAX_WORK_FACTOR);
        self.average_factor = match self.reported_at {
            None => factor,
            Some(at) => {
                let age = now.saturating_duration_since(at).as_secs_f64();
                let old_weight = (-age / AVERAGE_TIME.as_secs_f64()).exp();
                factor + (self.average_factor - factor) * old_weight
            }
        };
        (self.last_factor, self.reported_at) = (factor, Some(now));
    }

    /// Expected factor now; 1 if the replica has stated none.
    pub fn forecast(&self, now: Instant) -> f64 {
        let Some(at) = self.reported_at else { return 1.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let last_weight = (-age / MEMORY.as_secs_f64()).exp();
        let average = 1.0 + (self.average_factor - 1.0) * (-age / EXPIRY_TIME.as_secs_f64()).exp();
        self.last_factor * last_weight + average * (1.0 - last_weight)
    }
}
