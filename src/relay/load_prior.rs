//! Load assumed for replicas without a recent report.
//!
//! An instance of a large fleet gets few answers from each replica, so most of its reports are old.
//! The load of such a replica is assumed to be the mean of the replicas with recent reports, so
//! that a busy group of replicas looks busy as a whole.

use std::time::Duration;

use super::call_codec::ReplicaLoad;

/// Time for which a reported load is used. Its weight falls linearly from 1 to 0 over this time.
pub const LOAD_TTL: Duration = Duration::from_secs(2);

/// Weight of an assumed report of an idle replica in the mean, so that a single busy replica does not
/// make all others look as busy.
const IDLE_WEIGHT: f64 = 0.25;

/// Load of a replica in requests, estimated from reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Requests that run or wait.
    pub requests: f64,
    /// Requests that wait for their first token.
    pub waiting: f64,
}

impl LoadEstimate {
    /// Load reported by a replica that has been sent `sent_since` requests meanwhile.
    pub fn from_report(load: ReplicaLoad, sent_since: u32) -> Self {
        let running_or_waiting = load.running.saturating_add(load.waiting);
        Self {
            requests: f64::from(running_or_waiting.saturating_add(sent_since)),
            waiting: f64::from(load.waiting),
        }
    }

    /// This estimate with both figures limited to `max`.
    pub fn capped(self, max: f64) -> Self {
        Self { requests: self.requests.min(max), waiting: self.waiting.min(max) }
    }
}

/// Weight of a load report of this age, from 0 to 1.
pub fn report_weight(age: Duration) -> f64 {
    (1.0 - age.as_secs_f64() / LOAD_TTL.as_secs_f64()).max(0.0)
}

/// Mean load of a group of replicas, weighted by the age of their reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadPrior {
    total: LoadEstimate,
    weight: f64,
}

impl LoadPrior {
    /// Adds the report of one replica with its [`report_weight`].
    pub fn add(&mut self, estimate: LoadEstimate, weight: f64) {
        self.total.requests += estimate.requests * weight;
        self.total.waiting += estimate.waiting * weight;
        self.weight += weight;
    }

    /// Load of a replica whose report has `weight`: its own part and the mean of the group.
    pub fn blend(&self, estimate: LoadEstimate, weight: f64) -> LoadEstimate {
        let mix = |own: f64, total: f64| {
            own * weight + total / (self.weight + IDLE_WEIGHT) * (1.0 - weight)
        };
        LoadEstimate {
            requests: mix(estimate.requests, self.total.requests),
            waiting: mix(estimate.waiting, self.total.waiting),
        }
    }
}
