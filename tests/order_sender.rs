//! Orders to engines that check fencing tokens and to engines that ignore them.

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
use yuccareel::order_sender::{LoadPacer, OrderError, OrderOutcome, OrderSender};
use yuccareel::rollout_holder::{HolderRole, RolloutHolder};
use yuccareel::standins::{kv, server, weights};
use yuccareel::weight_store_client;

/// Engine in memory, also behind HTTP; clones share one state.
#[derive(Clone, Default)]
struct TinyEngine {
    checks_fencing: bool,
    state: Arc<Mutex<EngineState>>,
    orders: Arc<Mutex<Vec<EngineOrder>>>,
    answers_lost: bool,
    /// Order of another holder that arrives right after each order.
    late: Option<EngineOrder>,
}

impl TinyEngine {
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

impl EngineControl for TinyEngine {
    fn state(&self) -> BoxFuture<'_, Result<EngineState, EngineError>> {
        async { Ok(self.state.lock().clone()) }.boxed()
    }

    fn order(&self, order: EngineOrder) -> BoxFuture<'_, Result<(), EngineError>> {
        async move {
            self.accept(order)?;
            if let Some(late) = self.late.clone() {
                self.accept(late)?;
            }
            if self.answers_lost {
                return Err(EngineError::NoAnswer("lost".to_owned()));
            }
            Ok(())
        }
        .boxed()
    }
}

#[handler]
impl TinyEngine {
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

fn load(version: &str) -> EngineCommand {
    EngineCommand::LoadVersion { model: Arc::from("m"), version: Arc::from(version) }
}

async fn role(store: &kv::KvStandin, name: &str) -> HolderRole {
    let mut holder = RolloutHolder::new(Arc::new(store.clone()), Arc::from(name));
    let role = holder.tick().await.unwrap().unwrap();
    // The pacer spaces the first load from the acquisition.
    tokio::time::sleep(Duration::from_millis(1)).await;
    role
}

fn sender(store: &kv::KvStandin) -> OrderSender {
    let mut sender = OrderSender::new(Arc::new(store.clone()));
    sender.pacer.set_limit(1e6);
    sender
}

/// Guards against a command interface whose HTTP form differs from its meaning in memory.
#[tokio::test]
async fn contract_of_the_command_interface() {
    for checks_fencing in [false, true] {
        let direct = TinyEngine { checks_fencing, ..TinyEngine::default() };
        let served = TinyEngine { checks_fencing, ..TinyEngine::default() };
        let router = Router::new()
            .push(Router::with_path("orders").post(served.clone()))
            .push(Router::with_path("state").get(served));
        let (address, _task) = server::serve(router).await;
        let client = HttpEngineControl::new(reqwest::Client::new(), format!("http://{address}"));
        let controls: [(&str, &dyn EngineControl); 2] = [("memory", &direct), ("http", &client)];
        for (name, control) in controls {
            control.order(EngineOrder { token: 7, command: load("2") }).await.unwrap();
            assert!(control.state().await.unwrap().shows(&load("2")), "{name}");
            let stale = control.order(EngineOrder { token: 6, command: load("1") }).await;
            let expected = if checks_fencing { Err(EngineError::OldToken) } else { Ok(()) };
            assert_eq!(stale, expected, "{name}");
        }
    }
}

/// Guards against orders that are sent needlessly, too early, or taken for done.
#[tokio::test(start_paused = true)]
async fn outcome_of_one_order() {
    struct Case {
        name: &'static str,
        engine: TinyEngine,
        loaded: EngineState,
        waited_s: u64,
        expected: &'static str,
        sent: usize,
    }
    let checking = || TinyEngine { checks_fencing: true, ..TinyEngine::default() };
    let empty = EngineState::default;
    let version_2 = || EngineState { model: Arc::from("m"), version: Arc::from("2"), ..empty() };
    let late = EngineOrder { token: 0, command: load("1") };
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
            engine: TinyEngine::default(),
            loaded: empty(),
            waited_s: 9,
            expected: "Settling(999ms)",
            sent: 0,
        },
        Case {
            name: "ignores tokens, settled",
            engine: TinyEngine::default(),
            loaded: empty(),
            waited_s: 10,
            expected: "InEffect",
            sent: 1,
        },
        Case {
            name: "answer lost",
            engine: TinyEngine { answers_lost: true, ..checking() },
            loaded: empty(),
            waited_s: 0,
            expected: "InEffect",
            sent: 1,
        },
        Case {
            name: "overwritten by a late order",
            engine: TinyEngine { late: Some(late), ..TinyEngine::default() },
            loaded: empty(),
            waited_s: 10,
            expected: "Pending",
            sent: 2,
        },
    ];
    for case in cases {
        let store = kv::KvStandin::default();
        let mut role = role(&store, "a").await;
        for _ in 0..case.waited_s {
            tokio::time::sleep(Duration::from_secs(1)).await;
            yuccareel::kv_store::KvStore::renew_lease(&store, role.lease).await.unwrap();
            role.renewed_at = Instant::now();
        }
        *case.engine.state.lock() = case.loaded;
        let checks = case.engine.checks_fencing;
        let outcome = sender(&store).send(&case.engine, checks, &role, &load("2")).await;
        let found = match outcome {
            Ok(outcome) => format!("{outcome:?}"),
            Err(error) => format!("{error:?}"),
        };
        assert_eq!(found, case.expected, "{}", case.name);
        assert_eq!(case.engine.orders.lock().len(), case.sent, "{}", case.name);
    }
}

