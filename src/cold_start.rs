//! Concurrency limit of a replica by its warm-up state.
//!
//! A replica starts cold with a low limit. Without load reports, the limit doubles each time as
//! many answers as the limit have arrived in time, until it reaches the concurrency of a warm
//! replica. A warm load report raises it at once. A new boot id, a refusal because of
//! the warm-up, a cold load report or a slow first token resets it.

use std::time::Duration;

use crate::{ids, records};

/// Concurrency of a cold replica if its model record sets none.
pub const DEFAULT_COLD_CONCURRENCY: u32 = 2;
/// Concurrency of a warm service instance, which service records cannot set.
pub const SERVICE_WARM_CONCURRENCY: u32 = 64;
/// Maximum delay of a load report. One that arrives sooner after a cold signal may predate it.
pub const MAX_REPORT_LAG: Duration = Duration::from_secs(2);
/// Multiple of the mean time to the first token above which a replica counts as cold.
pub const SLOW_FIRST_TOKEN_FACTOR: f64 = 4.0;
/// Time without a load report after which answers raise the limit.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum time of a slow first token. If the mean is a few milliseconds, delays of the scheduler
/// or the network alone reach a multiple of it.
const MIN_SLOW_FIRST_TOKEN_TIME: Duration = Duration::from_millis(100);
/// Samples of the mean before first tokens are compared with it.
const MIN_MEAN_SAMPLES: u32 = 8;
/// Weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Lowest and highest concurrency limit of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupBounds {
    /// Concurrent requests of a cold replica.
    pub cold: u32,
    /// Concurrent requests of a warm replica.
    pub warm: u32,
}

impl WarmupBounds {
    /// Bounds of a model's replicas; a cold concurrency of 0 in the record means the default.
    pub fn for_model(model: &records::model::ModelRecord) -> Self {
        let cold = match model.cold_concurrency {
            0 => DEFAULT_COLD_CONCURRENCY,
            stated => stated,
        };
        Self { cold, warm: model.warm_concurrency.max(cold) }
    }

    pub fn for_service() -> Self {
        Self { cold: DEFAULT_COLD_CONCURRENCY, warm: SERVICE_WARM_CONCURRENCY }
    }
}

/// Observation that changes the warm-up state of a replica.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum WarmupSignal {
    /// Number of answers that arrived in time.
    Answers(u32),
    /// Boot id in a reply of the replica.
    Boot(ids::BootId),
    /// The replica refused a request because it is warming up.
    Refused,
    /// A first token took more than 4 times the mean.
    SlowFirstToken,
    Report {
        /// Boot id of the reporting engine process.
        boot: ids::BootId,
        /// Whether the replica reports that it is warming up.
        cold: bool,
    },
    /// Its data centre is in service again after a drain.
    Returned,
}

/// Warm-up state of one replica.
#[derive(Clone, Debug)]
pub struct WarmupState {
    bounds: WarmupBounds,
    limit: u32,
    answers: u32,
    boot: Option<ids::BootId>,
    previous_boot: Option<ids::BootId>,
    turned_cold_at: Option<Duration>,
    reported_at: Option<Duration>,
}

impl WarmupState {
    /// Initial state, which is cold.
    pub fn new(bounds: WarmupBounds) -> Self {
        let limit = bounds.cold;
        Self {
            bounds,
            limit,
            answers: 0,
            boot: None,
            previous_boot: None,
            turned_cold_at: None,
            reported_at: None,
        }
    }

    /// Number of concurrent requests that the replica can handle now.
    pub fn concurrency_limit(&self) -> u32 {
        self.limit
    }

    /// Whether the limit is below that of a warm replica.
    pub fn is_cold(&self) -> bool {
        self.limit < self.bounds.warm
    }

    /// Last known boot id of the engine process.
    pub fn boot(&self) -> Option<&ids::BootId> {
        self.boot.as_ref()
    }

    /// Applies the state that a previous allocator handed over.
    pub fn restore(&mut self, limit: u32, boot: Option<ids::BootId>) {
        self.limit = limit.clamp(self.bounds.cold, self.bounds.warm);
        self.boot = boot;
    }

    /// Discards the limit and the boot ids, so that the replica counts as cold again.
    pub fn reset(&mut self) {
        self.limit = self.bounds.cold;
        self.answers = 0;
        (self.boot, self.previous_boot) = (None, None);
    }

