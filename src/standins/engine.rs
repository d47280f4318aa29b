//! Model engine stand-in with its fault switches.
//!
//! It speaks the chat-completions API as a stream, reports load, and keeps what
//! it received, so that tests can check promises by what engines saw.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use salvo::prelude::{Depot, Request, Response, Router, StatusCode, handler};
use serde_json::{Value, json};

use crate::standins::{engine_answer, prefix_cache, server, weights};
use crate::{engine_client, engine_control};

/// What the engine is and how fast it answers.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Replica name.
    pub name: String,
    /// Model that is loaded.
    pub model: String,
    /// Version that is loaded.
    pub version: String,
    /// Ability; an answer is good when the prompt's hidden difficulty is below it, 0 to 1.
    pub skill: f64,
    /// Time between tokens.
    pub token_time: Duration,
    /// Tokens of an answer without `max_tokens`.
    pub answer_tokens: u64,
    /// Requests at once when cold; more are refused with `warming`.
    pub cold_concurrency: u32,
    /// Requests at once when warm.
    pub warm_concurrency: u32,
    /// Answers after which the engine is warm.
    pub warm_after: u32,
}

/// Model and version that an engine serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedVersion {
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
}

/// Fault switches.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Requests to come that get no byte at all.
    pub silent_next: u32,
    /// Requests to come that stop in the middle without end marker.
    pub truncate_next: u32,
    /// Requests to come that first get events of another request.
    pub cross_next: u32,
    /// Requests to come that go silent in the middle.
    pub stall_next: u32,
    /// Every admitted request fails with an error.
    pub errors: bool,
    /// Every answer is poor.
    pub poor: bool,
    /// Requests of others that take up room.
    pub busy: u32,
    /// Orders to come that take effect without an answer.
    pub lose_orders: u32,
    /// Time after which an ordered version is served.
    pub load_ms: u64,
    /// Faults of the published cache events.
    pub events: prefix_cache::EventFaults,
}

/// Request as the engine received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Request identifier.
    pub request_id: String,
    /// Version named in the body.
    pub version: String,
    /// Requests running when it was admitted, itself included.
    pub concurrency: u32,
    /// Whether the engine was cold.
    pub cold: bool,
    /// Tokens that the caller already had.
    pub resume_offset: u64,
    /// When it was admitted.
    pub admitted_at: tokio::time::Instant,
}

/// Request that the engine refused for want of room.
#[derive(Clone, Debug)]
pub struct RefusedRequest {
    /// Request identifier.
    pub request_id: String,
    /// Requests that would have run with it.
    pub concurrency: u32,
    /// Whether the engine was cold.
    pub cold: bool,
    /// When it was refused.
    pub refused_at: tokio::time::Instant,
}

/// Engine stand-in; clones share one state.
#[derive(Clone)]
pub struct EngineStandin {
    /// What the engine is.
    pub options: Arc<EngineOptions>,
    /// Fault switches.
    pub faults: Arc<Mutex<EngineFaults>>,
    /// Admitted requests.
    pub received: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// Requests refused for want of room.
    pub refused: Arc<Mutex<Vec<RefusedRequest>>>,
    /// Model and version that are served now; at first those of the options.
    pub served: Arc<Mutex<ServedVersion>>,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: Arc<AtomicBool>,
    /// Orders that were obeyed.
    pub orders: Arc<Mutex<Vec<engine_control::EngineOrder>>>,
    /// Store from which versions are loaded, where there is one.
    pub weights: Arc<Mutex<Option<weights::WeightStandin>>>,
    /// Cache of prompt prefixes.
    pub cache: Arc<Mutex<prefix_cache::PrefixCache>>,
    /// Requests refused because they name another model or version.
    pub foreign: Arc<AtomicU32>,
    /// Whole answers since the engine was cold.
    pub answers: Arc<AtomicU32>,
    running: Arc<AtomicU32>,
    boot: Arc<Mutex<u32>>,
    cancelled: Arc<Mutex<HashMap<String, bool>>>,
}

