//! Commands of the rollout holder to engines.
//!
//! Each order carries the holder's fencing token. An engine that ignores the token
//! cannot refuse an order of a former holder. For such an engine the sender waits
//! out the former lease after taking the role, checks the holder key directly
//! before the order, and reads the engine's state back after it. The caller repeats
//! an order until the engine shows it, which also repairs a late order of a former
//! holder. Such an order still takes effect for a moment when the former holder was
//! paused between its last check and the order for longer than both waits;
//! `examples/orders.rs` counts these cases.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::{engine_control, kv_store, rollout_holder};

/// Time after taking the role during which orders of the former holder may still arrive.
pub const SETTLING_PERIOD: Duration = Duration::from_secs(rollout_holder::LEASE_TTL_S as u64);
/// Time between two loads while the weight store's limit is unknown.
const UNKNOWN_LOAD_INTERVAL: Duration = Duration::from_secs(60);

/// Spaces loads by the rate limit of the weight store.
#[derive(Clone, Debug)]
pub struct LoadRateLimiter {
    interval: Duration,
    last_load: Option<Instant>,
}

impl Default for LoadRateLimiter {
    fn default() -> Self {
        Self { interval: UNKNOWN_LOAD_INTERVAL, last_load: None }
    }
}

impl LoadRateLimiter {
    /// Sets the limit; a limit that is no positive number counts as unknown.
    pub fn set_limit(&mut self, loads_per_s: f64) {
        self.interval = Duration::try_from_secs_f64(1.0 / loads_per_s)
            .ok()
            .filter(|interval| !interval.is_zero())
            .unwrap_or(UNKNOWN_LOAD_INTERVAL);
    }

    /// Time until the next load may start. A former holder may have loaded just before `since`.
    pub fn time_until_next(&self, since: Instant, now: Instant) -> Duration {
        let last = self.last_load.unwrap_or(since).max(since);
        self.interval.saturating_sub(now.saturating_duration_since(last))
    }

    /// Records the start of a load.
    pub fn record_load(&mut self, now: Instant) {
        self.last_load = Some(now);
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine shows the command.
    InEffect,
    /// The order was sent, and the engine does not show the command yet.
    Pending,
}

/// Reason for which an order was not sent or is not known to stand.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// Orders of the former holder may still arrive.
    #[error("the former lease is waited out for another {0:?}")]
    Settling(Duration),
    /// The weight store's limit allows no load yet.
    #[error("the weight store allows the next load in {0:?}")]
    RateLimited(Duration),
    /// This node's lease may have expired, or another node holds the role.
    #[error("the role of the rollout holder is lost")]
    RoleLost,
    /// The engine has seen a newer holder.
    #[error("the engine obeys a newer holder")]
    Superseded,
    /// The key-value service failed.
    #[error("order: {0}")]
    Store(#[from] kv_store::KvError),
    /// The engine failed.
    #[error("order: {0}")]
    Engine(engine_control::EngineError),
}

impl From<engine_control::EngineError> for OrderError {
    fn from(error: engine_control::EngineError) -> Self {
        match error {
            engine_control::EngineError::OldToken => Self::Superseded,
            error => Self::Engine(error),
        }
    }
}

/// Sender of the orders of one holder.
pub struct OrderSender {
    store: Arc<dyn kv_store::KvStore>,
    /// Spacing of loads.
    pub load_limiter: LoadRateLimiter,
}

impl OrderSender {
    /// Sender that checks the role in a key-value service.
    pub fn new(store: Arc<dyn kv_store::KvStore>) -> Self {
        Self { store, load_limiter: LoadRateLimiter::default() }
    }

    /// Brings a command into effect at one engine, as far as one attempt can.
    ///
    /// Nothing is sent when the engine shows the command already. `role` is the holder's role as
    /// of its last tick.
    ///
    /// # Errors
    /// When the order must wait, the role is lost, or the service or the engine fails.
    pub async fn send(
        &mut self,
        engine: &dyn engine_control::EngineControl,
        checks_fencing: bool,
        role: &rollout_holder::HolderRole,
        command: &engine_control::EngineCommand,
    ) -> Result<OrderOutcome, OrderError> {
        let settled_at = role.acquired_at + SETTLING_PERIOD;
        if !checks_fencing && Instant::now() < settled_at {
            return Err(OrderError::Settling(settled_at - Instant::now()));
        }
        let state = engine.read_state().await?;
        if state.token > role.token {
            return Err(OrderError::Superseded);
        }
        if state.has_applied(command) {
            return Ok(OrderOutcome::InEffect);
        }
        self.check_load_rate(role, command)?;
        self.check_role(role).await?;
        let order = engine_control::EngineOrder { token: role.token, command: command.clone() };
        self.record_load(command);
        match engine.send_order(order).await {
            // A missing answer says nothing about the order; the state does.
            Ok(()) | Err(engine_control::EngineError::NoAnswer(_)) => {}
            Err(error) => return Err(error.into()),
        }
        let state = engine.read_state().await?;
        if state.token > role.token {
            return Err(OrderError::Superseded);
        }
        Ok(if state.has_applied(command) { OrderOutcome::InEffect } else { OrderOutcome::Pending })
    }

    fn check_load_rate(
        &self,
        role: &rollout_holder::HolderRole,
        command: &engine_control::EngineCommand,
    ) -> Result<(), OrderError> {
        if !loads_weights(command) {
            return Ok(());
        }
        match self.load_limiter.time_until_next(role.acquired_at, Instant::now()) {
            Duration::ZERO => Ok(()),
            wait => Err(OrderError::RateLimited(wait)),
        }
    }

    /// Checks the holder key, and then the lease by this node's clock, as the read may take long.
    async fn check_role(&self, role: &rollout_holder::HolderRole) -> Result<(), OrderError> {
        let entry = self.store.get(rollout_holder::HOLDER_KEY).await?;
        let holds = entry.is_some_and(|entry| entry.create_revision == role.token);
        if holds && role.may_be_current(Instant::now()) {
            Ok(())
        } else {
            Err(OrderError::RoleLost)
        }
    }

    fn record_load(&mut self, command: &engine_control::EngineCommand) {
        if loads_weights(command) {
            self.load_limiter.record_load(Instant::now());
        }
    }
}

fn loads_weights(command: &engine_control::EngineCommand) -> bool {
    match command {
        engine_control::EngineCommand::LoadVersion { .. }
        | engine_control::EngineCommand::LoadAdapter { .. } => true,
        engine_control::EngineCommand::ChangeRole { .. } => false,
    }
}
