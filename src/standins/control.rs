//! HTTP control of the stand-ins, for tests by hand.

use std::sync::Arc;

use salvo::prelude::{Depot, Request, Response, Router, StatusCode, handler};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::instance_list;
use crate::standins::{engine, kv, platform, rating, service};

/// Routes of the control port.
pub fn router(platform: &Arc<platform::PlatformStandin>, rating: &rating::RatingStandin) -> Router {
    let route =
        |call| ControlHandler { platform: Arc::clone(platform), rating: rating.clone(), call };
    Router::new()
        .push(Router::with_path("state").get(route(ControlCall::State)))
        .push(Router::with_path("faults/kv").put(route(ControlCall::KvFaults)))
        .push(Router::with_path("faults/rating").put(route(ControlCall::RatingFaults)))
        .push(Router::with_path("faults/engines/{name}").put(route(ControlCall::EngineFaults)))
        .push(Router::with_path("faults/services/{name}").put(route(ControlCall::ServiceFaults)))
        .push(Router::with_path("kv/lapse-leases").post(route(ControlCall::LapseLeases)))
        .push(Router::with_path("engines/{name}/cold").post(route(ControlCall::TurnCold)))
        .push(Router::with_path("instances").put(route(ControlCall::ListInstance)))
        .push(Router::with_path("instances/{name}").delete(route(ControlCall::RemoveInstance)))
        .push(Router::with_path("instances/{name}/leaving").post(route(ControlCall::MarkLeaving)))
}

#[derive(Clone, Copy)]
enum ControlCall {
    State,
    KvFaults,
    RatingFaults,
    EngineFaults,
    ServiceFaults,
    LapseLeases,
    TurnCold,
    ListInstance,
    RemoveInstance,
    MarkLeaving,
}

struct ControlHandler {
    platform: Arc<platform::PlatformStandin>,
    rating: rating::RatingStandin,
    call: ControlCall,
}

#[handler]
impl ControlHandler {
    async fn handle(&self, request: &mut Request, _depot: &mut Depot, response: &mut Response) {
        match self.apply(request).await {
            Ok(answer) => response.render(salvo::writing::Json(answer)),
            Err((status, message)) => {
                response.status_code(status);
                response.render(salvo::writing::Json(json!({ "error": message })));
            }
        }
    }
}

type ControlError = (StatusCode, String);

impl ControlHandler {
    async fn apply(&self, request: &mut Request) -> Result<Value, ControlError> {
        let name = request.param::<String>("name").unwrap_or_default();
        match self.call {
            ControlCall::State => return Ok(self.state()),
            ControlCall::KvFaults => {
                *self.platform.kv.faults.lock() = body::<kv::KvFaults>(request).await?;
            }
            ControlCall::RatingFaults => {
                *self.rating.faults.lock() = body::<rating::RatingFaults>(request).await?;
            }
            ControlCall::EngineFaults => {
                let faults = body::<engine::EngineFaults>(request).await?;
                *self.engine(&name)?.faults.lock() = faults;
            }
            ControlCall::ServiceFaults => {
                let faults = body::<service::ServiceFaults>(request).await?;
                let placed = self.platform.services.iter().find(|placed| placed.name == name);
                *placed.ok_or_else(|| unknown(&name))?.service.faults.lock() = faults;
            }
            ControlCall::LapseLeases => self.platform.kv.table.lock().expire_all_leases(),
            ControlCall::TurnCold => self.engine(&name)?.turn_cold(),
            ControlCall::ListInstance => {
                let listed = body::<instance_list::ListedInstance>(request).await?;
                let mut instances = self.platform.list.instances.lock();
                instances.retain(|instance| instance.name != listed.name);
                instances.push(listed);
            }
            ControlCall::RemoveInstance => self.platform.list.remove(&name),
            ControlCall::MarkLeaving => self.platform.list.mark_leaving(&name),
        }
        Ok(json!({ "done": true }))
    }

    fn engine(&self, name: &str) -> Result<&engine::EngineStandin, ControlError> {
        let placed = self.platform.engines.iter().find(|placed| placed.engine.options.name == name);
        placed.map(|placed| &placed.engine).ok_or_else(|| unknown(name))
    }

    fn state(&self) -> Value {
        let engines: Vec<Value> = self
            .platform
            .engines
            .iter()
            .map(|placed| {
                json!({
                    "name": placed.engine.options.name, "data_centre": &*placed.data_centre,
                    "model": placed.engine.options.model, "version": placed.engine.options.version,
                    "cold": placed.engine.cold(), "received": placed.engine.received.lock().len(),
                    "cancelled": placed.engine.cancelled(), "faults": &*placed.engine.faults.lock(),
                })
            })
            .collect();
        let (reads, writes) = self.platform.kv.calls();
        json!({
            "engines": engines,
            "kv": { "reads": reads, "writes": writes, "faults": &*self.platform.kv.faults.lock() },
            "rating": { "calls": self.rating.calls(), "faults": &*self.rating.faults.lock() },
            "instances": &*self.platform.list.instances.lock(),
        })
    }
}

async fn body<T: DeserializeOwned + Send>(request: &mut Request) -> Result<T, ControlError> {
    let bytes = request.payload().await.map_err(|error| bad(error.to_string()))?;
    serde_json::from_slice(bytes).map_err(|error| bad(error.to_string()))
}

fn bad(message: String) -> ControlError {
    (StatusCode::BAD_REQUEST, message)
}

fn unknown(name: &str) -> ControlError {
    (StatusCode::NOT_FOUND, format!("no stand-in named {name}"))
}
