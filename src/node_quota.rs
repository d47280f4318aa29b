//! Quota system: states what this node uses and exchanges shares with the homes.

use std::sync::Arc;
use std::time::Duration;

use crate::{
    ids, node, node_config, peer_message, quota_home, quota_lease, quota_message, replica_table,
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
        self.home.lock().tick(self.may_grant(), self.clock());
        self.state_use();
        let view = self.view.load_full();
        let requests = self.shares.lock().requests(self.clock(), &view.members);
        let exchanges = requests.into_iter().map(|(home, request)| {
            let node = Arc::clone(self);
            async move { node.exchange_with(&home, request).await }
        });
        futures::future::join_all(exchanges).await;
        self.share_wake.notify_waiters();
        self.queue_wake.notify_one();
    }

    async fn exchange_with(&self, home: &ids::InstanceName, request: quota_message::ShareRequest) {
        let reply = if *home == self.options.name {
            Some(self.grant_shares(&request))
        } else {
            match self.peer_address(home) {
                Some(peer) => self.peers.request_quota(peer, EXCHANGE_LIMIT, &request).await.ok(),
                None => None,
            }
        };
        match reply {
            Some(reply) => self.shares.lock().apply(home, &reply),
            None => metrics::counter!("yuccareel_quota_exchanges_failed_total").increment(1),
        }
    }

    /// Grants shares as home.
    pub fn grant_shares(&self, request: &quota_message::ShareRequest) -> quota_message::ShareReply {
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let tables = quota_home::QuotaTables { snapshot: &snapshot, table: &table };
        self.home.lock().answer(request, tables, self.may_grant(), self.clock())
    }

    /// Takes over shares of a home that shut down.
    pub fn accept_handover(&self, handover: &peer_message::QuotaHandover) {
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let tables = quota_home::QuotaTables { snapshot: &snapshot, table: &table };
        let now = self.clock();
        self.home.lock().accept_handover(&handover.home, &handover.resources, tables, now);
    }

    fn may_grant(&self) -> bool {
        self.view.load().freshness.starts_work()
    }

    /// States the use of all resources; wakes the exchange when a share is short.
    pub fn state_use(&self) {
        let now = self.clock();
        let mut shares = self.shares.lock();
        let mut urgent = self.limits.lock().state_use(&mut shares, day_number(), now);
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
        shares.set_use(kind, &row.name, use_now, now)
    }
}

/// Hands the shares that a node granted to the next homes.
pub async fn hand_over(node: &node::Node) {
    let handovers = node.home.lock().hand_over(node.clock());
    for (home, resources) in handovers {
        let Some(peer) = node.peer_address(&home) else { continue };
        let handover = peer_message::QuotaHandover { home: node.options.name.clone(), resources };
        // Without the handover the next home settles first.
        let _ = node.peers.hand_over_quota(peer, node_config::SPREAD_LIMIT, &handover).await;
    }
}

/// Number of the day since 1970, by which spend limits are counted.
pub fn day_number() -> u64 {
    node::unix_seconds() / DAY_S
}
