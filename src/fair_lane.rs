//! Deficit round robin over one queue per customer.
//!
//! In each round a customer's deficit grows by its weight, and its requests are dispatched as long
//! as the deficit covers their cost. Customers with waiting requests thus get service in proportion
//! to their weights, however much each of them queues.

use std::collections::{HashMap, VecDeque};

use crate::ids;

/// Requests of customers that are served in proportion to their weights.
#[derive(Debug)]
pub struct FairLane<R> {
    queues: HashMap<ids::CustomerName, CustomerQueue<R>>,
    /// Customers with waiting requests, the next one to be served first.
    ring: VecDeque<ids::CustomerName>,
    len: usize,
}

#[derive(Debug)]
struct CustomerQueue<R> {
    weight: u32,
    deficit: u64,
    /// Whether the deficit has grown by the weight in the current turn.
    is_credited: bool,
    queued_cost: u64,
    /// Requests with their costs.
    requests: VecDeque<(u32, R)>,
}

impl<R> Default for CustomerQueue<R> {
    fn default() -> Self {
        Self {
            weight: 1,
            deficit: 0,
            is_credited: false,
            queued_cost: 0,
            requests: VecDeque::new(),
        }
    }
}

impl<R> Default for FairLane<R> {
    fn default() -> Self {
        Self { queues: HashMap::new(), ring: VecDeque::new(), len: 0 }
    }
}

impl<R> FairLane<R> {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting requests of one customer.
    pub fn customer_len(&self, customer: &str) -> usize {
        self.queues.get(customer).map_or(0, |queue| queue.requests.len())
    }

    /// Appends a request to the queue of its customer, whose weight it sets.
    pub fn push(&mut self, customer: ids::CustomerName, weight: u32, cost: u32, request: R) {
        let queue = self.customer_queue(customer, weight);
        queue.queued_cost += u64::from(cost);
        queue.requests.push_back((cost, request));
        self.len += 1;
    }

    /// Queues a request ahead of all others, with the deficit that it needs to be served next.
    pub fn push_front(&mut self, customer: ids::CustomerName, weight: u32, cost: u32, request: R) {
        if self.ring.front() != Some(&customer) {
            self.ring.retain(|waiting| *waiting != customer);
            self.ring.push_front(customer.clone());
        }
        let queue = self.queues.entry(customer).or_default();
        (queue.weight, queue.is_credited) = (weight, true);
        queue.queued_cost += u64::from(cost);
        queue.deficit += u64::from(cost);
        queue.requests.push_front((cost, request));
        self.len += 1;
    }

    /// Removes and returns the next request to be served.
    pub fn pop(&mut self) -> Option<R> {
        loop {
            let queue = self.queues.get_mut(self.ring.front()?)?;
            if !queue.is_credited {
                queue.is_credited = true;
                queue.deficit += u64::from(queue.weight);
            }
            let cost = queue.requests.front().map_or(0, |(cost, _)| u64::from(*cost));
            if queue.deficit < cost {
                queue.is_credited = false;
                self.ring.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            queue.queued_cost -= cost;
            let request = queue.requests.pop_front();
            self.len -= 1;
            if queue.requests.is_empty() {
                // An idle customer keeps no deficit, otherwise it would get a burst later.
                let customer = self.ring.pop_front()?;
                self.queues.remove(&customer);
            }
            return request.map(|(_, request)| request);
        }
    }

    /// Gives a customer back the deficit of a popped request that was not served.
    pub fn refund(&mut self, customer: &str, cost: u32) {
        if let Some(queue) = self.queues.get_mut(customer) {
            queue.deficit += u64::from(cost);
        }
    }

    /// Removes and returns the requests that match.
    pub fn remove_matching(&mut self, matches: impl Fn(&R) -> bool) -> Vec<R> {
        let mut all_removed = Vec::new();
        for queue in self.queues.values_mut() {
            let waiting = std::mem::take(&mut queue.requests);
            let (removed, kept) = waiting.into_iter().partition(|(_, request)| matches(request));
            queue.requests = kept;
            let removed: VecDeque<(u32, R)> = removed;
            queue.queued_cost -= removed.iter().map(|(cost, _)| u64::from(*cost)).sum::<u64>();
            all_removed.extend(removed.into_iter().map(|(_, request)| request));
        }
        self.len -= all_removed.len();
        self.queues.retain(|_, queue| !queue.requests.is_empty());
        self.ring.retain(|customer| self.queues.contains_key(customer));
        all_removed
    }

    /// Cost that is served before a new request of a customer.
    ///
    /// While the customer's own queue is served, every other customer is served in proportion to
    /// its weight, up to what it has queued.
    pub fn cost_ahead(&self, customer: &str, weight: u32) -> f64 {
        let own_cost = self.queues.get(customer).map_or(0, |queue| queue.queued_cost);
        let rounds = (own_cost as f64 + 1.0) / f64::from(weight.max(1));
        let others = self.queues.iter().filter(|(name, _)| &***name != customer);
        let others = others
            .map(|(_, queue)| (rounds * f64::from(queue.weight)).min(queue.queued_cost as f64));
        own_cost as f64 + others.sum::<f64>()
    }

    /// Queue of a customer, which is created if needed.
    fn customer_queue(
        &mut self,
        customer: ids::CustomerName,
        weight: u32,
    ) -> &mut CustomerQueue<R> {
        let ring = &mut self.ring;
        let queue = self.queues.entry(customer).or_insert_with_key(|customer| {
            ring.push_back(customer.clone());
            CustomerQueue::default()
        });
        queue.weight = weight;
        queue
    }
}