/// Guards against orders of a node that is not, or cannot know to be, the holder.
#[tokio::test(start_paused = true)]
async fn no_order_without_the_role() {
    for (name, pause_s, outage, successor) in [
        ("lease was revoked", 0, false, true),
        ("lease may have expired", 5, false, false),
        ("successor took the role", 11, false, true),
        ("role cannot be read", 0, true, false),
    ] {
        let store = kv::KvStandin::default();
        let former = role(&store, "a").await;
        tokio::time::sleep(Duration::from_secs(pause_s)).await;
        // Without a successor the lease lives on, and only this node's clock speaks against it.
        if !successor && !outage {
            yuccareel::kv_store::KvStore::renew_lease(&store, former.lease).await.unwrap();
            tokio::time::sleep(Duration::from_secs(5)).await;
        }
        if successor {
            store.table.lock().expire_all_leases();
            role(&store, "b").await;
        }
        store.faults.lock().outage = outage;
        let engine = TinyEngine { checks_fencing: true, ..TinyEngine::default() };
        let error = sender(&store).send(&engine, true, &former, &load("2")).await.unwrap_err();
        let lost = matches!(error, OrderError::RoleLost);
        assert!(lost || (outage && matches!(error, OrderError::Store(_))), "{name}: {error}");
        assert!(engine.orders.lock().is_empty(), "{name}");
    }
}

/// Guards against loads faster than the weight store allows, also just after a change of holder.
#[tokio::test(start_paused = true)]
async fn loads_keep_the_limit_of_the_weight_store() {
    let (store, weights) = (kv::KvStandin::default(), weights::WeightStandin::new(0.5));
    let role = role(&store, "a").await;
    let mut sender = OrderSender::new(Arc::new(store.clone()));
    sender.pacer.set_limit(weights.table.lock().loads_per_s);
    assert!(weights.load(), "load of the former holder");
    let engine = TinyEngine { checks_fencing: true, ..TinyEngine::default() };
    let mut loaded = 0;
    for tick in 0..80 {
        let command = load(&format!("v{loaded}"));
        match sender.send(&engine, true, &role, &command).await {
            Ok(OrderOutcome::InEffect) => {
                loaded += 1;
                assert!(weights.load(), "tick {tick}");
            }
            other => assert!(matches!(other, Err(OrderError::Paced(_))), "{other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(loaded, 3);
}

/// Guards against a limit that is no number, which would allow loads without spacing.
#[tokio::test(start_paused = true)]
async fn unusable_limits_count_as_unknown() {
    let now = Instant::now();
    for limit in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300] {
        let mut pacer = LoadPacer::default();
        pacer.set_limit(limit);
        assert_eq!(pacer.wait(now, now), Duration::from_secs(60), "{limit}");
    }
}

/// Guards against a client that reads the wrong route or takes a refusal for a limit.
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
