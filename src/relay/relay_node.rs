//! Shared state of one relay instance.
//!
//! All tasks of the process hold the node in an `Arc`. Configuration, replicas, members and rollouts
//! are caches of records in the store, which `store_mirror` keeps current.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::attempt_budget::AttemptBudget;
use super::balancing::stream_times::StreamTimes;
use super::call_codec::CallCodec;
use super::cold_budget::ColdRateLimit;
use super::connection_pool::ConnectionPool;
use super::era_transition::EraTransition;
use super::log_limiter::LogLimiter;
use super::member_list::MemberList;
use super::member_names::MemberNames;
use super::memory_holder::MemoryHolder;
use super::memory_shortage::MemoryShortage;
use super::mirror_scope::MirrorScope;
use super::relay_config::RelayConfig;
use super::relay_settings::RelaySettings;
use super::replica_choice::ChoiceContext;
use super::replica_fleet::ReplicaFleet;
use super::rollout_table::RolloutTable;
use super::shared_feed::feed_table::FeedTable;
use super::shared_memory::SharedMemory;
use super::store_codec::StoreCodec;
use super::store_era;
use super::store_paths::StorePaths;
use super::suspect_table::SuspectTable;
use crate::event_catalogue::{self, LogEvent};
use crate::ids;

/// Fraction of the platform's grace period after which the process exits, even with calls in
/// flight. Streams that are active in the last sixth of the grace period may be cut.
const DRAIN_FRACTION: f64 = 0.86;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleStage {
    Serving,
    /// Told to stop at this time. `call_routing` decides which calls are still accepted.
    Draining(Instant),
}

/// Settings and collaborators of a [`RelayNode`].
pub struct NodeDependencies {
    pub settings: RelaySettings,
    pub call_codec: Arc<dyn CallCodec>,
    pub store_codec: Arc<dyn StoreCodec>,
    pub store: Arc<StorePaths>,
    pub logger: slog::Logger,
}

/// One relay instance.
pub struct RelayNode {
    pub settings: RelaySettings,
    /// Reads and writes the heads of calls.
    pub call_codec: Arc<dyn CallCodec>,
    /// Reads and writes the records of the store.
    pub store_codec: Arc<dyn StoreCodec>,
    pub store: Arc<StorePaths>,
    /// Configuration in effect; empty until the first one is read.
    pub config: ArcSwapOption<RelayConfig>,
    pub fleet: Mutex<ReplicaFleet>,
    /// Instances that are registered in the store.
    pub members: Mutex<MemberList>,
    pub rollouts: Mutex<RolloutTable>,
    /// Times that streams take at present.
    pub stream_times: Mutex<StreamTimes>,
    /// Prompt parts under which replicas crash.
    pub suspects: Mutex<SuspectTable>,
    /// Wakes the task that writes changes of `suspects` to the store.
    pub suspects_changed: Notify,
    /// Wakes calls that wait until a crash is in the store.
    pub suspects_written: Notify,
    /// Records of the store as this instance has read them.
    pub feeds: FeedTable,
    /// Change to the present era of the store.
    pub era_transition: Mutex<EraTransition>,
    /// Budget of retries and escalations.
    pub attempt_budget: Mutex<AttemptBudget>,
    /// Idle connections to replicas.
    pub connection_pool: Mutex<ConnectionPool>,
    /// Lease of this instance's member entry; `None` while it is not registered.
    pub member_lease: Mutex<Option<ids::LeaseId>>,
    pub calls_in_flight: AtomicUsize,
    /// Memory that bodies and connections of peers hold.
    pub memory: SharedMemory,
    member_names: ArcSwap<MemberNames>,
    replicas_loaded: AtomicBool,
    lifecycle: watch::Sender<LifecycleStage>,
    logger: slog::Logger,
    log_limiter: Mutex<LogLimiter>,
}

