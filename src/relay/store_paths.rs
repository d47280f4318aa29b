//! Paths to the platform's store: directly, or through the tunnel of a peer.
//!
//! The store may refuse this instance while it serves others. A new configuration or a withdrawn
//! API key must take effect all the same, so the instance then calls the store through a peer and
//! probes the direct path until it works again.

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
use super::era_watch::{EraWatch, MARK_KEY};
use super::path_evidence::PathEvidence;
use super::switch_cause::SwitchCause;
use crate::event_catalogue::{self, LogEvent};
use crate::ids;
use crate::kv_store::{
    KvCompare, KvEntry, KvError, KvEvent, KvOutcome, KvRange, KvStore, KvTransaction,
};

/// Time for which all calls on the direct path must fail before a peer is used. A single refusal or
/// lost answer must not put load on a peer.
const FAILOVER_DELAY: Duration = Duration::from_millis(600);
/// Time between two probes of the direct path while a peer is used.
const DIRECT_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Key that a probe reads. It need not exist.
const DIRECT_PROBE_KEY: &str = "yuccareel/trial";

/// Creates a store client that connects to a peer's tunnel.
pub type StoreConnector = Box<dyn Fn(SocketAddr) -> Arc<dyn ChangeFeed> + Send + Sync>;

/// Counter that rises with each switch to another path, and when a failing path works again after
/// an outage. Outcomes and long polls of an earlier epoch are obsolete.
type PathEpoch = u64;

struct PathState {
    /// Time from which the direct path has failed since it last worked.
    direct_failing_since: Option<Instant>,
    /// Time from which calls have failed since the last answer on any path.
    outage_since: Option<Instant>,
    /// Start and end of the last such outage.
    last_outage: Option<(Instant, Instant)>,
    last_answer_at: Option<Instant>,
    /// Peer whose tunnel is used; `None` while the direct path is.
    current_peer: Option<(SocketAddr, Arc<dyn ChangeFeed>)>,
    tunnels: Vec<SocketAddr>,
    next_tunnel_index: usize,
    /// Peers tried in a row since the last answer.
    peers_tried: usize,
}

impl PathState {
    /// Address of the peer whose tunnel is used.
    fn peer_address(&self) -> Option<SocketAddr> {
        self.current_peer.as_ref().map(|(address, _)| *address)
    }
}

/// Value of the `path` field of log lines.
fn path_label(peer: Option<SocketAddr>) -> String {
    peer.map_or_else(|| "direct".to_owned(), |address| address.to_string())
}

/// Store client that fails over from the direct path to peers.
pub struct StorePaths {
    direct: Arc<dyn ChangeFeed>,
    connector: StoreConnector,
    state: Mutex<PathState>,
    eras: Arc<EraWatch>,
    epoch: watch::Sender<PathEpoch>,
    logger: slog::Logger,
}

impl StorePaths {
    /// Starts on the direct path. `tunnels` are the addresses of peers until `set_peer_tunnels`
    /// replaces them.
    pub fn new(
        direct: Arc<dyn ChangeFeed>,
        connector: StoreConnector,
        tunnels: Vec<SocketAddr>,
        logger: slog::Logger,
    ) -> Self {
        let state = PathState {
            direct_failing_since: None,
            outage_since: None,
            last_outage: None,
            last_answer_at: None,
            current_peer: None,
            tunnels,
            next_tunnel_index: 0,
            peers_tried: 0,
        };
        let eras = direct.eras().unwrap_or_default();
        let epoch = watch::Sender::new(0);
        Self { direct, connector, state: Mutex::new(state), eras, epoch, logger }
    }

    /// Eras of the store, over all paths.
    pub fn store_eras(&self) -> &EraWatch {
        &self.eras
    }

    /// Sets the tunnel addresses of the current members. An empty list is ignored, so that the last
    /// known peers stay usable.
    pub fn set_peer_tunnels(&self, tunnels: Vec<SocketAddr>) {
        if !tunnels.is_empty() {
            self.state.lock().tunnels = tunnels;
        }
    }

    /// Peer through which calls go; `None` on the direct path.
    pub fn current_peer(&self) -> Option<SocketAddr> {
        self.state.lock().peer_address()
    }

    /// Length of the last outage of all paths, if it ended after `time`.
    pub fn outage_ended_after(&self, time: Instant) -> Option<Duration> {
        let outage = self.state.lock().last_outage.filter(|(_, end)| *end > time);
        outage.map(|(start, end)| end - start)
    }

