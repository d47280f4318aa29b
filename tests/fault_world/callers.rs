//! Callers: requests to instances, recorded with what came back.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use super::observation::{CallEnd, CallerCall};
use super::platform_world::{ACME, BETA, CellInstance, CellWorld};

/// Time after which a caller gives up.
const CALLER_TIME: Duration = Duration::from_secs(15);
/// Time between two calls of the background load.
const LOAD_INTERVAL: Duration = Duration::from_millis(60);

/// Chat request of a caller.
#[derive(Clone, Debug)]
pub struct ChatSpec {
    pub customer: &'static str,
    pub model: &'static str,
    pub session: Option<String>,
    pub tokens: u64,
    pub stream: bool,
}

impl ChatSpec {
    /// Request without session for a number of tokens.
    pub fn plain(tokens: u64) -> Self {
        Self { customer: ACME, model: "small", session: None, tokens, stream: false }
    }
}

impl CellWorld {
    /// Sends a chat request to an instance and records what came back.
    pub async fn chat(&self, instance: &CellInstance, spec: ChatSpec) -> CallerCall {
        let started = self.now();
        let body = json!({
            "model": spec.model, "stream": spec.stream, "max_tokens": spec.tokens,
            "messages": [{ "role": "user", "content": format!("question {}", self.next_serial()) }],
        });
        let url = format!("http://{}/v1/chat/completions", instance.address);
        let mut request = self.http.post(url).bearer_auth(spec.customer).timeout(CALLER_TIME);
        if let Some(session) = &spec.session {
            request = request.header("x-yuccareel-session", session);
        }
        let mut call = CallerCall {
            started,
            ended: started,
            instance: instance.name.clone(),
            customer: spec.customer.to_owned(),
            request_id: None,
            session: spec.session.clone(),
            version: None,
            tokens: spec.tokens,
            idempotency_key: None,
            end: CallEnd::Broken(String::new()),
        };
        call.end = match request.json(&body).send().await {
            Err(error) => CallEnd::Broken(format!("{error:?}")),
            Ok(reply) => {
                call.request_id = header(&reply, "x-request-id");
                call.version = header(&reply, "x-yuccareel-version");
                let streamed = spec.stream && reply.status() == 200;
                match reply.text().await {
                    Err(error) => CallEnd::Broken(format!("{error:?}")),
                    Ok(text) if streamed => streamed_end(&text),
                    Ok(text) => whole_end(&text, |value| {
                        value["choices"][0]["message"]["content"].as_str().map(str::to_owned)
                    }),
                }
            }
        };
        self.record(call)
    }

    /// Sends a booking to an instance and records what came back.
    pub async fn book(&self, instance: &CellInstance, key: &str) -> CallerCall {
        let started = self.now();
        let url = format!("http://{}/hire/bookings", instance.address);
        let request = self.http.post(url).bearer_auth(ACME).timeout(CALLER_TIME);
        let request = request.header("idempotency-key", key).json(&json!({ "ladder": key }));
        let mut call = CallerCall {
            started,
            ended: started,
            instance: instance.name.clone(),
            customer: ACME.to_owned(),
            request_id: None,
            session: None,
            version: None,
            tokens: 0,
            idempotency_key: Some(key.to_owned()),
            end: CallEnd::Broken(String::new()),
        };
        call.end = match request.send().await {
            Err(error) => CallEnd::Broken(format!("{error:?}")),
            Ok(reply) => {
                call.request_id = header(&reply, "x-request-id");
                match reply.text().await {
                    Err(error) => CallEnd::Broken(format!("{error:?}")),
                    Ok(text) => whole_end(&text, |value| value["key"].as_str().map(str::to_owned)),
                }
            }
        };
        self.record(call)
    }

    fn record(&self, mut call: CallerCall) -> CallerCall {
        call.ended = self.now();
        self.seen.lock().calls.push(call.clone());
        call
    }

    /// Sends mixed requests to all instances that callers know, until the flag is set; then
    /// waits for the answers.
    pub async fn run_load(self: Arc<Self>, stop: tokio_util::sync::CancellationToken) {
        let calls = tokio_util::task::TaskTracker::new();
        let mut ticks = tokio::time::interval(LOAD_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for turn in 0_u64.. {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => {}
            }
            let callable = self.callable();
            let instance = Arc::clone(&callable[turn as usize % callable.len()]);
            calls.spawn(Arc::clone(&self).load_call(instance, turn));
        }
        calls.close();
        calls.wait().await;
    }

    async fn load_call(self: Arc<Self>, instance: Arc<CellInstance>, turn: u64) {
        let plain = ChatSpec::plain(4 + turn % 5);
        // Six requests a session; each must be new enough to enter a rollout that has begun.
        let session = Some(format!("load-{}", turn / 21));
        // Seven kinds and three instances: every instance gets every kind.
        match turn % 7 {
            0 => drop(self.chat(&instance, ChatSpec { customer: BETA, ..plain }).await),
            1 => drop(self.chat(&instance, ChatSpec { model: "small@v2", ..plain }).await),
            2 | 3 => {
                // Concurrent first requests of a session have a test of their own.
                let _turn = self.session_turn.lock().await;
                self.chat(&instance, ChatSpec { session, ..plain }).await;
            }
            4 => drop(self.chat(&instance, ChatSpec { stream: true, ..plain }).await),
            5 => drop(self.book(&instance, &format!("load-{turn}")).await),
            _ => drop(self.chat(&instance, plain).await),
        }
    }
}

fn header(reply: &reqwest::Response, name: &str) -> Option<String> {
    reply.headers().get(name)?.to_str().ok().map(str::to_owned)
}

fn refused(error: &Value) -> CallEnd {
    let code = error["code"].as_str().unwrap_or_default().to_owned();
    CallEnd::Refused { code, ran_no: error["ran"] == "no" }
}

fn whole_end(body: &str, text: impl Fn(&Value) -> Option<String>) -> CallEnd {
    let Ok(value) = serde_json::from_str::<Value>(body) else {
        return CallEnd::Silent(body.to_owned());
    };
    match (value.get("error"), text(&value)) {
        (Some(error), _) => refused(error),
        (None, Some(text)) => CallEnd::Whole(text),
        (None, None) => CallEnd::Silent(body.to_owned()),
    }
}

fn streamed_end(body: &str) -> CallEnd {
    let (mut text, mut error, mut done) = (String::new(), None, false);
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        error = error.or_else(|| value.get("error").cloned());
    }
    match (error, done) {
        (Some(error), false) => refused(&error),
        (None, true) => CallEnd::Whole(text),
        _ => CallEnd::Silent(text),
    }
}
