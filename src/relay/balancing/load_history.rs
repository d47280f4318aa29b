//! Load of one replica, estimated from reports that age.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which the average of the reports is taken.
const AVERAGE_TIME: Duration = Duration::from_secs(1);
/// Multiple of the service time after which a report says little: by then most of the requests that
/// it counted have ended.
const MEMORY_SERVICE_TIMES: f64 = 4.0;
/// Shortest and longest time after which a report says little.
const MIN_MEMORY: Duration = Duration::from_millis(50);
const MAX_MEMORY: Duration = Duration::from_secs(2);
/// Age from which the average of a replica gives way to that of its pool.
const POOL_BLEND_TIME: Duration = Duration::from_secs(4);

/// Expected number of requests at a replica, and how far the true number may be from it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadForecast {
    pub requests: f64,
    pub deviation: f64,
}

impl LoadForecast {
    /// Load drawn from the forecast; `draw` is normally distributed.
    pub fn sample(&self, draw: f64) -> f64 {
        (self.requests + self.deviation * draw).max(0.0)
    }
}

/// Reports of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadHistory {
    last_requests: f64,
    average_requests: f64,
    reported_at: Option<Instant>,
    /// Calls that this instance has sent since the last report.
    sent_since: u32,
}

impl LoadHistory {
    /// Adds a report of the requests that run or wait.
    pub fn record_report(&mut self, requests: u32, now: Instant) {
        let requests = f64::from(requests);
        self.average_requests = match self.reported_at {
            None => requests,
            Some(at) => {
                let old_weight = fading(now.saturating_duration_since(at), AVERAGE_TIME);
                requests + (self.average_requests - requests) * old_weight
            }
        };
        (self.last_requests, self.reported_at, self.sent_since) = (requests, Some(now), 0);
    }

    /// Counts a call of this instance.
    pub fn record_send(&mut self) {
        self.sent_since = self.sent_since.saturating_add(1);
    }

    /// Average of the reports with its weight in the average of the pool; `None` without a report.
    pub fn weighted_average(&self, now: Instant) -> Option<(f64, f64)> {
        let age = now.saturating_duration_since(self.reported_at?);
        Some((self.average_requests, fading(age, POOL_BLEND_TIME)))
    }

    /// Forecast of the load now, for requests that take `service_time` in a pool whose replicas have
    /// `pool_average` requests on average. It is at least the calls in flight of this instance.
    pub fn forecast(
        &self,
        service_time: Duration,
        pool_average: f64,
        in_flight: u32,
        now: Instant,
    ) -> LoadForecast {
        let in_flight = f64::from(in_flight);
        let Some(at) = self.reported_at else {
            let requests = pool_average.max(in_flight);
            return LoadForecast { requests, deviation: pool_average.max(1.0).sqrt() };
        };
        let age = now.saturating_duration_since(at);
        let memory = service_time.mul_f64(MEMORY_SERVICE_TIMES).clamp(MIN_MEMORY, MAX_MEMORY);
        let last_weight = fading(age, memory);
        let own_weight = fading(age, POOL_BLEND_TIME);
        let average = self.average_requests * own_weight + pool_average * (1.0 - own_weight);
        let last = self.last_requests + f64::from(self.sent_since);
        let requests = (last * last_weight + average * (1.0 - last_weight)).max(in_flight);
        // Arrivals at random vary as much as their mean.
        let deviation = (average.max(1.0) * (1.0 - last_weight * last_weight)).sqrt();
        LoadForecast { requests, deviation }
    }
}

/// Weight that falls exponentially over `time`.
fn fading(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64()).exp()
}
