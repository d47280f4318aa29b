//! Weight store stand-in: a limit, and loads that are refused beyond it.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use salvo::prelude::{Depot, Request, Response, Router, StatusCode, handler};
use tokio::time::Instant;

use crate::weight_store_client;

/// Fault switches and counters.
#[derive(Clone, Debug)]
pub struct WeightTable {
    /// Loads that may start per second.
    pub loads_per_s: f64,
    /// Every call is refused.
    pub outage: bool,
    /// Every load is refused, as when others use up the rate.
    pub exhausted: bool,
    /// Loads that were started.
    pub loads: u64,
    /// Loads that were refused as too many.
    pub refused: u64,
    last_load: Option<Instant>,
}

/// Weight store stand-in; clones share one table.
#[derive(Clone, Debug)]
pub struct WeightStandin {
    /// Switches and counters.
    pub table: Arc<Mutex<WeightTable>>,
}

impl WeightStandin {
    /// Store with a limit.
    pub fn new(loads_per_s: f64) -> Self {
        let table = WeightTable {
            loads_per_s,
            outage: false,
            exhausted: false,
            loads: 0,
            refused: 0,
            last_load: None,
        };
        Self { table: Arc::new(Mutex::new(table)) }
    }

    /// Starts a load, as an engine does; false when it comes too soon after the last one.
    pub fn load(&self) -> bool {
        let mut table = self.table.lock();
        let interval = Duration::from_secs_f64(1.0 / table.loads_per_s);
        let early = table.last_load.is_some_and(|last| last.elapsed() < interval);
        if early || table.outage || table.exhausted {
            table.refused += 1;
            return false;
        }
        table.last_load = Some(Instant::now());
        table.loads += 1;
        true
    }
}

/// Routes of the store.
pub fn router(store: WeightStandin) -> Router {
    Router::new()
        .push(Router::with_path("limits").get(LimitHandler { store: store.clone() }))
        .push(Router::with_path("loads").post(LoadHandler { store }))
}

struct LimitHandler {
    store: WeightStandin,
}

#[handler]
impl LimitHandler {
    async fn handle(&self, _request: &mut Request, _depot: &mut Depot, response: &mut Response) {
        let table = self.store.table.lock().clone();
        if table.outage {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let limit = weight_store_client::WeightStoreLimit { loads_per_s: table.loads_per_s };
        response.render(salvo::writing::Json(limit));
    }
}

struct LoadHandler {
    store: WeightStandin,
}

#[handler]
impl LoadHandler {
    async fn handle(&self, _request: &mut Request, _depot: &mut Depot, response: &mut Response) {
        if !self.store.load() {
            response.status_code(StatusCode::TOO_MANY_REQUESTS);
        }
    }
}
