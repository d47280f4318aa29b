//! Choice of a replica of a plain service by the time to its answer.
//!
//! The load of each replica is drawn from its forecast with a seed that differs from call to call.
//! Replicas that look alike so get equal parts of the calls, and one that looks idle by an old report
//! is not chosen by all instances at once. Whether a call is admitted depends on the forecast itself.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use super::super::admission::wait_rule::WaitRule;
use super::super::replica_choice::ChoiceContext;
use super::super::replica_row::ReplicaRow;
use super::load_history::LoadForecast;
use crate::ids;

/// Cost of a request at a replica with free slots, in service times of a full replica. Some of the
/// requests there are unknown.
const FREE_SLOT_COST: f64 = 0.5;
/// Cost of a call to another data centre, in service times.
const REMOTE_COST: f64 = 0.15;
/// Cost of a replica that fails all its calls, in service times.
const FAILURE_COST: f64 = 2.0;

/// Replicas of one pool with what is known of them now.
pub(in crate::relay) struct WaitScorer<'a> {
    rule: &'a WaitRule,
    data_centre: &'a ids::DataCentreName,
    now: Instant,
    service_time: Duration,
    /// Mean requests per slot.
    average_per_slot: f64,
}

impl<'a> WaitScorer<'a> {
    pub(in crate::relay) fn new(
        rows: &[&ReplicaRow],
        rule: &'a WaitRule,
        service_time: Duration,
        context: &'a ChoiceContext<'_>,
    ) -> Self {
        let now = context.now;
        let (mut requests, mut slots) = (0.0, 0.0);
        for row in rows {
            if let Some((average, weight)) = row.load_history.weighted_average(now) {
                requests += average * weight;
                slots += f64::from(row.entry.slots.max(1)) * weight;
            }
        }
        let average_per_slot = if slots > 0.0 { requests / slots } else { 0.0 };
        Self { rule, data_centre: context.data_centre, now, service_time, average_per_slot }
    }

    /// Up to `max_count` replicas that answer the call in time, the best first.
    ///
    /// # Errors
    /// The time until the first replica can, if none can now.
    pub(in crate::relay) fn best_replicas<'b>(
        &self,
        rows: impl Iterator<Item = &'b ReplicaRow>,
        max_count: usize,
    ) -> Result<SmallVec<[&'b ReplicaRow; 4]>, Duration> {
        let mut best: SmallVec<[(Duration, &'b ReplicaRow); 4]> = SmallVec::new();
        let mut time_to_return = Duration::MAX;
        for row in rows {
            let forecast = self.forecast(row);
            let time = self.time_to_return(row, &forecast);
            time_to_return = time_to_return.min(time);
            if !time.is_zero() {
                continue;
            }
            let score = self.score(row, &forecast);
            let position = best.partition_point(|(other, _)| *other <= score);
            if position < max_count {
                best.truncate(max_count - 1);
                best.insert(position, (score, row));
            }
        }
        if best.is_empty() {
            return Err(time_to_return);
        }
        Ok(best.into_iter().map(|(_, row)| row).collect())
    }

    fn forecast(&self, row: &ReplicaRow) -> LoadForecast {
        let pool_average = self.average_per_slot * f64::from(row.entry.slots.max(1));
        row.load_history.forecast(self.service_time, pool_average, row.in_flight, self.now)
    }

    /// Time after which the replica can serve the call; zero if it can now. A free slot serves any call,
    /// so that a service time that was learned too long is corrected by the next answers.
    fn time_to_return(&self, row: &ReplicaRow, forecast: &LoadForecast) -> Duration {
        let full = row
            .full_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(self.now));
        if forecast.requests + 1.0 <= f64::from(row.entry.slots.max(1)) {
            return full;
        }
        let excess = self.rule.time_to_return(self.answer_time(row, forecast.requests));
        if row.in_flight > 0 {
            return full.max(excess);
        }
        // The queue may have shrunk since the last report. A single call finds out, as there are no
        // reports without calls.
        let age = row.load_age(self.now).unwrap_or(Duration::MAX);
        full.max(excess.saturating_sub(age))
    }

    /// Time to the answer of a replica that has `requests`.
    fn answer_time(&self, row: &ReplicaRow, requests: f64) -> Duration {
        let slots = f64::from(row.entry.slots.max(1));
        let rounds = 1.0 + (requests + 1.0 - slots).max(0.0) / slots;
        self.service_time.mul_f64(rounds * row.pace_history.forecast(self.now))
    }

    /// Time to the answer by a load drawn from the forecast, with the costs of the way and of failures.
    fn score(&self, row: &ReplicaRow, forecast: &LoadForecast) -> Duration {
        let slots = f64::from(row.entry.slots.max(1));
        let requests = forecast.sample(self.draw(row)).max(f64::from(row.in_flight));
        let is_remote = row.entry.data_centre != *self.data_centre;
        let extra = FREE_SLOT_COST * (requests / slots).min(1.0)
            + if is_remote { REMOTE_COST } else { 0.0 }
            + FAILURE_COST * row.health.failure_fraction();
        self.answer_time(row, requests) + self.service_time.mul_f64(extra)
    }

    /// Number with about a normal distribution, fixed for a call and a replica.
    fn draw(&self, row: &ReplicaRow) -> f64 {
        let hash = xxh3::xxh3_64_with_seed(row.entry.name.as_bytes(), self.rule.seed);
        let uniform = |shift: u32| f64::from((hash >> shift) as u16) / 65_535.0 - 0.5;
        // Each part has a variance of 1/12.
        (uniform(0) + uniform(16) + uniform(32) + uniform(48)) * 3.0_f64.sqrt()
    }
}
