//! Replica system: load reports, warm-up signs and routes.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;

use crate::event_catalogue::LogEvent;
use crate::{
    cold_start, config_snapshot, engine_client, ids, instance_list, node, node_config,
    node_dispatch, peer_message, quota_allocator, quota_message, rendezvous, replica_subset,
    replica_table, retry_reason,
};

/// Time between two load reports of a replica.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Load reports read at once.
const REPORTS_AT_ONCE: usize = 16;

/// What this node learned of one replica.
#[derive(Clone, Debug, Default)]
pub struct LearnedRow {
    /// Time to the first token.
    pub first_token: cold_start::FirstTokenTime,
    /// Answers in time within the warm-up epoch.
    pub answers: u64,
    /// Warm-up epoch of the answers.
    pub epoch: u64,
    /// Start of the engine process that answered last.
    pub boot: Option<ids::BootId>,
    /// Clock of the last request for the replica's pool.
    pub wanted_at: Option<Duration>,
}

/// Replica with the address of its load report.
type ReportedReplica = (ids::ReplicaName, std::net::SocketAddr);

/// Replicas that this node is home of, with what the list was made from.
#[derive(Debug, Default)]
pub struct ReportedList {
    digest: u64,
    members: Vec<ids::InstanceName>,
    replicas: Arc<Vec<ReportedReplica>>,
}

