//! Order system: the rollout lease holder orders engines to load new versions.
//!
//! Orders are sent by a task of their own, not in the holder's tick, because a call to an engine
//! may take longer than the holder's lease. The task makes one pass per second, and loads are also
//! spaced by the rate limit of the weight store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::engine_control::{self, EngineControl as _};
use crate::event_catalogue::LogEvent;
use crate::{
    ids, node, order_sender, replica_table, rollout_holder, rollout_loads, weight_store_client,
};

/// Time between two passes over the due loads.
const ORDER_INTERVAL: Duration = Duration::from_secs(1);
/// Min time between two reads of the weight store's rate limit.
const LIMIT_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Version that a replica must load.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadOrder {
    pub replica: ids::ReplicaName,
    pub model: ids::ModelName,
    pub version: ids::VersionName,
}

/// Loads that engines have confirmed to this node by reporting the version as loaded.
pub type ConfirmedLoads = BTreeSet<LoadOrder>;

/// Orders of one term as lease holder.
struct HeldOrders {
    token: ids::FencingToken,
    sender: order_sender::OrderSender,
    /// When an order was sent that the engine has not confirmed yet, by replica.
    unconfirmed: BTreeMap<ids::ReplicaName, Instant>,
    limit_read_at: Option<Instant>,
}

impl HeldOrders {
    fn new(node: &node::Node, token: ids::FencingToken) -> Self {
        let sender = order_sender::OrderSender::new(Arc::clone(&node.options.store));
        Self { token, sender, unconfirmed: BTreeMap::new(), limit_read_at: None }
    }

    /// Updates the load rate limit; the last known limit stays in use while the weight store fails.
    async fn refresh_limit(&mut self, weights: &weight_store_client::WeightStoreClient) {
        if self.limit_read_at.is_some_and(|read_at| read_at.elapsed() < LIMIT_READ_INTERVAL) {
            return;
        }
        self.limit_read_at = Some(Instant::now());
        match weights.read_limit().await {
            Ok(limit) => self.sender.load_limiter.set_limit(limit.loads_per_s),
            Err(_) => {
                metrics::counter!("yuccareel_weight_limit_reads_failed_total").increment(1);
            }
        }
    }

    /// Sends or checks one load order; `true` if the engine has loaded the version.
    ///
    /// An order that the engine has not confirmed may still be in flight. No second one is sent
    /// during `SETTLING_PERIOD`, after which orders of a former holder are also considered lost.
    async fn advance_load(
        &mut self,
        role: &rollout_holder::HolderRole,
        control: &engine_control::HttpEngineControl,
        row: &replica_table::ReplicaRow,
        command: &engine_control::EngineCommand,
    ) -> Result<bool, order_sender::OrderError> {
        if let Some(sent_at) = self.unconfirmed.get(&row.name) {
            if control.read_state().await?.has_applied(command) {
                self.unconfirmed.remove(&row.name);
                return Ok(true);
            }
            if sent_at.elapsed() < order_sender::SETTLING_PERIOD {
                return Ok(false);
            }
        }
        let sent_at = Instant::now();
        let sent = self.sender.send(control, row.checks_fencing, role, command).await;
        let has_no_answer = matches!(
            sent,
            Err(order_sender::OrderError::Engine(engine_control::EngineError::NoAnswer(_)))
        );
        if has_no_answer || matches!(sent, Ok(order_sender::OrderOutcome::Pending)) {
            self.unconfirmed.insert(row.name.clone(), sent_at);
        } else {
            self.unconfirmed.remove(&row.name);
        }
        Ok(sent? == order_sender::OrderOutcome::InEffect)
    }
}

impl node::Node {
    /// Orders the loads of all rollouts while this node is the lease holder. Returns at the
    /// shutdown, or at once without a weight store.
    pub async fn run_orders(self: Arc<Self>) {
        let Some(weights) = self.options.weights.clone() else { return };
        let mut held: Option<HeldOrders> = None;
        let mut ticks = tokio::time::interval(ORDER_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => return,
                _ = ticks.tick() => {}
            }
            let Some(role) = *self.rollouts.holder_role.lock() else {
                held = None;
                self.rollouts.confirmed_loads.lock().clear();
                continue;
            };
            if held.as_ref().is_none_or(|held| held.token != role.token) {
                held = Some(HeldOrders::new(&self, role.token));
                self.rollouts.confirmed_loads.lock().clear();
            }
            if let Some(held) = &mut held {
                self.send_orders(held, &role, &weights).await;
            }
        }
    }

    async fn send_orders(
        &self,
        held: &mut HeldOrders,
        role: &rollout_holder::HolderRole,
        weights: &weight_store_client::WeightStoreClient,
    ) {
        for (row, order) in self.due_orders() {
            held.refresh_limit(weights).await;
            let url = format!("http://{}", row.address);
            let http = self.service_http.clone();
            let control = engine_control::HttpEngineControl::new(http, url);
            let command = engine_control::EngineCommand::LoadVersion {
                model: order.model.clone(),
                version: order.version.clone(),
            };
            match held.advance_load(role, &control, &row, &command).await {
                Ok(true) => {
                    let fields = slog::o!("replica" => row.name.to_string(),
                        "version" => order.version.to_string());
                    self.emit(LogEvent::VersionLoaded, fields);
                    self.rollouts.confirmed_loads.lock().insert(order);
                }
                Ok(false)
                | Err(
                    order_sender::OrderError::RateLimited(_)
                    | order_sender::OrderError::Settling(_),
                ) => {}
                Err(error) => {
                    metrics::counter!("yuccareel_orders_failed_total").increment(1);
                    let fields = slog::o!("replica" => row.name.to_string(),
                        "error" => error.to_string());
                    self.emit(LogEvent::OrderFailed, fields);
                }
            }
        }
    }

    /// Loads that the current stages of running rollouts need and that no engine has confirmed.
    fn due_orders(&self) -> Vec<(replica_table::ReplicaRow, LoadOrder)> {
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let (states, confirmed_loads) =
            (self.rollouts.states.load(), self.rollouts.confirmed_loads.lock());
        let records = snapshot.rollouts.values().filter(|record| !record.paused);
        let due = records.flat_map(|record| {
            let state = states.get(&record.name).filter(|state| state.belongs_to(record));
            let rows = state.map(|state| rollout_loads::replicas_to_load(record, state, &table));
            rows.into_iter().flatten().map(|row| {
                let (replica, model) = (row.name.clone(), record.model.clone());
                (row.clone(), LoadOrder { replica, model, version: record.to.clone() })
            })
        });
        due.filter(|(_, order)| !confirmed_loads.contains(order)).collect()
    }
}
