//! OpenAPI description served at `/openapi.json`.

use salvo::prelude::{Depot, Request, Response, Router, handler};
use salvo::writing::Json;
use serde_json::{Map, Value, json};

use crate::refusal_reason::RefusalReason;
use crate::{record_fields, records};

/// Route of the description.
pub fn router() -> Router {
    Router::with_path("openapi.json").get(describe)
}

#[handler]
async fn describe(_request: &mut Request, _depot: &mut Depot, response: &mut Response) {
    response.render(Json(document()));
}

/// Description of every path that callers and operators use.
pub fn document() -> Value {
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "yuccareel",
            "version": env!("CARGO_PKG_VERSION"),
            "description": "Model-aware router. Paths of service records are served as well.",
        },
        "paths": paths(),
        "components": {
            "securitySchemes": {
                "customer": { "type": "http", "scheme": "bearer" },
                "operator": { "type": "http", "scheme": "bearer" },
            },
            "schemas": schemas(),
        },
    })
}

/// One operation: path, method, security scheme, summary, body schema, answer schema.
struct Operation {
    path: &'static str,
    method: &'static str,
    security: Option<&'static str>,
    summary: &'static str,
    body: Option<&'static str>,
    answer: &'static str,
}

const OPERATOR: Option<&str> = Some("operator");
const CUSTOMER: Option<&str> = Some("customer");

#[rustfmt::skip]
const OPERATIONS: [Operation; 15] = [
    Operation { path: "/v1/chat/completions", method: "post", security: CUSTOMER, summary: "Run a chat completion, streamed on request", body: Some("Object"), answer: "Object" },
    Operation { path: "/v1/models", method: "get", security: CUSTOMER, summary: "Models that the customer may use", body: None, answer: "Object" },
    Operation { path: "/v1/endpoints", method: "get", security: CUSTOMER, summary: "Addresses of live entry instances with a time to live", body: None, answer: "Object" },
    Operation { path: "/healthz", method: "get", security: None, summary: "Whether the process runs", body: None, answer: "Object" },
    Operation { path: "/readyz", method: "get", security: None, summary: "Whether the instance takes requests", body: None, answer: "Object" },
    Operation { path: "/metrics", method: "get", security: None, summary: "Metrics in Prometheus text format", body: None, answer: "Object" },
    Operation { path: "/openapi.json", method: "get", security: None, summary: "This description", body: None, answer: "Object" },
    Operation { path: "/admin/v1/apply", method: "post", security: OPERATOR, summary: "Add, replace or remove records in one change", body: Some("ApplyRequest"), answer: "ApplyReply" },
    Operation { path: "/admin/v1/check", method: "post", security: OPERATOR, summary: "Check a change without writing it", body: Some("ApplyRequest"), answer: "CheckReply" },
    Operation { path: "/admin/v1/records", method: "get", security: OPERATOR, summary: "Records in effect", body: None, answer: "ListReply" },
    Operation { path: "/admin/v1/records/{kind}", method: "get", security: OPERATOR, summary: "Records of one kind in effect", body: None, answer: "ListReply" },
    Operation { path: "/admin/v1/records/{kind}/{name}", method: "get", security: OPERATOR, summary: "One record in effect", body: None, answer: "ListReply" },
    Operation { path: "/admin/v1/history", method: "get", security: OPERATOR, summary: "Newest changes first; `limit` bounds their number", body: None, answer: "HistoryReply" },
    Operation { path: "/admin/v1/status", method: "get", security: OPERATOR, summary: "Sequence number in effect on each instance", body: None, answer: "StatusReply" },
    Operation { path: "/admin/v1/audit", method: "get", security: OPERATOR, summary: "Check the bill batches", body: None, answer: "AuditReport" },
];

fn paths() -> Value {
    let mut paths = Map::new();
    for operation in &OPERATIONS {
        let entry = paths.entry(operation.path).or_insert_with(|| json!({}));
        entry[operation.method] = operation_value(operation);
    }
    Value::Object(paths)
}

