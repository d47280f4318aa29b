//! Bounded fair queue of requests that wait for free concurrency in one pool.
//!
//! Customers are served by deficit round robin, in proportion to their weights. Interactive
//! requests go before batch requests, which get at least one dispatch in ten. A request that would
//! miss its deadline at the measured service rate is refused on arrival, not after it has waited.

use std::collections::HashMap;
use std::time::Duration;

use crate::refusal_reason::RefusalReason;
use crate::{fair_lane, ids, service_rate};

/// While both lanes have waiting requests, one of this many dispatches goes to the batch lane.
const DISPATCHES_PER_BATCH_TURN: u32 = 10;
/// Factor on the expected wait. Leased shares change, so without it a request that is admitted
/// close to its deadline would often be refused after it has waited.
const WAIT_MARGIN_FACTOR: f64 = 1.35;
/// Maximum `Retry-After` of a refusal; the measured rate does not predict later times.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Urgency of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestLane {
    /// A user waits for the answer.
    Interactive,
    /// The answer may be delayed.
    Batch,
}

#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    pub customer: ids::CustomerName,
    pub lane: RequestLane,
    /// Time of the node clock by which the answer must be complete.
    pub deadline: Duration,
    /// Time from dispatch to the end of the answer.
    pub expected_duration: Duration,
    /// Cost in the units in which service is divided by weight; 0 counts as 1.
    pub cost: u32,
    /// Data for the dispatch, which the queue does not read.
    pub payload: T,
}

/// Refusal of a request that the queue has not dispatched.
#[derive(Clone, Debug)]
pub struct QueueRefusal<T> {
    pub request: QueuedRequest<T>,
    /// `Overloaded` or `DeadlineExceeded`.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// Request that leaves the queue, with the way it is to be handled.
#[derive(Clone, Debug)]
pub enum QueueOutcome<T> {
    /// A replica is to be chosen now.
    Dispatch(QueuedRequest<T>),
    /// The caller is to be refused.
    Refuse(QueueRefusal<T>),
}

#[derive(Debug)]
pub struct AdmissionQueue<T> {
    interactive: fair_lane::FairLane<QueuedRequest<T>>,
    batch: fair_lane::FairLane<QueuedRequest<T>>,
    weights: HashMap<ids::CustomerName, u32>,
    total_weight: u64,
    max_requests: usize,
    dispatches_since_batch: u32,
    rate: service_rate::ServiceRate,
}

impl<T> AdmissionQueue<T> {
    /// Creates a queue of at most `max_requests`, which are divided among the customers by weight.
    pub fn new(max_requests: usize, weights: HashMap<ids::CustomerName, u32>) -> Self {
        let total_weight = weights.values().map(|weight| u64::from(*weight)).sum();
        Self {
            interactive: fair_lane::FairLane::default(),
            batch: fair_lane::FairLane::default(),
            weights,
            total_weight,
            max_requests,
            dispatches_since_batch: 0,
            rate: service_rate::ServiceRate::default(),
        }
    }

    /// Applies changed weights; waiting requests stay queued.
    pub fn set_weights(&mut self, weights: HashMap<ids::CustomerName, u32>) {
        self.total_weight = weights.values().map(|weight| u64::from(*weight)).sum();
        self.weights = weights;
    }

