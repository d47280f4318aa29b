//! Bounded fair queue of requests that wait for the credit of one pool.
//!
//! Customers are served by deficit round robin, in proportion to their weights.
//! Interactive requests go ahead of batch requests, which keep a tenth of the
//! service. A request whose deadline cannot be met at the measured service rate
//! is refused when it arrives, not after it has waited.

use std::collections::HashMap;
use std::time::Duration;

use crate::refusal_reason::RefusalReason;
use crate::{fair_lane, ids, service_rate};

/// One of this many dispatches goes to batch requests while both kinds wait.
const BATCH_TURN: u32 = 10;
/// Factor on the expected wait; shares move, and a request queued at the very limit of its
/// deadline would often be refused only after it has waited.
const WAIT_MARGIN: f64 = 1.35;
/// Longest `Retry-After` of a refusal; the rate is no forecast beyond it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Kind of work by urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestLane {
    /// Somebody waits for the answer.
    Interactive,
    /// Answer may wait.
    Batch,
}

/// Request that waits.
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    /// Customer that asks.
    pub customer: ids::CustomerName,
    /// Urgency.
    pub lane: RequestLane,
    /// Node clock at which the answer must be complete.
    pub deadline: Duration,
    /// Expected time from dispatch to the end of the answer.
    pub expected: Duration,
    /// Work in units that customers share by weight, from 1.
    pub cost: u32,
    /// What is dispatched.
    pub payload: T,
}

/// Refusal of a request by the queue; it did not run.
#[derive(Clone, Debug)]
pub struct QueueRefusal<T> {
    /// The request.
    pub request: QueuedRequest<T>,
    /// `Overloaded` or `DeadlineExceeded`.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// Request that leaves the queue.
#[derive(Clone, Debug)]
pub enum QueueOutcome<T> {
    /// To be routed now.
    Dispatch(QueuedRequest<T>),
    /// To be refused now.
    Refuse(QueueRefusal<T>),
}

/// Bounded fair queue of one pool.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    interactive: fair_lane::FairLane<QueuedRequest<T>>,
    batch: fair_lane::FairLane<QueuedRequest<T>>,
    weights: HashMap<ids::CustomerName, u32>,
    total_weight: u64,
    bound: usize,
    since_batch: u32,
    rate: service_rate::ServiceRate,
}

impl<T> AdmissionQueue<T> {
    /// Queue of at most `bound` requests, divided among the customers by weight.
    pub fn new(bound: usize, weights: HashMap<ids::CustomerName, u32>) -> Self {
        let total_weight = weights.values().map(|weight| u64::from(*weight)).sum();
        Self {
            interactive: fair_lane::FairLane::default(),
            batch: fair_lane::FairLane::default(),
            weights,
            total_weight,
            bound,
            since_batch: 0,
            rate: service_rate::ServiceRate::default(),
        }
    }

    /// Takes over changed weights; waiting requests stay.
    pub fn set_weights(&mut self, weights: HashMap<ids::CustomerName, u32>) {
        self.total_weight = weights.values().map(|weight| u64::from(*weight)).sum();
        self.weights = weights;
    }

