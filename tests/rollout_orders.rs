//! Loads that the rollout lease holder orders, with faults of the engines, the weight store and the
//! holder.

mod whole_path;

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use yuccareel::records::{RoutingRecord, model, rollout};
use yuccareel::rollout_stage;
use yuccareel::standins::{engine, server, weights};

/// Engines that the rollout record names. They serve `v2` at first.
const ROLLOUT_ENGINES: [&str; 2] = ["e3", "e4"];

struct OrderHarness {
    path: whole_path::WholePath,
    weights: weights::WeightStandin,
    http: reqwest::Client,
    _store: tokio::task::JoinHandle<()>,
}

impl OrderHarness {
    async fn start(loads_per_s: f64) -> Self {
        let weights = weights::WeightStandin::new(loads_per_s);
        let (address, store) = server::serve(weights::router(weights.clone())).await;
        let url = format!("http://{address}");
        let adjust = |settings: &mut yuccareel::settings::Settings| {
            settings.weight_store_url = Some(url.clone());
        };
        let path = whole_path::start_with(adjust).await;
        for placed in &path.platform.engines {
            *placed.engine.weights.lock() = Some(weights.clone());
        }
        Self { path, weights, http: reqwest::Client::new(), _store: store }
    }

    fn engine(&self, name: &str) -> &engine::EngineStandin {
        let engines = self.path.platform.engines.iter().map(|placed| &placed.engine);
        engines.clone().find(|engine| engine.options.name == name).unwrap()
    }

    /// Starts a rollout from `v1` to `v3`, which no engine serves yet.
    async fn start_rollout(&self) {
        let mut record = (*self.path.node().snapshot.load().models["small"]).clone();
        let state = model::VersionState::Active;
        record.versions.push(model::ModelVersion { name: "v3".into(), state });
        let rollout = rollout::RolloutRecord {
            to: "v3".into(),
            stage_dwell_s: 1,
            stage_min_requests: 1,
            replicas: ROLLOUT_ENGINES.map(Into::into).to_vec(),
            ..whole_path::rollout("small-v3", "small")
        };
        self.path.apply(vec![RoutingRecord::Model(record), RoutingRecord::Rollout(rollout)]).await;
    }

    /// Sends requests and updates the listed versions of the engines until a condition holds, for
    /// at most 60 s.
    async fn send_requests_until(&self, name: &str, condition: impl Fn(&Self) -> bool) {
        let limit = Instant::now() + Duration::from_secs(60);
        while !condition(self) {
            assert!(Instant::now() < limit, "{name}: condition does not hold");
            for engine in ROLLOUT_ENGINES {
                let served = self.engine(engine).served.lock().version.clone();
                self.path.platform.list.change_version(engine, &served);
            }
            let body =
                json!({ "model": "small", "messages": [{ "role": "user", "content": "hello" }] });
            let request = self.http.post(self.path.url("/v1/chat/completions")).json(&body);
            let reply = request.bearer_auth(whole_path::TOKEN).send().await.unwrap();
            assert_eq!(reply.status().as_u16(), 200, "{name}: {:?}", reply.text().await);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Whether the first `count` engines of the rollout serve the new version.
    fn is_loaded(&self, count: usize) -> bool {
        ROLLOUT_ENGINES[..count].iter().all(|name| self.engine(name).served.lock().version == "v3")
    }

    /// Whether the rollout has completed, for which the new version needs requests in every stage.
    fn is_completed(&self) -> bool {
        let states = self.path.node().rollouts.states.load();
        states.values().any(|state| state.phase == rollout_stage::RolloutPhase::Completed)
    }

    /// Fencing tokens of the orders that an engine has accepted.
    fn order_tokens(&self, name: &str) -> Vec<i64> {
        self.engine(name).orders.lock().iter().map(|order| order.token).collect()
    }
}

/// Guards against records that start no load, loads beyond the weight store's rate limit, a second
/// order while the first is unconfirmed, and sessions that enter a version before an engine serves
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_loads_its_version_stage_by_stage() {
    struct Case {
        name: &'static str,
        checks_fencing: bool,
        faults: engine::EngineFaults,
        store_exhausted: bool,
    }
    let none = engine::EngineFaults::default;
    let slow = || engine::EngineFaults { lose_orders: 1, load_ms: 2_500, ..none() };
    let cases = [
        Case { name: "none", checks_fencing: true, faults: none(), store_exhausted: false },
        Case { name: "answer lost", checks_fencing: true, faults: slow(), store_exhausted: false },
        Case { name: "no fencing", checks_fencing: false, faults: slow(), store_exhausted: false },
        Case {
            name: "store exhausted",
            checks_fencing: true,
            faults: none(),
            store_exhausted: true,
        },
    ];
    let runs = cases.map(|case| async move {
        let harness = OrderHarness::start(0.5).await;
        for name in ROLLOUT_ENGINES {
            let engine = harness.engine(name);
            engine.checks_fencing.store(case.checks_fencing, Ordering::SeqCst);
            *engine.faults.lock() = case.faults.clone();
            if !case.checks_fencing {
                harness.path.platform.list.ignore_fencing(name);
            }
        }
        harness.weights.table.lock().exhausted = case.store_exhausted;
        harness.start_rollout().await;
        if case.store_exhausted {
            let refused = |harness: &OrderHarness| harness.weights.table.lock().refused > 0;
            harness.send_requests_until(case.name, refused).await;
            assert!(!harness.is_loaded(1), "{}", case.name);
            harness.weights.table.lock().exhausted = false;
            harness.weights.table.lock().refused = 0;
        }
        harness.send_requests_until(case.name, |harness| harness.is_loaded(1)).await;
        assert_eq!(
            harness.order_tokens(ROLLOUT_ENGINES[1]),
            [0_i64; 0],
            "{}: second stage",
            case.name
        );
        harness.send_requests_until(case.name, |harness| harness.is_loaded(2)).await;
        for name in ROLLOUT_ENGINES {
            assert_eq!(harness.order_tokens(name).len(), 1, "{} {name}", case.name);
        }
        assert_eq!(harness.weights.table.lock().refused, 0, "{}", case.name);
        harness.send_requests_until(case.name, OrderHarness::is_completed).await;
    });
    futures::future::join_all(runs).await;
}

/// Guards against a successor that repeats an order of the former holder which an engine without
/// fencing still carries out, or that orders with the former token.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_orders_with_its_own_token() {
    let harness = OrderHarness::start(10.0).await;
    for name in ROLLOUT_ENGINES {
        let engine = harness.engine(name);
        engine.checks_fencing.store(false, Ordering::SeqCst);
        engine.faults.lock().load_ms = 4_000;
        harness.path.platform.list.ignore_fencing(name);
    }
    harness.start_rollout().await;
    harness
        .send_requests_until("first order", |harness| {
            !harness.order_tokens(ROLLOUT_ENGINES[0]).is_empty()
        })
        .await;
    harness.path.platform.kv.table.lock().expire_all_leases();
    harness.send_requests_until("second load", |harness| harness.is_loaded(2)).await;
    let (first, second) =
        (harness.order_tokens(ROLLOUT_ENGINES[0]), harness.order_tokens(ROLLOUT_ENGINES[1]));
    assert_eq!((first.len(), second.len()), (1, 1));
    assert!(second[0] > first[0], "{first:?} {second:?}");
}
