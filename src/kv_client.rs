//! Client of the key-value service over the etcd v3 JSON gateway.
//!
//! Keys and values travel in base64 and 64-bit numbers as strings, as the
//! protocol buffers mapping to JSON prescribes.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{BoxStream, StreamExt as _};
use futures::{FutureExt as _, TryStreamExt as _};
use serde_json::{Value, json};
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use crate::{ids, kv_store, renewable_client};

/// Time for one call; a slow service counts as one that does not answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest line of a watch: one event with a value of 1 MB in base64.
const WATCH_LINE_BYTES: usize = 2 << 20;

/// Client of the key-value service.
#[derive(Clone, Debug)]
pub struct HttpKvStore {
    http: renewable_client::RenewableClient,
    base_url: String,
    timeout: Duration,
}

impl HttpKvStore {
    /// Client for a base URL.
    pub fn new(http: reqwest::Client, base_url: impl Into<String>) -> Self {
        let http = renewable_client::RenewableClient::new(http);
        Self { http, base_url: base_url.into(), timeout: CALL_TIMEOUT }
    }

    async fn call(&self, path: &str, body: Value) -> Result<Value, kv_store::KvError> {
        let url = format!("{}/v3/{path}", self.base_url);
        let call = self.http.start_call();
        let request = call.http().post(url).timeout(self.timeout).json(&body);
        let reply = request.send().await.map_err(send_error)?;
        let status = reply.status();
        if status.is_client_error() || status == reqwest::StatusCode::SERVICE_UNAVAILABLE {
            return Err(kv_store::KvError::Refused(status.to_string()));
        }
        if !status.is_success() {
            return Err(kv_store::KvError::NoAnswer(status.to_string()));
        }
        let bytes = reply.bytes().await.map_err(send_error)?;
        call.answered();
        serde_json::from_slice(&bytes)
            .map_err(|error| kv_store::KvError::Unreadable(error.to_string()))
    }

    async fn read(
        &self,
        key: &str,
        end: Option<String>,
    ) -> Result<kv_store::KvRange, kv_store::KvError> {
        let mut body = json!({ "key": STANDARD.encode(key) });
        if let Some(end) = end {
            body["range_end"] = Value::String(STANDARD.encode(end));
        }
        let reply = self.call("kv/range", body).await?;
        Ok(kv_store::KvRange {
            revision: header_revision(&reply)?,
            entries: entries(&reply["kvs"])?,
        })
    }
}

impl kv_store::KvStore for HttpKvStore {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<kv_store::KvEntry>, kv_store::KvError>> {
        async move { Ok(self.read(key, None).await?.entries.pop()) }.boxed()
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<kv_store::KvRange, kv_store::KvError>> {
        self.read(prefix, Some(prefix_end(prefix))).boxed()
    }

    fn commit(
        &self,
        transaction: kv_store::KvTransaction,
    ) -> BoxFuture<'_, Result<kv_store::KvOutcome, kv_store::KvError>> {
        async move {
            let reply = self.call("kv/txn", transaction_body(&transaction)).await?;
            let committed = reply["succeeded"].as_bool().unwrap_or(false);
            let mut current = Vec::new();
            if !committed {
                for response in reply["responses"].as_array().into_iter().flatten() {
                    current.extend(entries(&response["response_range"]["kvs"])?);
                }
            }
            Ok(kv_store::KvOutcome { committed, revision: header_revision(&reply)?, current })
        }
        .boxed()
    }

    fn grant_lease(&self, ttl_s: i64) -> BoxFuture<'_, Result<ids::LeaseId, kv_store::KvError>> {
        async move {
            let reply = self.call("lease/grant", json!({ "TTL": ttl_s.to_string() })).await?;
            number(&reply["ID"])
        }
        .boxed()
    }

    fn renew_lease(&self, lease: ids::LeaseId) -> BoxFuture<'_, Result<bool, kv_store::KvError>> {
        async move {
            let reply = self.call("lease/keepalive", json!({ "ID": lease.to_string() })).await?;
            Ok(number(&reply["result"]["TTL"]).unwrap_or(0) > 0)
        }
        .boxed()
    }

    fn revoke_lease(&self, lease: ids::LeaseId) -> BoxFuture<'_, Result<(), kv_store::KvError>> {
        async move {
            self.call("lease/revoke", json!({ "ID": lease.to_string() })).await?;
            Ok(())
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: ids::KvRevision,
    ) -> BoxFuture<
        'a,
        Result<BoxStream<'static, Result<kv_store::KvEvent, kv_store::KvError>>, kv_store::KvError>,
    > {
        async move {
            let body = json!({ "create_request": {
                "key": STANDARD.encode(prefix),
                "range_end": STANDARD.encode(prefix_end(prefix)),
                "start_revision": (after + 1).to_string(),
            }});
            let url = format!("{}/v3/watch", self.base_url);
            let call = self.http.start_call();
            let sent = tokio::time::timeout(self.timeout, call.http().post(url).json(&body).send());
            let reply = sent
                .await
                .map_err(|elapsed| kv_store::KvError::NoAnswer(elapsed.to_string()))?
                .map_err(send_error)?
                .error_for_status()
                .map_err(|error| kv_store::KvError::Refused(error.to_string()))?;
            call.answered();
            let reader = StreamReader::new(reply.bytes_stream().map_err(std::io::Error::other));
            let lines = FramedRead::new(reader, LinesCodec::new_with_max_length(WATCH_LINE_BYTES));
            let events = lines.flat_map(|line| {
                let found = line
                    .map_err(|error| kv_store::KvError::NoAnswer(error.to_string()))
                    .and_then(|line| watch_events(&line));
                let list = match found {
                    Ok(events) => events.into_iter().map(Ok).collect(),
                    Err(error) => vec![Err(error)],
                };
                futures::stream::iter(list)
            });
            Ok(events.boxed())
        }
        .boxed()
    }
}

