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
use crate::{ids, records};

/// Tokens of one request, in thousandths.
const REQUEST_TOKENS: f64 = 1_000.0;
/// Time over which arrivals are counted for the wanted rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Factor on measured demand, so that shares can follow growth between renewals.
const HEADROOM: f64 = 1.25;

/// Outcome of the limits for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitOutcome {
    /// Counted; `finish` must follow.
    Admitted,
    /// The home may grant a share or a larger one; ask again after an exchange.
    AwaitShare,
    /// Over a limit.
    Refused(RefusalReason),
}

/// Use of one customer's limits by this node.
#[derive(Debug, Default)]
struct LimitRow {
    tokens: f64,
    filled_at: Option<Duration>,
    window_start: Duration,
    arrivals: u32,
    former_arrivals: u32,
    in_flight: u32,
    refused: u32,
    reserved: ids::Microcredits,
    refused_cost: ids::Microcredits,
    spent: ids::Microcredits,
    day: u64,
}

/// Use of customers' limits by this node.
#[derive(Debug, Default)]
pub struct CustomerLimitTable {
    rows: HashMap<ids::CustomerName, LimitRow>,
}

impl CustomerLimitTable {
    /// Checks all limits of a customer and counts the request if it passes.
    pub fn admit(
        &mut self,
        customer: &records::customer::CustomerRecord,
        estimate: ids::Microcredits,
        shares: &ShareTable,
        nodes: usize,
        day: u64,
        now: Duration,
    ) -> LimitOutcome {
        let row = self.rows.entry(customer.name.clone()).or_default();
        row.turn(day, now);
        row.arrivals = row.arrivals.saturating_add(1);
        let outcome = self.admit_waiting(customer, estimate, shares, nodes, day, now);
        if outcome != LimitOutcome::Admitted
            && let Some(row) = self.rows.get_mut(&customer.name)
        {
            row.note_refused(estimate);
        }
        outcome
    }

    /// Checks again for a request that waits for a share; it counts as one arrival.
    pub fn admit_waiting(
        &mut self,
        customer: &records::customer::CustomerRecord,
        estimate: ids::Microcredits,
        shares: &ShareTable,
        nodes: usize,
        day: u64,
        now: Duration,
    ) -> LimitOutcome {
        let row = self.rows.entry(customer.name.clone()).or_default();
        row.turn(day, now);
        let asked = |kind| shares.state(kind, &customer.name, now) != ShareState::Unasked;
        let kinds = [
            ResourceKind::CustomerRate,
            ResourceKind::CustomerConcurrency,
            ResourceKind::CustomerSpend,
        ];
        if !kinds.into_iter().all(asked) {
            return LimitOutcome::AwaitShare;
        }
        let amount = |kind, limit| shares.customer_amount(kind, &customer.name, limit, nodes, now);
        let limits = &customer.limits;
        let rate = amount(ResourceKind::CustomerRate, (limits.requests_per_s * 1_000.0) as u64);
        row.fill(rate as f64, now);
        let concurrency = amount(ResourceKind::CustomerConcurrency, u64::from(limits.concurrency));
        let spend = amount(ResourceKind::CustomerSpend, limits.spend_per_day);
        let used = match shares.state(ResourceKind::CustomerSpend, &customer.name, now) {
            ShareState::Leased { used_at_send, .. } => row.spent.saturating_sub(used_at_send),
            ShareState::Unasked | ShareState::NoHome => row.spent,
        };
        let refusal = if row.tokens < REQUEST_TOKENS {
            Some((RefusalReason::RateLimited, ResourceKind::CustomerRate))
        } else if u64::from(row.in_flight) >= concurrency {
            Some((RefusalReason::ConcurrencyLimited, ResourceKind::CustomerConcurrency))
        } else if used + row.reserved + estimate > spend {
            Some((RefusalReason::SpendLimited, ResourceKind::CustomerSpend))
        } else {
            None
        };
        match refusal {
            // The share is used up, but the limit may not be reached.
            Some((_, kind)) if shares.may_grow(kind, &customer.name, now) => {
                return LimitOutcome::AwaitShare;
            }
            Some((reason, _)) => return LimitOutcome::Refused(reason),
            None => {}
        }
        row.tokens -= REQUEST_TOKENS;
        row.in_flight += 1;
        row.reserved += estimate;
        LimitOutcome::Admitted
    }

    /// Ends an admitted request and replaces its estimate by its cost.
    pub fn finish(&mut self, customer: &str, estimate: ids::Microcredits, cost: ids::Microcredits) {
        if let Some(row) = self.rows.get_mut(customer) {
            row.in_flight = row.in_flight.saturating_sub(1);
            row.reserved = row.reserved.saturating_sub(estimate);
            row.spent += cost;
        }
    }

    /// States the use of all customers to the share table; returns whether to exchange at once.
    pub fn state_use(&mut self, shares: &mut ShareTable, day: u64, now: Duration) -> bool {
        let mut urgent = false;
        for (name, row) in &mut self.rows {
            row.turn(day, now);
            urgent |= row.state_use(name, shares, now);
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

    fn note_refused(&mut self, estimate: ids::Microcredits) {
        self.refused = self.refused.saturating_add(1);
        self.refused_cost = self.refused_cost.saturating_add(estimate);
    }

    /// Fills the bucket at the leased rate, to one second's worth or one request.
    ///
    /// The first fill is one second's worth, so that the nodes' buckets together never hold more
    /// than one second of the limit when a surge begins.
    fn fill(&mut self, rate: f64, now: Duration) {
        let elapsed_s = match self.filled_at {
            None => 1.0,
            Some(filled_at) => now.saturating_sub(filled_at).as_secs_f64(),
        };
        if self.filled_at.is_some() || rate > 0.0 {
            self.filled_at = Some(now);
        }
        self.tokens = (self.tokens + rate * elapsed_s).min(rate.max(REQUEST_TOKENS));
    }

    fn state_use(&self, name: &Arc<str>, shares: &mut ShareTable, now: Duration) -> bool {
        let arrivals = f64::from(self.arrivals.max(self.former_arrivals));
        let rate = (arrivals * REQUEST_TOKENS * HEADROOM).ceil() as u64;
        let in_use = u64::from(self.in_flight);
        let concurrency = headroom(in_use + u64::from(self.refused));
        let spend = headroom(self.reserved + self.refused_cost) + self.recent_cost();
        let mut state = |kind, wanted, in_use, used, period| {
            let use_now = ShareUse { wanted, in_use, used, period };
            shares.set_use(kind, name, use_now, now)
        };
        let urgent = [
            state(ResourceKind::CustomerRate, rate, 0, 0, 0),
            state(ResourceKind::CustomerConcurrency, concurrency, in_use, 0, 0),
            state(ResourceKind::CustomerSpend, spend, self.reserved, self.spent, self.day),
        ];
        urgent.into_iter().any(|urgent| urgent)
    }

    /// Money for the arrivals of one second, by the mean reservation.
    fn recent_cost(&self) -> ids::Microcredits {
        let running = u64::from(self.in_flight).max(1);
        self.reserved / running * u64::from(self.arrivals.max(self.former_arrivals))
    }
}

fn headroom(demand: u64) -> u64 {
    (demand as f64 * HEADROOM).ceil() as u64
}
