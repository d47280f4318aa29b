//! Mean time that requests to plain services take, apart from their wait.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids;

/// Weight of the latest answer in the moving average.
const ANSWER_WEIGHT: f64 = 0.05;
/// Time assumed before the first answer.
const INITIAL_TIME: Duration = Duration::from_millis(50);
/// Multiple of the average that one answer counts at most, as a single slow one says little.
const MAX_ANSWER_FACTOR: f64 = 4.0;

/// Moving averages by service.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    averages: HashMap<ids::ServiceName, Duration>,
}

impl ServiceTimes {
    /// Adds an answer that came `waited` after its request, from a replica with `slots` that stated
    /// `waiting` queued requests and a pace of `work_factor`.
    pub fn record(
        &mut self,
        service: &ids::ServiceName,
        waited: Duration,
        waiting: u32,
        slots: u32,
        work_factor: f64,
    ) {
        // The request found about as many in the queue as its answer reports.
        let rounds = 1.0 + f64::from(waiting) / f64::from(slots.max(1));
        let time = waited.div_f64(rounds * work_factor.max(0.1));
        let average = self.averages.entry(service.clone()).or_insert(INITIAL_TIME);
        let time = time.min(average.mul_f64(MAX_ANSWER_FACTOR));
        *average = average.mul_f64(1.0 - ANSWER_WEIGHT) + time.mul_f64(ANSWER_WEIGHT);
    }

    pub fn get(&self, service: &ids::ServiceName) -> Duration {
        self.averages.get(service).copied().unwrap_or(INITIAL_TIME)
    }
}