    /// Whether calls go directly to the store and the last one was answered, so that peers may
    /// tunnel through this instance.
    pub fn is_direct_path_up(&self) -> bool {
        let state = self.state.lock();
        state.current_peer.is_none()
            && state.direct_failing_since.is_none()
            && state.last_answer_at.is_some()
    }

    /// Probes the direct path while a peer is used and switches back once it answers. Runs until
    /// the process ends.
    pub async fn run_direct_probes(&self) {
        loop {
            tokio::time::sleep(DIRECT_PROBE_INTERVAL).await;
            if self.current_peer().is_some() && self.direct.get(DIRECT_PROBE_KEY).await.is_ok() {
                let mut state = self.state.lock();
                state.direct_failing_since = None;
                self.switch_path(&mut state, None, SwitchCause::ProbeAnswered);
            }
        }
    }

    /// Client of the current path, the peer that it leads through, and its epoch.
    fn current_path(&self) -> (Arc<dyn ChangeFeed>, Option<SocketAddr>, PathEpoch) {
        let state = self.state.lock();
        let store = state.current_peer.as_ref().map_or(&self.direct, |(_, store)| store);
        (store.clone(), state.peer_address(), *self.epoch.borrow())
    }

    /// Switches to the tunnel at `address`, or to the direct path.
    fn switch_path(&self, state: &mut PathState, address: Option<SocketAddr>, cause: SwitchCause) {
        let outage = state.outage_since.map_or(Duration::ZERO, |since| since.elapsed());
        let fields = slog::o!(
            "path" => path_label(address), "former" => path_label(state.peer_address()),
            "cause" => cause.label(), "outage_ms" => outage.as_millis() as u64,
        );
        event_catalogue::emit(&self.logger, LogEvent::StorePathChanged, fields);
        state.current_peer = address.map(|address| (address, (self.connector)(address)));
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    fn switch_to_next_peer(&self, state: &mut PathState, cause: SwitchCause) {
        let index = state.next_tunnel_index % state.tunnels.len();
        state.next_tunnel_index = index + 1;
        let address = state.tunnels[index];
        self.switch_path(state, Some(address), cause);
    }

    /// Records what a call that was made at `started` shows, and switches the path where its
    /// failures require it.
    fn record_evidence(&self, evidence: PathEvidence, epoch: PathEpoch, started: Instant) {
        let mut state = self.state.lock();
        if epoch != *self.epoch.borrow() {
            // The path has changed since the call was made.
            return;
        }
        let now = Instant::now();
        match evidence {
            PathEvidence::Answered => self.record_answer(&mut state, now),
            // The store lost this poll and answered others, so the path works.
            PathEvidence::PollOverdue if state.last_answer_at.is_some_and(|at| at > started) => {}
            PathEvidence::Failed | PathEvidence::PollOverdue => {
                self.record_failure(&mut state, started, now);
            }
            PathEvidence::PollCut => {
                let outage_since = *state.outage_since.get_or_insert(now);
                // A tunnel that worked when the poll was sent may still work; the next call shows it.
                if state.current_peer.is_none() || started >= outage_since {
                    self.record_failure(&mut state, now, now);
                }
            }
        }
    }

    fn record_answer(&self, state: &mut PathState, now: Instant) {
        if let Some(since) = state.outage_since.take() {
            state.last_outage = Some((since, now));
            if now >= since + FAILOVER_DELAY {
                // Long polls sent during the outage may never be answered; end them.
                self.epoch.send_modify(|epoch| *epoch += 1);
            }
        }
        state.last_answer_at = Some(now);
        state.peers_tried = 0;
        if state.current_peer.is_none() {
            state.direct_failing_since = None;
        }
    }

    /// Records that the current path has failed since `failing_since`.
    fn record_failure(&self, state: &mut PathState, failing_since: Instant, now: Instant) {
        state.outage_since.get_or_insert(failing_since);
        if state.current_peer.is_none() {
            let since = *state.direct_failing_since.get_or_insert(failing_since);
            if now >= since + FAILOVER_DELAY && !state.tunnels.is_empty() {
                state.peers_tried = 1;
                self.switch_to_next_peer(state, SwitchCause::DirectFailed);
            }
        } else if state.peers_tried < state.tunnels.len() {
            state.peers_tried += 1;
            self.switch_to_next_peer(state, SwitchCause::PeerFailed);
        } else {
            // Every peer failed too, so the store is probably down for all.
            state.direct_failing_since = Some(now);
            self.switch_path(state, None, SwitchCause::AllPeersFailed);
        }
    }

    /// Makes a call on the current path and records its outcome. `poll_time` is the time within
    /// which a poll must be answered; `None` for any other call.
    async fn call<'a, T>(
        &self,
        name: &'static str,
        poll_time: Option<Duration>,
        call: impl FnOnce(Arc<dyn ChangeFeed>) -> BoxFuture<'a, Result<T, KvError>>,
    ) -> Result<T, KvError> {
        let ((store, peer, epoch), started) = (self.current_path(), Instant::now());
        let outcome = call(store).await;
        let evidence = PathEvidence::new(&outcome, started.elapsed(), poll_time);
        let result = if evidence == PathEvidence::Answered { "answered" } else { "failed" };
        metrics::counter!("yuccareel_store_calls_total", "call" => name, "outcome" => result)
            .increment(1);
        if let Err(error) = &outcome {
            let fields = slog::o!(
                "call" => name, "path" => path_label(peer), "error" => error.to_string(),
                "waited_ms" => started.elapsed().as_millis() as u64,
                "due_ms" => poll_time.map(|time| time.as_millis() as u64),
            );
            event_catalogue::emit(&self.logger, LogEvent::StoreCallFailed, fields);
        }
        self.record_evidence(evidence, epoch, started);
        outcome
    }
}