impl EngineStandin {
    /// Engine that starts warm or cold.
    pub fn new(options: EngineOptions, warm: bool) -> Self {
        let answers = if warm { options.warm_after } else { 0 };
        let served =
            ServedVersion { model: options.model.clone(), version: options.version.clone() };
        Self {
            served: Arc::new(Mutex::new(served)),
            foreign: Arc::default(),
            cache: Arc::default(),
            checks_fencing: Arc::new(AtomicBool::new(true)),
            orders: Arc::default(),
            weights: Arc::default(),
            options: Arc::new(options),
            faults: Arc::default(),
            received: Arc::default(),
            refused: Arc::default(),
            running: Arc::default(),
            answers: Arc::new(AtomicU32::new(answers)),
            boot: Arc::new(Mutex::new(1)),
            cancelled: Arc::default(),
        }
    }

    /// Turns the engine cold without warning.
    pub fn turn_cold(&self) {
        self.answers.store(0, Ordering::SeqCst);
        self.restart();
    }

    /// Gives the address to an engine with another version, as warm as this one.
    pub fn reassign(&self, model: &str, version: &str) {
        *self.served.lock() =
            ServedVersion { model: model.to_owned(), version: version.to_owned() };
        self.restart();
    }

    fn restart(&self) {
        *self.boot.lock() += 1;
        self.cache.lock().restart();
    }

    /// Whether the engine is cold.
    pub fn cold(&self) -> bool {
        self.answers.load(Ordering::SeqCst) < self.options.warm_after
    }

    /// Identifier of the current start.
    pub fn boot(&self) -> String {
        format!("{}-{}", self.options.name, self.boot.lock())
    }

    /// Requests that were cancelled.
    pub fn cancelled(&self) -> usize {
        self.cancelled.lock().len()
    }

    /// Routes of the engine.
    pub fn router(&self) -> Router {
        let route = |call| EngineHandler { engine: self.clone(), call };
        Router::new()
            .push(Router::with_path("v1/chat/completions").post(route(EngineRoute::Generate)))
            .push(Router::with_path("v1/requests/{id}").delete(route(EngineRoute::Cancel)))
            .push(Router::with_path("orders").post(route(EngineRoute::Order)))
            .push(Router::with_path("state").get(route(EngineRoute::State)))
            .push(Router::with_path("cache-events").get(route(EngineRoute::CacheEvents)))
            .push(Router::with_path("load").get(route(EngineRoute::Load)))
    }

    /// What is loaded, as the command interface tells it.
    pub fn state(&self) -> engine_control::EngineState {
        let served = self.served.lock().clone();
        engine_control::EngineState {
            model: served.model.into(),
            version: served.version.into(),
            token: self.orders.lock().last().map_or(0, |order| order.token),
            ..Default::default()
        }
    }

    fn publish(&self, request: &mut Request, response: &mut Response) {
        let faults = self.faults.lock().events.clone();
        if faults.off {
            response.status_code(StatusCode::NOT_FOUND);
            return;
        }
        let (boot, number) = (self.boot(), |name| request.query::<u64>(name).unwrap_or_default());
        let same_boot = request.query::<String>("boot").is_some_and(|known| known == boot);
        let after = if same_boot { number("after") } else { 0 };
        let events = self.cache.lock().events(after, number("prefixes") as usize, &faults);
        let published = engine_client::EngineCacheEvents { boot: boot.into(), events };
        let body = serde_json::to_string(&published).unwrap_or_default();
        self.cache.lock().published_bytes += body.len() as u64;
        response.render(salvo::writing::Text::Json(body));
    }

    fn limit(&self) -> u32 {
        if self.cold() { self.options.cold_concurrency } else { self.options.warm_concurrency }
    }

