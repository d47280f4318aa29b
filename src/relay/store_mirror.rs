//! Copies of what stands in the platform's store, kept up by watches.
//!
//! Each mirror reads its prefix once and then follows the changes. When the store has dropped the
//! history that a watch needs, or a watch breaks, the mirror goes on from its last revision or
//! reads the prefix again. What it knew stays in use meanwhile.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::change_feed::ChangeFeed as _;
use super::member_list::MemberEntry;
use super::read_pace::ReadPace;
use super::relay_node::RelayNode;
use super::replica_fleet::EntryChange;
use super::retry_pause::RetryPause;
use super::rollout_duty;
use super::store_codec::StoreSubject;
use crate::event_catalogue::LogEvent;
use crate::ids;
use crate::kv_store::{KvEntry, KvError, KvEvent, KvStore as _};

/// Part of the time for which leaving replicas take calls that passes between two reads of the
/// list of replicas. Each replica writes its entry about once a second; a watch without a pause
/// would make a call for each of these writes.
const DRAIN_PART: f64 = 0.4;
/// Shortest time between two reads of the list of replicas, where they hardly drain.
const SHORTEST_REPLICA_PACE: Duration = Duration::from_millis(200);
/// Longest time between two reads of the list of replicas. Replicas also start, turn cold and are
/// gone; three missed heartbeats of about a second end an entry.
const LONGEST_REPLICA_PACE: Duration = Duration::from_millis(1_500);
/// Shortest time between two reads of the instances' own records. A peer that joins must soon be
/// known: it may be the only path to the store.
const FIRST_OWN_PACE: Duration = Duration::from_millis(150);
/// Longest time between two reads of the instances' own records. While many instances restart,
/// each of them changes these records; the tightest bound on them is the five seconds of a
/// rollback.
const LONGEST_OWN_PACE: Duration = Duration::from_secs(1);
/// Time without an answer after which entries may have lapsed in the store meanwhile.
const OUTAGE_TIME: Duration = Duration::from_secs(1);
/// Time for which a question for changes waits at the store. A connection that has fallen silent is
/// found by its keep-alive probes, well before.
const CHANGE_WAIT: Duration = Duration::from_secs(10);
/// Prefix of the instances' own records.
pub const OWN_PREFIX: &str = "yuccareel/";
/// Prefix of the members' records.
pub const MEMBER_PREFIX: &str = "yuccareel/member/";

/// What a mirror follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MirrorScope {
    /// What operators write.
    Operators,
    /// List of replicas.
    Replicas,
    /// Records of the instances themselves.
    Own,
}

impl MirrorScope {
    fn code(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Replicas => "replicas",
            Self::Own => "own",
        }
    }

    /// Pauses between two reads of the changes.
    pub fn pace(self, replica_drain: Duration) -> ReadPace {
        match self {
            Self::Operators => ReadPace::new(Duration::ZERO, Duration::ZERO),
            Self::Replicas => {
                let part = replica_drain.mul_f64(DRAIN_PART);
                let pace = part.clamp(SHORTEST_REPLICA_PACE, LONGEST_REPLICA_PACE);
                ReadPace::new(pace, pace)
            }
            Self::Own => ReadPace::new(FIRST_OWN_PACE, LONGEST_OWN_PACE),
        }
    }
}

/// Mirror of one prefix.
pub struct StoreMirror {
    node: Arc<RelayNode>,
    scope: MirrorScope,
    prefix: String,
    keys: BTreeSet<String>,
    failing_since: Option<Instant>,
    last_answer: Instant,
    pace: ReadPace,
    retry_pause: RetryPause,
}