impl RelayNode {
    /// Creates an instance with empty tables, which is not ready.
    pub fn new(dependencies: NodeDependencies) -> Arc<Self> {
        let NodeDependencies { settings, call_codec, store_codec, store, logger } = dependencies;
        let bounds = settings.bounds;
        let attempt_budget =
            AttemptBudget::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window);
        let names = MemberNames::new(Vec::new(), &settings.name);
        let memory = SharedMemory::new(settings.memory_bytes);
        Arc::new(Self {
            settings,
            call_codec,
            store_codec,
            store,
            config: ArcSwapOption::empty(),
            fleet: Mutex::default(),
            members: Mutex::default(),
            rollouts: Mutex::default(),
            stream_times: Mutex::default(),
            suspects: Mutex::default(),
            suspects_changed: Notify::new(),
            suspects_written: Notify::new(),
            feeds: FeedTable::default(),
            era_transition: Mutex::default(),
            attempt_budget: Mutex::new(attempt_budget),
            connection_pool: Mutex::default(),
            member_lease: Mutex::default(),
            calls_in_flight: AtomicUsize::new(0),
            memory,
            member_names: ArcSwap::from_pointee(names),
            replicas_loaded: AtomicBool::new(false),
            lifecycle: watch::Sender::new(LifecycleStage::Serving),
            logger,
            log_limiter: Mutex::default(),
        })
    }

    /// Writes a log line unless the event is over its rate limit.
    pub fn emit(&self, event: LogEvent, fields: impl slog::KV) {
        let Some(dropped) = self.log_limiter.lock().admit(event, Instant::now()) else {
            metrics::counter!("yuccareel_log_lines_left_out_total").increment(1);
            return;
        };
        if dropped > 0 {
            let dropped = slog::o!("left_out" => dropped);
            event_catalogue::emit(&self.logger.new(dropped), event, fields);
        } else {
            event_catalogue::emit(&self.logger, event, fields);
        }
    }

    /// Logs a record of the store that cannot be read.
    pub(super) fn log_unreadable_record(&self, key: &str, error: &dyn Display) {
        let fields = slog::o!("key" => key.to_owned(), "error" => error.to_string());
        self.emit(LogEvent::RecordUnreadable, fields);
    }

    /// Counts a refused reservation, and logs the first one of a shortage.
    pub(super) fn report_shortage(&self, holder: MemoryHolder, shortage: &MemoryShortage) {
        let label = holder.label();
        metrics::counter!("yuccareel_memory_refusals_total", "holder" => label).increment(1);
        if shortage.is_first {
            let fields = slog::o!(
                "holder" => label, "used" => self.memory.used(holder),
                "caller_limit" => shortage.is_caller_limit,
                "retry_after_ms" => shortage.retry_after.as_millis() as u64,
            );
            self.emit(LogEvent::MemoryShort, fields);
        }
    }

    /// Whether the instance has all that it needs to answer calls and was not told to stop.
    pub fn is_ready(&self) -> bool {
        self.config.load().is_some()
            && self.replicas_loaded.load(Ordering::Relaxed)
            && *self.lifecycle.borrow() == LifecycleStage::Serving
    }

    /// Whether the records of a scope were read since the last restoration of the store.
    pub fn has_read_era(&self, scope: MirrorScope) -> bool {
        let era = self.store.store_eras().current();
        era == 0 || store_era::era_of(self.feeds.log(scope).lock().revision()) == era
    }

    /// Records that the replicas were read from the store, on which readiness depends.
    pub fn set_replicas_loaded(&self) {
        self.replicas_loaded.store(true, Ordering::Relaxed);
    }

    /// Starts to drain. Has no effect if the instance is draining already.
    pub fn start_drain(&self) {
        self.lifecycle.send_if_modified(|stage| {
            let is_serving = *stage == LifecycleStage::Serving;
            if is_serving {
                *stage = LifecycleStage::Draining(Instant::now());
            }
            is_serving
        });
    }

    /// Subscribes to changes of the lifecycle stage.
    pub fn lifecycle(&self) -> watch::Receiver<LifecycleStage> {
        self.lifecycle.subscribe()
    }

    /// Time since the instance was told to stop; `None` while it serves.
    pub fn drain_elapsed(&self) -> Option<Duration> {
        match *self.lifecycle.borrow() {
            LifecycleStage::Serving => None,
            LifecycleStage::Draining(since) => Some(since.elapsed()),
        }
    }

    /// Longest time from the order to stop to the exit of the process.
    pub fn drain_timeout(&self) -> Duration {
        self.settings.bounds.stop_grace.mul_f64(DRAIN_FRACTION)
    }

    /// Waits until `margin` before the drain times out. Never returns while the instance serves.
    pub async fn wait_for_drain_end(&self, margin: Duration) {
        let mut lifecycle = self.lifecycle();
        // The sender lives as long as the node, so the wait ends only by a change of stage.
        let Ok(stage) =
            lifecycle.wait_for(|stage| *stage != LifecycleStage::Serving).await.map(|stage| *stage)
        else {
            return;
        };
        if let LifecycleStage::Draining(since) = stage {
            tokio::time::sleep_until(since + self.drain_timeout().saturating_sub(margin)).await;
        }
    }

    /// Names of the instances, this one included.
    pub fn member_names(&self) -> Arc<MemberNames> {
        self.member_names.load_full()
    }

    /// Updates the names after a change of the member list.
    pub fn refresh_member_names(&self) {
        let listed = self.members.lock().names();
        let names = MemberNames::new(listed, &self.settings.name);
        if **self.member_names.load() == names {
            return;
        }
        self.member_names.store(Arc::new(names));
        let mut fleet = self.fleet.lock();
        let members = self.member_names();
        fleet.refresh_limits(&self.choice_context(&members));
    }

    /// Context for choosing a replica now, from the settings and the names of the members.
    pub fn choice_context<'a>(&'a self, members: &'a MemberNames) -> ChoiceContext<'a> {
        let bounds = &self.settings.bounds;
        ChoiceContext {
            instance: &self.settings.name,
            data_centre: &self.settings.data_centre,
            regions: &self.settings.regions,
            members: &members.all,
            own_position: members.own_position,
            cold_limit: ColdRateLimit { factor: bounds.cold_factor, slack: bounds.cold_slack },
            now: Instant::now(),
            unix_now: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        }
    }
}