fn operation_value(operation: &Operation) -> Value {
    let fault = if operation.security == OPERATOR { "AdminFault" } else { "ErrorBody" };
    let mut value = json!({
        "summary": operation.summary,
        "responses": {
            "200": { "description": "Done", "content": content(operation.answer) },
            "default": { "description": "Refused", "content": content(fault) },
        },
    });
    if let Some(scheme) = operation.security {
        value["security"] = json!([{ scheme: [] }]);
    }
    if let Some(body) = operation.body {
        value["requestBody"] = json!({ "required": true, "content": content(body) });
    }
    let mut parameters: Vec<Value> = operation
        .path
        .split('/')
        .filter_map(|part| part.strip_prefix('{')?.strip_suffix('}'))
        .map(|name| {
            json!({ "name": name, "in": "path", "required": true, "schema": { "type": "string" } })
        })
        .collect();
    if operation.path.ends_with("/history") {
        let schema = json!({ "type": "integer", "minimum": 0, "default": 20 });
        parameters.push(json!({ "name": "limit", "in": "query", "schema": schema }));
    }
    if !parameters.is_empty() {
        value["parameters"] = Value::Array(parameters);
    }
    value
}

fn content(schema: &str) -> Value {
    json!({ "application/json": { "schema": reference(schema) } })
}

fn reference(schema: &str) -> Value {
    json!({ "$ref": format!("#/components/schemas/{schema}") })
}

fn object(required: &[&str], properties: Value) -> Value {
    json!({ "type": "object", "required": required, "properties": properties })
}

fn list(items: Value) -> Value {
    json!({ "type": "array", "items": items })
}

fn schemas() -> Value {
    let text = || json!({ "type": "string" });
    let whole = || json!({ "type": "integer", "minimum": 0 });
    let key = || json!({ "type": "array", "prefixItems": [text(), text()], "minItems": 2 });
    let mut codes: Vec<&str> = RefusalReason::ALL.iter().map(|reason| reason.code()).collect();
    codes.extend(ADMIN_CODES);
    let error = object(
        &["code", "message", "type", "ran"],
        json!({
            "code": { "type": "string", "enum": codes }, "message": text(), "type": text(),
            "ran": { "type": "string", "enum": ["no", "unknown"] }, "param": { "type": "null" },
        }),
    );
    let schema_range = json!({ "type": "integer", "minimum": records::OLDEST_SCHEMA, "maximum": records::NEWEST_SCHEMA });
    json!({
        "Object": { "type": "object" },
        "Error": error,
        "ErrorBody": object(&["error"], json!({ "error": reference("Error") })),
        "AdminFault": object(&["error"], json!({
            "error": reference("Error"), "findings": list(reference("Finding")),
            "conflict": reference("Conflict"), "apply_id": text(),
        })),
        "Record": object(&["schema", "kind", "name"], json!({
            "schema": schema_range, "name": text(),
            "kind": { "type": "string", "enum": record_fields::KINDS },
        })),
        "Finding": object(&["file", "record", "field", "fault", "message"], json!({
            "file": text(), "record": text(), "field": text(), "fault": text(), "message": text(),
        })),
        "Conflict": object(&["author", "apply_id", "sequence", "names"], json!({
            "author": text(), "apply_id": text(), "sequence": whole(), "names": list(key()),
        })),
        "ApplyRequest": object(&["author"], json!({
            "author": text(), "apply_id": text(), "expected_sequence": whole(),
            "documents": list(object(&["file", "document"], json!({
                "file": text(), "document": list(reference("Record")),
            }))),
            "removals": list(key()),
        })),
        "ApplyReply": object(&["sequence", "apply_id", "unchanged"], json!({
            "sequence": whole(), "apply_id": text(), "unchanged": { "type": "boolean" },
        })),
        "CheckReply": object(&["sequence", "findings"], json!({
            "sequence": whole(), "findings": list(reference("Finding")),
        })),
        "ListReply": object(&["sequence", "records"], json!({
            "sequence": whole(), "records": list(reference("Record")),
        })),
        "HistoryReply": object(&["changes"], json!({ "changes": list(json!({ "type": "object" })) })),
        "StatusReply": object(&["sequence", "instances"], json!({
            "sequence": whole(),
            "instances": list(object(&["name", "data_centre", "sequence", "age_ms"], json!({
                "name": text(), "data_centre": text(), "sequence": whole(), "age_ms": whole(),
            }))),
        })),
        "AuditReport": object(&["instances", "batches", "bills", "microcredits", "faults"], json!({
            "instances": whole(), "batches": whole(), "bills": whole(), "microcredits": whole(),
            "faults": list(text()),
        })),
    })
}

/// Codes that only the administration API answers.
const ADMIN_CODES: [&str; 7] = [
    "records_invalid",
    "conflict",
    "expected_sequence_unknown",
    "change_too_large",
    "contended",
    "store_failed",
    "record_unknown",
];
