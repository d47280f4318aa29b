//! Tables of a node follow the configuration and the instance list.

mod whole_path;

use std::time::Duration;

use serde_json::json;
use yuccareel::admission_queue::{QueueOutcome, QueuedRequest, RequestLane};
use yuccareel::pool_queue::WaitingRequest;
use yuccareel::prefix_index::CacheEvent;
use yuccareel::records::RoutingRecord;
use yuccareel::replica_table::ReplicaPool;

async fn ask(path: &whole_path::WholePath) {
    let body = json!({ "model": "small", "messages": [{ "role": "user", "content": "hello" }] });
    let request = reqwest::Client::new().post(path.url("/v1/chat/completions")).json(&body);
    let reply = request.bearer_auth(whole_path::TOKEN).send().await.unwrap();
    assert_eq!(reply.status().as_u16(), 200);
}

fn waiting(customer: &str) -> QueuedRequest<WaitingRequest> {
    let (answer, _) = tokio::sync::oneshot::channel();
    let tried = Default::default();
    QueuedRequest {
        customer: customer.into(),
        lane: RequestLane::Interactive,
        deadline: Duration::from_secs(1_000_000),
        expected: Duration::ZERO,
        cost: 1,
        payload: WaitingRequest { answer, tried, prefixes: Default::default() },
    }
}

/// Guards against queues that keep the weights of the time when they were made.
#[tokio::test(flavor = "multi_thread")]
async fn changed_weights_reach_the_queues() {
    let path = whole_path::start().await;
    ask(&path).await;
    let mut records = Vec::new();
    for (name, weight) in [("acme", 1), ("beta", 4)] {
        let mut customer = (*path.node().snapshot.load().customers["acme"]).clone();
        (customer.name, customer.weight) = (name.into(), weight);
        if name != "acme" {
            customer.token_sha256 = vec![yuccareel::token_index::token_hash(name)];
        }
        records.push(RoutingRecord::Customer(customer));
    }
    path.apply(records).await;
    let mut queues = path.node().queues.lock();
    let queue = queues.get_mut(&ReplicaPool::Version("small".into(), "v1".into())).unwrap();
    let now = path.node().clock();
    for _ in 0..20 {
        queue.push(waiting("acme"), now).unwrap();
        queue.push(waiting("beta"), now).unwrap();
    }
    let served = (0..20).filter(|_| match queue.pop(now) {
        Some(QueueOutcome::Dispatch(request)) => &*request.customer == "beta",
        other => panic!("{other:?}"),
    });
    assert_eq!(served.count(), 16);
}

/// Guards against rows of replaced replicas that are kept for ever.
#[tokio::test(flavor = "multi_thread")]
async fn rows_of_gone_replicas_are_dropped() {
    let path = whole_path::start().await;
    while !path.node().learned.lock().contains_key("e1") {
        ask(&path).await;
    }
    let (replica, boot) = ("e1".into(), "b".into());
    let event = CacheEvent { replica, boot, sequence: 1, stored: vec![1], evicted: Vec::new() };
    path.node().prefixes.lock().apply(&event);
    path.platform.list.remove("e1");
    path.wait(|node| !node.learned.lock().contains_key("e1")).await;
    path.wait(|node| node.prefixes.lock().last_event("e1").is_none()).await;
}
