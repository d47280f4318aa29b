//! Budget for the repeated sends of this instance.
//!
//! The limit on repeated sends holds for all instances together: a ratio of the calls plus a fixed
//! slack, within a sliding window. Each instance applies the ratio to its own calls and uses an
//! equal fraction of the slack, so that the instances need not coordinate.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::ids;

/// Fraction of the limit that is used. The rest covers windows that start at different times on
/// different instances, and instances that join.
const USED_FRACTION: f64 = 0.9;
/// Fraction of the budget up to which escalations may be sent. The rest is reserved for attempts
/// after failures.
const ESCALATION_FRACTION: f64 = 0.7;
/// Number of slices into which the window is divided for counting.
const WINDOW_SLICES: u32 = 10;

#[derive(Clone, Copy, Debug)]
struct BudgetSlice {
    started_at: Instant,
    calls: u32,
    repeats: u32,
}

/// Why a call is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatCause {
    /// The last attempt failed or was refused.
    Failure,
    /// A larger model is to answer. Without budget, the answer of the smaller model is kept.
    Escalation,
}

/// Budget of repeated sends, counted separately for each service.
#[derive(Debug)]
pub struct AttemptBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    slices: HashMap<ids::ServiceName, VecDeque<BudgetSlice>>,
}

impl AttemptBudget {
    /// Creates a budget from the limit of all instances: in each `window`, at most `ratio` repeated
    /// sends per call, plus `slack`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self { ratio, slack, window, slices: HashMap::new() }
    }

    /// Largest number of repeated sends that a single call can get, at an instance that has the
    /// whole slack to itself.
    pub fn max_single_repeats(ratio: f64, slack: f64) -> u32 {
        (USED_FRACTION * (ratio + slack)) as u32
    }

    /// Counts the first send of a call.
    pub fn record_call(&mut self, service: &ids::ServiceName, now: Instant) {
        self.current_slice(service, now).calls += 1;
    }

    /// Counts one repeated send if the budget of this instance allows it; returns whether it does.
    /// `members` is the number of instances that share the slack.
    pub fn take_repeat(
        &mut self,
        service: &ids::ServiceName,
        cause: RepeatCause,
        members: usize,
        now: Instant,
    ) -> bool {
        self.current_slice(service, now);
        let slices = &self.slices[service];
        let calls: u32 = slices.iter().map(|slice| slice.calls).sum();
        let repeats: u32 = slices.iter().map(|slice| slice.repeats).sum();
        let own_slack = self.slack / members.max(1) as f64;
        let fraction = match cause {
            RepeatCause::Failure => USED_FRACTION,
            RepeatCause::Escalation => USED_FRACTION * ESCALATION_FRACTION,
        };
        let max_repeats = fraction * (self.ratio * f64::from(calls) + own_slack);
        if f64::from(repeats + 1) > max_repeats {
            return false;
        }
        self.current_slice(service, now).repeats += 1;
        true
    }

    /// Returns a repeated send that was taken and not sent.
    pub fn return_repeat(&mut self, service: &ids::ServiceName, now: Instant) {
        let slice = self.current_slice(service, now);
        slice.repeats = slice.repeats.saturating_sub(1);
    }

    /// Removes the slices that have left the window and returns the slice of the current time.
    fn current_slice(&mut self, service: &ids::ServiceName, now: Instant) -> &mut BudgetSlice {
        let (window, slice_length) = (self.window, self.window / WINDOW_SLICES);
        let slices = self.slices.entry(service.clone()).or_default();
        while slices.front().is_some_and(|slice| now >= slice.started_at + window) {
            slices.pop_front();
        }
        if slices.back().is_none_or(|slice| now >= slice.started_at + slice_length) {
            slices.push_back(BudgetSlice { started_at: now, calls: 0, repeats: 0 });
        }
        slices.back_mut().expect("a slice was just added")
    }
}
