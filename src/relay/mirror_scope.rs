//! Records that a mirror of the store follows, with the times of its polls.
//!
//! A change must take effect within a bound that depends on who writes the record. The poll times
//! are fractions of that bound: reading by a reader of the data centre, holding a request of
//! another instance and the age from which an instance reads the store itself add up to less.

use std::time::Duration;

use super::poll_interval::PollInterval;
use super::relay_settings::FleetBounds;

/// Poll interval of the list of replicas, as a fraction of the time for which a draining replica
/// still takes calls. Each replica writes its entry about once a second, so that polling without a
/// pause would cost one call for each of these writes.
const REPLICA_DRAIN_FRACTION: f64 = 0.4;
/// The same for an instance that reads for others, whose changes take longer to reach them.
const SHARED_REPLICA_DRAIN_FRACTION: f64 = 0.2;
/// Shortest poll interval of the list of replicas, for drain times near zero.
const MIN_REPLICA_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest poll interval of the list of replicas. However long replicas drain, others start, turn
/// cold or disappear; an entry ends after three missed heartbeats of about a second.
const MAX_REPLICA_POLL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Shortest poll interval of the instances' records. A peer that has just joined may be the only
/// path to the store.
const INITIAL_INSTANCE_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Longest poll interval of the instances' records. Each of many restarting instances changes these
/// records; the tightest deadline that depends on them is the five seconds of a rollback.
const MAX_INSTANCE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which a change of an instance's record must be known.
const INSTANCE_BOUND: Duration = Duration::from_secs(5);
/// Time for which the store holds a poll of an instance that nobody reads from. If other calls fail,
/// the poll is repeated at once; the time limits the delay of a change if the store loses the poll
/// and answers all else. Polls that fit into the bound of the configuration cost a call a second.
const LONE_STORE_HOLD: Duration = Duration::from_millis(3_500);
/// Fraction of the bound within which the store must answer after it has held a poll.
const STORE_ANSWER_FRACTION: f64 = 0.2;
/// Shortest time to answer. The store responds within a quarter of a second when it is slow.
const MIN_STORE_ANSWER_TIME: Duration = Duration::from_millis(300);
/// Longest time to answer.
const MAX_STORE_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Fractions of the bound: time for which the store holds a poll of a reader, time for which a
/// reader holds a request, and age from which an instance reads the store itself.
const STORE_HOLD_FRACTION: f64 = 0.2;
const READER_HOLD_FRACTION: f64 = 0.15;
const MAX_AGE_FRACTION: f64 = 0.65;
/// Fraction of the bound within which a reader must answer after it has held a request.
const ANSWER_FRACTION: f64 = 0.15;

/// Records that a mirror follows, by who writes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MirrorScope {
    /// Configuration, rollout orders and evacuations of data centres.
    Operators,
    /// List of replicas.
    Replicas,
    /// Member entries, the holder of the rollout lease, and recorded rollout phases.
    Instances,
}

impl MirrorScope {
    pub const ALL: [Self; 3] = [Self::Operators, Self::Replicas, Self::Instances];

    /// Value of the `scope` label in metrics and of the log field.
    pub fn label(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Replicas => "replicas",
            Self::Instances => "own",
        }
    }

    /// Number of the scope in messages between instances.
    pub fn code(self) -> u8 {
        match self {
            Self::Operators => 0,
            Self::Replicas => 1,
            Self::Instances => 2,
        }
    }

    /// Scope with this number; `None` if there is none.
    pub fn from_code(code: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|scope| scope.code() == code)
    }

    /// Pause after a poll of the store. `has_readers` is set if other instances read from this one.
    pub fn poll_interval(self, replica_drain: Duration, has_readers: bool) -> PollInterval {
        match self {
            Self::Operators => PollInterval::new(Duration::ZERO, Duration::ZERO),
            Self::Replicas => {
                let fraction = if has_readers {
                    SHARED_REPLICA_DRAIN_FRACTION
                } else {
                    REPLICA_DRAIN_FRACTION
                };
                let interval = replica_drain.mul_f64(fraction);
                let interval = interval.clamp(MIN_REPLICA_POLL_INTERVAL, MAX_REPLICA_POLL_INTERVAL);
                PollInterval::new(interval, interval)
            }
            Self::Instances => {
                PollInterval::new(INITIAL_INSTANCE_POLL_INTERVAL, MAX_INSTANCE_POLL_INTERVAL)
            }
        }
    }

    /// Time within which a change must take effect.
    fn bound(self, bounds: &FleetBounds) -> Duration {
        match self {
            Self::Operators => bounds.config_apply,
            Self::Replicas => bounds.replica_drain_grace,
            Self::Instances => INSTANCE_BOUND,
        }
    }

    /// Longest time for which the store holds a poll.
    pub fn store_hold(self, bounds: &FleetBounds, has_readers: bool) -> Duration {
        if has_readers { self.bound(bounds).mul_f64(STORE_HOLD_FRACTION) } else { LONE_STORE_HOLD }
    }

    /// Time within which the store must answer after it has held a poll.
    pub fn store_answer_time(self, bounds: &FleetBounds) -> Duration {
        let answer_time = self.bound(bounds).mul_f64(STORE_ANSWER_FRACTION);
        answer_time.clamp(MIN_STORE_ANSWER_TIME, MAX_STORE_ANSWER_TIME)
    }

    /// Longest time for which a reader holds a request without changes.
    pub fn reader_hold(self, bounds: &FleetBounds) -> Duration {
        self.bound(bounds).mul_f64(READER_HOLD_FRACTION)
    }

    /// Time within which a reader must answer after it has held a request.
    pub fn reader_answer_time(self, bounds: &FleetBounds) -> Duration {
        self.bound(bounds).mul_f64(ANSWER_FRACTION)
    }

    /// Age of the records from which an instance reads the store itself.
    pub fn max_age(self, bounds: &FleetBounds) -> Duration {
        self.bound(bounds).mul_f64(MAX_AGE_FRACTION)
    }
}
