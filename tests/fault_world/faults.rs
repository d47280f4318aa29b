//! Faults that a cell injects and ends.

use std::sync::Arc;
use std::time::Duration;

use yuccareel::standins::engine;
use yuccareel::standins::kv::KvFaults;

use super::callers::ChatSpec;
use super::observation::{BanPeriod, WorkBan};
use super::platform_world::{ACME, CellWorld, customer_record, data_centre_record, wait_for};
use super::promises::{COLD_BOUND, DRAIN_BOUND};

/// Requests of a burst; more than twice what the warm engines of a version bear at once.
const BURST: usize = 240;

/// Fault of the platform or of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    VersionBad,
    PoolExhausted,
    ColdAgain,
    /// The same, and a burst once every sender has to know it.
    ColdBurst,
    KvDown,
    KvSlow,
    KvResponseLost,
    LeasesLapsed,
    OperatorsRace,
    AnswersSilent,
    /// All connections that are open; new ones work.
    ConnectionsSilent,
    InstanceKilled,
    ListLagging,
    BackendLeaving,
    DataCentreDrained,
    RatingGone,
    /// Two engines exchange their versions; the list tells it only when the fault ends.
    AddressReassigned,
}

impl Fault {
    /// Faults of the matrix.
    pub const ALL: [Self; 16] = [
        Self::VersionBad,
        Self::PoolExhausted,
        Self::ColdAgain,
        Self::KvDown,
        Self::KvSlow,
        Self::KvResponseLost,
        Self::LeasesLapsed,
        Self::OperatorsRace,
        Self::AnswersSilent,
        Self::ConnectionsSilent,
        Self::InstanceKilled,
        Self::ListLagging,
        Self::BackendLeaving,
        Self::DataCentreDrained,
        Self::RatingGone,
        Self::AddressReassigned,
    ];

    /// Waits for the state without which the fault would meet no mechanism.
    pub async fn prepare(self, world: &CellWorld) {
        if matches!(self, Self::ColdAgain | Self::ColdBurst) {
            // Without granted shares a cold replica gets nothing at all.
            let granted = || world.shares_granted("e1") && world.shares_granted("e3");
            assert!(wait_for(granted).await, "no shares are granted");
        }
    }

    /// Time for which the fault lasts.
    pub fn lasts(self) -> Duration {
        match self {
            // Longer than the age at which a configuration counts as unconfirmed.
            Self::KvDown | Self::KvSlow => Duration::from_secs(4),
            Self::DataCentreDrained => DRAIN_BOUND + Duration::from_secs(1),
            // Longer than two readings of the list.
            Self::ListLagging | Self::AddressReassigned => Duration::from_secs(2),
            // Afterwards every sender has to know that the engine is cold.
            Self::ColdBurst => COLD_BOUND,
            _ => Duration::from_secs(1),
        }
    }

    /// Whether the fault keeps operators from changing records.
    pub fn hits_store(self) -> bool {
        matches!(self, Self::KvDown | Self::KvSlow | Self::KvResponseLost | Self::LeasesLapsed)
    }

    /// Starts the fault.
    pub async fn inject(self, world: &Arc<CellWorld>) {
        let engines = &world.platform.engines;
        let kv = |faults| *world.platform.kv.faults.lock() = faults;
        match self {
            Self::VersionBad => world.set_bad(true),
            Self::PoolExhausted => {
                for placed in engines {
                    placed.engine.faults.lock().busy = placed.engine.options.warm_concurrency;
                }
            }
            Self::ColdAgain | Self::ColdBurst => {
                for placed in engines.iter().step_by(2).take(2) {
                    placed.engine.turn_cold();
                    let name = placed.engine.options.name.clone();
                    world.seen.lock().turned_cold.push((name, world.now()));
                }
            }
            Self::KvDown => kv(KvFaults { outage: true, ..KvFaults::default() }),
            Self::KvSlow => kv(KvFaults { delay_ms: 1_500, ..KvFaults::default() }),
            Self::KvResponseLost => kv(KvFaults { lose_answers: 4, ..KvFaults::default() }),
            Self::LeasesLapsed => world.platform.kv.table.lock().expire_all_leases(),
            Self::OperatorsRace => {
                let change = |weight| vec![customer_record(ACME, &["v1", "v2"], weight)];
                tokio::join!(world.apply(0, change(2)), world.apply(1, change(3)));
            }
            Self::AnswersSilent => {
                for placed in engines {
                    let mut faults = placed.engine.faults.lock();
                    (faults.silent_next, faults.stall_next) = (1, 1);
                }
                for placed in &world.platform.services {
                    placed.service.faults.lock().lose_answers = 1;
                }
            }
            Self::ConnectionsSilent => world.silence_connections(),
            Self::InstanceKilled => {
                let instance = world.instance(1);
                *instance.callable.lock() = false;
                let served = instance.served.lock().take();
                if let Some(served) = served {
                    served.kill();
                }
            }
            Self::ListLagging => {
                world.platform.list.lag();
                world.platform.list.mark_leaving("e2");
            }
            Self::BackendLeaving => {
                world.platform.list.mark_leaving("e2");
                world.ban(WorkBan::Replica("e2".to_owned()));
            }
            Self::DataCentreDrained => {
                world.set_drained("dc-b", true).await;
            }
            Self::RatingGone => world.rating.faults.lock().outage = true,
            Self::AddressReassigned => {
                world.engine("e2").reassign("small", "v2");
                world.engine("e4").reassign("small", "v1");
            }
        }
    }

