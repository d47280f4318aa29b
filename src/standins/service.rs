//! Plain service stand-in; it counts how often each call ran.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use salvo::prelude::{Depot, Request, Response, Router, StatusCode, handler};
use serde_json::json;

use crate::standins::server;

/// Fault switches.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Calls to come that run and whose answers are lost.
    pub lose_answers: u32,
}

/// Call as the service received it.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    /// Request identifier.
    pub request_id: String,
    /// Idempotency key.
    pub key: String,
    /// When it arrived.
    pub received_at: tokio::time::Instant,
}

/// Plain service stand-in; clones share one state.
#[derive(Clone, Default)]
pub struct ServiceStandin {
    /// Fault switches.
    pub faults: Arc<Mutex<ServiceFaults>>,
    /// Number of runs by idempotency key.
    pub runs: Arc<Mutex<HashMap<String, u32>>>,
    /// Calls in the order of their arrival.
    pub received: Arc<Mutex<Vec<ReceivedCall>>>,
}

impl ServiceStandin {
    /// Routes of the service.
    pub fn router(&self) -> Router {
        Router::new()
            .push(Router::with_path("load").get(ServiceLoad))
            .push(Router::with_path("{**rest}").goal(ServiceHandler { service: self.clone() }))
    }
}

struct ServiceLoad;

#[handler]
impl ServiceLoad {
    async fn handle(&self, response: &mut Response) {
        response.render(salvo::writing::Json(
            json!({ "requests": 0, "cold": false, "boot": "service-1" }),
        ));
    }
}

struct ServiceHandler {
    service: ServiceStandin,
}

#[handler]
impl ServiceHandler {
    async fn handle(&self, request: &mut Request, _depot: &mut Depot, response: &mut Response) {
        server::repeat_request_id(request, response);
        let key = request.header::<String>("idempotency-key").unwrap_or_default();
        self.service.received.lock().push(ReceivedCall {
            request_id: request.header("x-request-id").unwrap_or_default(),
            key: key.clone(),
            received_at: tokio::time::Instant::now(),
        });
        let run = {
            let mut runs = self.service.runs.lock();
            let count = runs.entry(key.clone()).or_default();
            *count += 1;
            *count
        };
        let (delay, lost) = {
            let mut faults = self.service.faults.lock();
            let lost = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            (Duration::from_millis(faults.delay_ms), lost)
        };
        tokio::time::sleep(delay).await;
        if lost {
            std::future::pending::<()>().await;
        }
        response.status_code(StatusCode::OK);
        let path = request.uri().path().to_owned();
        response.render(salvo::writing::Json(json!({ "key": key, "run": run, "path": path })));
    }
}