    /// Waiting requests.
    pub fn len(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request.
    ///
    /// # Errors
    /// `Overloaded` when the customer's part of the queue is full or the deadline cannot be met.
    pub fn push(
        &mut self,
        request: QueuedRequest<T>,
        now: Duration,
    ) -> Result<(), Box<QueueRefusal<T>>> {
        self.rate.update(now, !self.is_empty());
        let wait = self.expected_wait(&request);
        let queued =
            self.interactive.queued(&request.customer) + self.batch.queued(&request.customer);
        let late = now + wait.mul_f64(WAIT_MARGIN) + request.expected > request.deadline;
        if late || queued >= self.customer_bound(&request.customer) {
            let retry_after = wait.clamp(Duration::from_secs(1), MAX_RETRY_AFTER);
            let reason = RefusalReason::Overloaded;
            return Err(Box::new(QueueRefusal { request, reason, retry_after }));
        }
        let weight = self.weight(&request.customer);
        let (customer, cost) = (request.customer.clone(), request.cost.max(1));
        self.lane(request.lane).push(customer, weight, cost, request);
        Ok(())
    }

    /// Undoes the last `pop` after routing found no credit.
    pub fn restore(&mut self, request: QueuedRequest<T>) {
        self.rate.undo_dispatched(request.cost.max(1));
        self.since_batch = match request.lane {
            RequestLane::Batch => BATCH_TURN,
            RequestLane::Interactive => self.since_batch.saturating_sub(1),
        };
        self.push_retry(request);
    }

    /// Queues a request for another attempt, ahead of its customer's others and without a bound.
    pub fn push_retry(&mut self, request: QueuedRequest<T>) {
        let weight = self.weight(&request.customer);
        let (customer, cost) = (request.customer.clone(), request.cost.max(1));
        self.lane(request.lane).restore(customer, weight, cost, request);
    }

    /// Refuses all requests that can no longer be answered in time.
    pub fn take_late(&mut self, now: Duration) -> Vec<QueueRefusal<T>> {
        let late = |request: &QueuedRequest<T>| now + request.expected > request.deadline;
        let mut taken = self.interactive.take_where(late);
        taken.append(&mut self.batch.take_where(late));
        taken.into_iter().map(|request| late_refusal(request, now)).collect()
    }

    /// Drops requests for whose answer nobody waits any more; they would take up room and make
    /// the expected wait of others longer.
    pub fn drop_abandoned(&mut self, abandoned: impl Fn(&T) -> bool) {
        let gone = |request: &QueuedRequest<T>| abandoned(&request.payload);
        self.interactive.take_where(gone);
        self.batch.take_where(gone);
    }

    /// Next request; call it while the pool has credit.
    ///
    /// A request that can no longer be answered in time is refused rather than dispatched,
    /// because its answer would be work without use. It does not use up its customer's turn.
    pub fn pop(&mut self, now: Duration) -> Option<QueueOutcome<T>> {
        self.rate.update(now, !self.is_empty());
        let batch_turn = self.interactive.is_empty() || self.since_batch + 1 >= BATCH_TURN;
        let request = match (batch_turn, self.batch.is_empty()) {
            (true, false) => self.batch.pop(),
            _ => self.interactive.pop(),
        }?;
        if now + request.expected > request.deadline {
            let cost = request.cost.max(1);
            self.lane(request.lane).refund(&request.customer, cost);
            return Some(QueueOutcome::Refuse(late_refusal(request, now)));
        }
        self.since_batch = match request.lane {
            RequestLane::Batch => 0,
            RequestLane::Interactive => self.since_batch.saturating_add(1),
        };
        self.rate.record_dispatched(request.cost.max(1));
        Some(QueueOutcome::Dispatch(request))
    }

    /// Expected wait of a request that arrives now; 0 until a rate is measured.
    pub fn expected_wait(&self, request: &QueuedRequest<T>) -> Duration {
        let Some(rate) = self.rate.cost_per_s() else { return Duration::ZERO };
        let (lane, other) = match request.lane {
            RequestLane::Interactive => (&self.interactive, &self.batch),
            RequestLane::Batch => (&self.batch, &self.interactive),
        };
        let batch_part = 1.0 / f64::from(BATCH_TURN);
        let part = match request.lane {
            _ if other.is_empty() => 1.0,
            RequestLane::Interactive => 1.0 - batch_part,
            RequestLane::Batch => batch_part,
        };
        let weight = self.weight(&request.customer);
        // While others wait, the request also waits for one dispatch of its own lane.
        let turn = f64::from(u8::from(!self.is_empty()));
        let ahead = lane.work_ahead(&request.customer, weight) + turn;
        Duration::try_from_secs_f64(ahead / (rate * part)).unwrap_or(MAX_RETRY_AFTER)
    }

    fn lane(&mut self, lane: RequestLane) -> &mut fair_lane::FairLane<QueuedRequest<T>> {
        match lane {
            RequestLane::Interactive => &mut self.interactive,
            RequestLane::Batch => &mut self.batch,
        }
    }

    fn weight(&self, customer: &str) -> u32 {
        self.weights.get(customer).copied().unwrap_or(1).max(1)
    }

    /// Part of the bound that one customer may fill, so that none crowds out the others.
    fn customer_bound(&self, customer: &str) -> usize {
        let weight = u64::from(self.weight(customer));
        let part = self.bound as u64 * weight / self.total_weight.max(weight);
        usize::try_from(part).unwrap_or(usize::MAX).max(1)
    }
}

fn late_refusal<T>(request: QueuedRequest<T>, now: Duration) -> QueueRefusal<T> {
    let passed = now >= request.deadline;
    let reason = if passed { RefusalReason::DeadlineExceeded } else { RefusalReason::Overloaded };
    QueueRefusal { request, reason, retry_after: Duration::from_secs(1) }
}
