//! Configurations as the operator writes them.

/// Route of streams that may be resumed, with the times of `inspection-digest`.
const STREAM_ROUTE: &str = r#"{"name":"tell","host":"shop.example","prefix":"/tell/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":4000,"gapAimMs":1200,"priority":1,"service":"desk","maxAttempts":3,"public":false,"sticky":true,"resumable":true}"#;

/// Route on which the router chooses the model, and its models.
const MODEL_ROUTE: &str = r#"{"name":"draft","host":"shop.example","prefix":"/draft/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":4000,"gapAimMs":1200,"priority":1,"service":"desk","maxAttempts":3,"public":false,"sticky":true,"resumable":true,"sizes":["m-small","m-large"]}"#;
pub const MODELS: [&str; 2] = ["m-small", "m-large"];

/// Configuration of a deployment with one service.
#[derive(Clone, Debug)]
pub struct ConfigRecord {
    pub version: u64,
    /// Routes beside those on which the clients call.
    pub further_routes: usize,
    /// Keys of the tenant `acme`.
    pub keys: Vec<&'static str>,
    pub timeout_ms: u64,
}

impl ConfigRecord {
    /// Text of the record.
    pub fn text(&self) -> String {
        let kinds = [("look", "safe"), ("book", "unsafe")];
        let mut routes: Vec<_> =
            kinds.iter().map(|(name, kind)| self.route_text(name, kind)).collect();
        routes.extend([STREAM_ROUTE, MODEL_ROUTE].map(str::to_owned));
        for index in 0..self.further_routes {
            routes.push(self.route_text(&format!("further-{index}"), "safe"));
        }
        let keys: Vec<_> = self.keys.iter().map(|key| format!("\"{key}\"")).collect();
        let (version, routes, keys) = (self.version, routes.join(","), keys.join(","));
        format!(
            r#"{{"version":{version},"routes":[{routes}],
"services":[{{"name":"desk","healthPath":"/healthz","maxConnections":400,"protocol":"h1",
"tls":false,"coldStartS":0.0,"coldPerS":0.0,
"engine":{{"models":[{{"name":"m-small","cost":0.0075}},{{"name":"m-large","cost":0.11}}]}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}},
"tenants":[{{"name":"acme","apiKeys":[{keys}],"priority":1}}]}}"#
        )
    }

    fn route_text(&self, name: &str, kind: &str) -> String {
        let attempts = if kind == "safe" { 3 } else { 1 };
        let timeout_ms = self.timeout_ms;
        format!(
            r#"{{"name":"{name}","host":"shop.example","prefix":"/{name}/","kind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":100,"priority":2,"service":"desk","maxAttempts":{attempts},"public":false,"sticky":false,"resumable":false}}"#
        )
    }
}