    /// Ends the fault.
    pub async fn end(self, world: &Arc<CellWorld>) {
        match self {
            Self::VersionBad => world.set_bad(false),
            Self::PoolExhausted => {
                for placed in &world.platform.engines {
                    placed.engine.faults.lock().busy = 0;
                }
            }
            Self::KvDown | Self::KvSlow | Self::KvResponseLost => {
                *world.platform.kv.faults.lock() = KvFaults::default();
            }
            Self::InstanceKilled => {
                world.platform.list.remove("entry-2");
                world.add_instance("entry-4", "dc-b").await;
                let replacement = world.instance(3);
                let ready = || {
                    let served = replacement.served.lock();
                    served.as_ref().is_some_and(|served| served.running.node.ready())
                };
                assert!(wait_for(ready).await, "the replacement does not get ready");
                world.admit_ready();
            }
            Self::ListLagging => {
                world.platform.list.catch_up();
                world.ban(WorkBan::Replica("e2".to_owned()));
            }
            Self::DataCentreDrained => {
                world.set_drained("dc-b", false).await;
            }
            Self::RatingGone => world.rating.faults.lock().outage = false,
            Self::AddressReassigned => {
                world.platform.list.change_version("e2", "v2");
                world.platform.list.change_version("e4", "v1");
            }
            Self::ColdBurst => world.send_burst(BURST, 20).await,
            Self::ColdAgain
            | Self::LeasesLapsed
            | Self::OperatorsRace
            | Self::AnswersSilent
            | Self::ConnectionsSilent
            | Self::BackendLeaving => {}
        }
    }
}

impl CellWorld {
    fn set_bad(&self, errors: bool) {
        for placed in &self.platform.engines {
            let bad = errors && placed.engine.served.lock().version == "v2";
            placed.engine.faults.lock().errors = bad;
        }
    }

    fn engine(&self, name: &str) -> &engine::EngineStandin {
        let engines = self.platform.engines.iter().map(|placed| &placed.engine);
        engines.clone().find(|engine| engine.options.name == name).expect("a known engine")
    }

    /// Sends requests to all instances at once, for each version in turn.
    pub async fn send_burst(self: &Arc<Self>, requests: usize, tokens: u64) {
        let mut calls = tokio::task::JoinSet::new();
        for turn in 0..requests {
            let world = Arc::clone(self);
            calls.spawn(async move {
                let callable = world.callable();
                let model = if turn % 2 == 0 { "small" } else { "small@v2" };
                let spec = ChatSpec { model, ..ChatSpec::plain(tokens) };
                world.chat(&callable[turn / 2 % callable.len()], spec).await
            });
        }
        calls.join_all().await;
    }

    /// Records that from now on something may receive no new work.
    pub fn ban(&self, ban: WorkBan) {
        let from = self.now();
        self.seen.lock().bans.push(BanPeriod { ban, from, until: None });
    }

    /// Drains a data centre or returns it.
    pub async fn set_drained(&self, name: &str, drained: bool) {
        let ban = WorkBan::DataCentre(name.to_owned());
        if !drained {
            // It may take work as soon as the change is on its way.
            let now = self.now();
            let mut seen = self.seen.lock();
            for period in seen.bans.iter_mut().filter(|period| period.ban == ban) {
                period.until.get_or_insert(now);
            }
        }
        let accepted = self.apply(0, vec![data_centre_record(name, !drained)]).await;
        if drained && accepted {
            self.ban(ban);
        }
    }
}
