//! Instances replaced one after another under load.

mod fault_world;

use std::sync::Arc;

use fault_world::observation::CallEnd;
use fault_world::platform_world::CellWorld;
use fault_world::promises;
use tokio_util::sync::CancellationToken;

/// Refusals that say that an instance or its shares are not there yet or any more.
const NEVER: [&str; 3] = ["shutting_down", "not_ready", "isolated"];

/// Refusals that say that a home settles or that a claim shard has no owner.
const SELDOM: [&str; 2] = ["overloaded", "claims_unavailable"];

/// Guards against requests that a rolling replacement loses, bills twice or not at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rolling_replacement_loses_no_request() {
    let world = CellWorld::start().await;
    let stop = CancellationToken::new();
    let load = tokio::spawn(Arc::clone(&world).run_load(stop.clone()));
    for (place, (name, data_centre)) in
        [("entry-4", "dc-a"), ("entry-5", "dc-b"), ("entry-6", "dc-a")].into_iter().enumerate()
    {
        world.add_instance(name, data_centre).await;
        let added = world.instance(3 + place);
        let ready =
            || added.served.lock().as_ref().is_some_and(|served| served.running.node.ready());
        assert!(fault_world::platform_world::wait_for(ready).await, "{name} does not get ready");
        world.admit_ready();
        world.stop_instance(place).await;
    }
    stop.cancel();
    load.await.unwrap();
    let billed = fault_world::platform_world::wait_for(|| world.all_billed()).await;
    world.end();
    let seen = world.observations();
    assert!(billed, "bills are missing");
    assert_eq!(promises::breaches(&seen), []);
    let lost: Vec<_> = seen
        .calls
        .iter()
        .filter(|call| match &call.end {
            CallEnd::Whole(_) => false,
            CallEnd::Refused { code, .. } => NEVER.contains(&code.as_str()),
            CallEnd::Silent(_) | CallEnd::Broken(_) => true,
        })
        .collect();
    assert!(lost.is_empty(), "{} of {} calls: {lost:#?}", lost.len(), seen.calls.len());
    // Guards against homes that settle and shards without an owner after each replacement.
    let refused = seen.calls.iter().filter(|call| match &call.end {
        CallEnd::Refused { code, .. } => SELDOM.contains(&code.as_str()),
        CallEnd::Whole(_) | CallEnd::Silent(_) | CallEnd::Broken(_) => false,
    });
    let refused = refused.count();
    assert!(refused * 100 <= seen.calls.len(), "{refused} of {} calls refused", seen.calls.len());
}
