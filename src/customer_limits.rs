//! Checks each request against the shares of its customer's limits that this node has leased.
//!
//! The rate is a token bucket that fills at the leased rate. Concurrency counts the requests in
//! flight. Spend reserves the estimated cost when a request starts and replaces it by the actual
//! cost when the request ends.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::quota_lease::{ShareState, ShareTable, ShareUse};
use crate::quota_message::ResourceKind;
use crate::refusal_reason::RefusalReason;
use crate::{ids, quota_message, records};

/// Bucket tokens that one request takes; the bucket counts thousandths of a request.
const REQUEST_TOKENS: f64 = 1_000.0;
/// Time over which arrivals and refusals are counted to determine demand.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Factor on measured demand that leaves room for growth until the next renewal.
const HEADROOM_FACTOR: f64 = 1.25;
/// Requests per second demanded in addition, so that a few requests in quick succession do not
/// wait for the bucket to fill.
const SPARE_REQUESTS_PER_S: f64 = 4.0;
/// Factor on the demanded rate while a request waits for a larger share. A waiting caller sends
/// no further requests, so by its arrivals alone the share would only grow by `HEADROOM_FACTOR`
/// per second.
const WAITING_RATE_FACTOR: f64 = 4.0;
/// Time after its last request for which a customer keeps spare shares, so that its next request
/// does not wait for an exchange with the allocator.
const SPARE_SHARE_TTL: Duration = Duration::from_secs(60);

/// Result of checking the limits for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitOutcome {
    /// The request counts against the limits until `finish` is called.
    Admitted,
    /// The node needs a first or larger share; check again after the next exchange.
    AwaitShare,
    /// A limit is exceeded.
    Refused(RefusalReason),
}

/// Usage of one customer's limits on this node.
#[derive(Debug, Default)]
struct LimitRow {
    tokens: f64,
    filled_at: Option<Duration>,
    filled_rate: f64,
    /// When the bucket last got tokens for a rise of the rate.
    last_credit_at: Option<Duration>,
    window_start: Duration,
    arrivals: u32,
    previous_arrivals: u32,
    in_flight: u32,
    refusals: u32,
    reserved_cost: ids::Microcredits,
    refused_cost: ids::Microcredits,
    spent_today: ids::Microcredits,
    /// Estimated cost of the last request.
    estimated_cost: ids::Microcredits,
    last_arrival_at: Option<Duration>,
    /// Whether a request has waited for a larger rate since demand was last recorded.
    awaits_rate: bool,
    day: u64,
}

/// Input of a check of a customer's limits for one request.
#[derive(Clone, Copy, Debug)]
pub struct LimitCheck<'a> {
    pub customer: &'a records::customer::CustomerRecord,
    /// Cost that is reserved until the actual cost is known.
    pub estimated_cost: ids::Microcredits,
    /// Shares that this node has leased.
    pub shares: &'a ShareTable,
    /// Live nodes, among which a limit is divided while no allocator answers.
    pub node_count: usize,
    /// Day number to which the cost is charged.
    pub day: u64,
    /// Current time of the node clock.
    pub now: Duration,
}

/// Usage of all customers' limits on this node.
#[derive(Debug, Default)]
pub struct CustomerLimitTable {
    rows: HashMap<ids::CustomerName, LimitRow>,
}

impl CustomerLimitTable {
    /// Checks the limits for a new request and counts the request if it is admitted.
    pub fn admit(&mut self, check: LimitCheck<'_>) -> LimitOutcome {
        let LimitCheck { customer, estimated_cost, day, now, .. } = check;
        let row = self.rows.entry(customer.name.clone()).or_default();
        row.roll_over(day, now);
        row.arrivals = row.arrivals.saturating_add(1);
        (row.estimated_cost, row.last_arrival_at) = (estimated_cost, Some(now));
        let outcome = self.admit_waiting(check);
        if outcome != LimitOutcome::Admitted
            && let Some(row) = self.rows.get_mut(&customer.name)
        {
            row.record_refused(estimated_cost);
        }
        outcome
    }

    /// Checks again for a request that waits for a share, without counting another arrival.
    pub fn admit_waiting(&mut self, check: LimitCheck<'_>) -> LimitOutcome {
        let LimitCheck { customer, estimated_cost, shares, node_count, day, now } = check;
        let row = self.rows.entry(customer.name.clone()).or_default();
        row.roll_over(day, now);
        let has_answer =
            |kind| shares.share_state(kind, &customer.name, now) != ShareState::Pending;
        let kinds = [
            ResourceKind::CustomerRate,
            ResourceKind::CustomerConcurrency,
            ResourceKind::CustomerSpend,
        ];
        if !kinds.into_iter().all(has_answer) {
            return LimitOutcome::AwaitShare;
        }
        let amount =
            |kind, limit| shares.customer_amount(kind, &customer.name, limit, node_count, now);
        let limits = &customer.limits;
        let rate = amount(ResourceKind::CustomerRate, (limits.requests_per_s * 1_000.0) as u64);
        row.refill_bucket(rate as f64, now);
        let concurrency = amount(ResourceKind::CustomerConcurrency, u64::from(limits.concurrency));
        let spend = amount(ResourceKind::CustomerSpend, limits.spend_per_day);
        let used = match shares.share_state(ResourceKind::CustomerSpend, &customer.name, now) {
            ShareState::Leased { used_at_send, .. } => row.spent_today.saturating_sub(used_at_send),
            ShareState::Pending | ShareState::NoAllocator => row.spent_today,
        };
        let refusal = if row.tokens < REQUEST_TOKENS {
            Some((ResourceKind::CustomerRate, RefusalReason::RateLimited))
        } else if u64::from(row.in_flight) >= concurrency {
            Some((ResourceKind::CustomerConcurrency, RefusalReason::ConcurrencyLimited))
        } else if used + row.reserved_cost + estimated_cost > spend {
            Some((ResourceKind::CustomerSpend, RefusalReason::SpendLimited))
        } else {
            None
        };
        if let Some((kind, reason)) = refusal {
            if shares.is_granted_in_full(kind, &customer.name, now) {
                row.awaits_rate |= kind == ResourceKind::CustomerRate;
                return LimitOutcome::AwaitShare;
            }
            return LimitOutcome::Refused(reason);
        }
        row.tokens -= REQUEST_TOKENS;
        row.in_flight += 1;
        row.reserved_cost += estimated_cost;
        LimitOutcome::Admitted
    }

