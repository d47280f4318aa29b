//! Configuration system: watch, confirm, push and fetch.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use rand::RngExt as _;
use tokio::time;

use crate::event_catalogue::LogEvent;
use crate::{
    config_apply, config_change, config_log, freshness, ids, member_choice, node, peer_message,
    token_index,
};

/// Time between two confirmations of the head by a watcher.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an event after which a watch is opened anew; its connection may be silent.
const WATCH_LIFE: Duration = Duration::from_secs(10);
/// Seconds between two reads of an unconfirmed node that is no watcher, on average.
const UNCONFIRMED_TURNS: u32 = 5;
/// Time for one call that spreads configuration.
pub const SPREAD_LIMIT: Duration = Duration::from_secs(2);

impl node::Node {
    /// Whether this node reads the key-value service and the instance list for its data centre.
    pub fn watches(&self) -> bool {
        member_choice::is_watcher(&self.members.lock(), self.clock())
    }

    /// Whether to confirm in this second.
    ///
    /// Without a fresh confirmation every node looks for itself, on average once in
    /// `UNCONFIRMED_TURNS` seconds, so that a service that comes back is not overrun.
    fn confirms_now(&self) -> bool {
        let age = self.confirmation.lock().age(self.clock());
        let unconfirmed = age.is_none_or(|age| age > freshness::CONFIRMED_AGE);
        self.watches() || unconfirmed && rand::rng().random_ratio(1, UNCONFIRMED_TURNS)
    }

    /// Watches the head while this node is a watcher, and confirms it once a second.
    pub async fn run_configuration(self: Arc<Self>) {
        let watching = Arc::clone(&self).run_watch();
        let confirming = Arc::clone(&self).run_confirmations();
        tokio::select! {
            () = self.stopped.cancelled() => {}
            () = watching => {}
            () = confirming => {}
        }
    }

    async fn run_confirmations(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(CONFIRM_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.confirms_now() {
                // The next second tries again.
                if let Err(error) = self.confirm().await {
                    self.emit(LogEvent::KvFailed, slog::o!("error" => error.to_string()));
                }
            }
        }
    }

    async fn run_watch(self: Arc<Self>) {
        loop {
            if self.watches()
                && let Ok(revision) = self.confirm().await
                && let Ok(mut heads) = self.config.watch_head(revision).await
            {
                while let Ok(Some(Ok(_))) = time::timeout(WATCH_LIFE, heads.next()).await {
                    // A failure is made up for by the next confirmation.
                    let _ = self.confirm().await;
                    if !self.watches() {
                        break;
                    }
                }
            }
            tokio::time::sleep(CONFIRM_INTERVAL).await;
        }
    }

    /// Reads the head, loads what is missing, and counts the configuration as confirmed.
    async fn confirm(&self) -> Result<ids::KvRevision, config_apply::ConfigError> {
        let sent_at = self.clock();
        let stored = self.config.head().await?;
        let sequence = stored.head.sequence;
        let known = self.log.lock().sequence();
        if sequence > known {
            self.load_missing(known, sequence).await?;
        }
        let in_effect = self.log.lock().sequence();
        self.confirmation.lock().confirm(sent_at, sequence, in_effect);
        self.refresh_view();
        Ok(stored.revision)
    }

    async fn load_missing(
        &self,
        known: ids::ConfigSequence,
        head: ids::ConfigSequence,
    ) -> Result<(), config_apply::ConfigError> {
        if known > 0
            && let Ok(changes) = self.config.load_changes(known, head).await
        {
            let changes: Vec<_> = changes.into_iter().map(Arc::new).collect();
            self.apply_changes(&changes);
            return Ok(());
        }
        let (snapshot, _) = self.config.load_snapshot().await?;
        self.log.lock().apply_snapshot(snapshot);
        self.put_in_effect();
        Ok(())
    }

    /// Applies changes and pushes those that were new; false when some are missing before them.
    pub fn apply_changes(&self, changes: &[Arc<config_change::ConfigChange>]) -> bool {
        let (mut fresh, mut gap) = (Vec::new(), false);
        {
            let mut log = self.log.lock();
            for change in changes {
                match log.apply(Arc::clone(change)) {
                    config_log::ApplyOutcome::Applied => fresh.push(Arc::clone(change)),
                    config_log::ApplyOutcome::Known => {}
                    config_log::ApplyOutcome::Gap => gap = true,
                }
            }
        }
        if !fresh.is_empty() {
            self.put_in_effect();
            self.push(peer_message::PushRequest { changes: fresh, ..Default::default() });
        }
        !gap
    }

    /// Sends news to 4 random peers; lost pushes are made up for by heartbeats.
    pub fn push(&self, request: peer_message::PushRequest) {
        let targets: Vec<_> = {
            let table = self.members.lock();
            let chosen = member_choice::push_targets(&table, self.clock(), &mut rand::rng());
            chosen.into_iter().map(|entry| entry.row.peer_address).collect()
        };
        for target in targets {
            let (peers, request) = (self.peers.clone(), request.clone());
            tokio::spawn(async move { peers.push_change(target, SPREAD_LIMIT, &request).await });
        }
    }

    /// Swaps in the log's snapshot with all that is derived from it.
    pub fn put_in_effect(&self) {
        let update = self.table_update.lock();
        let snapshot = Arc::clone(self.log.lock().snapshot());
        if snapshot.sequence <= self.snapshot.load().sequence {
            return;
        }
        let sequence = snapshot.sequence;
        self.tokens.store(Arc::new(token_index::TokenIndex::from_snapshot(&snapshot)));
        self.report_returned_replicas(&snapshot);
        self.snapshot.store(snapshot);
        self.rebuild_routes(self.replicas.load_full());
        drop(update);
        self.rebuild_endpoints(&self.view.load());
        self.update_weights();
        self.emit(LogEvent::ConfigInEffect, slog::o!("sequence" => sequence));
        self.queue_wake.notify_one();
    }

    /// Fetches what a peer with a newer configuration or list has.
    pub async fn fetch_from(&self, peer: std::net::SocketAddr, with_instances: bool) {
        let after = self.log.lock().sequence();
        let request = peer_message::FetchRequest { after, with_instances };
        let sent_at = self.clock();
        let Ok(reply) = self.peers.fetch_changes(peer, SPREAD_LIMIT, &request).await else {
            return;
        };
        match reply.configuration {
            peer_message::FetchedConfig::Changes(changes) => drop(self.apply_changes(&changes)),
            fetched => {
                if self.log.lock().apply_fetched(fetched) == config_log::ApplyOutcome::Applied {
                    self.put_in_effect();
                }
            }
        }
        if let Some(list) = reply.instances {
            let read_at = sent_at.saturating_sub(Duration::from_millis(list.age_ms));
            self.adopt_list(list.entries, read_at);
        }
    }
}