    /// Applies bounds of a changed record; a warm replica stays warm.
    pub fn set_bounds(&mut self, bounds: WarmupBounds) {
        let is_warm = !self.is_cold();
        self.bounds = bounds;
        self.limit = if is_warm {
            bounds.warm
        } else {
            self.limit.clamp(bounds.cold.min(bounds.warm), bounds.warm)
        };
    }

    /// Applies a signal; returns whether it turned the replica cold.
    pub fn apply(&mut self, signal: WarmupSignal, now: Duration) -> bool {
        match signal {
            WarmupSignal::Answers(count) => {
                self.count_answers(count, now);
                false
            }
            WarmupSignal::Boot(boot) => self.apply_boot(boot, now),
            WarmupSignal::Refused | WarmupSignal::SlowFirstToken | WarmupSignal::Returned => {
                self.mark_cold(now)
            }
            WarmupSignal::Report { boot, cold } => self.apply_report(boot, cold, now),
        }
    }

    /// Raises the limit after enough answers, unless the replica sends load reports. Reports show
    /// when it is warm, and a limit raised before that would overload it.
    fn count_answers(&mut self, count: u32, now: Duration) {
        if self.reported_at.is_some_and(|at| now < at + REPORT_TIMEOUT) {
            return;
        }
        self.answers = self.answers.saturating_add(count);
        while self.is_cold() && self.answers >= self.limit {
            self.answers -= self.limit;
            self.limit = self.limit.saturating_mul(2).min(self.bounds.warm);
        }
        if !self.is_cold() {
            self.answers = 0;
        }
    }

    /// Applies a boot id; returns whether a new one turned the replica cold.
    fn apply_boot(&mut self, boot: ids::BootId, now: Duration) -> bool {
        if self.boot.as_ref() == Some(&boot) {
            return false;
        }
        // Replies and reports of the previous process may arrive after the first of the new one.
        if self.previous_boot.as_ref() == Some(&boot) && self.turned_cold_recently(now) {
            return false;
        }
        let had_boot = self.boot.is_some();
        self.previous_boot = self.boot.replace(boot);
        had_boot && self.mark_cold(now)
    }

    fn apply_report(&mut self, boot: ids::BootId, cold: bool, now: Duration) -> bool {
        let turned_cold = self.apply_boot(boot.clone(), now);
        let is_current_boot = self.boot.as_ref() == Some(&boot);
        self.reported_at = Some(now);
        if is_current_boot && cold && !self.is_cold() {
            return self.mark_cold(now);
        }
        if is_current_boot && !cold && !turned_cold && !self.turned_cold_recently(now) {
            self.limit = self.bounds.warm;
            self.answers = 0;
        }
        turned_cold
    }

    fn turned_cold_recently(&self, now: Duration) -> bool {
        self.turned_cold_at.is_some_and(|at| now < at + MAX_REPORT_LAG)
    }

    /// Resets the limit; returns whether it was above that of a cold replica.
    fn mark_cold(&mut self, now: Duration) -> bool {
        let was_raised = self.limit > self.bounds.cold;
        self.limit = self.bounds.cold;
        self.answers = 0;
        self.turned_cold_at = Some(now);
        was_raised
    }
}

/// Moving average of the time to the first token of one replica, as measured by this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstTokenTime {
    mean_s: f64,
    samples: u32,
}

impl FirstTokenTime {
    /// Records the time of a first token; returns whether it was slow.
    ///
    /// Slow ones do not enter the mean, otherwise a cold replica would raise its own threshold.
    pub fn record(&mut self, elapsed: Duration) -> bool {
        let elapsed_s = elapsed.as_secs_f64();
        let threshold_s =
            (self.mean_s * SLOW_FIRST_TOKEN_FACTOR).max(MIN_SLOW_FIRST_TOKEN_TIME.as_secs_f64());
        if self.samples >= MIN_MEAN_SAMPLES && elapsed_s > threshold_s {
            return true;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean_s += (elapsed_s - self.mean_s) * weight;
        false
    }
}

/// Answers of one replica that arrived in time, as this node reports them to the allocator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCount {
    /// Warm-up epoch of the replica, which changes when it turns cold.
    pub epoch: u64,
    /// Answers to requests that were sent in that epoch.
    pub answers: u64,
}

impl AnswerCount {
    /// Counts an answer if its request was sent in the current epoch, which is that of the leased
    /// share. A new epoch starts from 0.
    pub fn record(&mut self, sent_epoch: u64, current_epoch: u64) {
        if self.epoch != current_epoch {
            *self = Self { epoch: current_epoch, answers: 0 };
        }
        self.answers += u64::from(sent_epoch == current_epoch);
    }
}
