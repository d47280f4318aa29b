//! Concurrency that a replica can handle, by warm-up state.
//!
//! A replica starts cold with a small concurrency. Each time that as many
//! answers as the concurrency have come back in time, it doubles, up to the
//! concurrency of a warm replica. A new boot id, a `warming` refusal, a load
//! report or a slow first token makes the replica cold again.

use std::time::Duration;

use crate::{ids, records};

/// Concurrency of a cold replica where neither record nor report states one.
pub const DEFAULT_COLD_CONCURRENCY: u32 = 2;
/// Concurrency of a warm service instance; service records state none.
pub const SERVICE_WARM_CONCURRENCY: u32 = 64;
/// Lag of load reports; a report received sooner after a cold signal may predate it.
pub const MAX_REPORT_LAG: Duration = Duration::from_secs(2);
/// Ratio of a first token's time to the learned time above which the replica counts as cold.
pub const SLOW_FIRST_TOKEN_FACTOR: f64 = 4.0;
/// Time without a report after which answers alone warm a replica up.
const REPORTS_MISSING: Duration = Duration::from_secs(5);
/// Least time of a first token that counts as slow. Delays of the scheduler or the network
/// reach several times a learned time of a few milliseconds without a cold engine.
const SLOW_LEAST: Duration = Duration::from_millis(100);
/// First tokens needed before the learned time is trusted.
const LEARN_SAMPLES: u32 = 8;
/// Weight of one sample in the learned time.
const LEARN_WEIGHT: f64 = 0.1;

/// Bounds of a replica's concurrency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupBounds {
    /// Requests that a cold replica bears at once.
    pub cold: u32,
    /// Requests that a warm replica bears at once.
    pub warm: u32,
}

impl WarmupBounds {
    /// Bounds of a model's replicas; 0 in the record means the default.
    pub fn for_model(model: &records::model::ModelRecord) -> Self {
        let cold = match model.cold_concurrency {
            0 => DEFAULT_COLD_CONCURRENCY,
            stated => stated,
        };
        Self { cold, warm: model.warm_concurrency.max(cold) }
    }

    /// Bounds of a service's instances.
    pub fn for_service() -> Self {
        Self { cold: DEFAULT_COLD_CONCURRENCY, warm: SERVICE_WARM_CONCURRENCY }
    }
}

/// Sign by which the state changes.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum WarmupSignal {
    /// Answers that came back in time.
    Answers(u32),
    /// Boot id in a reply.
    Boot(ids::BootId),
    /// The replica refused because it warms up.
    Refused,
    /// First token slower than 4 times the learned time.
    SlowFirstToken,
    /// Load report.
    Report {
        /// Start of the engine process that reports.
        boot: ids::BootId,
        /// Whether it says that it warms up.
        cold: bool,
    },
    /// Its data centre took up work again after a drain.
    Returned,
}

/// Warm-up state of one replica.
#[derive(Clone, Debug)]
pub struct WarmupState {
    bounds: WarmupBounds,
    limit: u32,
    answers: u32,
    boot: Option<ids::BootId>,
    former_boot: Option<ids::BootId>,
    cold_at: Option<Duration>,
    reported_at: Option<Duration>,
}

impl WarmupState {
    /// State of a replica of which nothing is known.
    pub fn new(bounds: WarmupBounds) -> Self {
        let limit = bounds.cold;
        Self {
            bounds,
            limit,
            answers: 0,
            boot: None,
            former_boot: None,
            cold_at: None,
            reported_at: None,
        }
    }

    /// Requests that the replica bears at once now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether it bears less than a warm replica.
    pub fn is_cold(&self) -> bool {
        self.limit < self.bounds.warm
    }

    /// Last known start of the engine process.
    pub fn boot(&self) -> Option<&ids::BootId> {
        self.boot.as_ref()
    }

    /// Takes over the state that a former home kept.
    pub fn restore(&mut self, limit: u32, boot: Option<ids::BootId>) {
        self.limit = limit.clamp(self.bounds.cold, self.bounds.warm);
        self.boot = boot;
    }

