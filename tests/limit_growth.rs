//! Leased shares of a customer's limits grow with its demand.

mod whole_path;

use std::time::Duration;

use serde_json::json;
use yuccareel::node;
use yuccareel::quota_message::ResourceKind;

/// Guards against refusals below the limit of a customer: a node that holds a small share must
/// first request more from the allocator.
#[tokio::test(flavor = "multi_thread")]
async fn bursts_below_the_limits_are_served() {
    struct Case {
        name: &'static str,
        requests: usize,
    }
    let cases = [
        Case { name: "first", requests: 1 },
        Case { name: "few", requests: 8 },
        Case { name: "many", requests: 100 },
    ];
    let path = whole_path::start().await;
    let http = reqwest::Client::new();
    let send_request = || {
        let body = json!({ "model": "small",
            "messages": [{ "role": "user", "content": "hello" }] });
        let request = http.post(path.url("/v1/chat/completions")).json(&body);
        request.bearer_auth(whole_path::TOKEN).send()
    };
    // Before its first lease, the only node may use the whole limit, and its share need not grow.
    let kind = ResourceKind::CustomerConcurrency;
    let has_share =
        |node: &node::Node| node.shares.lock().leased_amount(kind, "acme", node.clock()) > 0;
    let deadline = tokio::time::Instant::now() + Duration::from_secs(10);
    while !has_share(path.node()) {
        assert!(tokio::time::Instant::now() < deadline, "no share is granted");
        send_request().await.unwrap();
    }
    for case in &cases {
        let replies = futures::future::join_all((0..case.requests).map(|_| send_request())).await;
        for reply in replies {
            let reply = reply.unwrap();
            let status = reply.status().as_u16();
            assert_eq!(status, 200, "{}: {}", case.name, reply.text().await.unwrap());
        }
    }
}
