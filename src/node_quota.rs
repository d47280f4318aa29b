//! Quota system: states what this node uses and exchanges shares with the homes.

use std::sync::Arc;
use std::time::Duration;

use crate::{
    ids, node, node_config, peer_message, quota_allocator, quota_lease, quota_message,
    replica_table,
};

/// Time between two periodic exchanges; a share lasts for four of them.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two exchanges, so that a surge does not send one per request.
const EXCHANGE_PAUSE: Duration = Duration::from_millis(2);
/// Time for one exchange.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(400);
/// Time for which a pool keeps one spare share per replica after its last request,
/// so that the next request needs no exchange first.
const SPARE_TIME: Duration = Duration::from_secs(60);
/// Seconds of a day.
const DAY_S: u64 = 86_400;

impl node::Node {
    /// Renews shares periodically and at once when demand exceeds them.
    pub async fn run_quota(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => return,
                () = tokio::time::sleep(EXCHANGE_INTERVAL) => {}
                () = self.quota_wake.notified() => {}
            }
            self.exchange_shares().await;
            tokio::time::sleep(EXCHANGE_PAUSE).await;
        }
    }

    async fn exchange_shares(self: &Arc<Self>) {
        self.quota_allocator.lock().tick(self.may_grant(), self.clock());
        self.take_over_shares();
        self.record_share_use();
        let view = self.view.load_full();
        let requests = self.shares.lock().renewal_requests(self.clock(), &view.members);
        let exchanges = requests.into_iter().map(|(home, request)| {
            let node = Arc::clone(self);
            async move { node.exchange_with(&home, request).await }
        });
        futures::future::join_all(exchanges).await;
        self.share_wake.notify_waiters();
        self.queue_wake.notify_one();
    }

    async fn exchange_with(
        self: &Arc<Self>,
        home: &ids::InstanceName,
        request: quota_message::ShareRequest,
    ) {
        let reply = if *home == self.options.name {
            Some(self.grant_shares(&request))
        } else {
            match self.peer_address(home) {
                Some(peer) => self.peers.request_quota(peer, EXCHANGE_LIMIT, &request).await.ok(),
                None => None,
            }
        };
        match reply {
            Some(reply) => self.shares.lock().apply_reply(home, &reply),
            None => metrics::counter!("yuccareel_quota_exchanges_failed_total").increment(1),
        }
    }

    /// Grants shares as home.
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
        let homeless = |grant: &quota_message::ShareGrant| {
            grant.outcome == quota_message::GrantOutcome::NotAllocator
        };
        if reply.grants.iter().any(homeless) {
            self.take_over_shares();
        }
        reply
    }

    /// Asks the former homes for the shares of resources that have passed to this node.
    fn take_over_shares(self: &Arc<Self>) {
        if !self.may_grant() || self.leaving() {
            return;
        }
        let asked_at = self.clock();
        for (former, wanted) in self.quota_allocator.lock().handover_requests(asked_at) {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.ask_former(&former, wanted, asked_at).await });
        }
    }

    async fn ask_former(
        &self,
        former: &ids::InstanceName,
        wanted: Vec<quota_message::ResourceKey>,
        asked_at: Duration,
    ) {
        let Some(peer) = self.peer_address(former) else { return };
        let home = self.options.name.clone();
        let question = peer_message::QuotaHandover { home, resources: Vec::new(), wanted };
        // Without an answer this node asks again until it has settled.
        let released = self.peers.hand_over_quota(peer, EXCHANGE_LIMIT, &question).await;
        let Ok(handovers) = released else { return };
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let tables = quota_allocator::QuotaTables { snapshot: &snapshot, table: &table };
        let (may_grant, now) = (self.may_grant(), self.clock());
        self.quota_allocator
            .lock()
            .accept_released_shares(former, &handovers, asked_at, tables, may_grant, now);
        if !handovers.is_empty() {
            self.quota_wake.notify_one();
        }
    }

    /// Takes over shares of a home that shut down; returns those that the sender asks for.
    pub fn accept_handover(
        &self,
        handover: &peer_message::QuotaHandover,
    ) -> Vec<quota_message::ResourceHandover> {
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let tables = quota_allocator::QuotaTables { snapshot: &snapshot, table: &table };
        let (may_grant, now) = (self.may_grant(), self.clock());
        let mut home = self.quota_allocator.lock();
        if !handover.resources.is_empty() {
            home.accept_handover(&handover.home, &handover.resources, tables, now);
        }
        home.release_shares(&handover.home, &handover.wanted, may_grant, now)
    }

    fn may_grant(&self) -> bool {
        self.view.load().freshness.starts_work()
    }

    /// States the use of all resources; wakes the exchange when a share is short.
    pub fn record_share_use(&self) {
        let now = self.clock();
        let mut shares = self.shares.lock();
        let mut urgent = self.limits.lock().record_share_use(&mut shares, day_number(), now);
        let waiting = self.waiting_by_pool();
        let routes = self.routes.load();
        for (pool, waiting) in waiting {
            let members = routes.subset.members(&pool);
            let each = waiting.div_ceil(members.len().max(1) as u64);
            for member in members {
                let row = routes.table.row(member.index);
                urgent |= self.state_replica_use(&mut shares, row, each, now);
            }
        }
        drop(shares);
        if urgent {
            self.quota_wake.notify_one();
        }
    }

    fn state_replica_use(
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
            known.wanted_at = Some(now);
        }
        let recent = known.wanted_at.is_some_and(|at| now.saturating_sub(at) < SPARE_TIME);
        let spare = u64::from(recent) + in_use / 4;
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

/// Hands the shares that a node granted to the next homes.
pub async fn hand_over(node: &node::Node) {
    let handovers = node.quota_allocator.lock().hand_over(node.clock());
    for (home, resources) in handovers {
        let Some(peer) = node.peer_address(&home) else { continue };
        let handover = peer_message::QuotaHandover {
            home: node.options.name.clone(),
            resources,
            wanted: Vec::new(),
        };
        // Without the handover the next home settles first.
        let _ = node.peers.hand_over_quota(peer, node_config::SPREAD_LIMIT, &handover).await;
    }
}

/// Number of the day since 1970, by which spend limits are counted.
pub fn day_number() -> u64 {
    node::unix_seconds() / DAY_S
}
