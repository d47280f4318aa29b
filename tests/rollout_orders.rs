//! Loads that the holder of a rollout orders, with faults of engines, store and holder.

mod whole_path;

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use yuccareel::records::{RoutingRecord, model, rollout};
use yuccareel::rollout_stage;
use yuccareel::standins::{engine, server, weights};

/// Engines that the record names; they serve `v2` before.
const NAMED: [&str; 2] = ["e3", "e4"];

struct OrderWorld {
    path: whole_path::WholePath,
    weights: weights::WeightStandin,
    http: reqwest::Client,
    _store: tokio::task::JoinHandle<()>,
}

impl OrderWorld {
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

    /// Starts a rollout from `v1` to `v3`, which no engine serves.
    async fn roll_out(&self) {
        let mut record = (*self.path.node().snapshot.load().models["small"]).clone();
        let state = model::VersionState::Active;
        record.versions.push(model::ModelVersion { name: "v3".into(), state });
        let rollout = rollout::RolloutRecord {
            to: "v3".into(),
            stage_dwell_s: 1,
            stage_min_requests: 1,
            replicas: NAMED.map(Into::into).to_vec(),
            ..whole_path::rollout("small-v3", "small")
        };
        self.path.apply(vec![RoutingRecord::Model(record), RoutingRecord::Rollout(rollout)]).await;
    }

    /// Sends requests, and lists what engines serve, until a condition holds.
    async fn until(&self, name: &str, condition: impl Fn(&Self) -> bool) {
        let limit = Instant::now() + Duration::from_secs(60);
        while !condition(self) {
            assert!(Instant::now() < limit, "{name}: condition does not hold");
            for engine in NAMED {
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

    fn loaded(&self, count: usize) -> bool {
        NAMED[..count].iter().all(|name| self.engine(name).served.lock().version == "v3")
    }

    /// Whether requests have reached the new version in every stage.
    fn completed(&self) -> bool {
        let states = self.path.node().rollouts.states.load();
        states.values().any(|state| state.phase == rollout_stage::RolloutPhase::Completed)
    }

    fn orders(&self, name: &str) -> Vec<i64> {
        self.engine(name).orders.lock().iter().map(|order| order.token).collect()
    }
}

/// Guards against records that start no load, loads beyond the store's rate, second orders while
/// the first is uncertain, and sessions that enter a version before an engine serves it.
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
        let world = OrderWorld::start(0.5).await;
        for name in NAMED {
            let engine = world.engine(name);
            engine.checks_fencing.store(case.checks_fencing, Ordering::SeqCst);
            *engine.faults.lock() = case.faults.clone();
            if !case.checks_fencing {
                world.path.platform.list.ignore_fencing(name);
            }
        }
        world.weights.table.lock().exhausted = case.store_exhausted;
        world.roll_out().await;
        if case.store_exhausted {
            let refused = |world: &OrderWorld| world.weights.table.lock().refused > 0;
            world.until(case.name, refused).await;
            assert!(!world.loaded(1), "{}", case.name);
            world.weights.table.lock().exhausted = false;
            world.weights.table.lock().refused = 0;
        }
        world.until(case.name, |world| world.loaded(1)).await;
        assert_eq!(world.orders(NAMED[1]), [0_i64; 0], "{}: second stage", case.name);
        world.until(case.name, |world| world.loaded(2)).await;
        for name in NAMED {
            assert_eq!(world.orders(name).len(), 1, "{} {name}", case.name);
        }
        assert_eq!(world.weights.table.lock().refused, 0, "{}", case.name);
        world.until(case.name, OrderWorld::completed).await;
    });
    futures::future::join_all(runs).await;
}

/// Guards against a successor that repeats an order of the former holder which an engine without
/// fencing still obeys, or that orders under the former token.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_holder_goes_on_under_its_own_token() {
    let world = OrderWorld::start(10.0).await;
    for name in NAMED {
        let engine = world.engine(name);
        engine.checks_fencing.store(false, Ordering::SeqCst);
        engine.faults.lock().load_ms = 4_000;
        world.path.platform.list.ignore_fencing(name);
    }
    world.roll_out().await;
    world.until("first order", |world| !world.orders(NAMED[0]).is_empty()).await;
    world.path.platform.kv.table.lock().expire_all_leases();
    world.until("second load", |world| world.loaded(2)).await;
    let (first, second) = (world.orders(NAMED[0]), world.orders(NAMED[1]));
    assert_eq!((first.len(), second.len()), (1, 1));
    assert!(second[0] > first[0], "{first:?} {second:?}");
}
