//! Orders to engines that check fencing tokens and to engines that ignore them, and the spacing of
//! loads by the weight store's rate limit.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use salvo::prelude::{Depot, Request, Response, Router, StatusCode, handler};
use tokio::time::Instant;
use yuccareel::engine_control::{
    EngineCommand, EngineControl, EngineError, EngineOrder, EngineState, HttpEngineControl,
};
use yuccareel::order_sender::{LoadRateLimiter, OrderError, OrderOutcome, OrderSender};
use yuccareel::rollout_holder::{HolderRole, RolloutHolder};
use yuccareel::standins::{kv, server, weights};
use yuccareel::weight_store_client;

/// Engine that is called directly or over HTTP; clones share one state.
#[derive(Clone, Default)]
struct MemoryEngine {
    checks_fencing: bool,
    state: Arc<Mutex<EngineState>>,
    orders: Arc<Mutex<Vec<EngineOrder>>>,
    loses_answers: bool,
    /// Order of another holder that arrives directly after each order.
    late_order: Option<EngineOrder>,
}

impl MemoryEngine {
    fn accept(&self, order: EngineOrder) -> Result<(), EngineError> {
        let mut state = self.state.lock();
        if self.checks_fencing && order.token < state.token {
            return Err(EngineError::OldToken);
        }
        state.token = order.token;
        if let EngineCommand::LoadVersion { model, version } = &order.command {
            (state.model, state.version) = (model.clone(), version.clone());
        }
        self.orders.lock().push(order);
        Ok(())
    }
}

impl EngineControl for MemoryEngine {
    fn read_state(&self) -> BoxFuture<'_, Result<EngineState, EngineError>> {
        async { Ok(self.state.lock().clone()) }.boxed()
    }

    fn send_order(&self, order: EngineOrder) -> BoxFuture<'_, Result<(), EngineError>> {
        async move {
            self.accept(order)?;
            if let Some(late_order) = self.late_order.clone() {
                self.accept(late_order)?;
            }
            if self.loses_answers {
                return Err(EngineError::NoAnswer("lost".to_owned()));
            }
            Ok(())
        }
        .boxed()
    }
}

#[handler]
impl MemoryEngine {
    async fn handle(&self, request: &mut Request, _depot: &mut Depot, response: &mut Response) {
        if request.method() == salvo::http::Method::GET {
            response.render(salvo::writing::Json(self.state.lock().clone()));
            return;
        }
        match request.parse_json::<EngineOrder>().await.map(|order| self.accept(order)) {
            Ok(Ok(())) => {}
            Ok(Err(_)) => drop(response.status_code(StatusCode::CONFLICT)),
            Err(_) => drop(response.status_code(StatusCode::BAD_REQUEST)),
        }
    }
}

fn load_command(version: &str) -> EngineCommand {
    EngineCommand::LoadVersion { model: Arc::from("m"), version: Arc::from(version) }
}

async fn acquire_role(store: &kv::KvStandin, name: &str) -> HolderRole {
    let mut holder = RolloutHolder::new(Arc::new(store.clone()), Arc::from(name));
    let role = holder.tick().await.unwrap().unwrap();
    // Loads are spaced from the acquisition on, and the limit of `sender` is one per microsecond.
    tokio::time::sleep(Duration::from_millis(1)).await;
    role
}

fn sender(store: &kv::KvStandin) -> OrderSender {
    let mut sender = OrderSender::new(Arc::new(store.clone()));
    sender.load_limiter.set_limit(1e6);
    sender
}

/// Guards against an HTTP client of the command interface that differs from a direct call.
#[tokio::test]
async fn contract_of_the_command_interface() {
    for checks_fencing in [false, true] {
        let direct = MemoryEngine { checks_fencing, ..MemoryEngine::default() };
        let served = MemoryEngine { checks_fencing, ..MemoryEngine::default() };
        let router = Router::new()
            .push(Router::with_path("orders").post(served.clone()))
            .push(Router::with_path("state").get(served));
        let (address, _task) = server::serve(router).await;
        let client = HttpEngineControl::new(reqwest::Client::new(), format!("http://{address}"));
        let controls: [(&str, &dyn EngineControl); 2] = [("memory", &direct), ("http", &client)];
        for (name, control) in controls {
            control.send_order(EngineOrder { token: 7, command: load_command("2") }).await.unwrap();
            assert!(control.read_state().await.unwrap().has_applied(&load_command("2")), "{name}");
            let stale =
                control.send_order(EngineOrder { token: 6, command: load_command("1") }).await;
            let expected = if checks_fencing { Err(EngineError::OldToken) } else { Ok(()) };
            assert_eq!(stale, expected, "{name}");
        }
    }
}

