//! Tables of a node while instance lists and configurations arrive on several threads.

mod whole_path;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use yuccareel::admission_queue::RequestLane;
use yuccareel::config_change::ConfigChange;
use yuccareel::instance_list::ListedInstance;
use yuccareel::replica_table::ReplicaPool;
use yuccareel::{config_log, node, records};

/// Guards against a choice by positions of a table that was replaced at the same time, which sends
/// the request to a replica of another version.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_choice_stays_within_its_pool_while_lists_change() {
    let path = whole_path::start().await;
    let node = Arc::clone(path.node());
    let (done, changed_node) = (Arc::new(AtomicBool::new(false)), Arc::clone(&node));
    let thread_done = Arc::clone(&done);
    let lists = path.platform.list.instances.lock().clone();
    let list_thread = std::thread::spawn(move || change_lists(&changed_node, &lists, &thread_done));
    let pool = ReplicaPool::Version("small".into(), "v1".into());
    let customer = "acme".into();
    let end = tokio::time::Instant::now() + Duration::from_secs(2);
    let mut choice_count = 0;
    while tokio::time::Instant::now() < end {
        let (tried, prefixes) = (Default::default(), Default::default());
        let lane = RequestLane::Interactive;
        let chosen = node.dispatch_in_pool(&customer, &pool, lane, end, &tried, &prefixes).await;
        if let Ok(guard) = chosen {
            assert_eq!(guard.row.pool, pool, "after {choice_count} choices");
            choice_count += 1;
        }
    }
    done.store(true, Ordering::SeqCst);
    list_thread.join().unwrap();
    assert!(choice_count > 100, "{choice_count} choices");
}

/// Alternates two orders of the list, which changes all positions.
fn change_lists(node: &Arc<node::Node>, list: &[ListedInstance], done: &AtomicBool) {
    let reversed: Vec<_> = list.iter().rev().cloned().collect();
    while !done.load(Ordering::SeqCst) {
        node.replace_replicas(&reversed);
        node.replace_replicas(list);
    }
}

/// Guards against an older configuration that replaces a newer one and stays in effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_newest_configuration_stays_in_effect() {
    let path = whole_path::start().await;
    let node = Arc::clone(path.node());
    let record = (*node.snapshot.load().customers["acme"]).clone();
    let first = node.log.lock().sequence();
    let change = |sequence: u64| {
        Arc::new(ConfigChange {
            sequence,
            apply_id: format!("{sequence:032x}").into(),
            author: "test".into(),
            written_at_ms: 0,
            puts: vec![records::RoutingRecord::Customer(records::customer::CustomerRecord {
                weight: 1 + (sequence % 100) as u32,
                ..record.clone()
            })],
            removals: Vec::new(),
        })
    };
    // Two threads apply alternate changes and do not wait until the other's change is in effect.
    let last = first + 4_000;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut known = first;
            while known < last {
                let sequence = node.snapshot.load().sequence;
                assert!(sequence >= known, "{sequence} after {known}");
                known = sequence;
            }
        });
        for offset in 0..2 {
            let (node, change) = (&node, &change);
            scope.spawn(move || {
                let mut next = first + 1 + offset;
                while next <= last {
                    let applied = node.log.lock().apply(change(next));
                    if applied == config_log::ApplyOutcome::Applied {
                        node.put_in_effect();
                        let newest = node.log.lock().sequence();
                        assert!(newest >= next);
                        next += 2;
                    }
                }
            });
        }
    });
    assert_eq!(node.snapshot.load().sequence, last);
}
