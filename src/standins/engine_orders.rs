//! Orders to the engine stand-in, with its faults.

use std::sync::atomic::Ordering;
use std::time::Duration;

use salvo::prelude::{Request, Response, StatusCode};

use crate::engine_control;
use crate::standins::engine;

impl engine::EngineStandin {
    /// Obeys an order, or refuses it by its fencing token or the weight store.
    pub async fn obey(&self, request: &mut Request, response: &mut Response) {
        let Ok(order) = request.parse_json::<engine_control::EngineOrder>().await else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let newest = self.orders.lock().iter().map(|order| order.token).max().unwrap_or(0);
        if self.checks_fencing.load(Ordering::SeqCst) && order.token < newest {
            response.status_code(StatusCode::CONFLICT);
            return;
        }
        if self.weights.lock().as_ref().is_some_and(|store| !store.load()) {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        self.orders.lock().push(order.clone());
        let (lost, load_ms) = {
            let mut faults = self.faults.lock();
            let lost = faults.lose_orders > 0;
            faults.lose_orders = faults.lose_orders.saturating_sub(1);
            (lost, faults.load_ms)
        };
        if let engine_control::EngineCommand::LoadVersion { model, version } = order.command {
            let engine = self.clone();
            let load = async move {
                tokio::time::sleep(Duration::from_millis(load_ms)).await;
                engine.reassign(&model, &version);
                engine.answers.store(0, Ordering::SeqCst);
            };
            if load_ms == 0 { load.await } else { drop(tokio::spawn(load)) }
        }
        if lost {
            response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}
