//! Entry instance: owns the tables and runs systems over them each tick.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use tokio::time::Instant;

use crate::{
    chat_job, config_snapshot, engine_client, error_body, ids, instance_list, kv_store, records,
    refusal_reason, replica_table, token_index,
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(250);

/// What an instance needs to start.
#[derive(Clone)]
pub struct NodeOptions {
    /// Unique name.
    pub name: ids::InstanceName,
    /// Data centre.
    pub data_centre: ids::DataCentreName,
    /// Address that callers use.
    pub advertise: SocketAddr,
    /// Largest body in bytes.
    pub body_limit: usize,
    /// Key-value service.
    pub store: Arc<dyn kv_store::KvStore>,
    /// Instance list.
    pub list: instance_list::ListClient,
}

/// Entry instance.
pub struct Node {
    /// What it was started with.
    pub options: NodeOptions,
    /// Configuration in force.
    pub snapshot: Arc<ArcSwap<config_snapshot::ConfigSnapshot>>,
    /// Customers by token, of the same configuration.
    pub tokens: ArcSwap<token_index::TokenIndex>,
    /// Known replicas.
    pub replicas: ArcSwap<replica_table::ReplicaTable>,
    /// Engines.
    pub engine: engine_client::EngineClient,
    /// HTTP client for plain services.
    pub service_http: reqwest::Client,
    /// Requests being served.
    pub serving: Arc<AtomicU32>,
    /// Whether a shutdown has begun.
    pub stopping: AtomicBool,
    started_at: Instant,
}

impl Node {
    /// Instance without configuration.
    ///
    /// # Errors
    /// When the HTTP library cannot be set up.
    pub fn new(options: NodeOptions) -> Result<Self, reqwest::Error> {
        Ok(Self {
            options,
            snapshot: Arc::default(),
            tokens: ArcSwap::default(),
            replicas: ArcSwap::default(),
            engine: engine_client::EngineClient::new()?,
            service_http: service_http()?,
            serving: Arc::default(),
            stopping: AtomicBool::new(false),
            started_at: Instant::now(),
        })
    }

    /// Time since the start of the instance.
    pub fn clock(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether the instance can answer requests.
    pub fn ready(&self) -> bool {
        self.snapshot.load().sequence > 0 && !self.replicas.load().rows().is_empty()
    }

    /// Puts a configuration in force unless a newer one already is.
    pub fn adopt(&self, snapshot: config_snapshot::ConfigSnapshot) {
        if snapshot.sequence <= self.snapshot.load().sequence {
            return;
        }
        self.tokens.store(Arc::new(token_index::TokenIndex::from_snapshot(&snapshot)));
        self.snapshot.store(Arc::new(snapshot));
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
        self.tokens.load().find(token).cloned().ok_or_else(|| {
            not_run(refusal_reason::RefusalReason::TokenUnknown, "token of no customer")
        })
    }

    /// Model and version for a job without a cascade decision.
    ///
    /// # Errors
    /// `model_unknown`, `model_not_allowed` or `version_withdrawn`.
    pub fn choose_target(
        &self,
        job: &chat_job::ChatJob,
    ) -> Result<chat_job::VersionTarget, error_body::RequestRefusal> {
        let not_run = error_body::RequestRefusal::not_run;
        let snapshot = self.snapshot.load();
        let model = snapshot.models.get(job.request.target.as_str()).ok_or_else(|| {
            let reason = refusal_reason::RefusalReason::ModelUnknown;
            not_run(reason, format!("model: no record of {}", job.request.target))
        })?;
        let version = job.request.version.clone().unwrap_or(model.default_version.clone());
        Ok(chat_job::VersionTarget { model: Arc::clone(model), version, repinned: false })
    }

    /// Bills an answer.
    pub async fn bill(
        &self,
        job: &chat_job::ChatJob,
        target: &chat_job::VersionTarget,
        usage: engine_client::TokenUsage,
        cost: ids::Microcredits,
    ) {
        let _ = (job, target);
        metrics::counter!("yuccareel_bills_total").increment(1);
        metrics::counter!("yuccareel_billed_microcredits_total").increment(cost);
        metrics::counter!("yuccareel_tokens_total").increment(usage.completion_tokens);
    }

    /// Counts a refusal by its reason.
    pub fn count_refusal(&self, refusal: &error_body::RequestRefusal) {
        metrics::counter!("yuccareel_refusals_total", "reason" => refusal.reason.code())
            .increment(1);
    }

    /// Runs the systems until a shutdown has ended.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.stopping.load(Ordering::SeqCst) && self.serving.load(Ordering::SeqCst) == 0 {
                return;
            }
            self.refresh_config().await;
            self.refresh_replicas().await;
        }
    }

    async fn refresh_config(&self) {
        let Ok(range) = self.options.store.range("config/").await else { return };
        let decode = |entry: &kv_store::KvEntry| serde_json::from_slice(&entry.value).ok();
        let records = range.entries.iter().filter(|entry| entry.key.starts_with("config/record/"));
        let snapshot = config_snapshot::ConfigSnapshot::from_records(
            range.revision.unsigned_abs(),
            records.filter_map(decode),
        );
        self.adopt(snapshot);
    }

    async fn refresh_replicas(&self) {
        let Ok(list) = self.options.list.read().await else { return };
        let table = replica_table::ReplicaTable::from_list(&list, &self.replicas.load());
        self.replicas.store(Arc::new(table));
    }
}

/// A pooled connection may have gone silent, and a call that may not be repeated
/// could then be neither answered nor sent again, so connections are not reused.
fn service_http() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder().tcp_nodelay(true).pool_max_idle_per_host(0).build()
}

/// Seconds since 1970.
pub fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
