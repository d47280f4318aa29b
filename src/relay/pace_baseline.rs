//! Usual pace of the answers of a service and model, against which a new version is judged.

use std::time::Duration;

/// Weight of the latest answer in the moving averages.
const ANSWER_WEIGHT: f64 = 0.05;
/// Multiple of the average from which an answer is slow.
const SLOW_FACTOR: f64 = 4.0;
/// Lowest limits, as fractions of the route's objectives. Below them callers notice no difference.
const MIN_FIRST_EVENT_FRACTION: f64 = 0.125;
const MIN_EVENT_INTERVAL_FRACTION: f64 = 0.05;
/// Limits without a baseline, as a fraction of the route's objectives.
const UNKNOWN_FRACTION: f64 = 1.0 / 3.0;

/// Objectives of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceObjective {
    pub time_to_first_event: Duration,
    /// Longest time between two events.
    pub event_interval: Duration,
}

/// Times from which an answer is slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceLimits {
    pub time_to_first_event: Duration,
    pub event_interval: Duration,
}

/// Moving averages of the answers of one service and model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceBaseline {
    first_event_s: Option<f64>,
    event_interval_s: Option<f64>,
}

impl PaceBaseline {
    /// Adds a complete answer. `event_interval` is `None` for one with a single event.
    pub fn record(&mut self, time_to_first_event: Duration, event_interval: Option<Duration>) {
        add(&mut self.first_event_s, time_to_first_event);
        if let Some(interval) = event_interval {
            add(&mut self.event_interval_s, interval);
        }
    }

    /// Limits for answers on a route.
    pub fn limits(&self, objective: &PaceObjective) -> PaceLimits {
        PaceLimits {
            time_to_first_event: limit(
                self.first_event_s,
                objective.time_to_first_event,
                MIN_FIRST_EVENT_FRACTION,
            ),
            event_interval: limit(
                self.event_interval_s,
                objective.event_interval,
                MIN_EVENT_INTERVAL_FRACTION,
            ),
        }
    }
}

fn add(average_s: &mut Option<f64>, time: Duration) {
    let time_s = time.as_secs_f64();
    let average_s = average_s.get_or_insert(time_s);
    *average_s += (time_s - *average_s) * ANSWER_WEIGHT;
}

fn limit(average_s: Option<f64>, objective: Duration, min_fraction: f64) -> Duration {
    let Some(average_s) = average_s else { return objective.mul_f64(UNKNOWN_FRACTION) };
    // The average of measured times stays far below the range of a duration.
    let limit = Duration::from_secs_f64(average_s * SLOW_FACTOR);
    limit.max(objective.mul_f64(min_fraction)).min(objective)
}
