//! Maintenance of a node's tables after changes of the configuration and the instance list.

mod whole_path;

use std::time::Duration;

use serde_json::json;
use yuccareel::admission_queue::{QueueOutcome, QueuedRequest, RequestLane};
use yuccareel::kv_client::prefix_end;
use yuccareel::pool_queue::WaitingRequest;
use yuccareel::prefix_index::CacheEvent;
use yuccareel::records::RoutingRecord;
use yuccareel::replica_table::ReplicaPool;
use yuccareel::session_table::{SessionModel, SessionPin, SessionTable};

async fn send_chat(path: &whole_path::WholePath) {
    let body = json!({ "model": "small", "messages": [{ "role": "user", "content": "hello" }] });
    let request = reqwest::Client::new().post(path.url("/v1/chat/completions")).json(&body);
    let reply = request.bearer_auth(whole_path::TOKEN).send().await.unwrap();
    assert_eq!(reply.status().as_u16(), 200);
}

fn queued_request(customer: &str) -> QueuedRequest<WaitingRequest> {
    let (outcome_sender, _) = tokio::sync::oneshot::channel();
    let tried = Default::default();
    QueuedRequest {
        customer: customer.into(),
        lane: RequestLane::Interactive,
        deadline: Duration::from_secs(1_000_000),
        expected_duration: Duration::ZERO,
        cost: 1,
        payload: WaitingRequest { outcome_sender, tried, prefixes: Default::default() },
    }
}

/// Guards against queues that keep the weights with which they were created.
#[tokio::test(flavor = "multi_thread")]
async fn changed_weights_reach_the_queues() {
    let path = whole_path::start().await;
    send_chat(&path).await;
    let mut records = Vec::new();
    for (name, weight) in [("acme", 1), ("beta", 4)] {
        let mut customer = (*path.node().snapshot.load().customers["acme"]).clone();
        (customer.name, customer.weight) = (name.into(), weight);
        if name != "acme" {
            customer.token_sha256 = vec![yuccareel::token_index::token_digest_hex(name)];
        }
        records.push(RoutingRecord::Customer(customer));
    }
    path.apply(records).await;
    let mut queues = path.node().queues.lock();
    let queue = queues.get_mut(&ReplicaPool::Version("small".into(), "v1".into())).unwrap();
    let now = path.node().clock();
    for _ in 0..20 {
        queue.push(queued_request("acme"), now).unwrap();
        queue.push(queued_request("beta"), now).unwrap();
    }
    let served = (0..20).filter(|_| match queue.pop(now) {
        Some(QueueOutcome::Dispatch(request)) => &*request.customer == "beta",
        other => panic!("{other:?}"),
    });
    assert_eq!(served.count(), 16);
}

/// Guards against rows of replaced replicas that are never removed.
#[tokio::test(flavor = "multi_thread")]
async fn rows_of_removed_replicas_are_deleted() {
    let path = whole_path::start().await;
    while !path.node().learned.lock().contains_key("e1") {
        send_chat(&path).await;
    }
    let (replica, boot) = ("e1".into(), "b".into());
    let event = CacheEvent { replica, boot, sequence: 1, stored: vec![1], evicted: Vec::new() };
    path.node().prefixes.lock().apply_event(&event);
    path.platform.list.remove("e1");
    path.wait(|node| !node.learned.lock().contains_key("e1")).await;
    path.wait(|node| node.prefixes.lock().last_event("e1").is_none()).await;
}

/// Guards against session pins that are never removed after their session has ended.
#[tokio::test(flavor = "multi_thread")]
async fn idle_pins_are_deleted() {
    let path = whole_path::start().await;
    let key = SessionModel { customer: "acme".into(), session: "s".into(), model: "small".into() };
    let pin = SessionPin { version: "v1".into(), moves: 0 };
    let mut table = SessionTable::with_limits(8, Duration::from_millis(100));
    table.apply_pin(key, pin, path.node().clock());
    *path.node().sessions.lock() = table;
    path.wait(|node| node.sessions.lock().is_empty()).await;
}

/// Guards against states of removed rollouts that are never deleted, in the key-value service and
/// at nodes, and against the loss of the state of a rollout that still exists.
#[tokio::test(flavor = "multi_thread")]
async fn states_of_removed_rollouts_are_deleted() {
    let path = whole_path::start().await;
    let rollout = |name, model| RoutingRecord::Rollout(whole_path::rollout(name, model));
    let mut large = (*path.node().snapshot.load().models["small"]).clone();
    large.name = "large".into();
    path.apply(vec![RoutingRecord::Model(large)]).await;
    path.apply(vec![rollout("first", "small"), rollout("second", "large")]).await;
    let stored = || {
        let mut table = path.platform.kv.table.lock();
        let entries = table.range("rollout/state/", Some(&prefix_end("rollout/state/"))).entries;
        entries.into_iter().map(|entry| entry.key).collect::<Vec<_>>()
    };
    path.wait(|_| stored().len() == 2).await;
    path.wait(|node| node.rollouts.collected_rollouts().len() == 2).await;
    path.remove(vec![("rollout", "first")]).await;
    path.wait(|_| stored() == ["rollout/state/second"]).await;
    path.wait(|node| node.rollouts.collected_rollouts() == ["second".into()]).await;
    path.remove(vec![("rollout", "second")]).await;
    path.wait(|_| stored().is_empty()).await;
    path.wait(|node| node.rollouts.collected_rollouts().is_empty()).await;
}
