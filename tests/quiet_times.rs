//! Requests after a quiet time, when the node has given its shares back.

mod whole_path;

use std::time::Duration;

use serde_json::json;

/// Guards against a refusal of the first requests after a quiet time.
#[tokio::test(flavor = "multi_thread")]
async fn first_requests_after_a_quiet_time_are_served() {
    struct Case {
        name: &'static str,
        quiet: Duration,
    }
    let cases = [
        Case { name: "first request ever", quiet: Duration::ZERO },
        Case { name: "rate window over", quiet: Duration::from_millis(1_200) },
        Case { name: "lease over", quiet: Duration::from_millis(2_500) },
        Case { name: "renewals over", quiet: Duration::from_secs(9) },
    ];
    let path = whole_path::start().await;
    let http = reqwest::Client::new();
    let body = json!({ "model": "small", "messages": [{ "role": "user", "content": "hello" }] });
    for case in &cases {
        tokio::time::sleep(case.quiet).await;
        for number in 0..5 {
            let request = http.post(path.url("/v1/chat/completions")).json(&body);
            let reply = request.bearer_auth(whole_path::TOKEN).send().await.unwrap();
            let status = reply.status().as_u16();
            let text = reply.text().await.unwrap();
            assert_eq!(status, 200, "{}, request {number}: {text}", case.name);
        }
    }
}
