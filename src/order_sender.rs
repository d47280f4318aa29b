//! Orders of the rollout lease holder to engines.
//!
//! Each order carries the holder's fencing token. An engine that ignores the token cannot refuse an
//! order of a former holder. For such an engine the sender first waits until the former lease must
//! have expired, checks the holder key directly before the order, and reads the engine's state
//! after it. The caller repeats an order until the engine has applied it, which also corrects a
//! late order of a former holder. Such a late order still takes effect for a short time if the
//! former holder was paused between its last check and the order for longer than the lease and the
//! settling period; `examples/orders.rs` counts these cases.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::{engine_control, kv_store, rollout_holder};

/// Time after the acquisition of the role during which orders of the former holder may still
/// arrive.
pub const SETTLING_PERIOD: Duration = Duration::from_secs(rollout_holder::LEASE_TTL_S as u64);
/// Time between two loads while the weight store's rate limit is unknown.
const UNKNOWN_LOAD_INTERVAL: Duration = Duration::from_secs(60);

/// Spaces loads by the rate limit of the weight store.
#[derive(Clone, Debug)]
pub struct LoadRateLimiter {
    interval: Duration,
    last_load_at: Option<Instant>,
}

impl Default for LoadRateLimiter {
    fn default() -> Self {
        Self { interval: UNKNOWN_LOAD_INTERVAL, last_load_at: None }
    }
}

impl LoadRateLimiter {
    /// Sets the rate limit. A limit that gives no positive, finite interval counts as unknown.
    pub fn set_limit(&mut self, loads_per_s: f64) {
        self.interval = Duration::try_from_secs_f64(1.0 / loads_per_s)
            .ok()
            .filter(|interval| !interval.is_zero())
            .unwrap_or(UNKNOWN_LOAD_INTERVAL);
    }

    /// Time until the next load may start; zero if it may start at once.
    ///
    /// `since` is when this node acquired the role: the former holder may have started a load just
    /// before it.
    pub fn time_until_next(&self, since: Instant, now: Instant) -> Duration {
        let last_load_at = self.last_load_at.unwrap_or(since).max(since);
        self.interval.saturating_sub(now.saturating_duration_since(last_load_at))
    }

    pub fn record_load(&mut self, now: Instant) {
        self.last_load_at = Some(now);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has applied the command.
    InEffect,
    /// The order was sent, but the engine has not applied the command yet.
    Pending,
}

/// Reason why an order was not sent, or why it is not known to be in effect.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The settling period ends after this time.
    #[error("orders of the former holder may still arrive for another {0:?}")]
    Settling(Duration),
    /// The weight store's rate limit allows the next load after this time.
    #[error("the weight store's rate limit allows the next load in {0:?}")]
    RateLimited(Duration),
    /// This node's lease may have expired, or another node holds the role.
    #[error("this instance no longer holds the rollout lease")]
    RoleLost,
    /// The engine has received a newer fencing token.
    #[error("the engine has received an order of a newer holder")]
    Superseded,
    #[error("order not sent: {0}")]
    Store(#[from] kv_store::KvError),
    #[error("order failed: {0}")]
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

/// Sender of the orders of one lease holder.
pub struct OrderSender {
    store: Arc<dyn kv_store::KvStore>,
    pub load_limiter: LoadRateLimiter,
}

impl OrderSender {
    /// Sender that checks the holder key in `store`.
    pub fn new(store: Arc<dyn kv_store::KvStore>) -> Self {
        Self { store, load_limiter: LoadRateLimiter::default() }
    }

    /// Makes one attempt to bring a command into effect on an engine.
    ///
    /// Sends nothing if the engine has already applied the command. `role` is the role as of the
    /// holder's last tick; `checks_fencing` is whether the engine refuses outdated tokens.
    ///
    /// # Errors
    /// If the order must wait, the role is lost, or the key-value service or the engine fails.
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
            // Without an answer, only the engine's state shows whether the order took effect.
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

    /// Checks the holder key, and then the lease by this node's clock, because it may expire during
    /// the read.
    async fn check_role(&self, role: &rollout_holder::HolderRole) -> Result<(), OrderError> {
        let entry = self.store.get(rollout_holder::HOLDER_KEY).await?;
        let holds_role = entry.is_some_and(|entry| entry.create_revision == role.token);
        if holds_role && role.may_be_current(Instant::now()) {
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
