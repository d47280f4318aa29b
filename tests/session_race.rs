//! Concurrent first requests of a session at instances with different rollout states.

mod fault_world;

use std::sync::Arc;

use fault_world::callers::ChatSpec;
use fault_world::observation::CellObservations;
use fault_world::platform_world::{CellWorld, rollout_record, wait_for};
use fault_world::promises;
use yuccareel::records::RoutingRecord;
use yuccareel::rollout_stage::{RolloutPhase, RolloutState};

const SESSIONS: usize = 60;

/// Guards against two versions for one session. A stage change reaches the instances at different
/// times, so that they prefer different versions for the same new session.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_first_requests_keep_one_version() {
    let world = CellWorld::start().await;
    assert!(world.apply(0, vec![rollout_record()]).await);
    let has_rollout = || {
        world.callable().iter().all(|instance| {
            let served = instance.served.lock();
            let node = served.as_ref().map(|served| Arc::clone(&served.running.node));
            node.is_some_and(|node| !node.snapshot.load().rollouts.is_empty())
        })
    };
    assert!(wait_for(has_rollout).await, "the rollout is not in effect");
    for session in 0..SESSIONS {
        set_rollout_phase(&world, 0, RolloutPhase::Completed);
        set_rollout_phase(&world, 2, RolloutPhase::Running);
        let spec = |tokens| ChatSpec {
            session: Some(format!("race-{session}")),
            ..ChatSpec::plain(tokens)
        };
        let [first, second, third] = [0, 1, 2].map(|index| world.instance(index));
        tokio::join!(world.chat(&first, spec(2)), world.chat(&third, spec(2)));
        world.chat(&second, spec(2)).await;
    }
    world.end();
    let seen = world.seen.lock().clone();
    assert!(seen.calls.iter().any(|call| call.version.as_deref() == Some("v2")));
    let sessions = CellObservations { calls: seen.calls, ..CellObservations::default() };
    let breaches: Vec<_> = promises::breaches(&sessions)
        .into_iter()
        .filter(|breach| breach.promise == promises::Promise::StickySession)
        .collect();
    assert!(breaches.is_empty(), "{} of {SESSIONS} sessions: {:#?}", breaches.len(), breaches[0]);
}

fn set_rollout_phase(world: &CellWorld, index: usize, phase: RolloutPhase) {
    let RoutingRecord::Rollout(record) = rollout_record() else { unreachable!() };
    let state = RolloutState { phase, ..RolloutState::new(&record) };
    let instance = world.instance(index);
    let served = instance.served.lock();
    if let Some(served) = served.as_ref() {
        served.running.node.apply_states([(record.name.clone(), state)].into());
    }
}
