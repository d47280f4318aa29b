//! Paths to the platform's store: directly, or through a peer.
//!
//! The store may refuse this instance while it serves others. A configuration or a withdrawn key
//! must take effect all the same, so the instance then reaches the store through the tunnel of a
//! peer, and tries the direct path again from time to time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use super::change_feed::{ChangeFeed, KvChanges};
use crate::ids;
use crate::kv_store::{KvEntry, KvError, KvEvent, KvOutcome, KvRange, KvStore, KvTransaction};

/// Time for which the direct path must fail before a peer is asked. A single refusal or a lost
/// answer is no reason to load a peer.
const FAILING_TIME: Duration = Duration::from_millis(600);
/// Time between two trials of the direct path while a peer is asked.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);
/// Key that a trial reads; whether it exists does not matter.
const TRIAL_KEY: &str = "yuccareel/trial";

/// Makes a client of the store for an address.
pub type StoreConnector = Box<dyn Fn(SocketAddr) -> Arc<dyn ChangeFeed> + Send + Sync>;

/// Number of a path; it changes with each choice of another one, and when a path that failed works
/// again.
type PathEpoch = u64;

struct PathState {
    /// Start of the failures of the direct path.
    failing_since: Option<Instant>,
    /// Start of the time without an answer on any path.
    outage_since: Option<Instant>,
    /// Start and end of the last such time.
    last_outage: Option<(Instant, Instant)>,
    last_good: Option<Instant>,
    peer: Option<(SocketAddr, Arc<dyn ChangeFeed>)>,
    tunnels: Vec<SocketAddr>,
    next_tunnel: usize,
    peers_tried: usize,
}

/// Store as this instance reaches it.
pub struct StorePaths {
    direct: Arc<dyn ChangeFeed>,
    connector: StoreConnector,
    state: Mutex<PathState>,
    epoch: watch::Sender<PathEpoch>,
}

impl StorePaths {
    /// Paths with the direct client, and tunnels of peers that are known from the start.
    pub fn new(
        direct: Arc<dyn ChangeFeed>,
        connector: StoreConnector,
        tunnels: Vec<SocketAddr>,
    ) -> Self {
        let state = PathState {
            failing_since: None,
            outage_since: None,
            last_outage: None,
            last_good: None,
            peer: None,
            tunnels,
            next_tunnel: 0,
            peers_tried: 0,
        };
        Self { direct, connector, state: Mutex::new(state), epoch: watch::Sender::new(0) }
    }

    /// Takes over the tunnels of the peers that live.
    pub fn set_peer_tunnels(&self, tunnels: Vec<SocketAddr>) {
        if !tunnels.is_empty() {
            self.state.lock().tunnels = tunnels;
        }
    }

    /// Peer through which the store is reached now.
    pub fn current_peer(&self) -> Option<SocketAddr> {
        self.state.lock().peer.as_ref().map(|(address, _)| *address)
    }

    /// Length of the last time without an answer on any path, if it ended after `time`.
    pub fn outage_ended_after(&self, time: Instant) -> Option<Duration> {
        let outage = self.state.lock().last_outage.filter(|(_, end)| *end > time);
        outage.map(|(start, end)| end - start)
    }

    /// Whether the direct path works, so that peers may use it.
    pub fn is_direct_path_up(&self) -> bool {
        let state = self.state.lock();
        state.peer.is_none() && state.failing_since.is_none() && state.last_good.is_some()
    }

    /// Tries the direct path from time to time while a peer is asked; runs until the process ends.
    pub async fn run_direct_probes(&self) {
        loop {
            tokio::time::sleep(TRIAL_INTERVAL).await;
            if self.current_peer().is_some() && self.direct.get(TRIAL_KEY).await.is_ok() {
                let mut state = self.state.lock();
                state.failing_since = None;
                self.choose_path(&mut state, None);
            }
        }
    }

    fn current(&self) -> (Arc<dyn ChangeFeed>, PathEpoch) {
        let state = self.state.lock();
        let store = state.peer.as_ref().map_or(&self.direct, |(_, store)| store);
        (store.clone(), *self.epoch.borrow())
    }

