//! Tables of one relay instance and the systems that share them.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use super::attempt_budget::AttemptBudget;
use super::call_codec::CallCodec;
use super::cold_budget::ColdBound;
use super::connection_pool::ConnectionPool;
use super::log_limiter::LogLimiter;
use super::member_list::MemberList;
use super::relay_config::RelayConfig;
use super::relay_settings::RelaySettings;
use super::replica_choice::ChoiceContext;
use super::replica_fleet::ReplicaFleet;
use super::rollout_table::RolloutTable;
use super::store_codec::StoreCodec;
use super::store_paths::StorePaths;
use crate::event_catalogue::{self, LogEvent};
use crate::ids;

/// Part of the grace of the platform after which the process ends whatever is in flight. A stream
/// that is at work in the last sixth of the grace may be cut.
const DRAIN_PART: f64 = 0.86;

/// Stage of the life of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleStage {
    /// Takes calls.
    Serving,
    /// Was asked to stop at this time.
    Draining(Instant),
}

/// What an instance is made of.
pub struct NodeDependencies {
    /// Settings.
    pub settings: RelaySettings,
    /// Heads of messages.
    pub call_codec: Arc<dyn CallCodec>,
    /// Records of the store.
    pub store_codec: Arc<dyn StoreCodec>,
    /// Store.
    pub store: Arc<StorePaths>,
    /// Log.
    pub logger: slog::Logger,
}

/// One relay instance.
pub struct RelayNode {
    /// Settings.
    pub settings: RelaySettings,
    /// Heads of messages.
    pub call_codec: Arc<dyn CallCodec>,
    /// Records of the store.
    pub store_codec: Arc<dyn StoreCodec>,
    /// Store.
    pub store: Arc<StorePaths>,
    /// Configuration in force, once one was read.
    pub config: ArcSwapOption<RelayConfig>,
    /// Replicas.
    pub fleet: Mutex<ReplicaFleet>,
    /// Instances.
    pub members: Mutex<MemberList>,
    /// Rollouts.
    pub rollouts: Mutex<RolloutTable>,
    /// Repeated sends.
    pub attempt_budget: Mutex<AttemptBudget>,
    /// Idle connections to replicas.
    pub connection_pool: Mutex<ConnectionPool>,
    /// Lease of the member entry, while it stands.
    pub member_lease: Mutex<Option<ids::LeaseId>>,
    /// Calls that are being answered.
    pub calls_in_flight: AtomicUsize,
    /// Bytes of bodies that are held.
    pub buffered_body_bytes: AtomicUsize,
    /// Names of the instances, this one included.
    member_names: ArcSwap<Vec<ids::InstanceName>>,
    replicas_loaded: AtomicBool,
    lifecycle: watch::Sender<LifecycleStage>,
    logger: slog::Logger,
    limiter: Mutex<LogLimiter>,
}

impl RelayNode {
    /// Instance that knows nothing yet.
    pub fn new(dependencies: NodeDependencies) -> Arc<Self> {
        let NodeDependencies { settings, call_codec, store_codec, store, logger } = dependencies;
        let bounds = settings.bounds;
        let attempt_budget =
            AttemptBudget::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window);
        let names = vec![settings.name.clone()];
        Arc::new(Self {
            settings,
            call_codec,
            store_codec,
            store,
            config: ArcSwapOption::empty(),
            fleet: Mutex::default(),
            members: Mutex::default(),
            rollouts: Mutex::default(),
            attempt_budget: Mutex::new(attempt_budget),
            connection_pool: Mutex::default(),
            member_lease: Mutex::default(),
            calls_in_flight: AtomicUsize::new(0),
            buffered_body_bytes: AtomicUsize::new(0),
            member_names: ArcSwap::from_pointee(names),
            replicas_loaded: AtomicBool::new(false),
            lifecycle: watch::Sender::new(LifecycleStage::Serving),
            logger,
            limiter: Mutex::default(),
        })
    }

    /// Writes a line of the log, within the bound of its event.
    pub fn emit(&self, event: LogEvent, fields: impl slog::KV) {
        let Some(left_out) = self.limiter.lock().admit(event, Instant::now()) else {
            metrics::counter!("yuccareel_log_lines_left_out_total").increment(1);
            return;
        };
        if left_out > 0 {
            let left_out = slog::o!("left_out" => left_out);
            event_catalogue::emit(&self.logger.new(left_out), event, fields);
        } else {
            event_catalogue::emit(&self.logger, event, fields);
        }
    }

    /// Notes a record of the store that cannot be read; what was known before stays in use.
    pub(super) fn log_unreadable_record(&self, key: &str, error: &dyn Display) {
        let fields = slog::o!("key" => key.to_owned(), "error" => error.to_string());
        self.emit(LogEvent::RecordUnreadable, fields);
    }

    /// Whether the instance takes calls.
    pub fn is_ready(&self) -> bool {
        self.config.load().is_some()
            && self.replicas_loaded.load(Ordering::Relaxed)
            && *self.lifecycle.borrow() == LifecycleStage::Serving
    }

    /// Notes that the list of replicas was read.
    pub fn set_replicas_loaded(&self) {
        self.replicas_loaded.store(true, Ordering::Relaxed);
    }

    /// Starts to leave.
    pub fn start_drain(&self) {
        self.lifecycle.send_if_modified(|stage| {
            let serving = *stage == LifecycleStage::Serving;
            if serving {
                *stage = LifecycleStage::Draining(Instant::now());
            }
            serving
        });
    }

    /// Stage of the life of the instance.
    pub fn lifecycle(&self) -> watch::Receiver<LifecycleStage> {
        self.lifecycle.subscribe()
    }

    /// Time since the instance was asked to stop.
    pub fn drain_elapsed(&self) -> Option<Duration> {
        match *self.lifecycle.borrow() {
            LifecycleStage::Serving => None,
            LifecycleStage::Draining(since) => Some(since.elapsed()),
        }
    }

    /// Time from the order to stop to the end of the process, at most.
    pub fn drain_timeout(&self) -> Duration {
        self.settings.bounds.stop_grace.mul_f64(DRAIN_PART)
    }

    /// Waits until `margin` before the end of the process.
    pub async fn wait_for_drain_end(&self, margin: Duration) {
        let mut life = self.lifecycle();
        // The sender lives as long as the node, so that only the stage ends the wait.
        let Ok(stage) =
            life.wait_for(|stage| *stage != LifecycleStage::Serving).await.map(|it| *it)
        else {
            return;
        };
        if let LifecycleStage::Draining(since) = stage {
            tokio::time::sleep_until(since + self.drain_timeout().saturating_sub(margin)).await;
        }
    }

    /// Names of the instances, this one included.
    pub fn member_names(&self) -> Arc<Vec<ids::InstanceName>> {
        self.member_names.load_full()
    }

    /// Takes over the names after the list of members has changed.
    pub fn refresh_member_names(&self) {
        let mut names = self.members.lock().names();
        if !names.contains(&self.settings.name) {
            names.push(self.settings.name.clone());
        }
        self.member_names.store(Arc::new(names));
    }

    /// What the choice of a replica needs to know.
    pub fn choice_context<'a>(&'a self, members: &'a [ids::InstanceName]) -> ChoiceContext<'a> {
        let bounds = &self.settings.bounds;
        ChoiceContext {
            instance: &self.settings.name,
            data_centre: &self.settings.data_centre,
            regions: &self.settings.regions,
            members,
            cold: ColdBound { factor: bounds.cold_factor, slack: bounds.cold_slack },
            now: Instant::now(),
        }
    }
}
