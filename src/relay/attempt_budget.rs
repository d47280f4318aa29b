//! Repeated sends that this instance may make of the budget of all instances.
//!
//! The bound holds over all instances together. Each instance keeps to the ratio of its own calls
//! and to its part of the slack, so that no message is needed.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::ids;

/// Part of the bound that is used. The rest covers clocks of windows that differ and instances
/// that join.
const USED_FRACTION: f64 = 0.9;
/// Part of the budget that steps to larger models leave to attempts after failures.
const ESCALATION_FRACTION: f64 = 0.7;
/// Slices into which the window is divided.
const WINDOW_SLICES: u32 = 10;

#[derive(Clone, Copy, Debug)]
struct BudgetSlice {
    started: Instant,
    calls: u32,
    repeats: u32,
}

/// Why a call is sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatCause {
    /// Attempt failed or was refused.
    Failure,
    /// Larger model is to answer; the answer at hand could be kept.
    Escalation,
}

/// Budget of repeated sends, by service.
#[derive(Debug)]
pub struct AttemptBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    slices: HashMap<ids::ServiceName, VecDeque<BudgetSlice>>,
}

impl AttemptBudget {
    /// Budget with the bound of all instances.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self { ratio, slack, window, slices: HashMap::new() }
    }

    /// Counts a call of a caller.
    pub fn record_call(&mut self, service: &ids::ServiceName, now: Instant) {
        self.current_slice(service, now).calls += 1;
    }

    /// Takes one repeated send, if the part of this instance among `members` allows it.
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
        let slack = self.slack / members.max(1) as f64;
        let fraction = match cause {
            RepeatCause::Failure => USED_FRACTION,
            RepeatCause::Escalation => USED_FRACTION * ESCALATION_FRACTION,
        };
        let allowed = fraction * (self.ratio * f64::from(calls) + slack);
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.current_slice(service, now).repeats += 1;
        true
    }

    fn current_slice(&mut self, service: &ids::ServiceName, now: Instant) -> &mut BudgetSlice {
        let (window, length) = (self.window, self.window / WINDOW_SLICES);
        let slices = self.slices.entry(service.clone()).or_default();
        while slices.front().is_some_and(|slice| now >= slice.started + window) {
            slices.pop_front();
        }
        if slices.back().is_none_or(|slice| now >= slice.started + length) {
            slices.push_back(BudgetSlice { started: now, calls: 0, repeats: 0 });
        }
        slices.back_mut().expect("a slice was just added")
    }
}
