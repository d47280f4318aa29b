//! Paths to the store during outages for one instance or for all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use yuccareel::ids;
use yuccareel::kv_store::{KvEntry, KvError, KvEvent, KvOutcome, KvRange, KvStore, KvTransaction};
use yuccareel::relay::change_feed::{ChangeFeed, KvChanges};
use yuccareel::relay::store_paths::StorePaths;

/// Waiting time of the polls, and time for their answer after it.
const POLL_WAIT: Duration = Duration::from_secs(10);
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Store that can be switched to refuse calls or never to answer them.
#[derive(Default)]
struct SwitchedStore {
    is_up: AtomicBool,
    is_silent: AtomicBool,
    calls: AtomicU32,
    /// Ends all open polls without an answer.
    poll_cut: Notify,
}

impl SwitchedStore {
    fn answer<T: Send + 'static>(&self, value: T) -> BoxFuture<'_, Result<T, KvError>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let refusal = Err(KvError::Refused("switched off".to_owned()));
        let answer = if self.is_up.load(Ordering::Relaxed) { Ok(value) } else { refusal };
        let is_silent = self.is_silent.load(Ordering::Relaxed);
        async move { if is_silent { std::future::pending().await } else { answer } }.boxed()
    }
}

impl KvStore for SwitchedStore {
    fn get<'a>(&'a self, _key: &'a str) -> BoxFuture<'a, Result<Option<KvEntry>, KvError>> {
        self.answer(None)
    }

    fn range<'a>(&'a self, _prefix: &'a str) -> BoxFuture<'a, Result<KvRange, KvError>> {
        self.answer(KvRange { revision: 1, entries: Vec::new() })
    }

    fn commit(&self, _transaction: KvTransaction) -> BoxFuture<'_, Result<KvOutcome, KvError>> {
        self.answer(KvOutcome { committed: true, revision: 1, current: Vec::new() })
    }

    fn grant_lease(&self, _ttl_s: i64) -> BoxFuture<'_, Result<ids::LeaseId, KvError>> {
        self.answer(1)
    }

    fn renew_lease(&self, _lease: ids::LeaseId) -> BoxFuture<'_, Result<bool, KvError>> {
        self.answer(true)
    }

    fn revoke_lease(&self, _lease: ids::LeaseId) -> BoxFuture<'_, Result<(), KvError>> {
        self.answer(())
    }

    fn watch<'a>(
        &'a self,
        _prefix: &'a str,
        _after: ids::KvRevision,
    ) -> BoxFuture<'a, Result<BoxStream<'static, Result<KvEvent, KvError>>, KvError>> {
        self.answer(()).map(|_| Err(KvError::Refused("not served".to_owned()))).boxed()
    }
}

impl ChangeFeed for SwitchedStore {
    fn changes<'a>(
        &'a self,
        _prefix: &'a str,
        after: ids::KvRevision,
        wait: Duration,
        answer_time: Duration,
    ) -> BoxFuture<'a, Result<KvChanges, KvError>> {
        let poll = self.answer(KvChanges { events: Vec::new(), revision: after });
        async move {
            let overdue = |_| Err(KvError::NoAnswer("poll is overdue".to_owned()));
            tokio::select! {
                () = self.poll_cut.notified() => Err(KvError::NoAnswer("poll was cut".to_owned())),
                answer = tokio::time::timeout(wait + answer_time, poll) => {
                    answer.unwrap_or_else(overdue)
                }
            }
        }
        .boxed()
    }
}

struct PathsHarness {
    direct: Arc<SwitchedStore>,
    peer: Arc<SwitchedStore>,
    paths: Arc<StorePaths>,
}

fn harness() -> PathsHarness {
    let (direct, peer) = (Arc::new(SwitchedStore::default()), Arc::new(SwitchedStore::default()));
    let peer_store = peer.clone();
    let connector = Box::new(move |_: SocketAddr| peer_store.clone() as Arc<dyn ChangeFeed>);
    let tunnels = (1..4).map(|index| SocketAddr::from(([10, 0, 0, index], 1))).collect();
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let paths = Arc::new(StorePaths::new(direct.clone(), connector, tunnels, logger));
    let probed_paths = paths.clone();
    tokio::spawn(async move { probed_paths.run_direct_probes().await });
    PathsHarness { direct, peer, paths }
}

