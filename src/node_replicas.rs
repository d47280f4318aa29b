//! Load reports of replicas, warm-up signals to their allocators, and the routing tables.
//!
//! A report enters the routing decisions of the nodes that use the replica, and the warm-up state
//! at the node that allocates its concurrency. That node also receives, as signals, what other
//! nodes observe in the replica's answers.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;

use crate::event_catalogue::LogEvent;
use crate::{
    cold_start, config_snapshot, engine_client, ids, instance_list, node, node_config,
    node_dispatch, peer_message, quota_allocator, quota_message, rendezvous, replica_subset,
    replica_table, retry_reason,
};

const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_CONCURRENT_REPORTS: usize = 16;

/// What this node has observed of one replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaObservation {
    pub first_token: cold_start::FirstTokenTime,
    /// Complete answers within the warm-up epoch.
    pub answers: u64,
    /// Warm-up epoch in which `answers` are counted.
    pub epoch: u64,
    /// Boot of the engine process that answered last; `None` before the first answer.
    pub boot: Option<ids::BootId>,
    /// Node clock at which a request for the replica's pool last ran or waited.
    pub last_request_at: Option<Duration>,
}

/// Replica and the address at which its load report is read.
type ReportedReplica = (ids::ReplicaName, std::net::SocketAddr);

/// Cache of the replicas whose concurrency this node allocates, with the instance list and the
/// members from which they were computed.
#[derive(Debug, Default)]
pub struct AllocatedReplicas {
    list_digest: u64,
    members: Vec<ids::InstanceName>,
    replicas: Arc<Vec<ReportedReplica>>,
}

