//! Requests of a run, the same for all ways of sending them.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::shape;

/// Requests per second in the phases after the surge.
const BASE_RATE: f64 = 60.0;
/// Requests per second before the surge.
const QUIET_RATE: f64 = 30.0;
/// Requests per second of the broadcast; it reaches the capacity of the costly model alone.
const SURGE_RATE: f64 = 300.0;
/// Requests of one session.
const SESSION_LENGTH: usize = 4;

/// Part of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PhaseName {
    Quiet,
    Surge,
    GoodRollout,
    BadRollout,
    Drain,
    Return,
    Outage,
    Replace,
}

/// Phases with their share of the run.
pub const PHASES: [(PhaseName, f64); 8] = [
    (PhaseName::Quiet, 0.12),
    (PhaseName::Surge, 0.12),
    (PhaseName::GoodRollout, 0.16),
    (PhaseName::BadRollout, 0.15),
    (PhaseName::Drain, 0.12),
    (PhaseName::Return, 0.08),
    (PhaseName::Outage, 0.09),
    (PhaseName::Replace, 0.16),
];

impl PhaseName {
    /// Name for reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Quiet => "quiet",
            Self::Surge => "surge",
            Self::GoodRollout => "good rollout",
            Self::BadRollout => "bad rollout",
            Self::Drain => "drain",
            Self::Return => "return",
            Self::Outage => "kv outage",
            Self::Replace => "replacement",
        }
    }

    /// Requests per second at a part of the phase, 0 to 1.
    fn rate(self, part: f64) -> f64 {
        match self {
            Self::Quiet => QUIET_RATE,
            Self::Surge if (0.2..0.7).contains(&part) => SURGE_RATE,
            Self::Surge => QUIET_RATE,
            _ => BASE_RATE,
        }
    }
}

/// Request that is due at a time.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    pub at: Duration,
    pub phase: PhaseName,
    pub kind: shape::RequestKind,
    pub customer: &'static str,
    /// Data centre that is nearest to the caller.
    pub near: &'static str,
    pub prompt: String,
    pub session: Option<String>,
    /// Idempotency key of a booking.
    pub key: Option<String>,
    /// Whether the booking is sent twice at once.
    pub doubled: bool,
}

/// Start and end of each phase.
pub fn timeline(run: Duration) -> Vec<(PhaseName, Duration, Duration)> {
    let mut start = Duration::ZERO;
    let spans = PHASES.iter().map(|(phase, share)| {
        let span = (*phase, start, start + run.mul_f64(*share));
        start = span.2;
        span
    });
    spans.collect()
}

/// Requests of a run; the same seed gives the same requests.
pub fn plan(shape: &shape::DeploymentShape, run: Duration, seed: u64) -> Vec<PlannedRequest> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (phase, start, end) in timeline(run) {
        let mut at = start;
        loop {
            let part = (at - start).as_secs_f64() / (end - start).as_secs_f64();
            let pause = -(1.0 - random.random::<f64>()).ln() / phase.rate(part);
            at += Duration::from_secs_f64(pause);
            if at >= end {
                break;
            }
            let number = requests.len();
            requests.push(request(shape, &mut random, (seed, number), phase, at));
        }
    }
    requests
}

fn request(
    shape: &shape::DeploymentShape,
    random: &mut StdRng,
    (seed, number): (u64, usize),
    phase: PhaseName,
    at: Duration,
) -> PlannedRequest {
    let kind = pick(random, shape.kinds);
    let customer = pick(random, &shape::CUSTOMERS);
    let in_session = kind.is_chat() && random.random_bool(0.3);
    let session = in_session.then(|| format!("{customer}-{}", number / (SESSION_LENGTH * 20)));
    let booking = kind == shape::RequestKind::Booking;
    PlannedRequest {
        at,
        phase,
        kind,
        customer,
        near: shape.data_centres[random.random_range(0..shape.data_centres.len())],
        prompt: prompt(kind, seed, number),
        session,
        key: booking.then(|| format!("{seed}-{number}")),
        doubled: booking && random.random_bool(0.1),
    }
}

fn pick<T: Copy>(random: &mut StdRng, shares: &[(T, u32)]) -> T {
    let total: u32 = shares.iter().map(|(_, share)| share).sum();
    let mut left = random.random_range(0..total);
    for (item, share) in shares {
        if left < *share {
            return *item;
        }
        left -= share;
    }
    shares[0].0
}

/// Prompt whose difficulty depends on the seed and the number only.
fn prompt(kind: shape::RequestKind, seed: u64, number: usize) -> String {
    let mut text = format!("{} {seed} {number}", kind.name());
    for word in 3..kind.prompt_words() {
        text.push_str(if word % 9 == 0 { " alloy" } else { " batch" });
    }
    text
}
