//! Keeps the leased shares of this node current, and grants shares to other nodes.

use std::sync::Arc;
use std::time::Duration;

use crate::{
    ids, node, node_config, peer_message, quota_allocator, quota_lease, quota_message,
    replica_table,
};

/// Time between two periodic exchanges with the allocators; a lease spans four of them.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest pause between two exchanges, so that a surge does not cause one per request.
const MIN_EXCHANGE_PAUSE: Duration = Duration::from_millis(2);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after the last request to a replica for which a spare share of 1 is kept, so that the next
/// request needs no exchange first.
const SPARE_SHARE_RETENTION: Duration = Duration::from_secs(60);
const SECONDS_PER_DAY: u64 = 86_400;

impl node::Node {
    /// Renews shares periodically, and immediately when demand exceeds them, until shutdown.
    pub async fn run_quota(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => return,
                () = tokio::time::sleep(EXCHANGE_INTERVAL) => {}
                () = self.quota_wake.notified() => {}
            }
            self.exchange_shares().await;
            tokio::time::sleep(MIN_EXCHANGE_PAUSE).await;
        }
    }

    async fn exchange_shares(self: &Arc<Self>) {
        self.quota_allocator.lock().tick(self.may_grant(), self.clock());
        self.request_former_shares();
        self.record_share_use();
        let view = self.view.load_full();
        let requests = self.shares.lock().renewal_requests(self.clock(), &view.members);
        let exchanges = requests.into_iter().map(|(allocator, request)| {
            let node = Arc::clone(self);
            async move { node.exchange_with(&allocator, request).await }
        });
        futures::future::join_all(exchanges).await;
        self.share_wake.notify_waiters();
        self.queue_wake.notify_one();
    }

    async fn exchange_with(
        self: &Arc<Self>,
        allocator: &ids::InstanceName,
        request: quota_message::ShareRequest,
    ) {
        let reply = if *allocator == self.options.name {
            Some(self.grant_shares(&request))
        } else {
            match self.peer_address(allocator) {
                Some(peer) => self.peers.request_quota(peer, EXCHANGE_TIMEOUT, &request).await.ok(),
                None => None,
            }
        };
        match reply {
            Some(reply) => self.shares.lock().apply_reply(allocator, &reply),
            None => metrics::counter!("yuccareel_quota_exchanges_failed_total").increment(1),
        }
    }

    /// Grants shares as an allocator.
    pub fn grant_shares(
        self: &Arc<Self>,
        request: &quota_message::ShareRequest,
    ) -> quota_message::ShareReply {
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let tables = quota_allocator::QuotaTables { snapshot: &snapshot, table: &table };
        let reply = self.quota_allocator.lock().answer_request(
            request,
            tables,
            self.may_grant(),
            self.clock(),
        );
        let is_refused = |grant: &quota_message::ShareGrant| {
            grant.outcome == quota_message::GrantOutcome::NotAllocator
        };
        if reply.grants.iter().any(is_refused) {
            self.request_former_shares();
        }
        reply
    }

    /// Requests the shares of resources that have passed to this node from their former allocators.
    fn request_former_shares(self: &Arc<Self>) {
        if !self.may_grant() || self.leaving() {
            return;
        }
        let requested_at = self.clock();
        for (former, wanted) in self.quota_allocator.lock().handover_requests(requested_at) {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.request_handover(&former, wanted, requested_at).await });
        }
    }

    async fn request_handover(
        &self,
        former: &ids::InstanceName,
        wanted: Vec<quota_message::ResourceKey>,
        requested_at: Duration,
    ) {
        let Some(peer) = self.peer_address(former) else { return };
        let home = self.options.name.clone();
        let request = peer_message::QuotaHandover { home, resources: Vec::new(), wanted };
        // If this request fails, it is repeated until this node has settled.
        let reply = self.peers.hand_over_quota(peer, EXCHANGE_TIMEOUT, &request).await;
        let Ok(handovers) = reply else { return };
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let tables = quota_allocator::QuotaTables { snapshot: &snapshot, table: &table };
        let (may_grant, now) = (self.may_grant(), self.clock());
        self.quota_allocator.lock().accept_released_shares(
            former,
            &handovers,
            requested_at,
            tables,
            may_grant,
            now,
        );
        if !handovers.is_empty() {
            self.quota_wake.notify_one();
        }
    }

    /// Adds the shares of an allocator that shuts down; returns those that the sender requests.
    pub fn accept_handover(
        &self,
        handover: &peer_message::QuotaHandover,
    ) -> Vec<quota_message::ResourceHandover> {
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let tables = quota_allocator::QuotaTables { snapshot: &snapshot, table: &table };
        let (may_grant, now) = (self.may_grant(), self.clock());
        let mut quota_allocator = self.quota_allocator.lock();
        if !handover.resources.is_empty() {
            quota_allocator.accept_handover(&handover.home, &handover.resources, tables, now);
        }
        quota_allocator.release_shares(&handover.home, &handover.wanted, may_grant, now)
    }

    fn may_grant(&self) -> bool {
        self.view.load().freshness.starts_work()
    }

    /// Records the use of all resources; wakes the exchange if a share is too small.
    pub fn record_share_use(&self) {
        let now = self.clock();
        let mut shares = self.shares.lock();
        let mut is_urgent = self.limits.lock().record_share_use(&mut shares, day_number(), now);
        let waiting = self.waiting_by_pool();
        let routes = self.routes.load();
        for (pool, waiting) in waiting {
            let members = routes.subset.members(&pool);
            let waiting_per_replica = waiting.div_ceil(members.len().max(1) as u64);
            for member in members {
                let row = routes.table.row(member.index);
                is_urgent |= self.record_replica_use(&mut shares, row, waiting_per_replica, now);
            }
        }
        drop(shares);
        if is_urgent {
            self.quota_wake.notify_one();
        }
    }

    fn record_replica_use(
        &self,
        shares: &mut quota_lease::ShareTable,
        row: &replica_table::ReplicaRow,
        waiting: u64,
        now: Duration,
    ) -> bool {
        let in_use = u64::from(row.in_flight.load(std::sync::atomic::Ordering::Relaxed));
        let mut learned = self.learned.lock();
        let known = learned.entry(row.name.clone()).or_default();
        if waiting > 0 || in_use > 0 {
            known.last_request_at = Some(now);
        }
        let is_recent =
            known.last_request_at.is_some_and(|at| now.saturating_sub(at) < SPARE_SHARE_RETENTION);
        let spare = u64::from(is_recent) + in_use / 4;
        let use_now = quota_lease::ShareUse {
            wanted: in_use + waiting + spare,
            in_use,
            used: known.answers,
            period: known.epoch,
        };
        let kind = quota_message::ResourceKind::ReplicaConcurrency;
        shares.record_use(kind, &row.name, use_now, now)
    }
}

/// Hands over the shares that a node has granted to the successors in its role.
pub async fn hand_over_shares(node: &node::Node) {
    let handovers = node.quota_allocator.lock().hand_over(node.clock());
    for (successor, resources) in handovers {
        let Some(peer) = node.peer_address(&successor) else { continue };
        let handover = peer_message::QuotaHandover {
            home: node.options.name.clone(),
            resources,
            wanted: Vec::new(),
        };
        // If the handover fails, the successor settles before it grants.
        let _ = node.peers.hand_over_quota(peer, node_config::SPREAD_LIMIT, &handover).await;
    }
}

/// Number of days since 1 January 1970 (UTC), the period of spend limits.
pub fn day_number() -> u64 {
    node::unix_seconds() / SECONDS_PER_DAY
}
