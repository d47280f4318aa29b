//! Addresses at which another engine answers than the instance list states.

mod whole_path;

use std::sync::atomic::Ordering;

use serde_json::{Value, json};

/// Text of a complete answer of the test engines.
const COMPLETE_TEXT: &str = "good: small/v1 model=small ability=1.0000 w4 w5 w6 w7 ";
/// Requests of one case; the retry budget allows a tenth of them to be retried.
const REQUESTS: usize = 200;

struct ChatReply {
    status: u16,
    version: String,
    body: Value,
}

async fn send_chat(path: &whole_path::WholePath, http: &reqwest::Client) -> ChatReply {
    let body = json!({ "model": "small", "messages": [{ "role": "user", "content": "hello" }] });
    let request = http.post(path.url("/v1/chat/completions")).json(&body);
    let reply = request.bearer_auth(whole_path::TOKEN).send().await.unwrap();
    let header = reply.headers().get("x-yuccareel-version");
    let version = header.map(|value| value.to_str().unwrap().to_owned()).unwrap_or_default();
    ChatReply { status: reply.status().as_u16(), version, body: reply.json().await.unwrap() }
}

/// Guards against an answer of another version, and against a replica at a reassigned address that
/// is tried again for every request while the instance list is out of date.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_at_a_reassigned_address_is_excluded() {
    struct Case {
        name: &'static str,
        /// Models and versions that now answer at the addresses of the first engines.
        reassigned: &'static [(&'static str, &'static str)],
        is_answered: bool,
    }
    let cases = [
        Case { name: "other version", reassigned: &[("small", "v2")], is_answered: true },
        Case { name: "other model", reassigned: &[("large", "v1")], is_answered: true },
        Case {
            name: "all replicas",
            reassigned: &[("small", "v2"), ("small", "v2")],
            is_answered: false,
        },
    ];
    for case in &cases {
        let path = whole_path::start().await;
        let http = reqwest::Client::new();
        assert_eq!(send_chat(&path, &http).await.status, 200, "{}", case.name);
        path.platform.list.lag();
        let engines = &path.platform.engines;
        for (placed, (model, version)) in engines.iter().zip(case.reassigned) {
            placed.engine.reassign(model, version);
        }
        let admitted = path.platform.admitted();
        let started = std::time::Instant::now();
        for turn in 0..REQUESTS {
            let reply = send_chat(&path, &http).await;
            let error = &reply.body["error"];
            if case.is_answered {
                assert_eq!(reply.status, 200, "{} request {turn}: {error}", case.name);
                assert_eq!(reply.version, "v1", "{}", case.name);
                let text = &reply.body["choices"][0]["message"]["content"];
                assert_eq!(text, COMPLETE_TEXT, "{}", case.name);
            } else {
                assert_eq!(error["code"], "no_replica", "{} request {turn}", case.name);
                assert_eq!(error["ran"], "no", "{}", case.name);
            }
        }
        // The list is read each second, and each read allows one more attempt at each replica.
        let list_reads = started.elapsed().as_secs() as u32 + 2;
        for placed in &engines[..case.reassigned.len()] {
            let refused = placed.engine.foreign.load(Ordering::SeqCst);
            assert!((1..=list_reads).contains(&refused), "{}: {refused} attempts", case.name);
        }
        let answers = path.platform.admitted() - admitted;
        assert_eq!(answers, if case.is_answered { REQUESTS } else { 0 }, "{}", case.name);
    }
}

/// Guards against a replica that stays excluded after its address is correct again.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_gets_requests_after_the_list_is_read_again() {
    let path = whole_path::start().await;
    let http = reqwest::Client::new();
    let engine = path.platform.engines[0].engine.clone();
    engine.reassign("small", "v2");
    while engine.foreign.load(Ordering::SeqCst) == 0 {
        assert_eq!(send_chat(&path, &http).await.status, 200);
    }
    engine.reassign("small", "v1");
    let limit = std::time::Instant::now() + std::time::Duration::from_secs(10);
    let admitted = engine.received.lock().len();
    while engine.received.lock().len() == admitted {
        assert!(std::time::Instant::now() < limit, "the replica gets no requests");
        assert_eq!(send_chat(&path, &http).await.status, 200);
    }
}