    async fn generate(&self, request: &mut Request, response: &mut Response) {
        let _ = response.add_header("x-boot-id", self.boot(), true);
        let header = |name: &str| request.header::<String>(name).unwrap_or_default();
        let (id, resume) = (header("x-request-id"), header("x-resume-offset").parse().unwrap_or(0));
        let Ok(body) = request.parse_json::<Value>().await else {
            refuse(response, StatusCode::BAD_REQUEST, true);
            return;
        };
        let served = self.served.lock().clone();
        if body["model"] != served.model || body["version"] != served.version {
            self.foreign.fetch_add(1, Ordering::SeqCst);
            refuse(response, StatusCode::NOT_FOUND, true);
            return;
        }
        let Some(slot) = self.admit() else {
            let cold = self.cold();
            self.refused.lock().push(RefusedRequest {
                request_id: id,
                concurrency: self.running.load(Ordering::SeqCst) + 1,
                cold,
                refused_at: tokio::time::Instant::now(),
            });
            let status =
                if cold { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::TOO_MANY_REQUESTS };
            refuse(response, status, true);
            return;
        };
        self.received.lock().push(ReceivedRequest {
            request_id: id.clone(),
            version: body["version"].as_str().unwrap_or_default().to_owned(),
            concurrency: slot.concurrency,
            cold: self.cold(),
            resume_offset: resume,
            admitted_at: tokio::time::Instant::now(),
        });
        if self.faults.lock().errors {
            refuse(response, StatusCode::INTERNAL_SERVER_ERROR, false);
            return;
        }
        let fault = self.take_fault();
        if fault == Some(engine_answer::StreamFault::Silent) {
            std::future::pending::<()>().await;
        }
        response.headers_mut().insert("content-type", "text/event-stream".parse().expect("static"));
        response.stream(self.answer(id, &body, served, resume, fault, slot));
    }

    fn take_fault(&self) -> Option<engine_answer::StreamFault> {
        let mut faults = self.faults.lock();
        let mut take = |count: fn(&mut EngineFaults) -> &mut u32, fault| {
            let count = count(&mut faults);
            (*count > 0).then(|| {
                *count -= 1;
                fault
            })
        };
        take(|faults| &mut faults.silent_next, engine_answer::StreamFault::Silent)
            .or_else(|| {
                take(|faults| &mut faults.truncate_next, engine_answer::StreamFault::Truncate)
            })
            .or_else(|| take(|faults| &mut faults.cross_next, engine_answer::StreamFault::Cross))
            .or_else(|| take(|faults| &mut faults.stall_next, engine_answer::StreamFault::Stall))
    }

    fn admit(&self) -> Option<engine_answer::RunningSlot> {
        let limit = self.limit().saturating_sub(self.faults.lock().busy);
        engine_answer::RunningSlot::take(&self.running, limit)
    }
}

fn refuse(response: &mut Response, status: StatusCode, proved_not_run: bool) {
    if proved_not_run {
        let _ = response.add_header("x-ran", "no", true);
    }
    response.status_code(status);
    response.render(salvo::writing::Json(json!({ "error": { "code": status.as_u16() } })));
}

#[derive(Clone, Copy)]
enum EngineRoute {
    Generate,
    Cancel,
    Load,
    CacheEvents,
    Order,
    State,
}

struct EngineHandler {
    engine: EngineStandin,
    call: EngineRoute,
}

#[handler]
impl EngineHandler {
    async fn handle(&self, request: &mut Request, _depot: &mut Depot, response: &mut Response) {
        let engine = &self.engine;
        server::repeat_request_id(request, response);
        match self.call {
            EngineRoute::Generate => engine.generate(request, response).await,
            EngineRoute::Cancel => {
                let id = request.param::<String>("id").unwrap_or_default();
                engine.cancelled.lock().insert(id, true);
                response.status_code(StatusCode::NO_CONTENT);
            }
            EngineRoute::Order => engine.obey(request, response).await,
            EngineRoute::State => response.render(salvo::writing::Json(engine.state())),
            EngineRoute::CacheEvents => engine.publish(request, response),
            EngineRoute::Load => response.render(salvo::writing::Json(json!({
                "requests": engine.running.load(Ordering::SeqCst),
                "cold": engine.cold(),
                "boot": engine.boot(),
            }))),
        }
    }
}
