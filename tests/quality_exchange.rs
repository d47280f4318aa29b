//! Exchange of pass rates between instances, and recovery of pass rates after their replacement.

mod whole_path;

use std::sync::Arc;

use yuccareel::quality_table::QualityCell;
use yuccareel::{daemon, node};

fn cell(customer: &str) -> QualityCell {
    let kind = Arc::from("k");
    QualityCell { customer: customer.into(), kind, model: "small".into(), after: None }
}

fn record_failures(node: &node::Node, customer: &str, answers: u32) {
    let mut table = node.quality.lock();
    (0..answers).for_each(|_| table.record(&cell(customer), false, 1.0));
}

fn has_answers(node: &node::Node, customer: &str, answers: f64) -> bool {
    node.quality.lock().answer_count(&cell(customer)) >= answers
}

async fn add_node(path: &mut whole_path::WholePath, name: &str, data_centre: &str) {
    let settings = whole_path::settings(&path.platform, name, data_centre);
    let served = daemon::ServedNode::start(&settings, whole_path::logger(), None).await.unwrap();
    let peers = served.running.peer_address();
    path.platform.list_entry(name, served.address, peers, data_centre);
    path.served.push(served);
}

/// Three nodes in two data centres, so that counts pass through a watcher and the rollout holder.
async fn start_three() -> whole_path::WholePath {
    let mut path = whole_path::start().await;
    let first = &path.served[0];
    let peers = first.running.peer_address();
    path.platform.list_entry("entry-1", first.address, peers, "dc-a");
    add_node(&mut path, "entry-2", "dc-b").await;
    add_node(&mut path, "entry-3", "dc-b").await;
    path.wait(|node| node.view.load().members.len() == 3).await;
    path
}

/// Guards against pass rates that stay at the instance that recorded the answers, and against
/// answers that are counted more than once as they are forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn instances_learn_from_one_another() {
    let path = start_three().await;
    for (number, served) in path.served.iter().enumerate() {
        record_failures(&served.running.node, &format!("c{number}"), 20);
        record_failures(&served.running.node, "common", 10);
    }
    let decayed = 0.95;
    path.wait(|node| {
        let all = (0..3).all(|number| has_answers(node, &format!("c{number}"), 20.0 * decayed));
        all && has_answers(node, "common", 30.0 * decayed)
    })
    .await;
    path.wait(|node| !has_answers(node, "common", 30.0)).await;
}

/// Guards against pass rates that are lost when all instances are replaced.
#[tokio::test(flavor = "multi_thread")]
async fn pass_rates_survive_the_replacement_of_all_instances() {
    struct Case {
        name: &'static str,
        graceful: bool,
    }
    let cases =
        [Case { name: "killed", graceful: false }, Case { name: "stopped", graceful: true }];
    for case in cases {
        let mut path = start_three().await;
        record_failures(&path.served[1].running.node, "c", 20);
        path.wait(|node| has_answers(node, "c", 19.0)).await;
        if !case.graceful {
            // The holder writes one changed summary part per second.
            tokio::time::sleep(std::time::Duration::from_secs(3)).await;
        }
        for served in path.served.drain(..) {
            path.platform.list.remove(&served.running.node.options.name);
            if case.graceful { served.shut_down().await } else { served.kill() }
        }
        add_node(&mut path, "entry-4", "dc-a").await;
        add_node(&mut path, "entry-5", "dc-b").await;
        // The lease of a killed holder lasts 10 s.
        path.wait(|node| has_answers(node, "c", 19.0)).await;
        eprintln!("{}: pass rates recovered", case.name);
    }
}
