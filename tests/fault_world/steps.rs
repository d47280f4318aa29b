//! Steps in whose middle a cell injects its fault.

use std::sync::Arc;
use std::time::Duration;

use super::callers::ChatSpec;
use super::observation::{StopPeriod, WorkBan};
use super::platform_world::{CellWorld, STOP_TIME, model_record, rollout_record, wait_for};
use super::promises::DRAIN_BOUND;

/// What a caller or an operator does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    ChatWhole,
    ChatStreamed,
    Session,
    Booking,
    Bill,
    RolloutStage,
    ConfigChange,
    DrainReturn,
    GracefulStop,
}

impl Step {
    pub const ALL: [Self; 9] = [
        Self::ChatWhole,
        Self::ChatStreamed,
        Self::Session,
        Self::Booking,
        Self::Bill,
        Self::RolloutStage,
        Self::ConfigChange,
        Self::DrainReturn,
        Self::GracefulStop,
    ];

    /// Does the first half, after which the fault starts.
    pub async fn start(self, world: &Arc<CellWorld>) {
        match self {
            Self::Session => {
                for place in 0..3 {
                    world.chat(&world.instance(place), session_request()).await;
                }
            }
            Self::Bill => {
                for place in 0..9 {
                    world.chat(&world.instance(place % 3), ChatSpec::plain(3)).await;
                }
            }
            Self::RolloutStage => {
                world.apply(0, vec![rollout_record()]).await;
                let entered = || world.answered("v2") > 0;
                assert!(wait_for(entered).await, "no session enters the new version");
            }
            Self::ConfigChange => {
                if world.apply(1, vec![model_record(&["v2"])]).await {
                    world.ban(WorkBan::Version("v2".to_owned()));
                }
            }
            Self::DrainReturn => world.set_drained("dc-b", true).await,
            Self::ChatWhole | Self::ChatStreamed | Self::Booking | Self::GracefulStop => {
                let (now, started) = (world.arrivals(), Arc::clone(world));
                tokio::spawn(async move { self.run_calls(&started).await });
                assert!(wait_for(|| world.arrivals() > now + 2).await, "nothing arrives");
            }
        }
    }

    /// Calls that are under way when the fault starts.
    async fn run_calls(self, world: &Arc<CellWorld>) {
        match self {
            Self::Booking => {
                let instances = [world.instance(0), world.instance(1), world.instance(2)];
                let [first, second, third] = &instances;
                tokio::join!(
                    world.book(first, "ladder"),
                    world.book(second, "ladder"),
                    world.book(second, "saw"),
                    world.book(third, "saw"),
                );
            }
            Self::GracefulStop => world.stop_instance(2).await,
            _ => {
                let stream = self == Self::ChatStreamed;
                let specs = (0..6).map(|extra| ChatSpec { stream, ..ChatSpec::plain(60 + extra) });
                let mut calls = tokio::task::JoinSet::new();
                for (place, spec) in specs.enumerate() {
                    let world = Arc::clone(world);
                    calls.spawn(async move { world.chat(&world.instance(place % 3), spec).await });
                }
                calls.join_all().await;
            }
        }
    }

    /// Does the second half, after the fault.
    pub async fn finish(self, world: &Arc<CellWorld>) {
        match self {
            Self::Session => {
                for instance in world.callable() {
                    world.chat(&instance, session_request()).await;
                }
            }
            Self::Booking => {
                for instance in world.callable() {
                    world.book(&instance, "ladder").await;
                    world.book(&instance, "saw").await;
                }
            }
            Self::DrainReturn => {
                let drained_at = world.seen.lock().bans.first().map(|period| period.from);
                let until = drained_at.unwrap_or_default() + DRAIN_BOUND + Duration::from_secs(1);
                tokio::time::sleep(until.saturating_sub(world.now())).await;
                world.probe().await;
                world.set_drained("dc-b", false).await;
            }
            Self::GracefulStop => {
                let stopped = || !world.platform.list.lists("entry-3");
                assert!(wait_for(stopped).await, "the instance does not stop");
            }
            Self::ChatWhole
            | Self::ChatStreamed
            | Self::Bill
            | Self::RolloutStage
            | Self::ConfigChange => {}
        }
    }
}

fn session_request() -> ChatSpec {
    ChatSpec { session: Some("step".to_owned()), ..ChatSpec::plain(5) }
}

impl CellWorld {
    /// Requests that backend servers admitted.
    fn arrivals(&self) -> usize {
        let calls =
            self.platform.services.iter().map(|placed| placed.service.received.lock().len());
        self.platform.admitted() + calls.sum::<usize>()
    }

    /// Answers of a version to requests that did not ask for it.
    fn answered(&self, version: &str) -> usize {
        let seen = self.seen.lock();
        let sessions = seen.calls.iter().filter(|call| call.session.is_some());
        sessions.filter(|call| call.version.as_deref() == Some(version)).count()
    }

    /// Shuts an instance down; callers know it until it stops accepting.
    pub async fn stop_instance(self: &Arc<Self>, place: usize) {
        let instance = self.instance(place);
        let Some(served) = instance.served.lock().take() else { return };
        let from = self.now();
        let (name, leave_time) = (instance.name.clone(), STOP_TIME);
        self.seen.lock().stops.push(StopPeriod { instance: name, from, leave_time });
        let callers = Arc::clone(&instance);
        tokio::spawn(async move {
            // Callers drop an address within the time for which it still accepts.
            tokio::time::sleep(leave_time - Duration::from_millis(300)).await;
            *callers.callable.lock() = false;
        });
        served.shut_down().await;
        self.platform.list.remove(&instance.name);
    }
}
