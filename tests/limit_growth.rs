//! Leased shares of a customer's limits grow with its demand.

mod whole_path;

use std::time::Duration;

use serde_json::json;
use yuccareel::node;
use yuccareel::quota_message::ResourceKind;

/// Guards against refusals by a limit that is not reached: a node that holds a small share
/// has to ask its home for more first.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_below_the_limits_is_not_refused() {
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
    let ask = || {
        let body = json!({ "model": "small",
            "messages": [{ "role": "user", "content": "hello" }] });
        let request = http.post(path.url("/v1/chat/completions")).json(&body);
        request.bearer_auth(whole_path::TOKEN).send()
    };
    // Without a share of a home the node may use the whole limit.
    let kind = ResourceKind::CustomerConcurrency;
    let leased =
        |node: &node::Node| node.shares.lock().leased_amount(kind, "acme", node.clock()) > 0;
    let limit = tokio::time::Instant::now() + Duration::from_secs(10);
    while !leased(path.node()) {
        assert!(tokio::time::Instant::now() < limit, "no share is granted");
        ask().await.unwrap();
    }
    for case in &cases {
        let replies = futures::future::join_all((0..case.requests).map(|_| ask())).await;
        for reply in replies {
            let reply = reply.unwrap();
            let status = reply.status().as_u16();
            assert_eq!(status, 200, "{}: {}", case.name, reply.text().await.unwrap());
        }
    }
}
