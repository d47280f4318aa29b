//! Times that streams of a service and model take at present, learned from the streams of this instance.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids;

/// Weight of the latest stream in the moving averages.
const STREAM_WEIGHT: f64 = 0.05;
/// Weight of the latest event, of which a stream has many.
const EVENT_WEIGHT: f64 = 0.01;

/// Moving averages of one service and model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamAverage {
    event_interval_s: Option<f64>,
    /// Tokens that callers allow for each event that they receive.
    tokens_per_event: Option<f64>,
}

impl StreamAverage {
    /// Adds the time between two events of a stream.
    pub fn record_interval(&mut self, interval: Duration) {
        add_weighted(&mut self.event_interval_s, interval.as_secs_f64(), EVENT_WEIGHT);
    }

    /// Adds a complete stream.
    pub fn record_end(&mut self, events: u64, max_output_tokens: u32) {
        if events > 0 && max_output_tokens > 0 {
            add(&mut self.tokens_per_event, f64::from(max_output_tokens) / events as f64);
        }
    }

    /// Expected time from the first event to the last; zero before the first stream.
    pub fn generation_time(&self, max_output_tokens: u32) -> Duration {
        let (Some(interval_s), Some(tokens)) = (self.event_interval_s, self.tokens_per_event)
        else {
            return Duration::ZERO;
        };
        Duration::from_secs_f64(interval_s * f64::from(max_output_tokens) / tokens.max(0.1))
    }
}

/// Averages by service and model.
#[derive(Clone, Debug, Default)]
pub struct StreamTimes {
    averages: HashMap<(ids::ServiceName, ids::ModelName), StreamAverage>,
}

impl StreamTimes {
    pub fn get(&self, service: &ids::ServiceName, model: &ids::ModelName) -> StreamAverage {
        self.averages.get(&(service.clone(), model.clone())).copied().unwrap_or_default()
    }

    pub fn get_mut(
        &mut self,
        service: &ids::ServiceName,
        model: &ids::ModelName,
    ) -> &mut StreamAverage {
        self.averages.entry((service.clone(), model.clone())).or_default()
    }
}

/// Adds the value of a stream to a moving average.
fn add(average: &mut Option<f64>, value: f64) {
    add_weighted(average, value, STREAM_WEIGHT);
}

fn add_weighted(average: &mut Option<f64>, value: f64, weight: f64) {
    let average = average.get_or_insert(value);
    *average += (value - *average) * weight;
}
