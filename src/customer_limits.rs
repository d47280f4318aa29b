//! Applies a customer's leased shares to each request.
//!
//! Rate is a token bucket that fills at the leased rate. Concurrency counts
//! requests in flight. Spend reserves an estimate when a request starts and
//! replaces it by the cost when it ends.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::quota_lease::{ShareState, ShareTable, ShareUse};
use crate::quota_message::ResourceKind;
use crate::refusal_reason::RefusalReason;
use crate::{ids, quota_message, records};

/// Tokens of one request, in thousandths.
const REQUEST_TOKENS: f64 = 1_000.0;
/// Time over which arrivals are counted for the wanted rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Factor on measured demand, so that shares can follow growth between renewals.
const HEADROOM: f64 = 1.25;
/// Spare requests per second, so that a few requests close together need not wait for the
/// bucket to fill.
const SPARE_RATE: f64 = 4.0;
/// Factor on the wanted rate while a request awaits a larger share. A caller that waits sends
/// nothing more, so its arrivals alone would let the share grow by `HEADROOM` a second.
const WAITING_FACTOR: f64 = 4.0;
/// Time after its last request for which a customer keeps spare shares, so that the next
/// request needs no exchange first.
const SPARE_TIME: Duration = Duration::from_secs(60);

/// Outcome of the limits for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitOutcome {
    /// Counted; `finish` must follow.
    Admitted,
    /// A first or larger share is to be exchanged with a home; ask again when it is over.
    AwaitShare,
    /// Over a limit.
    Refused(RefusalReason),
}

/// Use of one customer's limits by this node.
#[derive(Debug, Default)]
struct LimitRow {
    tokens: f64,
    filled_at: Option<Duration>,
    filled_rate: f64,
    credited_at: Option<Duration>,
    window_start: Duration,
    arrivals: u32,
    former_arrivals: u32,
    in_flight: u32,
    refused: u32,
    reserved: ids::Microcredits,
    refused_cost: ids::Microcredits,
    spent: ids::Microcredits,
    /// Estimate of the last request.
    estimated_cost: ids::Microcredits,
    arrived_at: Option<Duration>,
    /// Whether a request awaited a larger rate since the last statement of use.
    awaits_rate: bool,
    day: u64,
}

/// Request whose customer's limits are checked, and what they are checked by.
#[derive(Clone, Copy, Debug)]
pub struct LimitCheck<'a> {
    /// Customer with its limits.
    pub customer: &'a records::customer::CustomerRecord,
    /// Expected cost.
    pub estimated_cost: ids::Microcredits,
    /// Shares that this node holds.
    pub shares: &'a ShareTable,
    /// Live nodes.
    pub node_count: usize,
    /// Day to which spent money counts.
    pub day: u64,
    /// Clock of this node.
    pub now: Duration,
}

/// Use of customers' limits by this node.
#[derive(Debug, Default)]
pub struct CustomerLimitTable {
    rows: HashMap<ids::CustomerName, LimitRow>,
}

impl CustomerLimitTable {
    /// Checks all limits of a customer and counts the request if it passes.
    pub fn admit(&mut self, check: LimitCheck<'_>) -> LimitOutcome {
        let LimitCheck { customer, estimated_cost, day, now, .. } = check;
        let row = self.rows.entry(customer.name.clone()).or_default();
        row.turn(day, now);
        row.arrivals = row.arrivals.saturating_add(1);
        (row.estimated_cost, row.arrived_at) = (estimated_cost, Some(now));
        let outcome = self.admit_waiting(check);
        if outcome != LimitOutcome::Admitted
            && let Some(row) = self.rows.get_mut(&customer.name)
        {
            row.note_refused(estimated_cost);
        }
        outcome
    }

