//! Entry instance: owns the tables and runs systems over them each tick.
//!
//! The systems live in the `node_*` modules, one per table or group of tables.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::event_catalogue::LogEvent;
use crate::{
    bill_batch, bill_copies, bill_ledger, claim_store, config_log, config_snapshot, config_store,
    customer_limits, endpoint_answer, engine_client, error_body, event_catalogue, freshness, ids,
    instance_list, kv_store, listed_view, member_row, member_table, node_bills, node_handler,
    node_quota, node_replicas, node_rollout, node_view, peer_client, peer_handshake, peer_service,
    pin_locks, pool_queue, prefix_index, quality_table, quota_allocator, quota_lease,
    rating_client, records, refusal_reason, replica_subset, replica_table, retry_budget,
    session_table, token_index, weight_store_client,
};

/// Time between two looks at whether a shutdown is complete.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Time for which a stopping instance still accepts requests: callers keep an
/// endpoints answer for its time to live, and half as long covers slow clocks.
pub const LEAVE_TIME: Duration = Duration::from_millis(endpoint_answer::ENDPOINT_TTL_S * 1_500);

/// What an instance needs to start.
#[derive(Clone)]
pub struct NodeOptions {
    /// Unique name.
    pub name: ids::InstanceName,
    /// Data centre.
    pub data_centre: ids::DataCentreName,
    /// Address that callers use.
    pub advertise: SocketAddr,
    /// Address that peers use.
    pub peer_advertise: SocketAddr,
    /// Largest body in bytes.
    pub body_limit: usize,
    /// Time in which a caller must have sent its body.
    pub body_timeout: Duration,
    /// Time of a request that names none.
    pub request_timeout: Duration,
    /// Time for which a stopping instance still accepts requests.
    pub leave_time: Duration,
    /// Time for requests in flight after that.
    pub shutdown_timeout: Duration,
    /// Secret that all nodes share.
    pub peer_secret: peer_handshake::SharedSecret,
    /// Key-value service.
    pub store: Arc<dyn kv_store::KvStore>,
    /// Instance list.
    pub list: instance_list::ListClient,
    /// Answer-rating service, where there is one.
    pub rating: Option<Arc<dyn rating_client::RatingService>>,
    /// Weight store, where there is one; without it no loads are ordered.
    pub weights: Option<weight_store_client::WeightStoreClient>,
    /// Log.
    pub logger: slog::Logger,
}

