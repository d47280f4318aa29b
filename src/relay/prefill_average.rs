//! Average prefill cost of the calls of an instance.
//!
//! A replica reports how many requests wait for their first token, but not the lengths of their
//! prompts. They are assumed to be like those that this instance sends.

use std::collections::HashMap;

use crate::ids;

/// Weight of the latest call in the moving average.
const CALL_WEIGHT: f64 = 0.05;
/// Average before the first call, in prompt tokens of the called model.
const INITIAL_TOKENS: f64 = 3_000.0;

/// Moving averages by service and by whether the model is a small one, in prompt tokens of the
/// largest model.
#[derive(Clone, Debug, Default)]
pub struct PrefillAverage {
    averages: HashMap<(ids::ServiceName, bool), f64>,
}

impl PrefillAverage {
    /// Adds the prefill cost of a call.
    pub fn record(&mut self, service: &ids::ServiceName, is_small_model: bool, prefill_cost: f64) {
        let average =
            self.averages.entry((service.clone(), is_small_model)).or_insert(prefill_cost);
        *average += (prefill_cost - *average) * CALL_WEIGHT;
    }

    /// Average cost of a call of a model with this weight.
    pub fn get(&self, service: &ids::ServiceName, is_small_model: bool, model_weight: f64) -> f64 {
        let average = self.averages.get(&(service.clone(), is_small_model)).copied();
        average.unwrap_or(INITIAL_TOKENS * model_weight)
    }
}
