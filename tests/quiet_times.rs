//! Requests after an idle time, in which the shares of the node have expired.

mod whole_path;

use std::time::Duration;

use serde_json::json;

/// Guards against a refusal of the first requests after an idle time, when the node holds no share.
#[tokio::test(flavor = "multi_thread")]
async fn first_requests_after_an_idle_time_are_served() {
    struct Case {
        name: &'static str,
        idle_time: Duration,
    }
    let cases = [
        Case { name: "first request ever", idle_time: Duration::ZERO },
        Case { name: "rate window over", idle_time: Duration::from_millis(1_200) },
        Case { name: "lease expired", idle_time: Duration::from_millis(2_500) },
        Case { name: "renewals ended", idle_time: Duration::from_secs(9) },
    ];
    let path = whole_path::start().await;
    let http = reqwest::Client::new();
    let body = json!({ "model": "small", "messages": [{ "role": "user", "content": "hello" }] });
    for case in &cases {
        tokio::time::sleep(case.idle_time).await;
        for number in 0..5 {
            let request = http.post(path.url("/v1/chat/completions")).json(&body);
            let reply = request.bearer_auth(whole_path::TOKEN).send().await.unwrap();
            let status = reply.status().as_u16();
            let text = reply.text().await.unwrap();
            assert_eq!(status, 200, "{}, request {number}: {text}", case.name);
        }
    }
}
