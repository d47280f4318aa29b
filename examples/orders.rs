//! Stale commands that take effect at an engine, with fencing and without.
//!
//! Three holders take turns over seeded schedules of process pauses, on paused time.
//! A command is stale when the engine has already obeyed a newer holder. Exits with
//! 1 when one takes effect at an engine that checks tokens, or when the sender's
//! checks leave as many as plain sending does. Takes the number of seeds.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::time::Instant;
use yuccareel::engine_control::{self, EngineControl as _};
use yuccareel::standins::kv;
use yuccareel::{ids, order_sender, rollout_holder};

const HOLDERS: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(600);
/// Time after which a holder wants another version loaded.
const COMMAND_INTERVAL_S: u64 = 15;
/// Share of orders before which the process pauses, after all its checks. This is the worst moment,
/// as nothing at the sender can notice it.
const PAUSED_SHARE: f64 = 0.10;
const LONGEST_PAUSE_S: f64 = 40.0;

#[derive(Clone, Copy)]
struct OrderSetup {
    name: &'static str,
    engine_checks: bool,
    sender_checks: bool,
}

#[derive(Default)]
struct EngineTable {
    state: engine_control::EngineState,
    newest_token: ids::FencingToken,
    applied: u64,
    stale: u64,
    stale_since: Option<Instant>,
    stale_time: Duration,
}

impl EngineTable {
    fn apply(&mut self, order: engine_control::EngineOrder) {
        self.applied += 1;
        if let Some(since) = self.stale_since.take() {
            self.stale_time += since.elapsed();
        }
        if order.token < self.newest_token {
            self.stale += 1;
            self.stale_since = Some(Instant::now());
        }
        self.newest_token = self.newest_token.max(order.token);
        self.state.token = order.token;
        if let engine_control::EngineCommand::LoadVersion { model, version } = order.command {
            (self.state.model, self.state.version) = (model, version);
        }
    }
}

/// Engine as one holder reaches it; the holder's process pauses before some orders.
struct PausingControl {
    table: Arc<Mutex<EngineTable>>,
    checks: bool,
    random: Mutex<StdRng>,
}

impl PausingControl {
    async fn pause(&self) {
        let pause = {
            let mut random = self.random.lock();
            random.random_bool(PAUSED_SHARE).then(|| random.random_range(0.0..LONGEST_PAUSE_S))
        };
        if let Some(seconds) = pause {
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        }
    }
}

impl engine_control::EngineControl for PausingControl {
    fn read_state(
        &self,
    ) -> BoxFuture<'_, Result<engine_control::EngineState, engine_control::EngineError>> {
        async move { Ok(self.table.lock().state.clone()) }.boxed()
    }

    fn send_order(
        &self,
        order: engine_control::EngineOrder,
    ) -> BoxFuture<'_, Result<(), engine_control::EngineError>> {
        async move {
            self.pause().await;
            let mut table = self.table.lock();
            if self.checks && order.token < table.newest_token {
                return Err(engine_control::EngineError::OldToken);
            }
            table.apply(order);
            Ok(())
        }
        .boxed()
    }
}

/// Version that a holder wants loaded at a time.
fn command(token: ids::FencingToken, start: Instant) -> engine_control::EngineCommand {
    let period = start.elapsed().as_secs() / COMMAND_INTERVAL_S;
    engine_control::EngineCommand::LoadVersion {
        model: Arc::from("m"),
        version: Arc::from(format!("{token}-{period}")),
    }
}

async fn hold(name: String, store: kv::KvStandin, control: PausingControl, checks: bool) {
    let start = Instant::now();
    let store = Arc::new(store);
    let mut holder = rollout_holder::RolloutHolder::new(store.clone(), Arc::from(name));
    let mut sender = order_sender::OrderSender::new(store);
    sender.load_limiter.set_limit(10.0);
    while start.elapsed() < RUN_TIME {
        if let Ok(Some(role)) = holder.tick().await {
            let command = command(role.token, start);
            if checks {
                // A refusal is retried at the next tick, as a node does.
                let _ = sender.send(&control, control.checks, &role, &command).await;
            } else if !control.table.lock().state.has_applied(&command) {
                let order = engine_control::EngineOrder { token: role.token, command };
                let _ = control.send_order(order).await;
            }
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

async fn run(setup: OrderSetup, seed: u64) -> EngineTable {
    let store = kv::KvStandin::default();
    let table = Arc::new(Mutex::new(EngineTable::default()));
    let holders = (0..HOLDERS).map(|number| {
        let random = StdRng::seed_from_u64(seed * HOLDERS as u64 + number as u64);
        let control = PausingControl {
            table: table.clone(),
            checks: setup.engine_checks,
            random: Mutex::new(random),
        };
        hold(format!("holder-{number}"), store.clone(), control, setup.sender_checks)
    });
    futures::future::join_all(holders).await;
    std::mem::take(&mut *table.lock())
}

fn main() -> std::io::Result<()> {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(200);
    let setups = [
        OrderSetup { name: "no token, plain sending", engine_checks: false, sender_checks: false },
        OrderSetup { name: "no token, sender checks", engine_checks: false, sender_checks: true },
        OrderSetup { name: "token, plain sending", engine_checks: true, sender_checks: false },
        OrderSetup { name: "token, sender checks", engine_checks: true, sender_checks: true },
    ];
    println!("{:<26}{:>10}{:>8}{:>16}", "engine and sender", "applied", "stale", "stale seconds");
    let mut stale = Vec::new();
    for setup in setups {
        let (mut applied, mut found, mut time) = (0, 0, Duration::ZERO);
        for seed in 0..seeds {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()?;
            let table = runtime.block_on(run(setup, seed));
            applied += table.applied;
            found += table.stale;
            time += table.stale_time;
        }
        println!("{:<26}{applied:>10}{found:>8}{:>16.0}", setup.name, time.as_secs_f64());
        stale.push(found);
    }
    let met = stale[1] < stale[0] && stale[2] == 0 && stale[3] == 0;
    std::process::exit(i32::from(!met));
}