    /// Checks again for a request that awaits a share, without counting its arrival again.
    pub fn admit_waiting(&mut self, check: LimitCheck<'_>) -> LimitOutcome {
        let LimitCheck { customer, estimated_cost, shares, node_count, day, now } = check;
        let row = self.rows.entry(customer.name.clone()).or_default();
        row.turn(day, now);
        let asked = |kind| shares.share_state(kind, &customer.name, now) != ShareState::Pending;
        let kinds = [
            ResourceKind::CustomerRate,
            ResourceKind::CustomerConcurrency,
            ResourceKind::CustomerSpend,
        ];
        if !kinds.into_iter().all(asked) {
            return LimitOutcome::AwaitShare;
        }
        let amount =
            |kind, limit| shares.customer_amount(kind, &customer.name, limit, node_count, now);
        let limits = &customer.limits;
        let rate = amount(ResourceKind::CustomerRate, (limits.requests_per_s * 1_000.0) as u64);
        row.fill(rate as f64, now);
        let concurrency = amount(ResourceKind::CustomerConcurrency, u64::from(limits.concurrency));
        let spend = amount(ResourceKind::CustomerSpend, limits.spend_per_day);
        let used = match shares.share_state(ResourceKind::CustomerSpend, &customer.name, now) {
            ShareState::Leased { used_at_send, .. } => row.spent.saturating_sub(used_at_send),
            ShareState::Pending | ShareState::NoAllocator => row.spent,
        };
        let refusal = if row.tokens < REQUEST_TOKENS {
            Some((ResourceKind::CustomerRate, RefusalReason::RateLimited))
        } else if u64::from(row.in_flight) >= concurrency {
            Some((ResourceKind::CustomerConcurrency, RefusalReason::ConcurrencyLimited))
        } else if used + row.reserved + estimated_cost > spend {
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
        row.reserved += estimated_cost;
        LimitOutcome::Admitted
    }

    /// Ends an admitted request and replaces its estimate by its cost.
    pub fn finish(
        &mut self,
        customer: &str,
        estimated_cost: ids::Microcredits,
        cost: ids::Microcredits,
    ) {
        if let Some(row) = self.rows.get_mut(customer) {
            row.in_flight = row.in_flight.saturating_sub(1);
            row.reserved = row.reserved.saturating_sub(estimated_cost);
            row.spent += cost;
        }
    }

    /// States the use of all customers to the share table; returns whether to exchange at once.
    pub fn record_share_use(&mut self, shares: &mut ShareTable, day: u64, now: Duration) -> bool {
        let mut urgent = false;
        for (name, row) in &mut self.rows {
            row.turn(day, now);
            urgent |= row.record_share_use(name, shares, now);
            row.awaits_rate = false;
        }
        urgent
    }
}

impl LimitRow {
    /// Starts a new day or rate window where its time has come.
    fn turn(&mut self, day: u64, now: Duration) {
        if self.day != day {
            (self.day, self.spent) = (day, 0);
        }
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= RATE_WINDOW {
            let recent = elapsed < RATE_WINDOW * 2;
            self.former_arrivals = if recent { self.arrivals } else { 0 };
            (self.window_start, self.arrivals) = (now, 0);
            (self.refused, self.refused_cost) = (0, 0);
        }
    }

    fn note_refused(&mut self, estimated_cost: ids::Microcredits) {
        self.refused = self.refused.saturating_add(1);
        self.refused_cost = self.refused_cost.saturating_add(estimated_cost);
    }

    /// Fills the bucket at the leased rate, to one second's worth or one request.
    ///
    /// A rise of the share is worth one second of it at once, but only once per lease: a bucket
    /// that starts empty would refuse the first requests of a surge. While demand moves between
    /// nodes this lets a customer exceed its rate by at most half, as a lease is two seconds.
    fn fill(&mut self, rate: f64, now: Duration) {
        let elapsed = self.filled_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.filled_at = Some(now);
        self.tokens += rate * elapsed.as_secs_f64();
        let credited = self
            .credited_at
            .is_some_and(|at| now.saturating_sub(at) < quota_message::SHARE_LEASE_TTL);
        if rate > self.filled_rate && !credited {
            self.tokens += rate - self.filled_rate;
            self.credited_at = Some(now);
        }
        self.filled_rate = rate;
        self.tokens = self.tokens.min(rate.max(REQUEST_TOKENS));
    }

    fn record_share_use(&self, name: &Arc<str>, shares: &mut ShareTable, now: Duration) -> bool {
        let arrivals = self.arrivals.max(self.former_arrivals);
        let recent = self.arrived_at.is_some_and(|at| now.saturating_sub(at) < SPARE_TIME);
        let spare_rate = if recent { SPARE_RATE } else { 0.0 };
        let rate = (f64::from(arrivals) * HEADROOM + spare_rate) * REQUEST_TOKENS;
        let rate = if self.awaits_rate { rate * WAITING_FACTOR } else { rate };
        let in_use = u64::from(self.in_flight);
        let concurrency = headroom(in_use + u64::from(self.refused)) + u64::from(recent);
        // Money for the arrivals of one second and a spare request.
        let coming = self.estimated_cost * (u64::from(arrivals) + u64::from(recent));
        let spend = headroom(self.reserved + self.refused_cost) + coming;
        // Requests without cost need a share, too, or they would wait for one forever.
        let spend = spend.max(u64::from(recent));
        let mut state = |kind, wanted, in_use, used, period| {
            let use_now = ShareUse { wanted, in_use, used, period };
            shares.record_use(kind, name, use_now, now)
        };
        let urgent = [
            state(ResourceKind::CustomerRate, rate.ceil() as u64, 0, 0, 0),
            state(ResourceKind::CustomerConcurrency, concurrency, in_use, 0, 0),
            state(ResourceKind::CustomerSpend, spend, self.reserved, self.spent, self.day),
        ];
        urgent.into_iter().any(|urgent| urgent)
    }
}

fn headroom(demand: u64) -> u64 {
    (demand as f64 * HEADROOM).ceil() as u64
}
