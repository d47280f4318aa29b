//! Local copies of the records in the platform's store, kept current by polling.
//!
//! Each mirror reads its prefix once and then polls for the changes since the last revision, from
//! the store or from the reader of its data centre (see `shared_feed`). After a failed poll it
//! resumes from that revision, with a poll that the store does not hold; if the store no longer has
//! those changes, or they are too large for one answer, it reads the whole prefix again. The copies
//! stay in use in the meantime.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio::time::Instant;

use super::change_feed::ChangeFeed as _;
use super::era_watch::MARK_KEY;
use super::member_list::MemberEntry;
use super::mirror_scope::MirrorScope;
use super::poll_interval::PollInterval;
use super::relay_node::RelayNode;
use super::replica_fleet::EntryChange;
use super::retry_backoff::RetryBackoff;
use super::shared_feed::feed_batch::{BatchContent, FeedBatch};
use super::shared_feed::feed_client::{FeedClient, FeedError};
use super::shared_feed::feed_message::FeedRequest;
use super::shared_feed::reader_choice::{ReaderChoice, RecordSource};
use super::store_codec::StoreKey;
use super::{era_recovery, rollout_controller, store_era, suspect_writer};
use crate::event_catalogue::LogEvent;
use crate::ids;
use crate::kv_store::{KvEntry, KvError, KvEvent, KvStore as _};

/// Shortest outage during which entries of live owners may have expired in the store.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_secs(1);
/// Pause between the first read and the first poll. When all instances start at once, the member
/// list is complete after it, and few of them need to poll the store.
const SETTLING_TIME: Duration = Duration::from_millis(400);
/// Time for which all instances register on their first start, before the member list is read.
const REGISTRATION_TIME: Duration = Duration::from_millis(600);
/// Time on the first start after which the member list has been read.
const MEMBERSHIP_TIME: Duration = Duration::from_millis(900);
/// Prefix of the records that instances write for each other, except rollout evidence.
pub const INSTANCE_PREFIX: &str = "yuccareel/";
/// Prefix of the member entries.
pub const MEMBER_PREFIX: &str = "yuccareel/member/";

