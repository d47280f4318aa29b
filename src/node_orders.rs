//! Order system: the holder of the rollouts has engines load new versions.
//!
//! Orders run beside the holder's own tick, because a call to an engine may take longer than the
//! lease of the role. One order is sent per second at most, and less often when the weight store
//! allows fewer loads.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::engine_control::{self, EngineControl as _};
use crate::event_catalogue::LogEvent;
use crate::{
    ids, node, order_sender, replica_table, rollout_holder, rollout_loads, weight_store_client,
};

/// Time between two looks at the loads that are due.
const ORDER_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two readings of the weight store's limit.
const LIMIT_INTERVAL: Duration = Duration::from_secs(10);

/// Version that a replica is to load.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadOrder {
    /// Replica.
    pub replica: ids::ReplicaName,
    /// Model.
    pub model: ids::ModelName,
    /// Version.
    pub version: ids::VersionName,
}

/// Loads that the engines have shown to this node.
pub type ShownLoads = BTreeSet<LoadOrder>;

/// Orders of one holder.
struct HeldOrders {
    token: ids::FencingToken,
    sender: order_sender::OrderSender,
    /// When an order was sent that the engine does not show yet.
    uncertain: BTreeMap<ids::ReplicaName, Instant>,
    limit_read_at: Option<Instant>,
}

impl HeldOrders {
    fn new(node: &node::Node, token: ids::FencingToken) -> Self {
        let sender = order_sender::OrderSender::new(Arc::clone(&node.options.store));
        Self { token, sender, uncertain: BTreeMap::new(), limit_read_at: None }
    }

    /// Sets the pace of loads; the last limit stays while the weight store does not answer.
    async fn read_limit(&mut self, weights: &weight_store_client::WeightStoreClient) {
        if self.limit_read_at.is_some_and(|read_at| read_at.elapsed() < LIMIT_INTERVAL) {
            return;
        }
        self.limit_read_at = Some(Instant::now());
        match weights.read_limit().await {
            Ok(limit) => self.sender.pacer.set_limit(limit.loads_per_s),
            Err(_) => {
                metrics::counter!("yuccareel_weight_limit_reads_failed_total").increment(1);
            }
        }
    }

    /// Brings one load forward; true when the engine shows it.
    ///
    /// An order that the engine does not show is uncertain: it may still be on its way. No second
    /// one is sent for the time after which orders of a former holder count as gone as well.
    async fn advance(
        &mut self,
        role: &rollout_holder::HolderRole,
        control: &engine_control::HttpEngineControl,
        row: &replica_table::ReplicaRow,
        command: &engine_control::EngineCommand,
    ) -> Result<bool, order_sender::OrderError> {
        if let Some(sent_at) = self.uncertain.get(&row.name) {
            if control.state().await?.shows(command) {
                self.uncertain.remove(&row.name);
                return Ok(true);
            }
            if sent_at.elapsed() < order_sender::SETTLING_TIME {
                return Ok(false);
            }
        }
        let sent_at = Instant::now();
        let sent = self.sender.send(control, row.checks_fencing, role, command).await;
        let no_answer = matches!(
            sent,
            Err(order_sender::OrderError::Engine(engine_control::EngineError::NoAnswer(_)))
        );
        if no_answer || matches!(sent, Ok(order_sender::OrderOutcome::Pending)) {
            self.uncertain.insert(row.name.clone(), sent_at);
        } else {
            self.uncertain.remove(&row.name);
        }
        Ok(sent? == order_sender::OrderOutcome::InEffect)
    }
}

impl node::Node {
    /// Orders the loads of the rollouts while this node holds them.
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
            let Some(role) = *self.rollouts.role.lock() else {
                held = None;
                self.rollouts.shown.lock().clear();
                continue;
            };
            if held.as_ref().is_none_or(|held| held.token != role.token) {
                held = Some(HeldOrders::new(&self, role.token));
                self.rollouts.shown.lock().clear();
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
            held.read_limit(weights).await;
            let url = format!("http://{}", row.address);
            let http = self.service_http.clone();
            let control = engine_control::HttpEngineControl::new(http, url);
            let command = engine_control::EngineCommand::LoadVersion {
                model: order.model.clone(),
                version: order.version.clone(),
            };
            match held.advance(role, &control, &row, &command).await {
                Ok(true) => {
                    let fields = slog::o!("replica" => row.name.to_string(),
                        "version" => order.version.to_string());
                    self.emit(LogEvent::VersionLoaded, fields);
                    self.rollouts.shown.lock().insert(order);
                }
                Ok(false)
                | Err(order_sender::OrderError::Paced(_) | order_sender::OrderError::Settling(_)) =>
                    {}
                Err(error) => {
                    metrics::counter!("yuccareel_orders_failed_total").increment(1);
                    let fields = slog::o!("replica" => row.name.to_string(),
                        "error" => error.to_string());
                    self.emit(LogEvent::OrderFailed, fields);
                }
            }
        }
    }

    /// Loads that the present stages call for and no engine has shown.
    fn due_orders(&self) -> Vec<(replica_table::ReplicaRow, LoadOrder)> {
        let (snapshot, table) = (self.snapshot.load(), self.replicas.load());
        let (states, shown) = (self.rollouts.states.load(), self.rollouts.shown.lock());
        let records = snapshot.rollouts.values().filter(|record| !record.paused);
        let due = records.flat_map(|record| {
            let state = states.get(&record.name).filter(|state| state.belongs_to(record));
            let rows = state.map(|state| rollout_loads::missing_rows(record, state, &table));
            rows.into_iter().flatten().map(|row| {
                let (replica, model) = (row.name.clone(), record.model.clone());
                (row.clone(), LoadOrder { replica, model, version: record.to.clone() })
            })
        });
        due.filter(|(_, order)| !shown.contains(order)).collect()
    }
}