    /// Number of waiting requests in both lanes.
    pub fn len(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request.
    ///
    /// # Errors
    /// `Overloaded` if the customer's part of the queue is full or the deadline cannot be met.
    pub fn push(
        &mut self,
        request: QueuedRequest<T>,
        now: Duration,
    ) -> Result<(), Box<QueueRefusal<T>>> {
        self.rate.update(now, !self.is_empty());
        let wait = self.expected_wait(&request);
        let queued = self.interactive.customer_len(&request.customer)
            + self.batch.customer_len(&request.customer);
        let is_late =
            now + wait.mul_f64(WAIT_MARGIN_FACTOR) + request.expected_duration > request.deadline;
        if is_late || queued >= self.max_customer_requests(&request.customer) {
            let retry_after = wait.clamp(Duration::from_secs(1), MAX_RETRY_AFTER);
            let reason = RefusalReason::Overloaded;
            return Err(Box::new(QueueRefusal { request, reason, retry_after }));
        }
        let weight = self.customer_weight(&request.customer);
        let (customer, cost) = (request.customer.clone(), request.cost.max(1));
        self.lane_mut(request.lane).push(customer, weight, cost, request);
        Ok(())
    }

    /// Undoes the last `pop` if routing found no replica with free concurrency.
    pub fn undo_pop(&mut self, request: QueuedRequest<T>) {
        self.rate.undo_dispatched(request.cost.max(1));
        self.dispatches_since_batch = match request.lane {
            RequestLane::Batch => DISPATCHES_PER_BATCH_TURN,
            RequestLane::Interactive => self.dispatches_since_batch.saturating_sub(1),
        };
        self.push_retry(request);
    }

    /// Queues a request for another attempt, ahead of all others of its lane and beyond the maximum
    /// if needed.
    pub fn push_retry(&mut self, request: QueuedRequest<T>) {
        let weight = self.customer_weight(&request.customer);
        let (customer, cost) = (request.customer.clone(), request.cost.max(1));
        self.lane_mut(request.lane).push_front(customer, weight, cost, request);
    }

    /// Removes and refuses all requests that can no longer be answered in time.
    pub fn refuse_late(&mut self, now: Duration) -> Vec<QueueRefusal<T>> {
        let is_late =
            |request: &QueuedRequest<T>| now + request.expected_duration > request.deadline;
        let mut late_requests = self.interactive.remove_matching(is_late);
        late_requests.append(&mut self.batch.remove_matching(is_late));
        late_requests.into_iter().map(|request| late_refusal(request, now)).collect()
    }

    /// Removes requests whose callers no longer wait. They would occupy the queue and lengthen the
    /// expected wait of others.
    pub fn remove_abandoned(&mut self, is_abandoned: impl Fn(&T) -> bool) {
        let matches = |request: &QueuedRequest<T>| is_abandoned(&request.payload);
        self.interactive.remove_matching(matches);
        self.batch.remove_matching(matches);
    }

    /// Removes and returns the next request. To be called while the pool has free concurrency.
    ///
    /// A request that can no longer be answered in time is refused instead of dispatched, as nobody
    /// could use its answer. Its cost is not charged to its customer.
    pub fn pop(&mut self, now: Duration) -> Option<QueueOutcome<T>> {
        self.rate.update(now, !self.is_empty());
        let is_batch_turn = self.interactive.is_empty()
            || self.dispatches_since_batch + 1 >= DISPATCHES_PER_BATCH_TURN;
        let request = match (is_batch_turn, self.batch.is_empty()) {
            (true, false) => self.batch.pop(),
            _ => self.interactive.pop(),
        }?;
        if now + request.expected_duration > request.deadline {
            let cost = request.cost.max(1);
            self.lane_mut(request.lane).refund(&request.customer, cost);
            return Some(QueueOutcome::Refuse(late_refusal(request, now)));
        }
        self.dispatches_since_batch = match request.lane {
            RequestLane::Batch => 0,
            RequestLane::Interactive => self.dispatches_since_batch.saturating_add(1),
        };
        self.rate.record_dispatched(request.cost.max(1));
        Some(QueueOutcome::Dispatch(request))
    }

    /// Expected wait of a request that arrives now; 0 until a service rate is measured.
    pub fn expected_wait(&self, request: &QueuedRequest<T>) -> Duration {
        let Some(rate) = self.rate.cost_per_s() else { return Duration::ZERO };
        let (own_lane, other_lane) = match request.lane {
            RequestLane::Interactive => (&self.interactive, &self.batch),
            RequestLane::Batch => (&self.batch, &self.interactive),
        };
        let batch_fraction = 1.0 / f64::from(DISPATCHES_PER_BATCH_TURN);
        let lane_fraction = match request.lane {
            _ if other_lane.is_empty() => 1.0,
            RequestLane::Interactive => 1.0 - batch_fraction,
            RequestLane::Batch => batch_fraction,
        };
        let weight = self.customer_weight(&request.customer);
        // While others wait, the request also waits for one dispatch of its own lane.
        let turn_cost = f64::from(u8::from(!self.is_empty()));
        let cost_ahead = own_lane.cost_ahead(&request.customer, weight) + turn_cost;
        Duration::try_from_secs_f64(cost_ahead / (rate * lane_fraction)).unwrap_or(MAX_RETRY_AFTER)
    }

    fn lane_mut(&mut self, lane: RequestLane) -> &mut fair_lane::FairLane<QueuedRequest<T>> {
        match lane {
            RequestLane::Interactive => &mut self.interactive,
            RequestLane::Batch => &mut self.batch,
        }
    }

    fn customer_weight(&self, customer: &str) -> u32 {
        self.weights.get(customer).copied().unwrap_or(1).max(1)
    }

    /// Number of requests that one customer may queue, so that none crowds out the others.
    fn max_customer_requests(&self, customer: &str) -> usize {
        let weight = u64::from(self.customer_weight(customer));
        let max_requests = self.max_requests as u64 * weight / self.total_weight.max(weight);
        usize::try_from(max_requests).unwrap_or(usize::MAX).max(1)
    }
}

fn late_refusal<T>(request: QueuedRequest<T>, now: Duration) -> QueueRefusal<T> {
    let is_past_deadline = now >= request.deadline;
    let reason =
        if is_past_deadline { RefusalReason::DeadlineExceeded } else { RefusalReason::Overloaded };
    QueueRefusal { request, reason, retry_after: Duration::from_secs(1) }
}