    /// Forgets what was learned; the replica counts as cold until a signal says otherwise.
    pub fn reset(&mut self) {
        self.limit = self.bounds.cold;
        self.answers = 0;
        (self.boot, self.former_boot) = (None, None);
    }

    /// Takes over changed bounds from the record.
    pub fn set_bounds(&mut self, bounds: WarmupBounds) {
        let warm = !self.is_cold();
        self.bounds = bounds;
        self.limit = if warm {
            bounds.warm
        } else {
            self.limit.clamp(bounds.cold.min(bounds.warm), bounds.warm)
        };
    }

    /// Applies one signal; returns whether the replica turned cold by it.
    pub fn apply(&mut self, signal: WarmupSignal, now: Duration) -> bool {
        match signal {
            WarmupSignal::Answers(count) => {
                self.count_answers(count, now);
                false
            }
            WarmupSignal::Boot(boot) => self.see_boot(boot, now),
            WarmupSignal::Refused | WarmupSignal::SlowFirstToken | WarmupSignal::Returned => {
                self.turn_cold(now)
            }
            WarmupSignal::Report { boot, cold } => self.see_report(boot, cold, now),
        }
    }

    /// Answers raise the limit only while the replica sends no reports: one that reports says
    /// itself when it is warm, and a limit raised before would exceed what it bears.
    fn count_answers(&mut self, count: u32, now: Duration) {
        if self.reported_at.is_some_and(|at| now < at + REPORTS_MISSING) {
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

    fn see_boot(&mut self, boot: ids::BootId, now: Duration) -> bool {
        if self.boot.as_ref() == Some(&boot) {
            return false;
        }
        // Late replies and reports of the former process arrive after the first of the new one.
        if self.former_boot.as_ref() == Some(&boot) && self.recently_cold(now) {
            return false;
        }
        let known = self.boot.is_some();
        self.former_boot = self.boot.replace(boot);
        known && self.turn_cold(now)
    }

    fn see_report(&mut self, boot: ids::BootId, cold: bool, now: Duration) -> bool {
        let turned = self.see_boot(boot.clone(), now);
        let current = self.boot.as_ref() == Some(&boot);
        self.reported_at = Some(now);
        if current && cold && !self.is_cold() {
            return self.turn_cold(now);
        }
        if current && !cold && !turned && !self.recently_cold(now) {
            self.limit = self.bounds.warm;
            self.answers = 0;
        }
        turned
    }

    fn recently_cold(&self, now: Duration) -> bool {
        self.cold_at.is_some_and(|cold_at| now < cold_at + MAX_REPORT_LAG)
    }

    fn turn_cold(&mut self, now: Duration) -> bool {
        let fell = self.limit > self.bounds.cold;
        self.limit = self.bounds.cold;
        self.answers = 0;
        self.cold_at = Some(now);
        fell
    }
}

/// First-token time of one replica as this node learned it.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstTokenTime {
    mean_s: f64,
    samples: u32,
}

impl FirstTokenTime {
    /// Records a first token; returns whether it was slow.
    ///
    /// A slow one is not learned, otherwise a cold replica would move its own threshold.
    pub fn record(&mut self, elapsed: Duration) -> bool {
        let elapsed_s = elapsed.as_secs_f64();
        let limit_s = (self.mean_s * SLOW_FIRST_TOKEN_FACTOR).max(SLOW_LEAST.as_secs_f64());
        if self.samples >= LEARN_SAMPLES && elapsed_s > limit_s {
            return true;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = LEARN_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean_s += (elapsed_s - self.mean_s) * weight;
        false
    }
}

/// Answers of one replica in time, as this node counts them for the home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCount {
    /// Warm-up epoch to which the count belongs.
    pub epoch: u64,
    /// Answers whose requests were sent in that epoch.
    pub answers: u64,
}

impl AnswerCount {
    /// Counts an answer; `current` is the epoch of the share held now.
    pub fn record(&mut self, sent_in: u64, current: u64) {
        if self.epoch != current {
            *self = Self { epoch: current, answers: 0 };
        }
        self.answers += u64::from(sent_in == current);
    }
}
