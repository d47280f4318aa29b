//! What operators and the platform do in each phase, and when it took effect.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use yuccareel::records::{self, RoutingRecord};
use yuccareel::rollout_stage;
use yuccareel::standins::platform;

use super::baseline::{Baseline, VersionShare};
use super::workload::{self, PhaseName};
use super::{fleet, shape};

/// Shares of new sessions in the stages of a rollout.
const STAGES: [f64; 3] = [0.1, 0.3, 1.0];
/// Time after a drain at which the servers of the data centre stop answering.
const DRAIN_TIME: Duration = Duration::from_millis(3_200);

/// What happened, for the audit and the report.
#[derive(Clone, Debug, Default)]
pub struct OperatorLog {
    /// Changes with the time until they were in effect on every instance.
    pub applied: Vec<(&'static str, Duration)>,
    /// Version of the cheap model that was withdrawn, and when.
    pub withdrawn: Option<(&'static str, Instant)>,
    /// Data centre that was drained, from when until when.
    pub drained: Option<(&'static str, Instant, Option<Instant>)>,
    /// Calls that the drained data centre's services had run after 3 s, and at its return.
    pub drained_runs: Option<(u64, u64)>,
    /// State of each rollout at the end of its phase.
    pub rollouts: Vec<(&'static str, Option<rollout_stage::RolloutPhase>)>,
    /// Time from the start of the bad rollout to its roll-back.
    pub rolled_back_after: Option<Duration>,
    /// Instances replaced.
    pub replaced: usize,
}

/// Operators of the instances and of the baselines.
pub struct Operators {
    pub fleet: Arc<fleet::Fleet>,
    pub baselines: Vec<Arc<Baseline>>,
    pub log: OperatorLog,
}

impl Operators {
    /// Acts through all phases.
    pub async fn run(mut self, started: Instant, run: Duration) -> OperatorLog {
        for (phase, start, end) in workload::timeline(run) {
            tokio::time::sleep_until(started + start).await;
            eprintln!("{:5.1} s  {}", start.as_secs_f64(), phase.name());
            let (from, until) = (started + start, started + end);
            match phase {
                PhaseName::Quiet | PhaseName::Surge => {}
                PhaseName::GoodRollout => self.good_rollout(from, until).await,
                PhaseName::BadRollout => self.bad_rollout(from, until).await,
                PhaseName::Drain => self.drain(from, until).await,
                PhaseName::Return => self.bring_back().await,
                PhaseName::Outage => {
                    self.fleet.platform.kv.faults.lock().outage = true;
                    tokio::time::sleep_until(until).await;
                    self.fleet.platform.kv.faults.lock().outage = false;
                }
                PhaseName::Replace => self.replace(until - from).await,
            }
        }
        self.log
    }

    async fn apply(&mut self, what: &'static str, puts: Vec<RoutingRecord>) {
        self.change(what, puts, Vec::new()).await;
    }

    async fn change(
        &mut self,
        what: &'static str,
        puts: Vec<RoutingRecord>,
        removals: Vec<(String, Arc<str>)>,
    ) {
        let time = self.fleet.apply(puts, removals).await;
        self.log.applied.push((what, time));
    }

    async fn good_rollout(&mut self, from: Instant, until: Instant) {
        self.apply("good rollout", vec![rollout("good", "v1", "v2", until - from)]).await;
        self.watch("good", "v1", "v2", from, until).await;
        let model = self.fleet.shape.model_record("small", "v2", &[]);
        let removals = vec![("rollout".to_owned(), "good".into())];
        self.change("new default version", vec![model], removals).await;
        self.set_versions(VersionShare { from: "v2", to: "v2", share: 0.0 });
    }

    async fn bad_rollout(&mut self, from: Instant, until: Instant) {
        for platform in self.platforms() {
            for placed in &platform.engines {
                if placed.engine.options.version == "v3" {
                    placed.engine.faults.lock().poor = true;
                }
            }
        }
        self.apply("bad rollout", vec![rollout("bad", "v2", "v3", until - from)]).await;
        self.watch("bad", "v2", "v3", from, until - Duration::from_millis(500)).await;
        let model = self.fleet.shape.model_record("small", "v2", &["v3"]);
        let removals = vec![("rollout".to_owned(), "bad".into())];
        self.change("withdrawal", vec![model], removals).await;
        self.log.withdrawn = Some(("v3", Instant::now()));
        self.set_versions(VersionShare { from: "v2", to: "v2", share: 0.0 });
    }

    /// Follows a rollout to the end of its phase; baselines advance by time alone.
    async fn watch(
        &mut self,
        name: &'static str,
        old: &'static str,
        new: &'static str,
        from: Instant,
        until: Instant,
    ) {
        let mut state = None;
        while Instant::now() < until {
            let part = from.elapsed().as_secs_f64() / (until - from).as_secs_f64();
            let stage = ((part * STAGES.len() as f64) as usize).min(STAGES.len() - 1);
            self.set_versions(VersionShare { from: old, to: new, share: STAGES[stage] });
            for node in self.fleet.running() {
                let found = node.rollouts.states.load().get(name).map(|found| found.phase);
                state = found.or(state);
            }
            let rolled_back = matches!(state, Some(rollout_stage::RolloutPhase::RolledBack { .. }));
            if rolled_back && self.log.rolled_back_after.is_none() {
                self.log.rolled_back_after = Some(from.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.log.rollouts.push((name, state));
    }

    fn set_versions(&self, share: VersionShare) {
        for baseline in &self.baselines {
            *baseline.versions.lock() = share;
        }
    }

    fn platforms(&self) -> impl Iterator<Item = &platform::PlatformStandin> {
        let compared = self.baselines.iter().map(|baseline| &baseline.platform);
        std::iter::once(&self.fleet.platform).chain(compared)
    }

    async fn drain(&mut self, from: Instant, until: Instant) {
        let name = self.fleet.shape.data_centres[0];
        let committed = Instant::now();
        self.apply("drain", vec![self.fleet.shape.data_centre_record(name, true)]).await;
        self.log.drained = Some((name, committed, None));
        // Short runs still take the servers away within the phase.
        tokio::time::sleep_until((from + DRAIN_TIME).min(until)).await;
        let runs = service_runs(&self.fleet.platform, name);
        self.log.drained_runs = Some((runs, runs));
        for platform in self.platforms() {
            set_gone(platform, name, true);
        }
        tokio::time::sleep_until(until).await;
    }

    async fn bring_back(&mut self) {
        let name = self.fleet.shape.data_centres[0];
        for platform in self.platforms() {
            set_gone(platform, name, false);
        }
        if let Some((after, _)) = self.log.drained_runs {
            self.log.drained_runs = Some((after, service_runs(&self.fleet.platform, name)));
        }
        if let Some((_, _, returned)) = &mut self.log.drained {
            *returned = Some(Instant::now());
        }
        self.apply("return", vec![self.fleet.shape.data_centre_record(name, false)]).await;
    }

    /// Replaces all instances in turn: the new one starts before the old one leaves.
    async fn replace(&mut self, phase: Duration) {
        let mut leaving_nodes = tokio::task::JoinSet::new();
        let names: Vec<_> = {
            let nodes = self.fleet.nodes.lock();
            nodes.iter().map(|placed| (placed.name.clone(), placed.data_centre)).collect()
        };
        let pause = phase / (names.len() as u32 + 1);
        for (name, data_centre) in names {
            let successor = format!("{name}-b");
            self.fleet.add_node(&successor, data_centre).await;
            self.fleet.wait("replacement", |node| node.ready()).await;
            self.fleet.platform.list.mark_leaving(&name);
            let leaving = {
                let mut nodes = self.fleet.nodes.lock();
                let place = nodes.iter().position(|placed| placed.name == name);
                nodes.remove(place.expect("instance runs"))
            };
            let fleet = Arc::clone(&self.fleet);
            leaving_nodes.spawn(async move {
                leaving.served.shut_down().await;
                fleet.platform.list.remove(&name);
            });
            // The next one leaves while this one still serves its last callers.
            tokio::time::sleep(pause).await;
        }
        while let Some(left) = leaving_nodes.join_next().await {
            self.log.replaced += usize::from(left.is_ok());
        }
    }
}

/// Calls that the services of a data centre have run.
fn service_runs(platform: &platform::PlatformStandin, data_centre: &str) -> u64 {
    let placed = platform.services.iter().filter(|placed| &*placed.data_centre == data_centre);
    placed
        .map(|placed| placed.service.runs.lock().values().map(|runs| u64::from(*runs)).sum::<u64>())
        .sum()
}

/// Takes the servers of a data centre away: engines fail, answers of services are lost.
fn set_gone(platform: &platform::PlatformStandin, data_centre: &str, gone: bool) {
    for placed in platform.engines.iter().filter(|placed| &*placed.data_centre == data_centre) {
        placed.engine.faults.lock().errors = gone;
    }
    for placed in platform.services.iter().filter(|placed| &*placed.data_centre == data_centre) {
        placed.service.faults.lock().lose_answers = if gone { u32::MAX } else { 0 };
    }
}

fn rollout(name: &str, from: &str, to: &str, phase: Duration) -> RoutingRecord {
    RoutingRecord::Rollout(records::rollout::RolloutRecord {
        name: name.into(),
        model: "small".into(),
        from: from.into(),
        to: to.into(),
        stages: STAGES.to_vec(),
        stage_dwell_s: (phase.as_secs() / 5).max(1),
        stage_min_requests: 5,
        max_error_rise: 0.05,
        max_quality_fall: 0.1,
        paused: false,
        replicas: Vec::new(),
    })
}

/// Versions that the cheap model has in a shape.
pub fn versions() -> &'static [&'static str] {
    &shape::VERSIONS
}