/// End of the range of all keys below a prefix. Prefixes are ASCII.
pub fn prefix_end(prefix: &str) -> String {
    let mut bytes = prefix.as_bytes().to_vec();
    if let Some(last) = bytes.last_mut() {
        *last += 1;
    }
    String::from_utf8(bytes).unwrap_or_else(|_| "\u{7f}".to_owned())
}

fn send_error(error: reqwest::Error) -> kv_store::KvError {
    if error.is_connect() {
        kv_store::KvError::Unreachable(error.to_string())
    } else {
        kv_store::KvError::NoAnswer(error.to_string())
    }
}

fn transaction_body(transaction: &kv_store::KvTransaction) -> Value {
    let compare: Vec<Value> = transaction.compares.iter().map(compare_body).collect();
    let success: Vec<Value> = transaction.operations.iter().map(operation_body).collect();
    let failure: Vec<Value> = transaction
        .compares
        .iter()
        .map(|compare| json!({ "request_range": { "key": STANDARD.encode(compare.key()) } }))
        .collect();
    json!({ "compare": compare, "success": success, "failure": failure })
}

fn compare_body(compare: &kv_store::KvCompare) -> Value {
    match compare {
        kv_store::KvCompare::ModRevision(key, revision) => json!({
            "key": STANDARD.encode(key), "target": "MOD", "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
        kv_store::KvCompare::CreateRevision(key, revision) => json!({
            "key": STANDARD.encode(key), "target": "CREATE", "result": "EQUAL",
            "create_revision": revision.to_string(),
        }),
    }
}

fn operation_body(operation: &kv_store::KvOperation) -> Value {
    match operation {
        kv_store::KvOperation::Put(key, value, lease) => json!({ "request_put": {
            "key": STANDARD.encode(key), "value": STANDARD.encode(value),
            "lease": lease.to_string(),
        }}),
        kv_store::KvOperation::Delete(key) => {
            json!({ "request_delete_range": { "key": STANDARD.encode(key) } })
        }
    }
}

fn header_revision(reply: &Value) -> Result<ids::KvRevision, kv_store::KvError> {
    number(&reply["header"]["revision"])
}

/// Number that the JSON mapping writes as a string.
fn number(value: &Value) -> Result<i64, kv_store::KvError> {
    value
        .as_str()
        .and_then(|text| text.parse().ok())
        .or_else(|| value.as_i64())
        .ok_or_else(|| kv_store::KvError::Unreadable(format!("no number in {value}")))
}

fn entries(kvs: &Value) -> Result<Vec<kv_store::KvEntry>, kv_store::KvError> {
    kvs.as_array().into_iter().flatten().map(entry).collect()
}

fn entry(value: &Value) -> Result<kv_store::KvEntry, kv_store::KvError> {
    Ok(kv_store::KvEntry {
        key: String::from_utf8_lossy(&decode(&value["key"])?).into_owned(),
        value: Bytes::from(decode(&value["value"])?),
        create_revision: number(&value["create_revision"]).unwrap_or(0),
        mod_revision: number(&value["mod_revision"])?,
        lease: number(&value["lease"]).unwrap_or(0),
    })
}

fn decode(value: &Value) -> Result<Vec<u8>, kv_store::KvError> {
    STANDARD
        .decode(value.as_str().unwrap_or_default())
        .map_err(|error| kv_store::KvError::Unreadable(error.to_string()))
}

fn watch_events(line: &str) -> Result<Vec<kv_store::KvEvent>, kv_store::KvError> {
    let message: Value = serde_json::from_str(line)
        .map_err(|error| kv_store::KvError::Unreadable(error.to_string()))?;
    let events = message["result"]["events"].as_array();
    events.into_iter().flatten().map(watch_event).collect()
}

fn watch_event(event: &Value) -> Result<kv_store::KvEvent, kv_store::KvError> {
    let entry = entry(&event["kv"])?;
    if event["type"].as_str() == Some("DELETE") {
        return Ok(kv_store::KvEvent::Delete(entry.key, entry.mod_revision));
    }
    Ok(kv_store::KvEvent::Put(entry))
}