/// Mirror of the records below one prefix.
pub struct StoreMirror {
    node: Arc<RelayNode>,
    scope: MirrorScope,
    prefix: String,
    /// Whether the changes since the last revision are lost, so that the whole prefix must be read.
    needs_full_read: bool,
    is_first_read: bool,
    failing_since: Option<Instant>,
    last_answer_at: Instant,
    poll_interval: PollInterval,
    has_readers: bool,
    retry_backoff: RetryBackoff,
    reader_choice: ReaderChoice,
    feed_client: FeedClient,
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
        let poll_interval = scope.poll_interval(node.settings.bounds.replica_drain_grace, false);
        let feed_client = FeedClient::new(node.settings.listen.feed.ip());
        Self {
            node,
            scope,
            prefix,
            needs_full_read: true,
            is_first_read: true,
            failing_since: None,
            last_answer_at: Instant::now(),
            poll_interval,
            has_readers: false,
            retry_backoff: RetryBackoff::default(),
            reader_choice: ReaderChoice::default(),
            feed_client,
        }
    }

    /// Keeps the copies current until the process ends.
    pub async fn run(mut self) {
        if self.node.settings.is_first_start {
            self.start_together().await;
        }
        let mut eras = self.node.store.store_eras().subscribe();
        loop {
            let outcome = tokio::select! {
                biased;
                outcome = self.update() => outcome,
                // A poll that the former store holds may never end.
                _ = eras.changed() => continue,
            };
            if let Err(error) = outcome {
                self.record_failure(&error);
                if matches!(error, KvError::Unreadable(_)) {
                    self.needs_full_read = true;
                }
                tokio::time::sleep(self.retry_backoff.next_delay()).await;
            }
        }
    }

    /// First read on the first start of all instances, when no caller waits: once the instances have
    /// registered, all but the readers take the records from a reader. If that fails, they are read
    /// from the store later.
    async fn start_together(&mut self) {
        let is_instances = self.scope == MirrorScope::Instances;
        tokio::time::sleep(if is_instances { REGISTRATION_TIME } else { MEMBERSHIP_TIME }).await;
        if is_instances {
            return;
        }
        if let RecordSource::Reader(name, address) = self.source() {
            match self.take_from_reader(address).await {
                Ok(()) => {
                    self.needs_full_read = false;
                    if self.scope == MirrorScope::Replicas {
                        self.node.set_replicas_loaded();
                    }
                }
                Err(error) => self.record_reader_failure(name, &error),
            }
        }
    }

    /// Brings the copies up to date from the reader of the data centre, or else from the store.
    async fn update(&mut self) -> Result<(), KvError> {
        if self.needs_full_read {
            self.read_all().await?;
            let is_start = std::mem::take(&mut self.is_first_read);
            self.needs_full_read = false;
            if is_start && self.scope != MirrorScope::Instances {
                // The member list is being read, by which a reader of the data centre is found.
                tokio::time::sleep(SETTLING_TIME).await;
            }
            return Ok(());
        }
        let has_readers = match self.source() {
            RecordSource::Reader(name, address) => {
                match self.take_from_reader(address).await {
                    Ok(()) => return Ok(()),
                    Err(error) => self.record_reader_failure(name, &error),
                }
                // Short polls, until another reader is asked.
                true
            }
            RecordSource::Store { has_readers } => {
                has_readers || self.node.feeds.has_readers(self.scope, Instant::now())
            }
        };
        self.set_has_readers(has_readers);
        if !self.node.has_read_era(self.scope) {
            return self.read_all().await;
        }
        self.poll_store().await
    }

    fn source(&self) -> RecordSource {
        let settings = &self.node.settings;
        let members = self.node.members.lock();
        let (name, data_centre) = (&settings.name, &settings.data_centre);
        self.reader_choice.source(members.iter(), name, data_centre, self.scope, Instant::now())
    }

    fn set_has_readers(&mut self, has_readers: bool) {
        if self.has_readers != has_readers {
            self.has_readers = has_readers;
            let replica_drain = self.node.settings.bounds.replica_drain_grace;
            self.poll_interval = self.scope.poll_interval(replica_drain, has_readers);
        }
    }

    async fn read_all(&mut self) -> Result<(), KvError> {
        let node = self.node.clone();
        let asked_at = Instant::now();
        let range = node.store.range(&self.prefix).await?;
        self.record_success();
        if self.apply_snapshot(range.entries, range.revision) {
            self.confirm(asked_at.elapsed());
        }
        if self.scope == MirrorScope::Replicas {
            node.set_replicas_loaded();
        }
        Ok(())
    }

    /// Time for which the store may hold the next poll.
    fn next_hold(&self) -> Duration {
        if self.failing_since.is_some() {
            // A hold would hide what was missed: the store may hold a poll although it has lost the
            // changes since the revision, and a frozen peer never passes it on.
            return Duration::ZERO;
        }
        self.scope.store_hold(&self.node.settings.bounds, self.has_readers)
    }

    /// Waits for changes in the store and applies them.
    async fn poll_store(&mut self) -> Result<(), KvError> {
        let node = self.node.clone();
        let after = node.feeds.log(self.scope).lock().revision();
        let hold = self.next_hold();
        let polled_at = Instant::now();
        let answer_time = self.scope.store_answer_time(&node.settings.bounds);
        let poll = node.store.changes(&self.prefix, after, hold, answer_time);
        let changes = tokio::select! {
            biased;
            changes = poll => changes,
            // The records of a long poll are too old for others; the next poll is a short one.
            () = node.feeds.wait_for_reader(self.scope), if !self.has_readers => return Ok(()),
        };
        let waited = polled_at.elapsed();
        let changes = match changes {
            // The next poll follows without a pause, as this one has waited for long enough.
            Err(error @ KvError::NoAnswer(_)) if !hold.is_zero() && waited >= hold => {
                let fields = slog::o!(
                    "scope" => self.scope.label(), "hold_ms" => hold.as_millis() as u64,
                    "waited_ms" => waited.as_millis() as u64, "revision" => after,
                );
                node.emit(LogEvent::PollOverdue, fields);
                self.record_failure(&error);
                return Ok(());
            }
            other => other?,
        };
        self.record_success();
        // A poll without changes is answered at the end of the hold, any other at an unknown time.
        let age = if changes.events.is_empty() { waited.saturating_sub(hold) } else { waited };
        if self.apply_changes(after, changes.events, changes.revision) {
            self.confirm(age);
        }
        tokio::time::sleep(self.poll_interval.next_pause(waited)).await;
        Ok(())
    }

    /// Waits for changes at a reader and applies them.
    async fn take_from_reader(&mut self, reader: SocketAddr) -> Result<(), FeedError> {
        let node = self.node.clone();
        let bounds = &node.settings.bounds;
        let after = node.feeds.log(self.scope).lock().revision();
        // A reader that has not noticed the present era learns of it by the request.
        let era_start = store_era::start_of(node.store.store_eras().current());
        let request = FeedRequest { scope: self.scope, after: after.max(era_start) };
        let answer_time = self.scope.reader_answer_time(bounds);
        let timeout = self.scope.reader_hold(bounds) + answer_time;
        let (batch, age) = self.feed_client.request(reader, request, answer_time, timeout).await?;
        let max_age = self.scope.max_age(bounds);
        if batch.revision < after.max(era_start) {
            // The copies come from a later read of the store. The reader will catch up.
            let own_age = node.feeds.log(self.scope).lock().age(Instant::now(), SystemTime::now());
            let is_current = own_age.is_some_and(|age| age <= max_age);
            return if is_current { Ok(()) } else { Err(FeedError::Behind) };
        }
        let is_current = age <= max_age;
        if is_current {
            self.record_success();
        }
        if !self.apply_batch(batch) {
            return Err(FeedError::Behind);
        }
        self.confirm(age);
        if is_current { Ok(()) } else { Err(FeedError::Stale(age)) }
    }

    /// Applies a batch; returns `false` if it does not fit the copies.
    fn apply_batch(&mut self, batch: FeedBatch) -> bool {
        // Before the changes: entries that expired in the outage get a grace period.
        if let Some(since) = batch.since_store_return {
            let now = Instant::now();
            self.record_store_return(now.checked_sub(since).unwrap_or(now));
        }
        match batch.content {
            BatchContent::Changes(events) => {
                self.apply_changes(batch.after, events, batch.revision)
            }
            BatchContent::Snapshot(events) => {
                let entries = events.into_iter().filter_map(|event| match event {
                    KvEvent::Put(entry) => Some(entry),
                    KvEvent::Delete(..) => None,
                });
                self.apply_snapshot(entries.collect(), batch.revision)
            }
        }
    }

    /// Replaces the copies; returns `false` if they are newer.
    fn apply_snapshot(&mut self, entries: Vec<KvEntry>, revision: ids::KvRevision) -> bool {
        let node = self.node.clone();
        let is_new_era = self.enter_era(revision);
        let gone = node.feeds.log(self.scope).lock().apply_all(entries.iter().cloned(), revision);
        let Some(gone) = gone else { return false };
        for key in &gone {
            // What the first read of an era lacks may only have been undone.
            if !(is_new_era && era_recovery::defer_removal(&node, self.scope, key)) {
                apply_removal(&node, self.scope, key);
            }
        }
        for entry in &entries {
            self.apply_entry(entry);
        }
        self.finish_changes();
        true
    }

    /// Enters the era of records that are about to be applied; returns whether it is later than that
    /// of the copies.
    fn enter_era(&self, revision: ids::KvRevision) -> bool {
        let eras = self.node.store.store_eras();
        if eras.current() == 0 {
            return false;
        }
        let era = store_era::era_of(revision);
        eras.observe(era);
        era_recovery::enter(&self.node, era);
        era > store_era::era_of(self.node.feeds.log(self.scope).lock().revision())
    }

    /// Applies changes to the copies; returns `false` if earlier ones are missing.
    fn apply_changes(
        &mut self,
        after: ids::KvRevision,
        events: Vec<KvEvent>,
        revision: ids::KvRevision,
    ) -> bool {
        let node = self.node.clone();
        let newer = node.feeds.log(self.scope).lock().apply_changes(after, events, revision);
        let Some(newer) = newer else { return false };
        if newer.is_empty() {
            return true;
        }
        for change in &newer {
            match change {
                KvEvent::Put(entry) => self.apply_entry(entry),
                KvEvent::Delete(key, _) => apply_removal(&node, self.scope, key),
            }
        }
        self.finish_changes();
        true
    }

    fn finish_changes(&self) {
        if self.scope == MirrorScope::Instances {
            self.node.refresh_member_names();
        }
        self.node.feeds.notify(self.scope);
    }

    /// Records that the copies were current in the store `age` ago.
    fn confirm(&self, age: Duration) {
        let mut log = self.node.feeds.log(self.scope).lock();
        log.confirm(age, Instant::now(), SystemTime::now());
    }

    fn apply_entry(&self, entry: &KvEntry) {
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
        self.record_store_return(now);
    }

    /// Starts the grace period of expired entries after the return of the store at `returned_at`,
    /// unless a later return is known.
    fn record_store_return(&self, returned_at: Instant) {
        {
            let mut log = self.node.feeds.log(self.scope).lock();
            if log.store_returned_at().is_some_and(|known| returned_at <= known) {
                return;
            }
            log.record_store_return(returned_at);
        }
        match self.scope {
            MirrorScope::Replicas => self.node.fleet.lock().record_store_return(returned_at),
            MirrorScope::Instances => self.node.members.lock().record_store_return(returned_at),
            MirrorScope::Operators => {}
        }
    }

    fn record_reader_failure(&mut self, reader: ids::InstanceName, error: &FeedError) {
        metrics::counter!("yuccareel_feed_failures_total", "scope" => self.scope.label())
            .increment(1);
        let fields = slog::o!(
            "scope" => self.scope.label(), "reader" => reader.to_string(),
            "error" => error.to_string(),
        );
        self.node.emit(LogEvent::ReaderFailed, fields);
        // A batch that is too large says nothing about the next one.
        if !matches!(error, FeedError::TooLarge) {
            self.reader_choice.record_failure(reader, Instant::now());
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

/// Applies the deletion of a record.
pub(super) fn apply_removal(node: &RelayNode, scope: MirrorScope, key: &str) {
    if scope == MirrorScope::Instances {
        remove_instance_record(node, key);
        return;
    }
    match node.store_codec.parse_key(key) {
        StoreKey::Rollout(service) => node.rollouts.lock().remove_order(&service),
        StoreKey::Evacuation(data_centre) => set_evacuated(node, data_centre, false, 0),
        StoreKey::Replica(name) => {
            let removed = node.fleet.lock().expire_entry(&name, Instant::now());
            let fields = slog::o!("replica" => name.to_string(), "kept" => !removed);
            node.emit(LogEvent::ReplicaRemoved, fields);
        }
        StoreKey::Config | StoreKey::Other => {}
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
    } else if entry.key == MARK_KEY {
        node.store.store_eras().set_mark(entry.mod_revision, &entry.value);
    } else if !suspect_writer::apply_record(node, entry) {
        rollout_controller::apply_record(node, entry);
    }
}

fn remove_instance_record(node: &RelayNode, key: &str) {
    if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
        let removed = node.members.lock().expire_entry(name, Instant::now());
        let fields = slog::o!("member" => name.to_owned(), "kept" => !removed);
        node.emit(LogEvent::MemberLeft, fields);
    } else if key == MARK_KEY {
        node.store.store_eras().clear_mark();
    } else if !suspect_writer::remove_record(node, key) {
        rollout_controller::remove_record(node, key);
    }
}