/// Guards against orders that are sent needlessly or too early, or that count as applied too early.
#[tokio::test(start_paused = true)]
async fn outcome_of_one_order() {
    struct Case {
        name: &'static str,
        engine: MemoryEngine,
        loaded: EngineState,
        waited_s: u64,
        expected: &'static str,
        sent: usize,
    }
    let checking = || MemoryEngine { checks_fencing: true, ..MemoryEngine::default() };
    let empty = EngineState::default;
    let version_2 = || EngineState { model: Arc::from("m"), version: Arc::from("2"), ..empty() };
    let late_order = EngineOrder { token: 0, command: load_command("1") };
    let cases = [
        Case {
            name: "checks tokens",
            engine: checking(),
            loaded: empty(),
            waited_s: 0,
            expected: "InEffect",
            sent: 1,
        },
        Case {
            name: "in effect before",
            engine: checking(),
            loaded: version_2(),
            waited_s: 0,
            expected: "InEffect",
            sent: 0,
        },
        Case {
            name: "newer holder",
            engine: checking(),
            loaded: EngineState { token: 1 << 40, ..empty() },
            waited_s: 0,
            expected: "Superseded",
            sent: 0,
        },
        Case {
            name: "ignores tokens, settling",
            engine: MemoryEngine::default(),
            loaded: empty(),
            waited_s: 9,
            expected: "Settling(999ms)",
            sent: 0,
        },
        Case {
            name: "ignores tokens, settled",
            engine: MemoryEngine::default(),
            loaded: empty(),
            waited_s: 10,
            expected: "InEffect",
            sent: 1,
        },
        Case {
            name: "answer lost",
            engine: MemoryEngine { loses_answers: true, ..checking() },
            loaded: empty(),
            waited_s: 0,
            expected: "InEffect",
            sent: 1,
        },
        Case {
            name: "overwritten by a late order",
            engine: MemoryEngine { late_order: Some(late_order), ..MemoryEngine::default() },
            loaded: empty(),
            waited_s: 10,
            expected: "Pending",
            sent: 2,
        },
    ];
    for case in cases {
        let store = kv::KvStandin::default();
        let mut role = acquire_role(&store, "a").await;
        for _ in 0..case.waited_s {
            tokio::time::sleep(Duration::from_secs(1)).await;
            yuccareel::kv_store::KvStore::renew_lease(&store, role.lease).await.unwrap();
            role.renewed_at = Instant::now();
        }
        *case.engine.state.lock() = case.loaded;
        let checks = case.engine.checks_fencing;
        let outcome = sender(&store).send(&case.engine, checks, &role, &load_command("2")).await;
        let found = match outcome {
            Ok(outcome) => format!("{outcome:?}"),
            Err(error) => format!("{error:?}"),
        };
        assert_eq!(found, case.expected, "{}", case.name);
        assert_eq!(case.engine.orders.lock().len(), case.sent, "{}", case.name);
    }
}

/// Guards against orders of a node that is not the lease holder or cannot confirm that it is.
#[tokio::test(start_paused = true)]
async fn no_order_without_the_role() {
    for (name, pause_s, outage, successor) in [
        ("lease was revoked", 0, false, true),
        ("lease may have expired", 5, false, false),
        ("successor took the role", 11, false, true),
        ("role cannot be read", 0, true, false),
    ] {
        let store = kv::KvStandin::default();
        let former = acquire_role(&store, "a").await;
        tokio::time::sleep(Duration::from_secs(pause_s)).await;
        // Without a successor the lease is renewed in the store, so that only this node's clock
        // shows that it may have expired.
        if !successor && !outage {
            yuccareel::kv_store::KvStore::renew_lease(&store, former.lease).await.unwrap();
            tokio::time::sleep(Duration::from_secs(5)).await;
        }
        if successor {
            store.table.lock().expire_all_leases();
            acquire_role(&store, "b").await;
        }
        store.faults.lock().outage = outage;
        let engine = MemoryEngine { checks_fencing: true, ..MemoryEngine::default() };
        let error =
            sender(&store).send(&engine, true, &former, &load_command("2")).await.unwrap_err();
        let lost = matches!(error, OrderError::RoleLost);
        assert!(lost || (outage && matches!(error, OrderError::Store(_))), "{name}: {error}");
        assert!(engine.orders.lock().is_empty(), "{name}");
    }
}

/// Guards against loads beyond the weight store's rate limit, in particular directly after a change
/// of holder.
#[tokio::test(start_paused = true)]
async fn loads_keep_the_limit_of_the_weight_store() {
    let (store, weights) = (kv::KvStandin::default(), weights::WeightStandin::new(0.5));
    let role = acquire_role(&store, "a").await;
    let mut sender = OrderSender::new(Arc::new(store.clone()));
    sender.load_limiter.set_limit(weights.table.lock().loads_per_s);
    assert!(weights.load(), "load of the former holder");
    let engine = MemoryEngine { checks_fencing: true, ..MemoryEngine::default() };
    let mut loaded = 0;
    for tick in 0..80 {
        let command = load_command(&format!("v{loaded}"));
        match sender.send(&engine, true, &role, &command).await {
            Ok(OrderOutcome::InEffect) => {
                loaded += 1;
                assert!(weights.load(), "tick {tick}");
            }
            other => assert!(matches!(other, Err(OrderError::RateLimited(_))), "{other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(loaded, 3);
}

/// Guards against a limit that gives no usable interval and would allow loads without spacing.
#[tokio::test(start_paused = true)]
async fn unusable_limits_count_as_unknown() {
    let now = Instant::now();
    for limit in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300] {
        let mut limiter = LoadRateLimiter::default();
        limiter.set_limit(limit);
        assert_eq!(limiter.time_until_next(now, now), Duration::from_secs(60), "{limit}");
    }
}

/// Guards against a weight store client that reads the wrong route or returns a limit in an outage.
#[tokio::test]
async fn weight_client_reads_the_limit() {
    let weights = weights::WeightStandin::new(0.25);
    let (address, _task) = server::serve(weights::router(weights.clone())).await;
    let http = reqwest::Client::new();
    let client =
        weight_store_client::WeightStoreClient::new(http.clone(), format!("http://{address}"));
    assert_eq!(client.read_limit().await.unwrap().loads_per_s, 0.25);
    let load = || http.post(format!("http://{address}/loads")).send();
    assert!(load().await.unwrap().status().is_success());
    assert_eq!(load().await.unwrap().status(), 429);
    weights.table.lock().outage = true;
    client.read_limit().await.unwrap_err();
}
