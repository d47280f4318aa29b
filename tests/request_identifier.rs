//! Every reply names its request, so that callers and operators can match it with logs.

mod whole_path;

use serde_json::json;

/// Guards against refusals that cannot be matched with what engines and services received.
#[tokio::test(flavor = "multi_thread")]
async fn answers_and_refusals_name_their_request() {
    struct Case {
        name: &'static str,
        path: &'static str,
        model: &'static str,
        token: &'static str,
        status: u16,
    }
    let token = whole_path::TOKEN;
    let chat = "/v1/chat/completions";
    let cases = [
        Case { name: "answer", path: chat, model: "small", token, status: 200 },
        Case { name: "unknown model", path: chat, model: "huge", token, status: 404 },
        Case { name: "unknown token", path: chat, model: "small", token: "x", status: 401 },
        Case { name: "booking", path: "/hire/bookings", model: "", token, status: 200 },
        Case { name: "unknown route", path: "/none", model: "", token, status: 404 },
    ];
    let path = whole_path::start().await;
    for case in &cases {
        let body = json!({ "model": case.model,
            "messages": [{ "role": "user", "content": "hello" }] });
        let request = reqwest::Client::new().post(path.url(case.path)).bearer_auth(case.token);
        let reply = request.json(&body).send().await.unwrap();
        let status = reply.status().as_u16();
        let id = reply.headers().get("x-request-id").expect(case.name).to_str().unwrap().to_owned();
        let text = reply.text().await.unwrap();
        assert_eq!(status, case.status, "{}: {text}", case.name);
        assert_eq!(id.len(), 32, "{}", case.name);
    }
}
