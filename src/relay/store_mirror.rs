//! Local copies of the records in the platform's store, kept current by polling.
//!
//! Each mirror reads its prefix once and then polls for the changes since the last revision. After
//! a failed poll it resumes from that revision; if the store no longer has those changes, it reads
//! the whole prefix again. The copies stay in use in the meantime.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::change_feed::ChangeFeed as _;
use super::member_list::MemberEntry;
use super::poll_interval::PollInterval;
use super::relay_node::RelayNode;
use super::replica_fleet::EntryChange;
use super::retry_backoff::RetryBackoff;
use super::rollout_controller;
use super::store_codec::StoreKey;
use crate::event_catalogue::LogEvent;
use crate::ids;
use crate::kv_store::{KvEntry, KvError, KvEvent, KvStore as _};

/// Poll interval of the list of replicas, as a fraction of the time for which a draining replica
/// still takes calls. Each replica writes its entry about once a second, so that polling without a
/// pause would cost one call for each of these writes.
const REPLICA_DRAIN_FRACTION: f64 = 0.4;
/// Shortest poll interval of the list of replicas, for drain times near zero.
const MIN_REPLICA_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest poll interval of the list of replicas. However long replicas drain, others start, turn
/// cold or disappear; an entry ends after three missed heartbeats of about a second.
const MAX_REPLICA_POLL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Shortest poll interval of the instances' records. A peer that has just joined may be the only
/// path to the store.
const INITIAL_INSTANCE_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Longest poll interval of the instances' records. Each of many restarting instances changes these
/// records; the tightest deadline that depends on them is the five seconds of a rollback.
const MAX_INSTANCE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest outage during which entries of live owners may have expired in the store.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_secs(1);
/// Time for which the store holds a poll while there are no changes. Keep-alive probes detect a
/// dead connection well before.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);
/// Prefix of the records that instances write for each other, except rollout evidence.
pub const INSTANCE_PREFIX: &str = "yuccareel/";
/// Prefix of the member entries.
pub const MEMBER_PREFIX: &str = "yuccareel/member/";

/// Records that a mirror follows, by who writes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MirrorScope {
    /// Configuration, rollout orders and evacuations of data centres.
    Operators,
    /// List of replicas.
    Replicas,
    /// Member entries, the holder of the rollout lease, and recorded rollout phases.
    Instances,
}

impl MirrorScope {
    /// Value of the `scope` label in metrics and of the log field.
    fn label(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Replicas => "replicas",
            Self::Instances => "own",
        }
    }

    /// Poll interval of these records. `replica_drain` is the time for which a draining replica
    /// still takes calls.
    pub fn poll_interval(self, replica_drain: Duration) -> PollInterval {
        match self {
            Self::Operators => PollInterval::new(Duration::ZERO, Duration::ZERO),
            Self::Replicas => {
                let interval = replica_drain.mul_f64(REPLICA_DRAIN_FRACTION);
                let interval = interval.clamp(MIN_REPLICA_POLL_INTERVAL, MAX_REPLICA_POLL_INTERVAL);
                PollInterval::new(interval, interval)
            }
            Self::Instances => {
                PollInterval::new(INITIAL_INSTANCE_POLL_INTERVAL, MAX_INSTANCE_POLL_INTERVAL)
            }
        }
    }
}

/// Mirror of the records below one prefix.
pub struct StoreMirror {
    node: Arc<RelayNode>,
    scope: MirrorScope,
    prefix: String,
    mirrored_keys: BTreeSet<String>,
    failing_since: Option<Instant>,
    last_answer_at: Instant,
    poll_interval: PollInterval,
    retry_backoff: RetryBackoff,
}

impl StoreMirror {
    /// Creates an empty mirror; nothing is read until it runs.
    pub fn new(node: Arc<RelayNode>, scope: MirrorScope) -> Self {
        let prefix = match scope {
            MirrorScope::Operators => node.store_codec.operator_prefix(),
            MirrorScope::Replicas => node.store_codec.replica_prefix(),
            MirrorScope::Instances => INSTANCE_PREFIX,
        };
        let prefix = prefix.to_owned();
        let poll_interval = scope.poll_interval(node.settings.bounds.replica_drain_grace);
        Self {
            node,
            scope,
            prefix,
            mirrored_keys: BTreeSet::new(),
            failing_since: None,
            last_answer_at: Instant::now(),
            poll_interval,
            retry_backoff: RetryBackoff::default(),
        }
    }