/// Error of the start of an instance.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// HTTP library cannot be set up.
    #[error("HTTP client: {0}")]
    Http(#[from] reqwest::Error),
    /// Thread or socket for calls between nodes cannot be set up.
    #[error("calls between nodes: {0}")]
    Peers(#[from] io::Error),
}

/// Entry instance.
pub struct Node {
    /// What it was started with.
    pub options: NodeOptions,
    /// Name that is unique per process start.
    pub process: ids::InstanceName,
    /// Number of this start; grows with each start under the same name.
    pub incarnation: u64,
    /// Configuration in effect and recent changes.
    pub log: Mutex<config_log::ConfigLog>,
    /// Stored configuration.
    pub config: config_store::ConfigStore,
    /// Configuration in effect.
    pub snapshot: Arc<ArcSwap<config_snapshot::ConfigSnapshot>>,
    /// Customers by token, of the same configuration.
    pub tokens: ArcSwap<token_index::TokenIndex>,
    /// Known nodes.
    pub members: Mutex<member_table::MemberTable>,
    /// Age of the newest confirmation of the configuration.
    pub confirmation: Mutex<freshness::ConfirmationClock>,
    /// Instance list as last read or received.
    pub listed: Mutex<listed_view::ListedView>,
    /// Held while a list is merged, so that the newest is merged last.
    pub list_merge: Mutex<()>,
    /// Members and freshness as of the last tick.
    pub view: ArcSwap<node_view::NodeView>,
    /// Addresses for callers.
    pub endpoints: ArcSwap<endpoint_answer::EndpointDirectory>,
    /// Known replicas.
    pub replicas: ArcSwap<replica_table::ReplicaTable>,
    /// The same replicas with those that this node uses.
    pub routes: ArcSwap<replica_subset::RouteView>,
    /// Held while configuration, list or load reports change the tables derived from them.
    pub table_update: Mutex<()>,
    /// Replicas that this node is home of.
    pub reported: Mutex<node_replicas::AllocatedReplicas>,
    /// What this node learned of its replicas.
    pub learned: Mutex<HashMap<ids::ReplicaName, node_replicas::ReplicaObservation>>,
    /// Shares that this node holds.
    pub shares: Mutex<quota_lease::ShareTable>,
    /// Shares that this node grants.
    pub quota_allocator: Mutex<quota_allocator::QuotaAllocator>,
    /// Wakes the exchange of shares.
    pub quota_wake: Notify,
    /// Wakes requests that await a share after each exchange.
    pub share_wake: Notify,
    /// Use of customers' limits.
    pub limits: Mutex<customer_limits::CustomerLimitTable>,
    /// Retry budgets.
    pub retries: Mutex<retry_budget::RetryBudget>,
    /// Requests that wait for credit, by pool.
    pub queues: Mutex<HashMap<replica_table::ReplicaPool, pool_queue::PoolQueue>>,
    /// Wakes the queues when credit may have become free.
    pub queue_wake: Arc<Notify>,
    /// Versions of sessions.
    pub sessions: Mutex<session_table::SessionTable>,
    /// Turns of requests that ask for a pin.
    pub pin_locks: pin_locks::PinLocks,
    /// Pass rates.
    pub quality: Mutex<quality_table::QualityTable>,
    /// State of the rating service.
    pub rating_health: Mutex<rating_client::RatingHealth>,
    /// Cached prompt prefixes.
    pub prefixes: Mutex<prefix_index::PrefixIndex>,
    /// Clock of the last prompt with prefixes, by pool.
    pub prefix_uses: Mutex<HashMap<replica_table::ReplicaPool, Duration>>,
    /// Rollouts as this node knows them.
    pub rollouts: node_rollout::RolloutView,
    /// Bills of this instance.
    pub ledger: Arc<bill_ledger::BillLedger>,
    /// Copies of the bills of peers.
    pub copies: bill_copies::BillCopies,
    /// Claims whose shards this node owns.
    pub claims: Arc<claim_store::ClaimStore>,
    /// Calls to peers.
    pub peers: peer_client::PeerClient,
    /// Engines.
    pub engine: engine_client::EngineClient,
    /// HTTP client for plain services.
    pub service_http: reqwest::Client,
    /// Requests being served.
    pub serving: Arc<AtomicU32>,
    /// Whether a shutdown has begun.
    pub stopping: AtomicBool,
    /// Bills and ends of calls that are recorded after their request has gone.
    pub tasks: TaskTracker,
    /// Ends the systems after the last request.
    pub stopped: CancellationToken,
    started_at: Instant,
}

impl Node {
    /// Instance without configuration.
    ///
    /// # Errors
    /// When HTTP or the calls between nodes cannot be set up.
    pub fn new(options: NodeOptions) -> Result<Arc<Self>, NodeError> {
        let incarnation = unix_millis();
        let process = bill_batch::process_name(&options.name, incarnation);
        let peers = peer_client::PeerClient::start(options.peer_secret.clone())?;
        let (engine, service_http) = (engine_client::EngineClient::new()?, service_http()?);
        let now = Duration::ZERO;
        let own = member_row::MemberRow {
            incarnation,
            leaving: false,
            name: options.name.clone(),
            address: options.advertise,
            peer_address: options.peer_advertise,
            data_centre: options.data_centre.clone(),
        };
        let store = Arc::clone(&options.store);
        Ok(Arc::new_cyclic(|node| {
            let copier = Arc::new(node_bills::PeerCopier::new(node.clone()));
            Self {
                log: Mutex::default(),
                config: config_store::ConfigStore::new(Arc::clone(&store)),
                snapshot: Arc::default(),
                tokens: ArcSwap::default(),
                members: Mutex::new(member_table::MemberTable::new(own, now)),
                confirmation: Mutex::default(),
                listed: Mutex::default(),
                list_merge: Mutex::default(),
                view: ArcSwap::default(),
                endpoints: ArcSwap::default(),
                replicas: ArcSwap::default(),
                routes: ArcSwap::default(),
                table_update: Mutex::default(),
                reported: Mutex::default(),
                learned: Mutex::default(),
                shares: Mutex::new(quota_lease::ShareTable::new(options.name.clone(), incarnation)),
                quota_allocator: Mutex::new(quota_allocator::QuotaAllocator::new(
                    options.name.clone(),
                    incarnation,
                    now,
                )),
                quota_wake: Notify::new(),
                share_wake: Notify::new(),
                limits: Mutex::default(),
                retries: Mutex::default(),
                queues: Mutex::default(),
                queue_wake: Arc::default(),
                sessions: Mutex::default(),
                pin_locks: pin_locks::PinLocks::default(),
                quality: Mutex::default(),
                rating_health: Mutex::default(),
                prefixes: Mutex::default(),
                prefix_uses: Mutex::default(),
                rollouts: node_rollout::RolloutView::default(),
                ledger: Arc::new(bill_ledger::BillLedger::new(
                    process.clone(),
                    Arc::clone(&store),
                    copier,
                )),
                copies: bill_copies::BillCopies::new(Arc::clone(&store)),
                claims: Arc::new(claim_store::ClaimStore::new(
                    process.clone(),
                    Arc::clone(&store),
                    Arc::new(unix_millis),
                )),
                peers,
                engine,
                service_http,
                serving: Arc::default(),
                stopping: AtomicBool::new(false),
                tasks: TaskTracker::new(),
                stopped: CancellationToken::new(),
                started_at: Instant::now(),
                process,
                incarnation,
                options,
            }
        }))
    }

    /// Logs a numbered event.
    pub fn emit(&self, event: event_catalogue::LogEvent, fields: impl slog::KV) {
        event_catalogue::emit(&self.options.logger, event, fields);
    }

    /// Time since the start of the instance.
    pub fn clock(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether the instance can answer requests.
    pub fn ready(&self) -> bool {
        self.snapshot.load().sequence > 0
            && self.view.load().freshness.starts_work()
            && !self.stopping.load(Ordering::SeqCst)
    }

    /// Customer of a bearer token.
    ///
    /// # Errors
    /// `token_missing`, `token_unknown`, or `not_ready` before the first configuration.
    pub fn authenticate(
        &self,
        token: Option<&str>,
    ) -> Result<Arc<records::customer::CustomerRecord>, error_body::RequestRefusal> {
        let not_run = error_body::RequestRefusal::not_run;
        if self.snapshot.load().sequence == 0 {
            let reason = refusal_reason::RefusalReason::NotReady;
            return Err(not_run(reason, "no configuration yet"));
        }
        let token = token.ok_or_else(|| {
            not_run(refusal_reason::RefusalReason::TokenMissing, "no bearer token")
        })?;
        self.tokens.load().find_customer(token).cloned().ok_or_else(|| {
            not_run(refusal_reason::RefusalReason::TokenUnknown, "token of no customer")
        })
    }

    /// Counts a refusal by its reason.
    pub fn count_refusal(&self, refusal: &error_body::RequestRefusal) {
        let reason = refusal.reason.code();
        metrics::counter!("yuccareel_refusals_total", "reason" => reason).increment(1);
        self.emit(LogEvent::RequestRefused, slog::o!("reason" => reason));
    }

    /// Starts the calls between nodes and all systems; they end with `stopped`.
    ///
    /// # Errors
    /// When the thread for calls between nodes cannot be started.
    pub fn start(self: &Arc<Self>, peer_listener: TcpListener) -> Result<RunningNode, NodeError> {
        let handler = Arc::new(node_handler::NodeHandler::new(Arc::clone(self)));
        let secret = self.options.peer_secret.clone();
        let service = peer_service::PeerService::start(peer_listener, secret, handler)?;
        let systems = [
            tokio::spawn(Arc::clone(self).run_configuration()),
            tokio::spawn(Arc::clone(self).run_members()),
            tokio::spawn(Arc::clone(self).run_load_reports()),
            tokio::spawn(Arc::clone(self).run_cache_event_reads()),
            tokio::spawn(Arc::clone(self).run_quota()),
            tokio::spawn(Arc::clone(self).run_queues()),
            tokio::spawn(Arc::clone(self).run_rollouts()),
            tokio::spawn(Arc::clone(self).run_orders()),
            tokio::spawn(Arc::clone(self).run_bills()),
            tokio::spawn(Arc::clone(self).run_claims()),
        ];
        Ok(RunningNode { node: Arc::clone(self), service, systems: systems.into() })
    }
}

/// Instance whose systems run.
pub struct RunningNode {
    /// Instance.
    pub node: Arc<Node>,
    service: peer_service::PeerService,
    systems: Vec<tokio::task::JoinHandle<()>>,
}

impl RunningNode {
    /// Address for calls of peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.service.address()
    }

    /// Leaves the endpoint answers and waits until all requests are finished.
    pub async fn drain(&self) {
        let node = &self.node;
        node.stopping.store(true, Ordering::SeqCst);
        node.emit(LogEvent::ShutdownStarted, slog::o!());
        node.announce_leaving().await;
        node_quota::hand_over_shares(node).await;
        tokio::time::sleep(node.options.leave_time).await;
        node.emit(LogEvent::ShutdownDraining, slog::o!());
        let limit = Instant::now() + node.options.shutdown_timeout;
        while node.serving.load(Ordering::SeqCst) > 0 {
            if Instant::now() >= limit {
                let serving = node.serving.load(Ordering::SeqCst);
                node.emit(LogEvent::ShutdownForced, slog::o!("requests" => serving));
                return;
            }
            tokio::time::sleep(STOP_POLL).await;
        }
    }

    /// Hands over what is left and ends the systems.
    pub async fn finish(mut self) {
        let node = Arc::clone(&self.node);
        node.tasks.close();
        // Ends of calls have their own limit of tries.
        node.tasks.wait().await;
        node.hand_over_copies().await;
        node.stopped.cancel();
        for system in self.systems.drain(..) {
            // A system that failed has nothing left to hand over.
            let _ = system.await;
        }
        tokio::task::block_in_place(|| drop(self.service));
    }

    /// Ends the instance at once, as a kill would.
    pub fn kill(self) {
        for system in &self.systems {
            system.abort();
        }
        std::thread::spawn(move || drop(self.service));
    }
}

/// A pooled connection may have gone silent, and a call that may not be repeated
/// could then be neither answered nor sent again, so connections are not reused.
fn service_http() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder().tcp_nodelay(true).pool_max_idle_per_host(0).build()
}

/// Seconds since 1970.
pub fn unix_seconds() -> u64 {
    unix_millis() / 1_000
}

/// Milliseconds since 1970.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
