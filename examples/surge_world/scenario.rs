//! Scenario of a run, and what it counts.

use std::collections::HashMap;
use std::time::Duration;

use yuccareel::admission_queue::RequestLane;
use yuccareel::ids;

use super::{ANSWER_MS, REPLICAS};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutePolicy {
    TwoChoices,
    /// The replica whose last report states the least load.
    LeastReported,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub warm: u32,
    /// Offered load as a multiple of capacity.
    pub load: f64,
    pub policy: RoutePolicy,
    pub seed: u64,
}

impl Scenario {
    pub fn capacity_per_s(&self) -> f64 {
        (REPLICAS as u32 * self.warm) as f64 / (ANSWER_MS as f64 / 1_000.0)
    }
}

#[derive(Debug, Default)]
pub struct Totals {
    pub warm: u32,
    pub offered: u32,
    pub admitted: u32,
    pub sent: u32,
    pub good: HashMap<(ids::CustomerName, RequestLane), u32>,
    pub failed: u32,
    /// Time from arrival to refusal.
    pub refused: Vec<Duration>,
    pub most_at_replica: u32,
    pub herding_sum: f64,
    pub herding_samples: u32,
}

impl Totals {
    pub fn herding(&self) -> f64 {
        self.herding_sum / f64::from(self.herding_samples.max(1))
    }
}