    /// Keeps the copies current until the process ends.
    pub async fn run(mut self) {
        let mut revision = None;
        loop {
            let outcome = match revision {
                None => self.read_all().await,
                Some(after) => self.poll_changes(after).await,
            };
            match outcome {
                Ok(applied) => revision = Some(applied),
                Err(error) => {
                    self.record_failure(&error);
                    // The changes since this revision are lost, so read the whole prefix.
                    if matches!(error, KvError::Unreadable(_)) {
                        revision = None;
                    }
                    tokio::time::sleep(self.retry_backoff.next_delay()).await;
                }
            }
        }
    }

    async fn read_all(&mut self) -> Result<ids::KvRevision, KvError> {
        let node = self.node.clone();
        let range = node.store.range(&self.prefix).await?;
        self.record_success();
        let present: BTreeSet<String> =
            range.entries.iter().map(|entry| entry.key.clone()).collect();
        for key in self.mirrored_keys.difference(&present).cloned().collect::<Vec<_>>() {
            self.apply_removal(&key);
        }
        for entry in &range.entries {
            self.apply_entry(entry);
        }
        match self.scope {
            MirrorScope::Replicas => node.set_replicas_loaded(),
            MirrorScope::Instances => node.refresh_member_names(),
            MirrorScope::Operators => {}
        }
        Ok(range.revision)
    }

    /// Waits for changes and applies them; returns the revision that the copies now have.
    async fn poll_changes(&mut self, after: ids::KvRevision) -> Result<ids::KvRevision, KvError> {
        let node = self.node.clone();
        let polled_at = Instant::now();
        let changes = node.store.changes(&self.prefix, after, LONG_POLL_TIMEOUT).await?;
        let waited = polled_at.elapsed();
        self.record_success();
        for change in &changes.events {
            self.apply_change(change);
        }
        if self.scope == MirrorScope::Instances && !changes.events.is_empty() {
            node.refresh_member_names();
        }
        tokio::time::sleep(self.poll_interval.next_pause(waited)).await;
        Ok(changes.revision.max(after))
    }

    fn apply_change(&mut self, change: &KvEvent) {
        match change {
            KvEvent::Put(entry) => self.apply_entry(entry),
            KvEvent::Delete(key, _) => self.apply_removal(key),
        }
    }

    fn apply_entry(&mut self, entry: &KvEntry) {
        self.mirrored_keys.insert(entry.key.clone());
        if self.scope == MirrorScope::Instances {
            apply_instance_record(&self.node, entry);
            return;
        }
        match self.node.store_codec.parse_key(&entry.key) {
            StoreKey::Config => apply_config(&self.node, entry),
            StoreKey::Rollout(service) => apply_rollout_order(&self.node, &service, entry),
            StoreKey::Evacuation(data_centre) => {
                set_evacuated(&self.node, data_centre, true, entry.mod_revision);
            }
            StoreKey::Replica(name) => apply_replica(&self.node, &name, entry),
            StoreKey::Other => {}
        }
    }

    fn apply_removal(&mut self, key: &str) {
        self.mirrored_keys.remove(key);
        if self.scope == MirrorScope::Instances {
            remove_instance_record(&self.node, key);
            return;
        }
        match self.node.store_codec.parse_key(key) {
            StoreKey::Rollout(service) => self.node.rollouts.lock().remove_order(&service),
            StoreKey::Evacuation(data_centre) => {
                set_evacuated(&self.node, data_centre, false, 0);
            }
            StoreKey::Replica(name) => {
                let removed = self.node.fleet.lock().expire_entry(&name, Instant::now());
                let fields = slog::o!("replica" => name.to_string(), "kept" => !removed);
                self.node.emit(LogEvent::ReplicaRemoved, fields);
            }
            StoreKey::Config | StoreKey::Other => {}
        }
    }

    fn record_success(&mut self) {
        self.retry_backoff.reset();
        let now = Instant::now();
        let previous_answer = std::mem::replace(&mut self.last_answer_at, now);
        let failing = self.failing_since.take().map(|since| now - since);
        // A long poll may span an outage and still succeed; only other calls fail meanwhile.
        let path_outage = self
            .node
            .store
            .outage_ended_after(previous_answer)
            .filter(|time| *time >= MIN_EXPIRY_OUTAGE);
        let Some(outage) = failing.max(path_outage) else { return };
        let fields = slog::o!(
            "scope" => self.scope.label(),
            "outage_ms" => outage.as_millis() as u64,
            "peer" => self.node.store.current_peer().map(|peer| peer.to_string()),
        );
        self.node.emit(LogEvent::StoreReturned, fields);
        if outage < MIN_EXPIRY_OUTAGE {
            return;
        }
        match self.scope {
            MirrorScope::Replicas => self.node.fleet.lock().record_store_return(now),
            MirrorScope::Instances => self.node.members.lock().record_store_return(now),
            MirrorScope::Operators => {}
        }
    }