    fn choose_path(&self, state: &mut PathState, address: Option<SocketAddr>) {
        state.peer = address.map(|address| (address, (self.connector)(address)));
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    fn next_peer(&self, state: &mut PathState) {
        let place = state.next_tunnel % state.tunnels.len();
        state.next_tunnel = place + 1;
        let address = state.tunnels[place];
        self.choose_path(state, Some(address));
    }

    /// Counts the outcome of a call for the choice of the path.
    fn record(&self, good: bool, epoch: PathEpoch, started: Instant) {
        let mut state = self.state.lock();
        if epoch != *self.epoch.borrow() {
            // The call was made on a path that was left since.
            return;
        }
        let direct = state.peer.is_none();
        let now = Instant::now();
        if !good {
            state.outage_since.get_or_insert(started);
        }
        match (good, direct) {
            (true, _) => {
                if let Some(since) = state.outage_since.take() {
                    state.last_outage = Some((since, now));
                    if now >= since + FAILING_TIME {
                        // A store that was away may never answer what it was asked meanwhile.
                        self.epoch.send_modify(|epoch| *epoch += 1);
                    }
                }
                state.last_good = Some(now);
                state.peers_tried = 0;
                if direct {
                    state.failing_since = None;
                }
            }
            (false, true) => {
                let since = *state.failing_since.get_or_insert(started);
                if now >= since + FAILING_TIME && !state.tunnels.is_empty() {
                    state.peers_tried = 1;
                    self.next_peer(&mut state);
                }
            }
            (false, false) if state.peers_tried < state.tunnels.len() => {
                state.peers_tried += 1;
                self.next_peer(&mut state);
            }
            (false, false) => {
                // The peers fail as well while the store is away for all.
                state.failing_since = Some(now);
                self.choose_path(&mut state, None);
            }
        }
    }

    /// Makes a call on the path in use and counts its outcome for the choice of the path.
    async fn call<'a, T>(
        &self,
        name: &'static str,
        call: impl FnOnce(Arc<dyn ChangeFeed>) -> BoxFuture<'a, Result<T, KvError>>,
    ) -> Result<T, KvError> {
        let ((store, epoch), started) = (self.current(), Instant::now());
        let outcome = call(store).await;
        // An answer that cannot be read came from a store that serves this instance.
        let good = matches!(outcome, Ok(_) | Err(KvError::Unreadable(_)));
        let result = if good { "answered" } else { "failed" };
        metrics::counter!("yuccareel_store_calls_total", "call" => name, "outcome" => result)
            .increment(1);
        self.record(good, epoch, started);
        outcome
    }
}

impl KvStore for StorePaths {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<KvEntry>, KvError>> {
        self.call("get", move |store| async move { store.get(key).await }.boxed()).boxed()
    }

    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<KvRange, KvError>> {
        self.call("range", move |store| async move { store.range(prefix).await }.boxed()).boxed()
    }

    fn commit(&self, transaction: KvTransaction) -> BoxFuture<'_, Result<KvOutcome, KvError>> {
        self.call("commit", |store| async move { store.commit(transaction).await }.boxed()).boxed()
    }

    fn grant_lease(&self, ttl_s: i64) -> BoxFuture<'_, Result<ids::LeaseId, KvError>> {
        self.call("grant", move |store| async move { store.grant_lease(ttl_s).await }.boxed())
            .boxed()
    }

    fn renew_lease(&self, lease: ids::LeaseId) -> BoxFuture<'_, Result<bool, KvError>> {
        self.call("renew", move |store| async move { store.renew_lease(lease).await }.boxed())
            .boxed()
    }

    fn revoke_lease(&self, lease: ids::LeaseId) -> BoxFuture<'_, Result<(), KvError>> {
        self.call("revoke", move |store| async move { store.revoke_lease(lease).await }.boxed())
            .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: ids::KvRevision,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<KvEvent, KvError>>, KvError>> {
        self.call("watch", move |store| async move { store.watch(prefix, after).await }.boxed())
            .boxed()
    }
}

impl ChangeFeed for StorePaths {
    /// Ends early when another path is chosen or the path works again after an outage: a question
    /// may wait at a store that has fallen silent.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: ids::KvRevision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<KvChanges, KvError>> {
        async move {
            let mut chosen = self.epoch.subscribe();
            let epoch = *chosen.borrow_and_update();
            let asking = self.call("changes", move |store| {
                async move { store.changes(prefix, after, wait).await }.boxed()
            });
            tokio::select! {
                // A call that itself leads to another path has its outcome, and that counts.
                biased;
                outcome = asking => outcome,
                // The sender lives as long as the paths.
                _ = chosen.wait_for(|now| *now != epoch) => {
                    Err(KvError::NoAnswer("asked again, as the path has changed".to_owned()))
                }
            }
        }
        .boxed()
    }
}