/// Calls the store every 200 ms until it answers; returns how long that took.
async fn wait_for_answer(paths: &StorePaths, limit: Duration) -> Duration {
    let started = Instant::now();
    while paths.range("p/").await.is_err() {
        assert!(started.elapsed() < limit, "no answer within {limit:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    started.elapsed()
}

/// Guards against an instance that keeps calling its peers after an outage of the store for all
/// instances, so that changes by operators never take effect.
#[tokio::test(start_paused = true)]
async fn the_direct_path_is_used_after_an_outage_for_all() {
    for outage_s in [1, 3, 5, 30] {
        let harness = harness();
        let until = Instant::now() + Duration::from_secs(outage_s);
        while Instant::now() < until {
            assert!(harness.paths.range("p/").await.is_err());
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        harness.direct.is_up.store(true, Ordering::Relaxed);
        wait_for_answer(&harness.paths, Duration::from_secs(1)).await;
        assert!(harness.paths.is_direct_path_up());
    }
}

/// Guards against an instance that waits for the store although its peers could reach it.
#[tokio::test(start_paused = true)]
async fn a_peer_is_used_while_the_store_refuses_this_instance() {
    let harness = harness();
    harness.peer.is_up.store(true, Ordering::Relaxed);
    wait_for_answer(&harness.paths, Duration::from_secs(1)).await;
    assert!(harness.paths.current_peer().is_some());
    assert!(!harness.paths.is_direct_path_up(), "peers must not tunnel through this instance");
    // The direct path is probed meanwhile, and used again once it works.
    for _ in 0..50 {
        wait_for_answer(&harness.paths, Duration::from_secs(1)).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(harness.direct.calls.load(Ordering::Relaxed) >= 6);
    harness.direct.is_up.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(harness.paths.current_peer().is_none());
    wait_for_answer(&harness.paths, Duration::from_secs(1)).await;
    assert!(harness.paths.is_direct_path_up());
}

/// Guards against load on peers because of a single refused call.
#[tokio::test(start_paused = true)]
async fn one_failure_does_not_switch_to_a_peer() {
    let harness = harness();
    assert!(harness.paths.range("p/").await.is_err());
    harness.direct.is_up.store(true, Ordering::Relaxed);
    assert!(harness.paths.range("p/").await.is_ok());
    assert_eq!(harness.peer.calls.load(Ordering::Relaxed), 0);
}

/// Guards against a long poll that waits at a silent store after calls have switched to a peer, so
/// that changes take effect only after its timeout.
#[tokio::test(start_paused = true)]
async fn polls_fail_when_calls_leave_a_silent_path() {
    let harness = harness();
    harness.peer.is_up.store(true, Ordering::Relaxed);
    harness.direct.is_silent.store(true, Ordering::Relaxed);
    let (paths, started) = (harness.paths.clone(), Instant::now());
    let poll = tokio::spawn(async move { paths.changes("p/", 0, POLL_WAIT, ANSWER_TIME).await });
    // Another call detects that the store does not answer.
    let renewal = tokio::time::timeout(Duration::from_secs(1), harness.paths.renew_lease(1)).await;
    assert!(renewal.is_err());
    harness.direct.is_silent.store(false, Ordering::Relaxed);
    while harness.paths.current_peer().is_none() {
        assert!(harness.paths.renew_lease(1).await.is_err());
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(poll.await.unwrap().is_err());
    assert!(started.elapsed() < Duration::from_secs(3));
    assert!(harness.paths.changes("p/", 0, POLL_WAIT, ANSWER_TIME).await.is_ok());
}

/// Guards against load on peers because the store lost one poll although it answers other calls.
#[tokio::test(start_paused = true)]
async fn a_lost_poll_does_not_switch_to_a_peer() {
    let harness = harness();
    harness.direct.is_up.store(true, Ordering::Relaxed);
    harness.direct.is_silent.store(true, Ordering::Relaxed);
    let paths = harness.paths.clone();
    let poll = tokio::spawn(async move { paths.changes("p/", 0, POLL_WAIT, ANSWER_TIME).await });
    tokio::time::sleep(Duration::from_millis(10)).await;
    harness.direct.is_silent.store(false, Ordering::Relaxed);
    while !poll.is_finished() {
        assert!(harness.paths.renew_lease(1).await.is_ok());
        tokio::time::sleep(Duration::from_millis(1_300)).await;
    }
    assert!(poll.await.unwrap().is_err());
    assert!(harness.paths.is_direct_path_up());
    assert_eq!(harness.peer.calls.load(Ordering::Relaxed), 0);
}

struct CutCase {
    name: &'static str,
    /// Whether the store refuses this instance, so that the polls go through a peer.
    is_refused: bool,
    /// Time for which the polls were open.
    held: Duration,
    /// Whether the path still works after the cut.
    is_path_up: bool,
}

/// Guards against an instance that leaves a working path because the store cut its open polls, as if
/// the path had failed since they were sent: it then waits at peers that may be frozen. A
/// configuration was once applied 4 s late for this reason. A path that does fail must be left.
#[tokio::test(start_paused = true)]
async fn cut_polls_do_not_count_as_failing_since_they_were_sent() {
    let cases = [
        CutCase {
            name: "direct path, poll just sent",
            is_refused: false,
            held: Duration::from_millis(100),
            is_path_up: true,
        },
        CutCase {
            name: "direct path, poll held for seconds",
            is_refused: false,
            held: Duration::from_secs(5),
            is_path_up: true,
        },
        CutCase {
            name: "direct path, cut after the hold",
            is_refused: false,
            held: POLL_WAIT + ANSWER_TIME / 2,
            is_path_up: true,
        },
        CutCase {
            name: "path through a peer",
            is_refused: true,
            held: Duration::from_secs(5),
            is_path_up: true,
        },
        CutCase {
            name: "direct path that fails",
            is_refused: false,
            held: Duration::from_secs(5),
            is_path_up: false,
        },
        CutCase {
            name: "path through a peer that fails",
            is_refused: true,
            held: Duration::from_secs(5),
            is_path_up: false,
        },
    ];
    for CutCase { name, is_refused, held, is_path_up } in cases {
        let harness = harness();
        let PathsHarness { direct, peer, paths } = &harness;
        let used = if is_refused { peer } else { direct };
        used.is_up.store(true, Ordering::Relaxed);
        wait_for_answer(paths, Duration::from_secs(1)).await;
        let (path_before, sent_at) = (paths.current_peer(), Instant::now());
        assert_eq!(path_before.is_some(), is_refused, "{name}");
        used.is_silent.store(true, Ordering::Relaxed);
        let polls: Vec<_> = ["o/", "r/"]
            .map(|prefix| {
                let paths = paths.clone();
                tokio::spawn(async move { paths.changes(prefix, 0, POLL_WAIT, ANSWER_TIME).await })
            })
            .into();
        tokio::time::sleep(held).await;
        used.is_silent.store(false, Ordering::Relaxed);
        used.is_up.store(is_path_up, Ordering::Relaxed);
        used.poll_cut.notify_waiters();
        for poll in polls {
            assert!(poll.await.unwrap().is_err(), "{name}");
        }
        assert_eq!(paths.current_peer(), path_before, "{name}: path after the cut");
        tokio::time::sleep(Duration::from_millis(200)).await;
        if is_path_up {
            assert!(paths.range("o/").await.is_ok(), "{name}");
            assert_eq!(paths.current_peer(), path_before, "{name}: path after an answer");
            let outage = paths.outage_ended_after(sent_at).unwrap();
            assert!(outage <= Duration::from_millis(300), "{name}: outage of {outage:?}");
        } else {
            let failed_at = Instant::now();
            while paths.current_peer() == path_before {
                assert!(failed_at.elapsed() < Duration::from_secs(1), "{name}: path is kept");
                assert!(paths.range("o/").await.is_err(), "{name}");
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
    }
}

struct ReturnCase {
    name: &'static str,
    /// Time for which calls fail.
    outage: Duration,
    /// Whether the poll fails at the end of the outage, so that the caller repeats it.
    is_cancelled: bool,
}

/// Guards against a long poll that was sent during an outage and is never answered, although the
/// store works again, so that changes take effect only after its timeout. A configuration was once
/// applied 9 s late for this reason.
#[tokio::test(start_paused = true)]
async fn polls_sent_during_an_outage_fail_after_it() {
    let cases = [
        ReturnCase {
            name: "one lost answer",
            outage: Duration::from_millis(200),
            is_cancelled: false,
        },
        ReturnCase { name: "short outage", outage: Duration::from_secs(2), is_cancelled: true },
        ReturnCase { name: "long outage", outage: Duration::from_secs(9), is_cancelled: true },
    ];
    for ReturnCase { name, outage, is_cancelled } in cases {
        let harness = harness();
        let until = Instant::now() + outage;
        while Instant::now() < until {
            assert!(harness.paths.renew_lease(1).await.is_err());
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        // All stores accept the poll, and none answers it.
        for store in [&harness.direct, &harness.peer] {
            store.is_silent.store(true, Ordering::Relaxed);
        }
        let paths = harness.paths.clone();
        let poll =
            tokio::spawn(async move { paths.changes("p/", 0, POLL_WAIT, ANSWER_TIME).await });
        tokio::time::sleep(Duration::from_millis(10)).await;
        for store in [&harness.direct, &harness.peer] {
            store.is_silent.store(false, Ordering::Relaxed);
            store.is_up.store(true, Ordering::Relaxed);
        }
        assert!(harness.paths.renew_lease(1).await.is_ok(), "{name}");
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(poll.is_finished(), is_cancelled, "{name}");
    }
}