    /// Ends an admitted request and replaces its estimated cost by its actual cost.
    pub fn finish(
        &mut self,
        customer: &str,
        estimated_cost: ids::Microcredits,
        cost: ids::Microcredits,
    ) {
        if let Some(row) = self.rows.get_mut(customer) {
            row.in_flight = row.in_flight.saturating_sub(1);
            row.reserved_cost = row.reserved_cost.saturating_sub(estimated_cost);
            row.spent_today += cost;
        }
    }

    /// Records the demand of all customers in the share table; returns whether an exchange with
    /// the allocators is needed at once.
    pub fn record_share_use(&mut self, shares: &mut ShareTable, day: u64, now: Duration) -> bool {
        let mut is_urgent = false;
        for (name, row) in &mut self.rows {
            row.roll_over(day, now);
            is_urgent |= row.record_share_use(name, shares, now);
            row.awaits_rate = false;
        }
        is_urgent
    }
}

impl LimitRow {
    /// Starts a new day or rate window if the last one is over.
    fn roll_over(&mut self, day: u64, now: Duration) {
        if self.day != day {
            (self.day, self.spent_today) = (day, 0);
        }
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= RATE_WINDOW {
            let is_recent = elapsed < RATE_WINDOW * 2;
            self.previous_arrivals = if is_recent { self.arrivals } else { 0 };
            (self.window_start, self.arrivals) = (now, 0);
            (self.refusals, self.refused_cost) = (0, 0);
        }
    }

    fn record_refused(&mut self, estimated_cost: ids::Microcredits) {
        self.refusals = self.refusals.saturating_add(1);
        self.refused_cost = self.refused_cost.saturating_add(estimated_cost);
    }

    /// Refills the bucket at the leased rate. It holds the tokens of one second, or of one request
    /// if that is more.
    ///
    /// When the rate rises, the bucket at once gets the tokens that the increase yields in one
    /// second, as a bucket that starts empty would refuse the first requests of a surge. This
    /// happens at most once per lease. A lease lasts two seconds, so a customer exceeds its rate by
    /// at most half while demand moves between nodes.
    fn refill_bucket(&mut self, rate: f64, now: Duration) {
        let elapsed = self.filled_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.filled_at = Some(now);
        self.tokens += rate * elapsed.as_secs_f64();
        let was_credited = self
            .last_credit_at
            .is_some_and(|at| now.saturating_sub(at) < quota_message::SHARE_LEASE_TTL);
        if rate > self.filled_rate && !was_credited {
            self.tokens += rate - self.filled_rate;
            self.last_credit_at = Some(now);
        }
        self.filled_rate = rate;
        self.tokens = self.tokens.min(rate.max(REQUEST_TOKENS));
    }

    fn record_share_use(&self, name: &Arc<str>, shares: &mut ShareTable, now: Duration) -> bool {
        let arrivals = self.arrivals.max(self.previous_arrivals);
        let is_recent =
            self.last_arrival_at.is_some_and(|at| now.saturating_sub(at) < SPARE_SHARE_TTL);
        let spare_rate = if is_recent { SPARE_REQUESTS_PER_S } else { 0.0 };
        let rate = (f64::from(arrivals) * HEADROOM_FACTOR + spare_rate) * REQUEST_TOKENS;
        let rate = if self.awaits_rate { rate * WAITING_RATE_FACTOR } else { rate };
        let in_use = u64::from(self.in_flight);
        let concurrency = with_headroom(in_use + u64::from(self.refusals)) + u64::from(is_recent);
        // Covers the arrivals of one second and a spare request.
        let upcoming_cost = self.estimated_cost * (u64::from(arrivals) + u64::from(is_recent));
        let spend = with_headroom(self.reserved_cost + self.refused_cost) + upcoming_cost;
        // Requests that cost nothing need a share too, or they would wait for one forever.
        let spend = spend.max(u64::from(is_recent));
        let mut record = |kind, wanted, in_use, used, period| {
            let use_now = ShareUse { wanted, in_use, used, period };
            shares.record_use(kind, name, use_now, now)
        };
        let urgent = [
            record(ResourceKind::CustomerRate, rate.ceil() as u64, 0, 0, 0),
            record(ResourceKind::CustomerConcurrency, concurrency, in_use, 0, 0),
            record(
                ResourceKind::CustomerSpend,
                spend,
                self.reserved_cost,
                self.spent_today,
                self.day,
            ),
        ];
        urgent.into_iter().any(|is_urgent| is_urgent)
    }
}

fn with_headroom(demand: u64) -> u64 {
    (demand as f64 * HEADROOM_FACTOR).ceil() as u64
}