impl KvStore for StorePaths {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<KvEntry>, KvError>> {
        self.call("get", None, move |store| async move { store.get(key).await }.boxed()).boxed()
    }

    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<KvRange, KvError>> {
        self.call("range", None, move |store| async move { store.range(prefix).await }.boxed())
            .boxed()
    }

    fn commit(&self, transaction: KvTransaction) -> BoxFuture<'_, Result<KvOutcome, KvError>> {
        async move {
            let mut transaction = transaction;
            let mark = self.eras.guard(&transaction)?;
            let compare = mark.map(|mark| KvCompare::ModRevision(MARK_KEY.to_owned(), mark));
            transaction.compares.extend(compare);
            let commit = self.call("commit", None, |store| {
                async move { store.commit(transaction).await }.boxed()
            });
            let mut outcome = commit.await?;
            if let Some(mark) = mark {
                let is_other =
                    |entry: &KvEntry| entry.key == MARK_KEY && entry.mod_revision != mark;
                if outcome.current.iter().any(is_other) {
                    return Err(KvError::Refused("the mark of the era has changed".to_owned()));
                }
                // The caller does not compare the mark.
                outcome.current.retain(|entry| entry.key != MARK_KEY);
            }
            Ok(outcome)
        }
        .boxed()
    }

    fn grant_lease(&self, ttl_s: i64) -> BoxFuture<'_, Result<ids::LeaseId, KvError>> {
        self.call("grant", None, move |store| async move { store.grant_lease(ttl_s).await }.boxed())
            .boxed()
    }

    fn renew_lease(&self, lease: ids::LeaseId) -> BoxFuture<'_, Result<bool, KvError>> {
        self.call("renew", None, move |store| async move { store.renew_lease(lease).await }.boxed())
            .boxed()
    }

    fn revoke_lease(&self, lease: ids::LeaseId) -> BoxFuture<'_, Result<(), KvError>> {
        self.call("revoke", None, move |store| {
            async move { store.revoke_lease(lease).await }.boxed()
        })
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: ids::KvRevision,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<KvEvent, KvError>>, KvError>> {
        self.call("watch", None, move |store| {
            async move { store.watch(prefix, after).await }.boxed()
        })
        .boxed()
    }
}

impl ChangeFeed for StorePaths {
    /// Fails early when the path changes or works again after an outage, because the store that
    /// holds the poll may never answer.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: ids::KvRevision,
        wait: Duration,
        answer_time: Duration,
    ) -> BoxFuture<'a, Result<KvChanges, KvError>> {
        async move {
            let mut epoch_watch = self.epoch.subscribe();
            let epoch = *epoch_watch.borrow_and_update();
            let poll = self.call("changes", Some(wait + answer_time), move |store| {
                async move { store.changes(prefix, after, wait, answer_time).await }.boxed()
            });
            tokio::select! {
                // If this call itself causes the switch, its own outcome is returned.
                biased;
                outcome = poll => outcome,
                // `self` owns the sender, so the wait ends only with a new epoch.
                _ = epoch_watch.wait_for(|current| *current != epoch) => {
                    Err(KvError::NoAnswer("path to the store changed during the poll".to_owned()))
                }
            }
        }
        .boxed()
    }
}