impl node::Node {
    /// Each second until the node stops, removes stale state and reads the load reports of the
    /// replicas that this node uses or allocates.
    pub async fn run_load_reports(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => return,
                _ = ticks.tick() => {
                    self.remove_stale_state();
                    self.readmit_replicas();
                    self.read_reports().await;
                }
            }
        }
    }

    /// Removes idle session pins and all state of replicas, customers and rollouts that no longer
    /// exist. Thousands of instances are replaced in a day, so the state would grow without bound.
    fn remove_stale_state(&self) {
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let tables = quota_allocator::QuotaTables { snapshot: &snapshot, table: &table };
        self.quota_allocator.lock().retain_known(tables);
        let is_replica = |name: &str| table.find(name).is_some();
        let is_customer = |name: &str| snapshot.customers.contains_key(name);
        self.retries.lock().retain_known(is_customer, is_replica);
        self.learned.lock().retain(|name, _| is_replica(name));
        self.prefixes.lock().retain_replicas(is_replica);
        self.rollouts.retain_configured(&snapshot);
        self.sessions.lock().remove_expired(self.clock());
    }

    /// Allows requests again to replicas at whose address another server answered, once the
    /// instance list was read after that.
    fn readmit_replicas(&self) {
        let Some(read_at) = self.listed.lock().read_at else { return };
        let routes = self.routes.load();
        for member in routes.subset.all_members() {
            routes.table.row(member.index).clear_reassigned(read_at);
        }
    }

    async fn read_reports(&self) {
        let replicas = self.reported_replicas();
        let engine = &self.engine;
        let reads = replicas.into_iter().map(|(name, address)| async move {
            let report = engine.load(address).await;
            (name, report)
        });
        let reports: Vec<_> =
            futures::stream::iter(reads).buffer_unordered(MAX_CONCURRENT_REPORTS).collect().await;
        self.apply_reports(reports);
    }

    /// Replicas whose reports this node reads: those that it uses and those that it allocates.
    fn reported_replicas(&self) -> Vec<ReportedReplica> {
        let (routes, view) = (self.routes.load_full(), self.view.load_full());
        let mut replicas = (*self.allocated_replicas(&routes.table, &view.members)).clone();
        let used = routes.subset.all_members().map(|member| routes.table.row(member.index));
        replicas.extend(used.map(|row| (row.name.clone(), row.address)));
        replicas.sort_unstable();
        replicas.dedup();
        replicas
    }

    /// Replicas whose concurrency this node allocates.
    ///
    /// Ranking every member for every replica takes a tenth of a second at 1,300 nodes and
    /// 10,000 replicas, so the result is cached until the members or the instance list change.
    fn allocated_replicas(
        &self,
        table: &replica_table::ReplicaTable,
        members: &[ids::InstanceName],
    ) -> Arc<Vec<ReportedReplica>> {
        let list_digest = self.listed.lock().digest;
        let mut cached = self.reported.lock();
        if cached.list_digest != list_digest || cached.members != members {
            let allocated = table
                .rows()
                .iter()
                .filter(|row| replica_allocator(&row.name, members) == Some(&self.options.name));
            let replicas = allocated.map(|row| (row.name.clone(), row.address)).collect();
            let (members, replicas) = (members.to_vec(), Arc::new(replicas));
            *cached = AllocatedReplicas { list_digest, members, replicas };
        }
        Arc::clone(&cached.replicas)
    }

    fn apply_reports(
        &self,
        reports: Vec<(ids::ReplicaName, Result<engine_client::EngineLoad, reqwest::Error>)>,
    ) {
        let update = self.table_update.lock();
        let now = self.clock();
        let mut table = (**self.replicas.load()).clone();
        let mut received = Vec::new();
        for (name, report) in reports {
            let Ok(load) = report else {
                metrics::counter!("yuccareel_load_reports_failed_total").increment(1);
                continue;
            };
            let report = engine_client::load_report(load, now);
            table.record_report(&name, report.clone());
            received.push((name, report));
        }
        let table = Arc::new(table);
        let subset = Arc::clone(&self.routes.load().subset);
        self.store_routes(Arc::clone(&table), subset);
        drop(update);
        let snapshot = self.snapshot.load();
        let tables = quota_allocator::QuotaTables { snapshot: &snapshot, table: &table };
        let view = self.view.load();
        let allocated = self.allocated_replicas(&table, &view.members);
        let mut allocator = self.quota_allocator.lock();
        for (name, report) in received {
            // Most replicas that this node uses have another allocator. The cached list replaces a
            // ranking of all members for each report, which took a sixth of the instructions at
            // 1,300 nodes.
            if allocator.has_row(&name) || allocated.iter().any(|(known, _)| *known == name) {
                allocator.apply_load_report(&name, &report, tables, now);
            }
        }
    }

    /// Replaces the replica table by one built from an instance list, and wakes the queues.
    pub fn replace_replicas(&self, list: &[instance_list::ListedInstance]) {
        let update = self.table_update.lock();
        let table = replica_table::ReplicaTable::from_list(list, &self.replicas.load());
        self.rebuild_routes(Arc::new(table));
        drop(update);
        self.queue_wake.notify_one();
    }

    /// Stores a replica table and the subset built from it; the caller holds `table_update`.
    pub fn rebuild_routes(&self, table: Arc<replica_table::ReplicaTable>) {
        let snapshot = self.snapshot.load();
        let subset = replica_subset::ReplicaSubset::build(
            &snapshot,
            &table,
            &self.options.name,
            &self.options.data_centre,
        );
        self.store_routes(table, Arc::new(subset));
    }

    fn store_routes(
        &self,
        table: Arc<replica_table::ReplicaTable>,
        subset: Arc<replica_subset::ReplicaSubset>,
    ) {
        self.replicas.store(Arc::clone(&table));
        self.routes.store(Arc::new(replica_subset::RouteView { table, subset }));
    }

    /// Reports the replicas of data centres that `next` no longer drains; they count as cold.
    pub fn report_returned_replicas(&self, next: &config_snapshot::ConfigSnapshot) {
        let former = self.snapshot.load();
        let table = self.replicas.load();
        let returned = table
            .rows()
            .iter()
            .filter(|row| former.drained(&row.data_centre) && !next.drained(&row.data_centre));
        for row in returned {
            self.report_warmup_signal(&row.name, cold_start::WarmupSignal::Returned);
        }
    }

    /// Sends a warm-up signal of a replica to its allocator, which may be this node.
    pub fn report_warmup_signal(
        &self,
        replica: &ids::ReplicaName,
        signal: cold_start::WarmupSignal,
    ) {
        let view = self.view.load();
        let Some(allocator) = replica_allocator(replica, &view.members) else { return };
        if *allocator == self.options.name {
            self.apply_warmup_signal(replica, signal);
            return;
        }
        let Some(peer) = self.peer_address(allocator) else { return };
        let report = peer_message::ColdReport { replica: replica.clone(), sign: signal };
        let peers = self.peers.clone();
        tokio::spawn(
            async move { peers.report_cold(peer, node_config::SPREAD_LIMIT, &report).await },
        );
    }

    /// Applies a warm-up signal at this node as the replica's allocator.
    pub fn apply_warmup_signal(
        &self,
        replica: &ids::ReplicaName,
        signal: cold_start::WarmupSignal,
    ) {
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let tables = quota_allocator::QuotaTables { snapshot: &snapshot, table: &table };
        let became_cold =
            self.quota_allocator.lock().apply_warmup_signal(replica, signal, tables, self.clock());
        if became_cold {
            metrics::counter!("yuccareel_replicas_turned_cold_total").increment(1);
            self.emit(LogEvent::ReplicaCold, slog::o!("replica" => replica.to_string()));
        }
    }

    /// Address for calls to another node; `None` if the node is unknown.
    pub fn peer_address(&self, name: &str) -> Option<std::net::SocketAddr> {
        self.members.lock().find(name).map(|entry| entry.row.peer_address)
    }

    /// Records the boot of a reply; a changed one means that the engine restarted with empty
    /// caches.
    pub fn record_boot(&self, dispatch: &node_dispatch::DispatchGuard, boot: Option<&ids::BootId>) {
        let Some(boot) = boot else { return };
        let name = &dispatch.row.name;
        let is_restarted = {
            let mut learned = self.learned.lock();
            let row = learned.entry(name.clone()).or_default();
            let is_restarted = row.boot.as_ref().is_some_and(|known| known != boot);
            row.boot = Some(boot.clone());
            is_restarted
        };
        if is_restarted {
            self.prefixes.lock().remove_replica(name);
            self.report_warmup_signal(name, cold_start::WarmupSignal::Boot(boot.clone()));
        }
    }

    /// Records the time to the first token; reports the replica if it has become slow.
    pub fn record_first_token(&self, dispatch: &node_dispatch::DispatchGuard, elapsed: Duration) {
        metrics::histogram!("yuccareel_first_token_seconds").record(elapsed.as_secs_f64());
        let name = &dispatch.row.name;
        let is_slow = {
            let mut learned = self.learned.lock();
            learned.entry(name.clone()).or_default().first_token.record(elapsed)
        };
        if is_slow {
            self.report_warmup_signal(name, cold_start::WarmupSignal::SlowFirstToken);
        }
    }

    /// Counts a complete answer in the warm-up epoch of its dispatch.
    pub fn record_success(&self, dispatch: &node_dispatch::DispatchGuard) {
        let mut learned = self.learned.lock();
        let row = learned.entry(dispatch.row.name.clone()).or_default();
        if row.epoch != dispatch.epoch {
            (row.epoch, row.answers) = (dispatch.epoch, 0);
        }
        row.answers += 1;
    }

    /// Counts a failed attempt; reports a cold replica, and excludes one whose address was
    /// reassigned.
    pub fn record_failure(
        &self,
        dispatch: &node_dispatch::DispatchGuard,
        error: &engine_client::AttemptError,
    ) {
        metrics::counter!("yuccareel_attempts_failed_total", "reason" => error.reason.code())
            .increment(1);
        if let Some(pause) = error.pause {
            dispatch.row.pause(pause, self.clock());
            metrics::counter!("yuccareel_replicas_set_aside_total", "source" => "retry_after")
                .increment(1);
            let fields = slog::o!(
                "replica" => dispatch.row.name.to_string(), "source" => "retry_after",
                "end_ms" => pause.as_millis() as u64,
            );
            self.emit(LogEvent::ReplicaSetAside, fields);
        }
        match error.reason {
            retry_reason::RetryReason::BackendCold => {
                self.report_warmup_signal(&dispatch.row.name, cold_start::WarmupSignal::Refused);
            }
            retry_reason::RetryReason::VersionNotServed => {
                self.record_reassigned_address(&dispatch.row)
            }
            _ => {}
        }
    }

    /// Excludes a replica at whose address another server answers, until the list is read again.
    fn record_reassigned_address(&self, row: &replica_table::ReplicaRow) {
        if !row.mark_reassigned(self.clock()) {
            return;
        }
        self.prefixes.lock().remove_replica(&row.name);
        let fields = slog::o!("replica" => row.name.to_string(), "address" => row.address);
        self.emit(LogEvent::ReplicaForeign, fields);
    }
}

/// Member that allocates a replica's concurrency; `None` without members.
pub fn replica_allocator<'a>(
    replica: &ids::ReplicaName,
    members: &'a [ids::InstanceName],
) -> Option<&'a ids::InstanceName> {
    let kind = quota_message::ResourceKind::ReplicaConcurrency;
    let key = quota_message::ResourceKey::new(kind, replica.clone()).hash_key();
    rendezvous::highest_ranked(&key, members)
}
