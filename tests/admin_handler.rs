//! The administration API over HTTP.

use serde_json::{Value, json};
use yuccareel::openapi;
use yuccareel::standins::kv::KvFaults;

#[path = "support/admin.rs"]
mod admin;

async fn call(server: &admin::AdminServer, method: &str, path: &str, body: &str) -> (u16, Value) {
    let url = format!("http://{}{path}", server.address);
    let method = method.to_uppercase().parse().unwrap();
    let request = reqwest::Client::new().request(method, url).bearer_auth(admin::TOKEN);
    let reply = request.body(body.to_owned()).send().await.unwrap();
    (reply.status().as_u16(), reply.json().await.unwrap_or_default())
}

fn drain(expected: Option<u64>) -> Value {
    let record = json!({
        "schema": 2, "kind": "data_centre", "name": "evesham", "region": "r", "state": "drained",
    });
    let document = json!({ "file": "drain.json", "document": [record] });
    json!({ "author": "ann", "expected_sequence": expected, "documents": [document] })
}

/// Guards against a path that answers without the operators' token.
#[tokio::test]
async fn every_admin_path_needs_the_token() {
    let server = admin::serve().await;
    let client = reqwest::Client::new();
    let mut paths = 0;
    for (path, operations) in openapi::document()["paths"].as_object().unwrap() {
        for method in operations.as_object().unwrap().keys().filter(|_| path.starts_with("/admin"))
        {
            paths += 1;
            let url = format!("http://{}{path}", server.address);
            for (token, code) in [(None, "token_missing"), (Some("wrong"), "token_unknown")] {
                let request = client.request(method.to_uppercase().parse().unwrap(), &url);
                let request = match token {
                    Some(token) => request.bearer_auth(token),
                    None => request,
                };
                let reply = request.send().await.unwrap();
                assert_eq!(reply.status().as_u16(), 401, "{method} {path}");
                let body: Value = reply.json().await.unwrap();
                assert_eq!(body["error"]["code"], code, "{method} {path}");
                assert_eq!(body["error"]["ran"], "no", "{method} {path}");
            }
        }
    }
    assert_eq!(paths, 8);
}

/// Guards against a described path that is not served, and against references without a schema.
#[tokio::test]
async fn description_matches_the_routes() {
    let server = admin::serve().await;
    let (status, served) = call(&server, "get", "/openapi.json", "").await;
    assert_eq!((status, &served), (200, &openapi::document()));
    for (path, operations) in served["paths"].as_object().unwrap() {
        for method in operations.as_object().unwrap().keys().filter(|_| path.starts_with("/admin"))
        {
            let (status, body) = call(&server, method, path, "").await;
            let routed = status != 404 || body["error"]["code"] == "record_unknown";
            assert!(routed && status != 405, "{method} {path}: {status}");
        }
    }
    let text = served.to_string();
    for reference in text.split("#/components/schemas/").skip(1) {
        let name = reference.split('"').next().unwrap();
        assert!(served["components"]["schemas"][name].is_object(), "{name}");
    }
}

/// Guards against a refusal with the wrong status, and against one that wrote something.
#[tokio::test]
async fn refusals_of_apply() {
    struct Case {
        name: &'static str,
        body: String,
        faults: KvFaults,
        status: u16,
        code: &'static str,
        ran: &'static str,
    }
    let case = |name, body: String, status, code| Case {
        name,
        body,
        faults: KvFaults::default(),
        status,
        code,
        ran: "no",
    };
    let mut unknown_model = drain(None);
    unknown_model["documents"][0]["document"][0]["state"] = json!("shut");
    let mut nameless = drain(None);
    nameless["author"] = json!("");
    let cases = [
        case("no JSON", "{".to_owned(), 400, "body_invalid"),
        case(
            "unknown field",
            json!({ "author": "a", "force": true }).to_string(),
            400,
            "body_invalid",
        ),
        case("no author", nameless.to_string(), 400, "body_invalid"),
        case("too large", " ".repeat(5 << 20), 413, "body_too_large"),
        case("faulty record", unknown_model.to_string(), 422, "records_invalid"),
        case(
            "newer schema",
            drain(None).to_string().replace("\"schema\":2", "\"schema\":3"),
            422,
            "records_invalid",
        ),
        case("overtaken", drain(Some(0)).to_string(), 409, "conflict"),
        case("not yet reached", drain(Some(7)).to_string(), 409, "expected_sequence_unknown"),
        Case {
            faults: KvFaults { outage: true, ..KvFaults::default() },
            ..case("outage", drain(None).to_string(), 503, "store_failed")
        },
        Case {
            faults: KvFaults { lose_writes: 9, ..KvFaults::default() },
            ran: "unknown",
            ..case("lost writes", drain(None).to_string(), 504, "outcome_unknown")
        },
    ];
    for case in cases {
        let server = admin::serve().await;
        let first = drain(None).to_string().replace("drained", "active");
        assert_eq!(call(&server, "post", "/admin/v1/apply", &first).await.0, 200);
        *server.kv.faults.lock() = case.faults;
        let (status, body) = call(&server, "post", "/admin/v1/apply", &case.body).await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        assert_eq!(body["error"]["code"], case.code, "{}: {body}", case.name);
        assert_eq!(body["error"]["ran"], case.ran, "{}: {body}", case.name);
        assert_eq!(server.node.snapshot.load().sequence, 1, "{}", case.name);
    }
}

/// Guards against a dry run that writes, or that accepts what `apply` refuses.
#[tokio::test]
async fn check_writes_nothing() {
    let server = admin::serve().await;
    let body = drain(None).to_string();
    let (status, reply) = call(&server, "post", "/admin/v1/check", &body).await;
    assert_eq!((status, &reply), (200, &json!({ "sequence": 0, "findings": [] })));
    let faulty = body.replace("drained", "shut");
    let (status, reply) = call(&server, "post", "/admin/v1/check", &faulty).await;
    assert_eq!((status, &reply["findings"][0]["field"]), (200, &json!("state")));
    assert_eq!(server.kv.calls(), (0, 0));
}
