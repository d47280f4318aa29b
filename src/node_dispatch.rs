//! Dispatch of requests to replicas, and the queues of requests for which no replica is free.
//!
//! The checks and the choice of a replica run immediately before each send.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::refusal_reason::RefusalReason;
use crate::{
    admission_queue, chat_job, error_body, ids, node, pool_queue, prefix_index, quota_lease,
    quota_message, replica_subset, replica_table, route_decision,
};

/// Interval at which the queues are served if nothing wakes them.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which abandoned and late requests are removed from the queues.
const PRUNE_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a request needs at least after it leaves the queue; a request with less time left is
/// refused.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Replicas to which a request was already sent.
pub type TriedReplicas = SmallVec<[ids::ReplicaName; 4]>;

/// Permit to send one request to a replica; counts the request in flight until it is dropped.
#[derive(Debug)]
pub struct DispatchGuard {
    /// Row of the replica at the time of the dispatch.
    pub row: replica_table::ReplicaRow,
    /// Warm-up epoch of the replica at the time of the dispatch; 0 without an allocator.
    pub epoch: u64,
    in_flight: Option<replica_table::InFlightGuard>,
    queue_wake: Arc<Notify>,
}

impl Drop for DispatchGuard {
    /// Ends the count before it wakes the queues, so that they find the replica free.
    fn drop(&mut self) {
        drop(self.in_flight.take());
        self.queue_wake.notify_one();
    }
}

/// Request for which a replica is chosen.
struct DispatchQuery<'a> {
    customer: &'a ids::CustomerName,
    pool: &'a replica_table::ReplicaPool,
    deadline: Duration,
    tried: &'a TriedReplicas,
    prefixes: &'a prefix_index::PromptPrefixes,
}

impl node::Node {
    /// Chooses a replica for one step of a job; waits in the pool's queue while none is free.
    ///
    /// # Errors
    /// The first dispatch check that fails.
    pub async fn dispatch(
        &self,
        job: &chat_job::ChatJob,
        target: &chat_job::VersionTarget,
        tried: &TriedReplicas,
        attempts: u32,
    ) -> Result<DispatchGuard, error_body::RequestRefusal> {
        let pool = target_pool(target);
        let prefixes = prefix_index::prompt_prefixes(job.request.prompt.as_bytes());
        let lane = pool_queue::request_lane(job);
        let guard = self
            .dispatch_in_pool(&job.customer.name, &pool, lane, job.deadline, tried, &prefixes)
            .await?;
        if attempts == 0 {
            self.retries.lock().record_first_attempt(&job.customer.name, &guard.row.name);
        }
        if !prefixes.is_empty() {
            self.prefixes.lock().record_send(&guard.row.name, &prefixes);
            self.prefix_uses.lock().insert(pool, self.clock());
        }
        Ok(guard)
    }

    /// Chooses a replica of a pool; waits in its queue while none is free.
    ///
    /// # Errors
    /// The first dispatch check that fails.
    pub async fn dispatch_in_pool(
        &self,
        customer: &ids::CustomerName,
        pool: &replica_table::ReplicaPool,
        lane: admission_queue::RequestLane,
        deadline: Instant,
        tried: &TriedReplicas,
        prefixes: &prefix_index::PromptPrefixes,
    ) -> Result<DispatchGuard, error_body::RequestRefusal> {
        let deadline = self.clock() + deadline.saturating_duration_since(Instant::now());
        let has_queued_requests =
            self.queues.lock().get(pool).is_some_and(|queue| !queue.is_empty());
        if !has_queued_requests {
            let query = DispatchQuery { customer, pool, deadline, tried, prefixes };
            match self.try_dispatch(&query) {
                Err(RefusalReason::Overloaded | RefusalReason::ColdStart) => {}
                Ok(guard) => return Ok(guard),
                Err(reason) => return Err(unsent_refusal(reason)),
            }
        }
        let (outcome_sender, outcome_receiver) = oneshot::channel();
        let request = admission_queue::QueuedRequest {
            customer: customer.clone(),
            lane,
            deadline,
            expected_duration: MIN_SERVICE_TIME,
            cost: 1,
            payload: pool_queue::WaitingRequest {
                outcome_sender,
                tried: tried.clone(),
                prefixes: prefixes.clone(),
            },
        };
        self.enqueue(pool, request)?;
        self.record_share_use();
        let outcome = outcome_receiver.await.unwrap_or(Err(RefusalReason::ShuttingDown));
        outcome.map_err(unsent_refusal)
    }

