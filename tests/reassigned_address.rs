//! Addresses that belong to another engine than the list says.

mod whole_path;

use std::sync::atomic::Ordering;

use serde_json::{Value, json};

/// Text of the whole answer of the test engines.
const WHOLE_TEXT: &str = "good: small/v1 model=small ability=1.0000 w4 w5 w6 w7 ";
/// Requests of one case; the retry budget pays for a tenth of them.
const REQUESTS: usize = 200;

struct Reply {
    status: u16,
    version: String,
    body: Value,
}

async fn ask(path: &whole_path::WholePath, http: &reqwest::Client) -> Reply {
    let body = json!({ "model": "small", "messages": [{ "role": "user", "content": "hello" }] });
    let request = http.post(path.url("/v1/chat/completions")).json(&body);
    let reply = request.bearer_auth(whole_path::TOKEN).send().await.unwrap();
    let header = reply.headers().get("x-yuccareel-version");
    let version = header.map(|value| value.to_str().unwrap().to_owned()).unwrap_or_default();
    Reply { status: reply.status().as_u16(), version, body: reply.json().await.unwrap() }
}

/// Guards against an answer of another version, and against a replica at a foreign address that
/// is tried again for every request while the list lags.
#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_engine_is_treated_as_a_replica_that_is_gone() {
    struct Case {
        name: &'static str,
        /// Model and version that now answer at the addresses of the first engines.
        foreign: &'static [(&'static str, &'static str)],
        answered: bool,
    }
    let cases = [
        Case { name: "other version", foreign: &[("small", "v2")], answered: true },
        Case { name: "other model", foreign: &[("large", "v1")], answered: true },
        Case { name: "everywhere", foreign: &[("small", "v2"), ("small", "v2")], answered: false },
    ];
    for case in &cases {
        let path = whole_path::start().await;
        let http = reqwest::Client::new();
        assert_eq!(ask(&path, &http).await.status, 200, "{}", case.name);
        path.platform.list.lag();
        let engines = &path.platform.engines;
        for (placed, (model, version)) in engines.iter().zip(case.foreign) {
            placed.engine.reassign(model, version);
        }
        let admitted = path.platform.admitted();
        let started = std::time::Instant::now();
        for turn in 0..REQUESTS {
            let reply = ask(&path, &http).await;
            let error = &reply.body["error"];
            if case.answered {
                assert_eq!(reply.status, 200, "{} request {turn}: {error}", case.name);
                assert_eq!(reply.version, "v1", "{}", case.name);
                let text = &reply.body["choices"][0]["message"]["content"];
                assert_eq!(text, WHOLE_TEXT, "{}", case.name);
            } else {
                assert_eq!(error["code"], "no_replica", "{} request {turn}", case.name);
                assert_eq!(error["ran"], "no", "{}", case.name);
            }
        }
        // The list is read each second, and each reading allows one more attempt at each replica.
        let readings = started.elapsed().as_secs() as u32 + 2;
        for placed in &engines[..case.foreign.len()] {
            let refused = placed.engine.foreign.load(Ordering::SeqCst);
            assert!((1..=readings).contains(&refused), "{}: {refused} attempts", case.name);
        }
        let answers = path.platform.admitted() - admitted;
        assert_eq!(answers, if case.answered { REQUESTS } else { 0 }, "{}", case.name);
    }
}

/// Guards against a replica that stays left out after the list was corrected.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_comes_back_when_the_list_is_read_again() {
    let path = whole_path::start().await;
    let http = reqwest::Client::new();
    let engine = path.platform.engines[0].engine.clone();
    engine.reassign("small", "v2");
    while engine.foreign.load(Ordering::SeqCst) == 0 {
        assert_eq!(ask(&path, &http).await.status, 200);
    }
    engine.reassign("small", "v1");
    let limit = std::time::Instant::now() + std::time::Duration::from_secs(10);
    let admitted = engine.received.lock().len();
    while engine.received.lock().len() == admitted {
        assert!(std::time::Instant::now() < limit, "the replica gets no work again");
        assert_eq!(ask(&path, &http).await.status, 200);
    }
}
