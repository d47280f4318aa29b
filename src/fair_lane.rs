//! Deficit round robin over the queues of customers.

use std::collections::{HashMap, VecDeque};

use crate::ids;

/// Queues of customers that are served in proportion to their weights.
#[derive(Debug)]
pub struct FairLane<R> {
    queues: HashMap<ids::CustomerName, CustomerQueue<R>>,
    ring: VecDeque<ids::CustomerName>,
    len: usize,
}

#[derive(Debug)]
struct CustomerQueue<R> {
    weight: u32,
    deficit: u64,
    visited: bool,
    work: u64,
    requests: VecDeque<(u32, R)>,
}

impl<R> Default for CustomerQueue<R> {
    fn default() -> Self {
        Self { weight: 1, deficit: 0, visited: false, work: 0, requests: VecDeque::new() }
    }
}

impl<R> Default for FairLane<R> {
    fn default() -> Self {
        Self { queues: HashMap::new(), ring: VecDeque::new(), len: 0 }
    }
}

impl<R> FairLane<R> {
    /// Waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Waiting requests of one customer.
    pub fn queued(&self, customer: &str) -> usize {
        self.queues.get(customer).map_or(0, |queue| queue.requests.len())
    }

    /// Appends a request.
    pub fn push(&mut self, customer: ids::CustomerName, weight: u32, cost: u32, request: R) {
        let queue = self.queue(customer, weight);
        queue.work += u64::from(cost);
        queue.requests.push_back((cost, request));
        self.len += 1;
    }

    /// Puts a request at the head, to be served next, with the deficit that it needs.
    pub fn restore(&mut self, customer: ids::CustomerName, weight: u32, cost: u32, request: R) {
        if self.ring.front() != Some(&customer) {
            self.ring.retain(|waiting| *waiting != customer);
            self.ring.push_front(customer.clone());
        }
        let queue = self.queues.entry(customer).or_default();
        (queue.weight, queue.visited) = (weight, true);
        queue.work += u64::from(cost);
        queue.deficit += u64::from(cost);
        queue.requests.push_front((cost, request));
        self.len += 1;
    }

    /// Next request in turn.
    pub fn pop(&mut self) -> Option<R> {
        loop {
            let queue = self.queues.get_mut(self.ring.front()?)?;
            if !queue.visited {
                queue.visited = true;
                queue.deficit += u64::from(queue.weight);
            }
            let cost = queue.requests.front().map_or(0, |(cost, _)| u64::from(*cost));
            if queue.deficit < cost {
                queue.visited = false;
                self.ring.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            queue.work -= cost;
            let request = queue.requests.pop_front();
            self.len -= 1;
            if queue.requests.is_empty() {
                // An idle customer saves no deficit; otherwise it would return with a burst.
                let customer = self.ring.pop_front()?;
                self.queues.remove(&customer);
            }
            return request.map(|(_, request)| request);
        }
    }

    /// Gives back the deficit of a popped request that was not served.
    pub fn refund(&mut self, customer: &str, cost: u32) {
        if let Some(queue) = self.queues.get_mut(customer) {
            queue.deficit += u64::from(cost);
        }
    }

    /// Removes the requests that match, with the work that they stood for.
    pub fn take_where(&mut self, matches: impl Fn(&R) -> bool) -> Vec<R> {
        let mut taken = Vec::new();
        for queue in self.queues.values_mut() {
            let waiting = std::mem::take(&mut queue.requests);
            let (removed, kept) = waiting.into_iter().partition(|(_, request)| matches(request));
            queue.requests = kept;
            let removed: VecDeque<(u32, R)> = removed;
            queue.work -= removed.iter().map(|(cost, _)| u64::from(*cost)).sum::<u64>();
            taken.extend(removed.into_iter().map(|(_, request)| request));
        }
        self.len -= taken.len();
        self.queues.retain(|_, queue| !queue.requests.is_empty());
        self.ring.retain(|customer| self.queues.contains_key(customer));
        taken
    }

    /// Work that is served before a new request of a customer.
    ///
    /// Each other customer is served in proportion to its weight while the customer's own work
    /// is, but no more than it has queued.
    pub fn work_ahead(&self, customer: &str, weight: u32) -> f64 {
        let own = self.queues.get(customer).map_or(0, |queue| queue.work);
        let rounds = (own as f64 + 1.0) / f64::from(weight.max(1));
        let others = self.queues.iter().filter(|(name, _)| &***name != customer);
        let others =
            others.map(|(_, queue)| (rounds * f64::from(queue.weight)).min(queue.work as f64));
        own as f64 + others.sum::<f64>()
    }

    fn queue(&mut self, customer: ids::CustomerName, weight: u32) -> &mut CustomerQueue<R> {
        let ring = &mut self.ring;
        let queue = self.queues.entry(customer).or_insert_with_key(|customer| {
            ring.push_back(customer.clone());
            CustomerQueue::default()
        });
        queue.weight = weight;
        queue
    }
}