impl StoreMirror {
    /// Mirror that has read nothing yet.
    pub fn new(node: Arc<RelayNode>, scope: MirrorScope) -> Self {
        let prefix = match scope {
            MirrorScope::Operators => node.store_codec.operator_prefix(),
            MirrorScope::Replicas => node.store_codec.replica_prefix(),
            MirrorScope::Own => OWN_PREFIX,
        };
        let prefix = prefix.to_owned();
        let pace = scope.pace(node.settings.bounds.replica_drain_grace);
        Self {
            node,
            scope,
            prefix,
            keys: BTreeSet::new(),
            failing_since: None,
            last_answer: Instant::now(),
            pace,
            retry_pause: RetryPause::default(),
        }
    }

    /// Follows the prefix until the process ends.
    pub async fn run(mut self) {
        let mut revision = None;
        loop {
            let outcome = match revision {
                None => self.read_all().await,
                Some(after) => self.follow(after).await,
            };
            match outcome {
                Ok(read) => revision = Some(read),
                Err(error) => {
                    self.record_failure(&error);
                    // Changes that cannot be followed from their revision are found by reading all.
                    if matches!(error, KvError::Unreadable(_)) {
                        revision = None;
                    }
                    tokio::time::sleep(self.retry_pause.after_failure()).await;
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
        for key in self.keys.difference(&present).cloned().collect::<Vec<_>>() {
            self.apply_removal(&key);
        }
        for entry in &range.entries {
            self.apply_entry(entry);
        }
        match self.scope {
            MirrorScope::Replicas => node.set_replicas_loaded(),
            MirrorScope::Own => node.refresh_member_names(),
            MirrorScope::Operators => {}
        }
        Ok(range.revision)
    }

    /// Applies the next changes; returns the revision up to which they go.
    async fn follow(&mut self, after: ids::KvRevision) -> Result<ids::KvRevision, KvError> {
        let node = self.node.clone();
        let asked = Instant::now();
        let changes = node.store.changes(&self.prefix, after, CHANGE_WAIT).await?;
        let waited = asked.elapsed();
        self.record_success();
        for change in &changes.events {
            self.apply(change);
        }
        if self.scope == MirrorScope::Own && !changes.events.is_empty() {
            node.refresh_member_names();
        }
        tokio::time::sleep(self.pace.after_read(waited)).await;
        Ok(changes.revision.max(after))
    }

    fn apply(&mut self, change: &KvEvent) {
        match change {
            KvEvent::Put(entry) => self.apply_entry(entry),
            KvEvent::Delete(key, _) => self.apply_removal(key),
        }
    }

    fn apply_entry(&mut self, entry: &KvEntry) {
        self.keys.insert(entry.key.clone());
        if self.scope == MirrorScope::Own {
            apply_own(&self.node, entry);
            return;
        }
        match self.node.store_codec.subject(&entry.key) {
            StoreSubject::Config => apply_config(&self.node, entry),
            StoreSubject::Rollout(service) => apply_order(&self.node, &service, entry),
            StoreSubject::Evacuation(data_centre) => {
                set_evacuated(&self.node, data_centre, true, entry.mod_revision);
            }
            StoreSubject::Replica(name) => apply_replica(&self.node, &name, entry),
            StoreSubject::Other => {}
        }
    }

    fn apply_removal(&mut self, key: &str) {
        self.keys.remove(key);
        if self.scope == MirrorScope::Own {
            remove_own(&self.node, key);
            return;
        }
        match self.node.store_codec.subject(key) {
            StoreSubject::Rollout(service) => self.node.rollouts.lock().remove_order(&service),
            StoreSubject::Evacuation(data_centre) => {
                set_evacuated(&self.node, data_centre, false, 0);
            }
            StoreSubject::Replica(name) => {
                let removed = self.node.fleet.lock().expire_entry(&name, Instant::now());
                let fields = slog::o!("replica" => name.to_string(), "kept" => !removed);
                self.node.emit(LogEvent::ReplicaRemoved, fields);
            }
            StoreSubject::Config | StoreSubject::Other => {}
        }
    }

    fn record_success(&mut self) {
        self.retry_pause.reset();
        let now = Instant::now();
        let former = std::mem::replace(&mut self.last_answer, now);
        let failing = self.failing_since.take().map(|since| now - since);
        // A question that waits for changes does not notice an outage itself.
        let unnoticed = self.node.store.outage_after(former).filter(|time| *time >= OUTAGE_TIME);
        let Some(outage) = failing.max(unnoticed) else { return };
        let fields = slog::o!(
            "scope" => self.scope.code(),
            "outage_ms" => outage.as_millis() as u64,
            "peer" => self.node.store.peer().map(|peer| peer.to_string()),
        );
        self.node.emit(LogEvent::StoreReturned, fields);
        if outage < OUTAGE_TIME {
            return;
        }
        match self.scope {
            MirrorScope::Replicas => self.node.fleet.lock().record_store_return(now),
            MirrorScope::Own => self.node.members.lock().store_returned(now),
            MirrorScope::Operators => {}
        }
    }

    fn record_failure(&mut self, error: &KvError) {
        metrics::counter!("yuccareel_store_failures_total", "scope" => self.scope.code())
            .increment(1);
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            let fields = slog::o!("scope" => self.scope.code(), "error" => error.to_string());
            self.node.emit(LogEvent::StoreLost, fields);
        }
    }
}

fn apply_config(node: &RelayNode, entry: &KvEntry) {
    match node.store_codec.read_config(&entry.value) {
        Ok(config) => {
            let current = node.config.load().as_ref().map_or(0, |config| config.version);
            let taken = config.version > current;
            let fields = slog::o!(
                "version" => config.version, "former" => current, "taken" => taken,
                "revision" => entry.mod_revision,
            );
            if taken {
                node.config.store(Some(Arc::new(config)));
            }
            node.emit(LogEvent::ConfigInEffect, fields);
        }
        Err(error) => {
            node.log_unreadable_record(&entry.key, &error);
        }
    }
}

fn apply_order(node: &RelayNode, service: &ids::ServiceName, entry: &KvEntry) {
    match node.store_codec.read_rollout(service, &entry.value) {
        Ok(order) => {
            let fields = slog::o!(
                "service" => service.to_string(), "target" => order.target.to_string(),
                "duration_ms" => order.duration.as_millis() as u64,
                "revision" => entry.mod_revision,
            );
            node.rollouts.lock().put_order(order, entry.mod_revision, Instant::now());
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
    evacuated: bool,
    revision: ids::KvRevision,
) {
    let fields = slog::o!(
        "data_centre" => data_centre.to_string(), "evacuated" => evacuated,
        "revision" => revision,
    );
    node.fleet.lock().set_evacuated(data_centre, evacuated, Instant::now());
    node.emit(LogEvent::DataCentreDrained, fields);
}

fn apply_replica(node: &RelayNode, name: &ids::ReplicaName, entry: &KvEntry) {
    let replica = match node.store_codec.read_replica(name, &entry.value) {
        Ok(replica) => replica,
        Err(error) => {
            // An entry that became unreadable names no replica to use.
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

fn apply_own(node: &RelayNode, entry: &KvEntry) {
    if let Some(name) = entry.key.strip_prefix(MEMBER_PREFIX) {
        match serde_json::from_slice::<MemberEntry>(&entry.value) {
            Ok(member) => {
                if node.members.lock().put(name.into(), member, entry.lease) {
                    node.emit(LogEvent::MemberJoined, slog::o!("member" => name.to_owned()));
                }
            }
            Err(error) => {
                node.log_unreadable_record(&entry.key, &error);
            }
        }
    } else {
        rollout_duty::apply_record(node, entry);
    }
}

fn remove_own(node: &RelayNode, key: &str) {
    if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
        let removed = node.members.lock().remove(name, Instant::now());
        let fields = slog::o!("member" => name.to_owned(), "kept" => !removed);
        node.emit(LogEvent::MemberLeft, fields);
    } else {
        rollout_duty::remove_record(node, key);
    }
}