    fn record_failure(&mut self, error: &KvError) {
        metrics::counter!("yuccareel_store_failures_total", "scope" => self.scope.label())
            .increment(1);
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            let fields = slog::o!("scope" => self.scope.label(), "error" => error.to_string());
            self.node.emit(LogEvent::StoreLost, fields);
        }
    }
}

fn apply_config(node: &RelayNode, entry: &KvEntry) {
    match node.store_codec.read_config(&entry.value) {
        Ok(config) => {
            let current_version = node.config.load().as_ref().map_or(0, |config| config.version);
            let is_newer = config.version > current_version;
            let fields = slog::o!(
                "version" => config.version, "former" => current_version, "taken" => is_newer,
                "revision" => entry.mod_revision,
            );
            if is_newer {
                node.config.store(Some(Arc::new(config)));
            }
            node.emit(LogEvent::ConfigInEffect, fields);
        }
        Err(error) => {
            node.log_unreadable_record(&entry.key, &error);
        }
    }
}

fn apply_rollout_order(node: &RelayNode, service: &ids::ServiceName, entry: &KvEntry) {
    match node.store_codec.read_rollout(service, &entry.value) {
        Ok(order) => {
            let fields = slog::o!(
                "service" => service.to_string(), "target" => order.target.to_string(),
                "duration_ms" => order.time_limit.as_millis() as u64,
                "revision" => entry.mod_revision,
            );
            node.rollouts.lock().apply_order(order, entry.mod_revision, Instant::now());
            node.emit(LogEvent::RolloutOrdered, fields);
        }
        Err(error) => {
            node.log_unreadable_record(&entry.key, &error);
        }
    }
}

fn set_evacuated(
    node: &RelayNode,
    data_centre: ids::DataCentreName,
    is_evacuated: bool,
    revision: ids::KvRevision,
) {
    let fields = slog::o!(
        "data_centre" => data_centre.to_string(), "evacuated" => is_evacuated,
        "revision" => revision,
    );
    node.fleet.lock().set_evacuated(data_centre, is_evacuated, Instant::now());
    node.emit(LogEvent::DataCentreDrained, fields);
}

fn apply_replica(node: &RelayNode, name: &ids::ReplicaName, entry: &KvEntry) {
    let replica = match node.store_codec.read_replica(name, &entry.value) {
        Ok(replica) => replica,
        Err(error) => {
            // Without a readable entry, the replica's address and state are unknown.
            node.fleet.lock().expire_entry(name, Instant::now());
            node.log_unreadable_record(&entry.key, &error);
            return;
        }
    };
    let fields = slog::o!(
        "replica" => name.to_string(), "service" => replica.service.to_string(),
        "version" => replica.version.to_string(),
        "data_centre" => replica.data_centre.to_string(),
        "cold_ms" => replica.cold_left.as_millis() as u64, "sequence" => replica.sequence,
    );
    match node.fleet.lock().apply_entry(replica, Instant::now()) {
        EntryChange::Started => node.emit(LogEvent::ReplicaStarted, fields),
        EntryChange::Draining => node.emit(LogEvent::ReplicaDraining, fields),
        EntryChange::Updated => {}
    }
}

fn apply_instance_record(node: &RelayNode, entry: &KvEntry) {
    if let Some(name) = entry.key.strip_prefix(MEMBER_PREFIX) {
        match serde_json::from_slice::<MemberEntry>(&entry.value) {
            Ok(member) => {
                if node.members.lock().apply_entry(name.into(), member, entry.lease) {
                    node.emit(LogEvent::MemberJoined, slog::o!("member" => name.to_owned()));
                }
            }
            Err(error) => {
                node.log_unreadable_record(&entry.key, &error);
            }
        }
    } else {
        rollout_controller::apply_record(node, entry);
    }
}

fn remove_instance_record(node: &RelayNode, key: &str) {
    if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
        let removed = node.members.lock().expire_entry(name, Instant::now());
        let fields = slog::o!("member" => name.to_owned(), "kept" => !removed);
        node.emit(LogEvent::MemberLeft, fields);
    } else {
        rollout_controller::remove_record(node, key);
    }
}