    fn enqueue(
        &self,
        pool: &replica_table::ReplicaPool,
        request: admission_queue::QueuedRequest<pool_queue::WaitingRequest>,
    ) -> Result<(), error_body::RequestRefusal> {
        let now = self.clock();
        let mut queues = self.queues.lock();
        let queue = queues.entry(pool.clone()).or_insert_with(|| {
            let weights = pool_queue::customer_weights(&self.snapshot.load());
            admission_queue::AdmissionQueue::new(pool_queue::MAX_WAITING_REQUESTS, weights)
        });
        queue.push(request, now).map_err(|refused| unsent_refusal(refused.reason))
    }

    fn try_dispatch(&self, query: &DispatchQuery<'_>) -> Result<DispatchGuard, RefusalReason> {
        let (snapshot, routes, view) = (self.snapshot.load(), self.routes.load(), self.view.load());
        let (table, subset) = (&routes.table, &routes.subset);
        let shares = self.shares.lock();
        let tables = route_decision::RouteTables {
            snapshot: &snapshot,
            table,
            subset,
            shares: &shares,
            node_count: view.members.len().max(1),
            is_fresh: view.freshness.starts_work(),
        };
        let prefix_bonuses = self.prefix_bonuses(query, table, subset);
        let request = route_decision::RouteRequest {
            customer: query.customer,
            pool: query.pool,
            deadline: query.deadline,
            excluded_replicas: query.tried,
            prefix_bonuses: &prefix_bonuses,
        };
        let dispatch =
            route_decision::choose_replica(tables, request, self.clock(), &mut rand::rng())?;
        let row = table.row(dispatch.replica).clone();
        let kind = quota_message::ResourceKind::ReplicaConcurrency;
        let epoch = match shares.share_state(kind, &row.name, self.clock()) {
            quota_lease::ShareState::Leased { epoch, .. } => epoch,
            quota_lease::ShareState::Pending | quota_lease::ShareState::NoAllocator => 0,
        };
        Ok(DispatchGuard {
            row,
            epoch,
            in_flight: Some(dispatch.in_flight),
            queue_wake: Arc::clone(&self.queue_wake),
        })
    }

    fn prefix_bonuses(
        &self,
        query: &DispatchQuery<'_>,
        table: &replica_table::ReplicaTable,
        subset: &crate::replica_subset::ReplicaSubset,
    ) -> SmallVec<[(replica_table::ReplicaIndex, f64); 8]> {
        if query.prefixes.is_empty() {
            return SmallVec::new();
        }
        let index = self.prefixes.lock();
        let members = subset.members(query.pool).iter();
        let bonuses = members.map(|member| {
            (member.index, index.replica_bonus(&table.row(member.index).name, query.prefixes))
        });
        bonuses.filter(|(_, bonus)| *bonus > 0.0).collect()
    }

