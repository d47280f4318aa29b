//! Drives the load through all phases, for the instances and the baselines at once.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::baseline::{self, Baseline};
use super::outcome::Outcome;
use super::workload::PlannedRequest;
use super::{caller, fleet, operator, shape, workload};

/// Time before the load: the homes of replica concurrency grant nothing in their first 10 s.
const SETTLE: Duration = Duration::from_secs(12);
/// Time for the last requests and the last flush of bills.
const FLUSH: Duration = Duration::from_secs(4);

/// Outcomes of one way of sending.
pub type OutcomeList = Arc<Mutex<Vec<Outcome>>>;

/// Finished run.
pub struct RunResult {
    pub shape: shape::DeploymentShape,
    pub fleet: Arc<fleet::Fleet>,
    pub baselines: Vec<Arc<Baseline>>,
    pub log: operator::OperatorLog,
    /// Outcomes of the instances, then of each baseline.
    pub outcomes: Vec<Vec<Outcome>>,
}

impl RunResult {
    /// Names of the ways of sending, in the order of the outcomes.
    pub fn names(&self) -> Vec<&'static str> {
        let compared = self.baselines.iter().map(|baseline| baseline.policy.name());
        std::iter::once("yuccareel").chain(compared).collect()
    }
}

/// Runs one deployment through all phases.
pub async fn run(shape: shape::DeploymentShape, run: Duration, seed: u64) -> RunResult {
    eprintln!("starting {} instances and the platform of {}", fleet::NODES, shape.name);
    let fleet = Arc::new(fleet::Fleet::start(shape, fleet::NODES).await);
    let mut platforms = Vec::new();
    for policy in baseline::POLICIES {
        platforms.push((policy, fleet::start_platform(&shape).await));
    }
    tokio::time::sleep(SETTLE).await;
    let started = Instant::now();
    let new_baseline = |(policy, platform)| Baseline::new(policy, shape, platform, started);
    let baselines: Vec<_> = platforms.into_iter().map(new_baseline).collect();
    let callers = caller::Callers::new(Arc::clone(&fleet), started).await;
    let mut background = vec![tokio::spawn(Arc::clone(&callers).run_refresh())];
    background
        .extend(baselines.iter().map(|baseline| tokio::spawn(Arc::clone(baseline).run_loads())));
    let operators = operator::Operators {
        fleet: Arc::clone(&fleet),
        baselines: baselines.clone(),
        log: operator::OperatorLog::default(),
    };
    let acting = tokio::spawn(operators.run(started, run));
    let requests = workload::plan(&shape, run, seed);
    let outcomes = send_all(requests, started, &callers, &baselines).await;
    let log = acting.await.expect("operators finish");
    eprintln!("waiting for the last bills");
    tokio::time::sleep(FLUSH).await;
    background.iter().for_each(tokio::task::JoinHandle::abort);
    RunResult { shape, fleet, baselines, log, outcomes }
}

async fn send_all(
    requests: Vec<PlannedRequest>,
    started: Instant,
    callers: &Arc<caller::Callers>,
    baselines: &[Arc<Baseline>],
) -> Vec<Vec<Outcome>> {
    let lists: Vec<OutcomeList> = (0..=baselines.len()).map(|_| OutcomeList::default()).collect();
    let tracker = TaskTracker::new();
    for planned in requests {
        tokio::time::sleep_until(started + planned.at).await;
        let planned = Arc::new(planned);
        for _ in 0..1 + usize::from(planned.doubled) {
            let (callers, planned, list) =
                (Arc::clone(callers), Arc::clone(&planned), Arc::clone(&lists[0]));
            tracker.spawn(async move {
                let outcome = callers.send(&planned).await;
                list.lock().push(outcome);
            });
        }
        for (baseline, list) in baselines.iter().zip(&lists[1..]) {
            let (baseline, planned, list) =
                (Arc::clone(baseline), Arc::clone(&planned), Arc::clone(list));
            tracker.spawn(async move {
                let outcome = baseline.send(&planned).await;
                list.lock().push(outcome);
            });
        }
    }
    tracker.close();
    tracker.wait().await;
    lists.iter().map(|list| std::mem::take(&mut *list.lock())).collect()
}
