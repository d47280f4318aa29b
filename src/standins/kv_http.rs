//! etcd v3 JSON gateway in front of the key-value stand-in.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::StreamExt as _;
use salvo::prelude::{Depot, Request, Response, Router, StatusCode, handler};
use serde_json::{Value, json};

use crate::kv_store::KvStore as _;
use crate::standins::kv;
use crate::{ids, kv_store};

/// Time that the gateway keeps a caller waiting whose answer is lost.
const LOST_ANSWER_WAIT: Duration = Duration::from_secs(3);

/// Routes of the gateway.
pub fn router(store: kv::KvStandin) -> Router {
    let route =
        |path: &str, call| Router::with_path(path).post(KvGateway { store: store.clone(), call });
    Router::with_path("v3")
        .push(route("kv/range", GatewayCall::Range))
        .push(route("kv/txn", GatewayCall::Transaction))
        .push(route("lease/grant", GatewayCall::GrantLease))
        .push(route("lease/keepalive", GatewayCall::RenewLease))
        .push(route("lease/revoke", GatewayCall::RevokeLease))
        .push(route("watch", GatewayCall::Watch))
}

/// Largest body: a value of 1 MB in base64, and room for keys and compares.
const BODY_BYTES_MAX: usize = 2 << 20;

#[derive(Clone, Copy)]
enum GatewayCall {
    Range,
    Transaction,
    GrantLease,
    RenewLease,
    RevokeLease,
    Watch,
}

struct KvGateway {
    store: kv::KvStandin,
    call: GatewayCall,
}

#[handler]
impl KvGateway {
    async fn handle(&self, request: &mut Request, _depot: &mut Depot, response: &mut Response) {
        let Ok(body) = request.parse_json_with_max_size::<Value>(BODY_BYTES_MAX).await else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        if matches!(self.call, GatewayCall::Watch) {
            self.watch(&body, response).await;
            return;
        }
        match self.answer(&body).await {
            Ok(answer) => response.render(salvo::writing::Json(answer)),
            Err(error) if error.may_have_written() => {
                tokio::time::sleep(LOST_ANSWER_WAIT).await;
                response.status_code(StatusCode::GATEWAY_TIMEOUT);
            }
            Err(_) => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }
}

impl KvGateway {
    async fn answer(&self, body: &Value) -> Result<Value, kv_store::KvError> {
        match self.call {
            GatewayCall::Range => self.range(body).await,
            GatewayCall::Transaction => self.transaction(body).await,
            GatewayCall::GrantLease => {
                let lease = self.store.grant_lease(number(&body["TTL"])).await?;
                Ok(json!({ "ID": lease.to_string(), "TTL": body["TTL"] }))
            }
            GatewayCall::RenewLease => {
                let renewed = self.store.renew_lease(number(&body["ID"])).await?;
                Ok(
                    json!({ "result": { "ID": body["ID"], "TTL": if renewed { "10" } else { "0" } } }),
                )
            }
            GatewayCall::RevokeLease => {
                self.store.revoke_lease(number(&body["ID"])).await?;
                Ok(json!({}))
            }
            GatewayCall::Watch => Ok(json!({})),
        }
    }

    async fn range(&self, body: &Value) -> Result<Value, kv_store::KvError> {
        let key = text(&body["key"]);
        let range = if body["range_end"].is_string() {
            self.store.range(&key).await?
        } else {
            let entry = self.store.get(&key).await?;
            let revision = self.store.table.lock().revision();
            kv_store::KvRange { revision, entries: entry.into_iter().collect() }
        };
        let kvs: Vec<Value> = range.entries.iter().map(entry_body).collect();
        Ok(json!({ "header": header(range.revision), "kvs": kvs }))
    }

    async fn transaction(&self, body: &Value) -> Result<Value, kv_store::KvError> {
        let list = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let transaction = kv_store::KvTransaction {
            compares: list("compare").iter().map(compare).collect(),
            operations: list("success").iter().map(operation).collect(),
        };
        let outcome = self.store.commit(transaction).await?;
        let responses: Vec<Value> = outcome
            .current
            .iter()
            .map(|entry| json!({ "response_range": { "kvs": [entry_body(entry)] } }))
            .collect();
        Ok(json!({
            "header": header(outcome.revision), "succeeded": outcome.committed, "responses": responses,
        }))
    }

    async fn watch(&self, body: &Value, response: &mut Response) {
        let create = &body["create_request"];
        let key = text(&create["key"]);
        match self.store.watch(&key, number(&create["start_revision"]) - 1).await {
            Ok(events) => response.stream(events.map(|event| {
                let event = event.map_err(std::io::Error::other)?;
                let line = json!({ "result": { "events": [event_body(&event)] } });
                Ok::<_, std::io::Error>(Bytes::from(format!("{line}\n")))
            })),
            Err(_) => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }
}

fn header(revision: ids::KvRevision) -> Value {
    json!({ "revision": revision.to_string() })
}

fn number(value: &Value) -> i64 {
    value.as_str().and_then(|text| text.parse().ok()).or_else(|| value.as_i64()).unwrap_or(0)
}

fn decode(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

fn text(value: &Value) -> String {
    String::from_utf8_lossy(&decode(value)).into_owned()
}

fn compare(value: &Value) -> kv_store::KvCompare {
    let key = text(&value["key"]);
    if value["target"] == "CREATE" {
        kv_store::KvCompare::CreateRevision(key, number(&value["create_revision"]))
    } else {
        kv_store::KvCompare::ModRevision(key, number(&value["mod_revision"]))
    }
}

fn operation(value: &Value) -> kv_store::KvOperation {
    let put = &value["request_put"];
    if put.is_object() {
        let body = Bytes::from(decode(&put["value"]));
        return kv_store::KvOperation::Put(text(&put["key"]), body, number(&put["lease"]));
    }
    kv_store::KvOperation::Delete(text(&value["request_delete_range"]["key"]))
}

fn entry_body(entry: &kv_store::KvEntry) -> Value {
    json!({
        "key": STANDARD.encode(&entry.key), "value": STANDARD.encode(&entry.value),
        "create_revision": entry.create_revision.to_string(),
        "mod_revision": entry.mod_revision.to_string(), "lease": entry.lease.to_string(),
    })
}

fn event_body(event: &kv_store::KvEvent) -> Value {
    match event {
        kv_store::KvEvent::Put(entry) => json!({ "type": "PUT", "kv": entry_body(entry) }),
        kv_store::KvEvent::Delete(key, revision) => json!({ "type": "DELETE", "kv": {
            "key": STANDARD.encode(key), "mod_revision": revision.to_string(),
        }}),
    }
}