impl node::Node {
    /// Reads load reports of the replicas that this node uses or is home of.
    pub async fn run_replicas(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => return,
                _ = ticks.tick() => {
                    self.forget_gone();
                    self.readmit_replicas();
                    self.read_reports().await;
                }
            }
        }
    }

    /// Drops idle pins and what is kept for replicas, customers and rollouts that are gone;
    /// thousands of instances are replaced in a day.
    fn forget_gone(&self) {
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let tables = quota_allocator::QuotaTables { snapshot: &snapshot, table: &table };
        self.quota_allocator.lock().retain_known(tables);
        let replica = |name: &str| table.find(name).is_some();
        let customer = |name: &str| snapshot.customers.contains_key(name);
        self.retries.lock().retain(customer, replica);
        self.learned.lock().retain(|name, _| replica(name));
        self.prefixes.lock().retain(replica);
        self.rollouts.retain(&snapshot);
        self.sessions.lock().remove_expired(self.clock());
    }

    /// Lets replicas take work again at whose address another server was found before the
    /// instance list was last read.
    fn readmit_replicas(&self) {
        let Some(read_at) = self.listed.lock().read_at else { return };
        let routes = self.routes.load();
        for member in routes.subset.all() {
            routes.table.row(member.index).clear_foreign(read_at);
        }
    }

    async fn read_reports(&self) {
        let read = self.reported_replicas();
        let engine = &self.engine;
        let reads = read.into_iter().map(|(name, address)| async move {
            let report = engine.load(address).await;
            (name, report)
        });
        let reports: Vec<_> =
            futures::stream::iter(reads).buffer_unordered(REPORTS_AT_ONCE).collect().await;
        self.adopt_reports(reports);
    }

    /// Replicas whose reports this node reads: those that it uses and those it is home of.
    fn reported_replicas(&self) -> Vec<ReportedReplica> {
        let (routes, view) = (self.routes.load_full(), self.view.load_full());
        let mut read = (*self.homed_replicas(&routes.table, &view.members)).clone();
        let used = routes.subset.all().map(|member| routes.table.row(member.index));
        read.extend(used.map(|row| (row.name.clone(), row.address)));
        read.sort_unstable();
        read.dedup();
        read
    }

    /// Replicas that this node is home of.
    ///
    /// Ranking every replica over every member takes a tenth of a second at 1,300 nodes and
    /// 10,000 replicas, so that the list is kept until members or instance list change.
    fn homed_replicas(
        &self,
        table: &replica_table::ReplicaTable,
        members: &[ids::InstanceName],
    ) -> Arc<Vec<ReportedReplica>> {
        let digest = self.listed.lock().digest;
        let mut kept = self.reported.lock();
        if kept.digest != digest || kept.members != members {
            let homed = table
                .rows()
                .iter()
                .filter(|row| replica_home(&row.name, members) == Some(&self.options.name));
            let replicas = homed.map(|row| (row.name.clone(), row.address)).collect();
            let (members, replicas) = (members.to_vec(), Arc::new(replicas));
            *kept = ReportedList { digest, members, replicas };
        }
        Arc::clone(&kept.replicas)
    }

    fn adopt_reports(
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
        let homed = self.homed_replicas(&table, &view.members);
        let mut home = self.quota_allocator.lock();
        for (name, report) in received {
            // Most replicas that this node uses have another home; ranking all members for
            // each of their reports was a sixth of the instructions at 1,300 nodes.
            if home.has_row(&name) || homed.iter().any(|(homed, _)| *homed == name) {
                home.apply_load_report(&name, &report, tables, now);
            }
        }
    }

    /// Replaces the replicas by those of an instance list.
    pub fn replace_replicas(&self, list: &[instance_list::ListedInstance]) {
        let update = self.table_update.lock();
        let table = replica_table::ReplicaTable::from_list(list, &self.replicas.load());
        self.derive_routes(Arc::new(table));
        drop(update);
        self.queue_wake.notify_one();
    }

    /// Stores a replica table with the subset derived from it; needs `table_update`.
    pub fn derive_routes(&self, table: Arc<replica_table::ReplicaTable>) {
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

    /// Treats the replicas of data centres that return as cold.
    pub fn mark_returned(&self, next: &config_snapshot::ConfigSnapshot) {
        let former = self.snapshot.load();
        let table = self.replicas.load();
        let returned = table
            .rows()
            .iter()
            .filter(|row| former.drained(&row.data_centre) && !next.drained(&row.data_centre));
        for row in returned {
            self.report_sign(&row.name, cold_start::WarmupSignal::Returned);
        }
    }

    /// Tells the home of a replica what was seen of it.
    pub fn report_sign(&self, replica: &ids::ReplicaName, sign: cold_start::WarmupSignal) {
        let view = self.view.load();
        let Some(home) = replica_home(replica, &view.members) else { return };
        if *home == self.options.name {
            self.apply_warmup_signal(replica, sign);
            return;
        }
        let Some(peer) = self.peer_address(home) else { return };
        let report = peer_message::ColdReport { replica: replica.clone(), sign };
        let peers = self.peers.clone();
        tokio::spawn(
            async move { peers.report_cold(peer, node_config::SPREAD_LIMIT, &report).await },
        );
    }

    /// Applies a sign at this node as home.
    pub fn apply_warmup_signal(&self, replica: &ids::ReplicaName, sign: cold_start::WarmupSignal) {
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let tables = quota_allocator::QuotaTables { snapshot: &snapshot, table: &table };
        let turned =
            self.quota_allocator.lock().apply_warmup_signal(replica, sign, tables, self.clock());
        if turned {
            metrics::counter!("yuccareel_replicas_turned_cold_total").increment(1);
            self.emit(LogEvent::ReplicaCold, slog::o!("replica" => replica.to_string()));
        }
    }

    /// Address for calls to a node.
    pub fn peer_address(&self, name: &str) -> Option<std::net::SocketAddr> {
        self.members.lock().find(name).map(|entry| entry.row.peer_address)
    }

    /// Learns from the boot identifier of a reply.
    pub fn note_boot(&self, dispatch: &node_dispatch::DispatchGuard, boot: Option<&ids::BootId>) {
        let Some(boot) = boot else { return };
        let name = &dispatch.row.name;
        let changed = {
            let mut learned = self.learned.lock();
            let row = learned.entry(name.clone()).or_default();
            let changed = row.boot.as_ref().is_some_and(|known| known != boot);
            row.boot = Some(boot.clone());
            changed
        };
        if changed {
            self.prefixes.lock().forget(name);
            self.report_sign(name, cold_start::WarmupSignal::Boot(boot.clone()));
        }
    }

    /// Learns from the time to the first token.
    pub fn note_first_token(&self, dispatch: &node_dispatch::DispatchGuard, elapsed: Duration) {
        metrics::histogram!("yuccareel_first_token_seconds").record(elapsed.as_secs_f64());
        let name = &dispatch.row.name;
        let slow = {
            let mut learned = self.learned.lock();
            learned.entry(name.clone()).or_default().first_token.record(elapsed)
        };
        if slow {
            self.report_sign(name, cold_start::WarmupSignal::SlowFirstToken);
        }
    }

    /// Learns from an answer that came whole.
    pub fn note_success(&self, dispatch: &node_dispatch::DispatchGuard) {
        let mut learned = self.learned.lock();
        let row = learned.entry(dispatch.row.name.clone()).or_default();
        if row.epoch != dispatch.epoch {
            (row.epoch, row.answers) = (dispatch.epoch, 0);
        }
        row.answers += 1;
    }

    /// Learns from a failed attempt.
    pub fn note_failure(
        &self,
        dispatch: &node_dispatch::DispatchGuard,
        error: &engine_client::AttemptError,
    ) {
        metrics::counter!("yuccareel_attempts_failed_total", "reason" => error.reason.code())
            .increment(1);
        match error.reason {
            retry_reason::RetryReason::BackendCold => {
                self.report_sign(&dispatch.row.name, cold_start::WarmupSignal::Refused);
            }
            retry_reason::RetryReason::VersionNotServed => self.note_foreign(&dispatch.row),
            _ => {}
        }
    }

    /// Leaves out a replica at whose address another server answers.
    fn note_foreign(&self, row: &replica_table::ReplicaRow) {
        if !row.mark_foreign(self.clock()) {
            return;
        }
        self.prefixes.lock().forget(&row.name);
        let fields = slog::o!("replica" => row.name.to_string(), "address" => row.address);
        self.emit(LogEvent::ReplicaForeign, fields);
    }
}

/// Home of a replica's concurrency.
pub fn replica_home<'a>(
    replica: &ids::ReplicaName,
    members: &'a [ids::InstanceName],
) -> Option<&'a ids::InstanceName> {
    let kind = quota_message::ResourceKind::ReplicaConcurrency;
    let key = quota_message::ResourceKey::new(kind, replica.clone()).hash_key();
    rendezvous::home(&key, members)
}
