//! Faults of a backend server during one chat request, whole and streamed.

mod whole_path;

use serde_json::{Value, json};
use yuccareel::records::RoutingRecord;
use yuccareel::records::model::VersionState;
use yuccareel::standins::engine::EngineFaults;

/// Text of the whole answer of the test engines.
const WHOLE_TEXT: &str = "good: small/v1 model=small ability=1.0000 w4 w5 w6 w7 ";

enum Outcome {
    /// The whole answer.
    Whole,
    /// A refusal or error event with this code.
    Error(&'static str),
}

struct Reply {
    status: u16,
    text: String,
    error: Option<Value>,
    done: bool,
}

async fn ask(path: &whole_path::WholePath, stream: bool) -> Reply {
    let body = json!({ "model": "small", "stream": stream,
        "messages": [{ "role": "user", "content": "hello" }] });
    let request = reqwest::Client::new().post(path.url("/v1/chat/completions"));
    let reply = request.bearer_auth(whole_path::TOKEN).json(&body).send().await.unwrap();
    let status = reply.status().as_u16();
    let body = reply.text().await.unwrap();
    if !stream || status != 200 {
        let value: Value = serde_json::from_str(&body).unwrap();
        let text = value["choices"][0]["message"]["content"].as_str().unwrap_or_default();
        let error = value.get("error").cloned();
        return Reply { status, text: text.to_owned(), done: error.is_none(), error };
    }
    let (mut text, mut error, mut done) = (String::new(), None, false);
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap();
        text.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        error = error.or_else(|| value.get("error").cloned());
    }
    Reply { status, text, error, done }
}

/// Guards against a short, foreign or missing answer that looks whole.
#[tokio::test(flavor = "multi_thread")]
async fn stream_faults_give_the_whole_answer_or_an_error() {
    struct Case {
        name: &'static str,
        faults: EngineFaults,
        outcome: Outcome,
    }
    let none = EngineFaults::default;
    let cases = [
        Case { name: "none", faults: none(), outcome: Outcome::Whole },
        Case {
            name: "truncated",
            faults: EngineFaults { truncate_next: 1, ..none() },
            outcome: Outcome::Whole,
        },
        Case {
            name: "crossed",
            faults: EngineFaults { cross_next: 1, ..none() },
            outcome: Outcome::Whole,
        },
        Case {
            name: "stalled",
            faults: EngineFaults { stall_next: 1, ..none() },
            outcome: Outcome::Whole,
        },
        Case {
            name: "silent",
            faults: EngineFaults { silent_next: 1, ..none() },
            outcome: Outcome::Whole,
        },
        Case {
            name: "errors everywhere",
            faults: EngineFaults { errors: true, ..none() },
            outcome: Outcome::Error("backend_failed"),
        },
    ];
    for case in &cases {
        for stream in [false, true] {
            let path = whole_path::start().await;
            // Both replicas fail once, which takes two retries; twenty answers earn two.
            for _ in 0..20 {
                assert_eq!(ask(&path, false).await.status, 200, "{}", case.name);
            }
            for placed in &path.platform.engines {
                *placed.engine.faults.lock() = case.faults.clone();
            }
            let reply = ask(&path, stream).await;
            match case.outcome {
                Outcome::Whole => {
                    let error = &reply.error;
                    assert_eq!(reply.text, WHOLE_TEXT, "{} stream={stream} {error:?}", case.name);
                    assert!(reply.done, "{} stream={stream}", case.name);
                }
                Outcome::Error(code) => {
                    let error = reply.error.expect(case.name);
                    assert_eq!(error["code"], code, "{} stream={stream}", case.name);
                    assert!(!reply.done, "{} stream={stream}", case.name);
                }
            }
        }
    }
}

/// Guards against `ran: no` on a request that an engine may have run.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_say_truly_whether_the_request_ran() {
    struct Case {
        name: &'static str,
        prepare: fn(&whole_path::WholePath) -> Option<RoutingRecord>,
        code: &'static str,
        ran: &'static str,
    }
    let cases = [
        Case {
            name: "version withdrawn",
            prepare: |path| {
                let mut model = (*path.node().snapshot.load().models["small"]).clone();
                model.versions.iter_mut().for_each(|version| {
                    version.state = VersionState::Withdrawn;
                });
                Some(RoutingRecord::Model(model))
            },
            code: "version_withdrawn",
            ran: "no",
        },
        Case {
            name: "model not allowed",
            prepare: |path| {
                let mut customer = (*path.node().snapshot.load().customers["acme"]).clone();
                customer.allowed[0].versions = Some(Vec::new());
                Some(RoutingRecord::Customer(customer))
            },
            code: "model_not_allowed",
            ran: "no",
        },
        Case {
            name: "engines fail",
            prepare: |path| {
                for placed in &path.platform.engines {
                    placed.engine.faults.lock().errors = true;
                }
                None
            },
            code: "backend_failed",
            ran: "unknown",
        },
    ];
    for case in &cases {
        let path = whole_path::start().await;
        if let Some(record) = (case.prepare)(&path) {
            path.apply(vec![record]).await;
        }
        let error = ask(&path, false).await.error.expect(case.name);
        assert_eq!(error["code"], case.code, "{}", case.name);
        assert_eq!(error["ran"], case.ran, "{}", case.name);
        if case.ran == "no" {
            assert_eq!(path.platform.admitted(), 0, "{}", case.name);
        }
    }
}

/// Guards against bad input that gets no clear error, or that disturbs the node.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_with_its_place() {
    struct Case {
        name: &'static str,
        token: Option<&'static str>,
        body: String,
        status: u16,
        code: &'static str,
    }
    let good = r#"{"model":"small","messages":[{"role":"user","content":"x"}]}"#;
    let token = Some(whole_path::TOKEN);
    let case = |name, token, body: &str, status, code| Case {
        name,
        token,
        body: body.to_owned(),
        status,
        code,
    };
    let cases = [
        case("no token", None, good, 401, "token_missing"),
        case("wrong token", Some("x"), good, 401, "token_unknown"),
        case("no json", token, "{", 400, "body_invalid"),
        case("no messages", token, r#"{"model":"small"}"#, 400, "body_invalid"),
        case("no model", token, r#"{"messages":[]}"#, 400, "body_invalid"),
        case("unknown model", token, &good.replace("small", "huge"), 404, "model_unknown"),
        case("large body", token, &"x".repeat(65 << 10), 413, "body_too_large"),
    ];
    let path = whole_path::start().await;
    let http = reqwest::Client::new();
    for case in &cases {
        let mut request = http.post(path.url("/v1/chat/completions")).body(case.body.clone());
        if let Some(token) = case.token {
            request = request.bearer_auth(token);
        }
        let reply = request.send().await.unwrap();
        assert_eq!(reply.status().as_u16(), case.status, "{}", case.name);
        let value: Value = reply.json().await.unwrap();
        assert_eq!(value["error"]["code"], case.code, "{}", case.name);
        assert_eq!(value["error"]["ran"], "no", "{}", case.name);
    }
    assert_eq!(path.platform.admitted(), 0);
    assert_eq!(ask(&path, false).await.status, 200);
}
