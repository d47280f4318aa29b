//! Share of one instance in the rate of requests that a replica takes from all instances together.
//!
//! Instances share the rate without messages, as they do for cold replicas: rendezvous hashing
//! selects the senders of a replica, and each sender has an equal part of the rate. There are no more
//! senders than may send a first request at once. The other instances learn of the end of a limit
//! only from an answer of their own, so each sends a trial now and then. So does an instance that the
//! store does not list: the others do not count it, and it does not know how many are in its place.
//!
//! The times of trials follow the system clock, and are evenly spaced by the positions of the
//! instances in the list. They depend neither on the time at which an instance learned of the limit
//! nor, but for small shifts, on changes of the members.

use std::time::Duration;

use tokio::time::Instant;

use super::replica_choice::ChoiceContext;
use crate::{ids, rendezvous};

/// Highest fraction of the rate that senders use.
const MAX_SENDER_FRACTION: f64 = 0.9;
/// Lowest fraction that they use where trials take the rest.
const MIN_SENDER_FRACTION: f64 = 0.1;
/// Fraction of the rate that is left for trials, unless intervals exceed [`MAX_TRIAL_INTERVAL`].
const TRIAL_FRACTION: f64 = 0.1;
/// Lowest rate of all senders, and of all trials, of a replica that takes hardly any requests. It
/// shows when the limit ends.
const MIN_RATE_PER_S: f64 = 0.05;
/// Shortest interval of trials. The others are its multiples by powers of two, so that few changes
/// of the members change them.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(3_750);
/// Longest interval of trials, unless it leads to more of them than a replica may get.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(960);
/// Rate of all trials that a replica may get: this fraction of its rate, and [`MAX_TRIAL_SLACK_PER_S`].
/// In 4 s a replica may get 1.5 times its rate and 5 requests. Senders save the rate of 1 s and 2
/// requests of that.
const MAX_TRIAL_FRACTION: f64 = 1.25;
const MAX_TRIAL_SLACK_PER_S: f64 = 0.15;
/// Instances that the store may leave out at the same time: all of a large fleet.
const MAX_UNLISTED: usize = 1_300;
/// Time whose requests, at the stated rate, senders together may save for a burst.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Requests that senders together may save in addition.
const MIN_BURST: f64 = 2.0;

/// Part of the rate of a replica that one instance may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitShare {
    /// Sends at this rate and saves up to `burst` requests.
    Sender { rate_per_s: f64, burst: f64 },
    /// Sends one request per interval, in a short time from `slot_at`, a whole number of intervals
    /// before or after it.
    Trial { interval: Duration, slot_at: Instant },
}

impl LimitShare {
    /// Share of an instance in the rate of a replica. All listed instances with the same members
    /// compute shares whose sum is within the rate. Those that are not listed send trials only.
    pub fn new(rate_per_s: f64, replica: &ids::ReplicaName, context: &ChoiceContext<'_>) -> Self {
        let members = context.members;
        let own_rank = rendezvous::member_rank(replica, context.instance);
        let Some(own_position) = context.own_position else {
            let interval = trial_interval(rate_per_s, MAX_UNLISTED);
            return Self::trial(interval, fraction_of_rank(own_rank), context);
        };
        let total_burst = total_burst(rate_per_s);
        let member_count = members.len().max(1);
        // The cast saturates.
        let sender_count = member_count.min(total_burst as usize);
        let higher_count = members
            .iter()
            .filter(|member| rendezvous::member_rank(replica, member) > own_rank)
            .take(sender_count)
            .count();
        let trial_count = member_count - sender_count;
        let interval = trial_interval(rate_per_s, trial_count.max(1));
        if higher_count < sender_count {
            let trial_rate_per_s = trial_count as f64 / interval.as_secs_f64();
            let sender_count = sender_count as f64;
            return Self::Sender {
                rate_per_s: senders_rate_per_s(rate_per_s, trial_rate_per_s) / sender_count,
                burst: total_burst / sender_count,
            };
        }
        // An instance sends its trials to different replicas at different times.
        let replica_phase = fraction_of_rank(rendezvous::member_rank("trials", replica));
        Self::trial(interval, own_position as f64 / member_count as f64 + replica_phase, context)
    }

    /// Trials at `phase` of each interval since the Unix epoch, as a fraction of the interval.
    fn trial(interval: Duration, phase: f64, context: &ChoiceContext<'_>) -> Self {
        let intervals = context.unix_now.as_secs_f64() / interval.as_secs_f64();
        let slot_at = context.now + interval.mul_f64((phase - intervals).rem_euclid(1.0));
        Self::Trial { interval, slot_at }
    }
}

/// Time in which each sender may send a request, unless trials take a large part of the rate; `None`
/// if it is out of range.
pub(super) fn sender_turn(rate_per_s: f64) -> Option<Duration> {
    let turn_s = total_burst(rate_per_s) / senders_rate_per_s(rate_per_s, 0.0);
    Duration::try_from_secs_f64(turn_s).ok()
}

/// Rate of all senders together, next to this rate of all trials.
fn senders_rate_per_s(rate_per_s: f64, trial_rate_per_s: f64) -> f64 {
    let most = rate_per_s * MAX_SENDER_FRACTION;
    let least = (rate_per_s * MIN_SENDER_FRACTION).max(MIN_RATE_PER_S);
    (rate_per_s - trial_rate_per_s).min(most).max(least)
}

/// Requests that all senders together may save.
fn total_burst(rate_per_s: f64) -> f64 {
    rate_per_s * BURST_TIME.as_secs_f64() + MIN_BURST
}

/// Time between two trials of one of `trial_count` instances.
fn trial_interval(rate_per_s: f64, trial_count: usize) -> Duration {
    let trial_count = trial_count as f64;
    let usual_s = trial_count / (rate_per_s * TRIAL_FRACTION).max(MIN_RATE_PER_S);
    let least_s = trial_count / (rate_per_s * MAX_TRIAL_FRACTION + MAX_TRIAL_SLACK_PER_S);
    let interval_s = usual_s.min(MAX_TRIAL_INTERVAL.as_secs_f64()).max(least_s);
    let doublings = (interval_s / MIN_TRIAL_INTERVAL.as_secs_f64()).log2().ceil().max(0.0);
    MIN_TRIAL_INTERVAL.mul_f64(doublings.exp2())
}

/// Part of the range of ranks that is below a rank.
fn fraction_of_rank(rank: u64) -> f64 {
    rank as f64 / u64::MAX as f64
}