    /// Serves the queues when replicas become free, until the node stops.
    pub async fn run_queues(self: Arc<Self>) {
        let mut prune_ticks = tokio::time::interval(PRUNE_INTERVAL);
        prune_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => return,
                _ = prune_ticks.tick() => self.prune_queues(),
                () = tokio::time::sleep(QUEUE_POLL_INTERVAL) => {}
                () = self.queue_wake.notified() => {}
            }
            self.serve_queues();
        }
    }

    /// Removes requests whose caller has gone, and refuses those that cannot be answered in time.
    fn prune_queues(&self) {
        let now = self.clock();
        let mut late = Vec::new();
        for queue in self.queues.lock().values_mut().filter(|queue| !queue.is_empty()) {
            queue.remove_abandoned(|waiting| waiting.outcome_sender.is_closed());
            late.extend(queue.refuse_late(now));
        }
        for refused in late {
            // Fails if the caller has gone meanwhile.
            let _ = refused.request.payload.outcome_sender.send(Err(refused.reason));
        }
    }

    fn serve_queues(&self) {
        let pools: Vec<_> = {
            let queues = self.queues.lock();
            let waiting = queues.iter().filter(|(_, queue)| !queue.is_empty());
            waiting.map(|(pool, _)| pool.clone()).collect()
        };
        let mut is_short = false;
        for pool in pools {
            is_short |= self.serve_queue(&pool);
        }
        if is_short {
            self.record_share_use();
        }
    }

    /// Serves one queue until it is empty or no replica is free; returns true in the second case.
    fn serve_queue(&self, pool: &replica_table::ReplicaPool) -> bool {
        loop {
            let popped = {
                let mut queues = self.queues.lock();
                queues.get_mut(pool).and_then(|queue| queue.pop(self.clock()))
            };
            let request = match popped {
                None => return false,
                Some(admission_queue::QueueOutcome::Refuse(refused)) => {
                    // Fails if the caller has gone.
                    let _ = refused.request.payload.outcome_sender.send(Err(refused.reason));
                    continue;
                }
                Some(admission_queue::QueueOutcome::Dispatch(request)) => request,
            };
            if request.payload.outcome_sender.is_closed() {
                continue;
            }
            let query = DispatchQuery {
                customer: &request.customer,
                pool,
                deadline: request.deadline,
                tried: &request.payload.tried,
                prefixes: &request.payload.prefixes,
            };
            match self.try_dispatch(&query) {
                Err(RefusalReason::Overloaded | RefusalReason::ColdStart) => {
                    if let Some(queue) = self.queues.lock().get_mut(pool) {
                        queue.undo_pop(request);
                    }
                    return true;
                }
                outcome => drop(request.payload.outcome_sender.send(outcome)),
            }
        }
    }

    /// Applies the customers' weights of the configuration in effect to all queues.
    pub fn update_weights(&self) {
        let weights = pool_queue::customer_weights(&self.snapshot.load());
        for queue in self.queues.lock().values_mut() {
            queue.set_weights(weights.clone());
        }
    }

    /// Number of waiting requests by pool; includes pools whose queue is empty again.
    pub fn waiting_by_pool(&self) -> Vec<(replica_table::ReplicaPool, u64)> {
        let queues = self.queues.lock();
        queues.iter().map(|(pool, queue)| (pool.clone(), queue.len() as u64)).collect()
    }

    /// Whether the share of this node is still pending at every replica of a target.
    pub fn awaits_first_shares(&self, target: &chat_job::VersionTarget) -> bool {
        let (routes, now) = (self.routes.load(), self.clock());
        let shares = self.shares.lock();
        let is_pending = |member: &replica_subset::SubsetMember| {
            let kind = quota_message::ResourceKind::ReplicaConcurrency;
            let state = shares.share_state(kind, &routes.table.row(member.index).name, now);
            state == quota_lease::ShareState::Pending
        };
        routes.subset.members(&target_pool(target)).iter().all(is_pending)
    }

    /// Repeats the checks for a stream that resumes at the same replica.
    ///
    /// # Errors
    /// The first check that fails; the request may have run.
    pub fn recheck_dispatch(
        &self,
        job: &chat_job::ChatJob,
        target: &chat_job::VersionTarget,
        dispatch: &DispatchGuard,
    ) -> Result<(), error_body::RequestRefusal> {
        let (snapshot, routes, view) = (self.snapshot.load(), self.routes.load(), self.view.load());
        let (table, subset) = (&routes.table, &routes.subset);
        let pool = target_pool(target);
        let shares = self.shares.lock();
        let tables = route_decision::RouteTables {
            snapshot: &snapshot,
            table,
            subset,
            shares: &shares,
            node_count: view.members.len().max(1),
            is_fresh: view.freshness.starts_work(),
        };
        let now = self.clock();
        let request = route_decision::RouteRequest {
            customer: &job.customer.name,
            pool: &pool,
            deadline: now + job.deadline.saturating_duration_since(Instant::now()),
            excluded_replicas: &[],
            prefix_bonuses: &[],
        };
        let outcome = route_decision::check_request(tables, request, now);
        let row = table.find(&dispatch.row.name);
        let is_gone = row.is_none_or(|row| row.is_leaving || row.is_reassigned());
        let reason = match outcome {
            Err(reason) => reason,
            Ok(()) if snapshot.drained(&dispatch.row.data_centre) => {
                RefusalReason::DataCentreDrained
            }
            Ok(()) if is_gone => RefusalReason::NoReplica,
            Ok(()) => return Ok(()),
        };
        Err(error_body::RequestRefusal::may_have_run(reason, "answer could not be resumed"))
    }

    /// Deducts a retry from the budgets of the customer and the replica, if both allow it.
    pub fn try_take_retry(&self, customer: &ids::CustomerName, replica: &ids::ReplicaName) -> bool {
        let is_allowed = self.retries.lock().try_take_retry(customer, replica);
        if !is_allowed {
            metrics::counter!("yuccareel_retries_denied_total").increment(1);
        }
        is_allowed
    }
}

fn target_pool(target: &chat_job::VersionTarget) -> replica_table::ReplicaPool {
    replica_table::ReplicaPool::Version(target.model.name.clone(), target.version.clone())
}

/// Refusal of a request that was not sent to any replica.
pub fn unsent_refusal(reason: RefusalReason) -> error_body::RequestRefusal {
    let message = match reason {
        RefusalReason::Overloaded => "no capacity within the deadline",
        RefusalReason::ColdStart => "replicas warm up and take no more requests now",
        RefusalReason::NoReplica => "no live replica of an allowed version",
        RefusalReason::DataCentreDrained => "the permitted replicas are in drained data centres",
        RefusalReason::Isolated => "this instance cannot confirm its configuration",
        RefusalReason::DeadlineExceeded => "deadline passed before a replica was free",
        RefusalReason::VersionWithdrawn => "version is withdrawn",
        RefusalReason::ModelNotAllowed => "customer may not use this model and version",
        _ => "request was not sent",
    };
    error_body::RequestRefusal::not_run(reason, message)
}
