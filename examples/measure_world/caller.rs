//! Callers of the instances: they cache the endpoints and connect directly.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use parking_lot::Mutex;
use rand::RngExt as _;
use serde_json::{Value, json};
use tokio::time::Instant;
use yuccareel::standins::engine_answer;
use yuccareel::{endpoint_answer, error_body};

use super::outcome::{EndState, Outcome};
use super::workload::PlannedRequest;
use super::{fleet, shape};

/// Time between two reads of the endpoints; the time to live, scaled like the leave time.
const REFRESH: Duration = Duration::from_secs(2);
/// Instances that a caller tries when it cannot connect.
const CONNECT_TRIES: usize = 4;
/// Time for one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Callers of one run.
pub struct Callers {
    fleet: Arc<fleet::Fleet>,
    http: reqwest::Client,
    endpoints: Mutex<HashMap<&'static str, Vec<endpoint_answer::Endpoint>>>,
    started: Instant,
}

/// Reply that arrived as a whole.
struct Reply {
    status: u16,
    headers: reqwest::header::HeaderMap,
    body: Vec<u8>,
    first: Option<Duration>,
    latency: Duration,
    address: SocketAddr,
}

/// Text and cost of an answer.
struct AnswerText {
    text: String,
    cost: u64,
    done: bool,
    error: Option<error_body::ErrorDetail>,
}

impl Callers {
    /// Callers that know the endpoints of every data centre.
    pub async fn new(fleet: Arc<fleet::Fleet>, started: Instant) -> Arc<Self> {
        let http = reqwest::Client::builder().tcp_nodelay(true).timeout(CALL_TIMEOUT);
        let http = http.build().expect("HTTP client");
        let callers = Arc::new(Self { fleet, http, endpoints: Mutex::default(), started });
        callers.refresh().await;
        callers
    }

    /// Keeps the endpoints fresh until it is dropped.
    pub async fn run_refresh(self: Arc<Self>) {
        loop {
            tokio::time::sleep(REFRESH).await;
            self.refresh().await;
        }
    }

    async fn refresh(&self) {
        for (place, near) in self.fleet.shape.data_centres.iter().enumerate() {
            let known = self.endpoints.lock().get(near).cloned().unwrap_or_default();
            let first = self.fleet.first_address(place);
            let asked = known.iter().map(|endpoint| endpoint.address).chain([first]);
            for address in asked {
                let url = format!("http://{address}/v1/endpoints");
                let Ok(reply) = self.http.get(url).send().await else { continue };
                let Ok(answer) = reply.json::<endpoint_answer::EndpointAnswer>().await else {
                    continue;
                };
                if !answer.endpoints.is_empty() {
                    self.endpoints.lock().insert(near, answer.endpoints);
                    break;
                }
            }
        }
    }

    /// Sends a request and records what became of it.
    pub async fn send(&self, planned: &PlannedRequest) -> Outcome {
        let sent_at = self.started.elapsed();
        let started = Instant::now();
        let mut outcome = Outcome {
            phase: planned.phase,
            kind: planned.kind,
            customer: planned.customer,
            sent_at,
            latency: Duration::ZERO,
            first: None,
            end: EndState::Interrupted("no instance accepts connections".to_owned()),
            good: false,
            cost: 0,
            target: None,
            session: None,
            request: None,
            process: None,
            key: planned.key.clone(),
        };
        let mut tried = Vec::new();
        for _ in 0..CONNECT_TRIES {
            let Some((address, data_centre)) = self.choose(planned.near, &tried) else { break };
            let trip = self.fleet.shape.trip(planned.near, &data_centre);
            match self.call(planned, address, started).await {
                Ok(reply) => {
                    outcome.latency = reply.latency + trip;
                    outcome.first = reply.first.map(|first| first + trip);
                    self.read(planned, &reply, &mut outcome);
                    return outcome;
                }
                Err(error) if error.is_connect() => tried.push(address),
                Err(error) => {
                    outcome.latency = started.elapsed() + trip;
                    outcome.end = EndState::Interrupted(format!("{address}: {error:?}"));
                    return outcome;
                }
            }
        }
        outcome.latency = started.elapsed();
        outcome
    }

    /// Endpoint by weight, other than those that could not be reached.
    fn choose(&self, near: &str, tried: &[SocketAddr]) -> Option<(SocketAddr, String)> {
        let known = self.endpoints.lock();
        let usable = || {
            let all = known.get(near).into_iter().flatten();
            all.filter(|endpoint| !tried.contains(&endpoint.address))
        };
        let total: u32 = usable().map(|endpoint| endpoint.weight).sum();
        let mut left = rand::rng().random_range(0..total.max(1));
        let chosen = usable().find(|endpoint| {
            let found = left < endpoint.weight;
            left = left.saturating_sub(endpoint.weight);
            found
        });
        chosen.map(|endpoint| (endpoint.address, endpoint.data_centre.to_string()))
    }

    async fn call(
        &self,
        planned: &PlannedRequest,
        address: SocketAddr,
        started: Instant,
    ) -> Result<Reply, reqwest::Error> {
        let request = match planned.kind {
            shape::RequestKind::Check => {
                self.http.get(format!("http://{address}/{}/stock", self.fleet.shape.service))
            }
            shape::RequestKind::Booking => {
                let url = format!("http://{address}/{}/bookings", self.fleet.shape.service);
                let key = planned.key.clone().unwrap_or_default();
                self.http.post(url).header("idempotency-key", key).body("{}")
            }
            _ => self.chat(planned, address),
        };
        let reply = request.bearer_auth(shape::token(planned.customer)).send().await?;
        let (status, headers) = (reply.status().as_u16(), reply.headers().clone());
        let (mut body, mut first) = (Vec::new(), None);
        let mut pieces = reply.bytes_stream();
        while let Some(piece) = pieces.next().await {
            body.extend_from_slice(&piece?);
            first.get_or_insert_with(|| started.elapsed());
        }
        let first = first.filter(|_| planned.kind.streamed() && status == 200);
        Ok(Reply { status, headers, body, first, latency: started.elapsed(), address })
    }

    fn chat(&self, planned: &PlannedRequest, address: SocketAddr) -> reqwest::RequestBuilder {
        let body = json!({
            "model": "auto",
            "stream": planned.kind.streamed(),
            "max_tokens": planned.kind.answer_tokens(),
            "messages": [{ "role": "user", "content": planned.prompt }],
        });
        let url = format!("http://{address}/v1/chat/completions");
        let mut request =
            self.http.post(url).header("x-yuccareel-kind", planned.kind.name()).json(&body);
        if let Some(session) = &planned.session {
            request = request.header("x-yuccareel-session", session);
        }
        if self.fleet.shape.overnight_reports && planned.kind.streamed() {
            request = request.header("x-yuccareel-priority", "batch");
        }
        request
    }

    fn read(&self, planned: &PlannedRequest, reply: &Reply, outcome: &mut Outcome) {
        let header = |name: &str| {
            let value = reply.headers.get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let processes = self.fleet.processes.lock();
        let process = processes.iter().find(|(address, _)| *address == reply.address);
        outcome.process = process.map(|(_, name)| name.clone());
        if reply.status != 200 {
            outcome.end = refused(&reply.body, reply.status);
            return;
        }
        if !planned.kind.is_chat() {
            outcome.end = EndState::Answered;
            return;
        }
        let id = header("x-request-id").and_then(|id| u128::from_str_radix(&id, 16).ok());
        outcome.request = id;
        outcome.target = header("x-yuccareel-model").zip(header("x-yuccareel-version"));
        let moved = header("x-yuccareel-repinned").is_some();
        outcome.session = planned.session.clone().map(|session| (session, moved));
        let answer = match planned.kind.streamed() {
            true => read_stream(&reply.body),
            false => read_whole(&reply.body, header("x-yuccareel-cost-microcredits")),
        };
        outcome.cost = answer.cost;
        if let Some(error) = answer.error {
            outcome.end = EndState::Refused(error.code, error.ran);
            return;
        }
        let (model, version) = outcome.target.clone().unwrap_or_default();
        let tokens = planned.kind.answer_tokens();
        outcome.good = answer.text.starts_with(engine_answer::GOOD_MARK);
        outcome.end = match answer.done && whole_text(&answer.text, &model, &version, tokens) {
            true => EndState::Answered,
            false => EndState::Mismatched(answer.text),
        };
    }
}

/// Whether a text is the answer that the engine stand-in gives.
pub fn whole_text(text: &str, model: &str, version: &str, tokens: u64) -> bool {
    let mut words = text.split_whitespace();
    let marked = words
        .next()
        .is_some_and(|mark| [engine_answer::GOOD_MARK, engine_answer::POOR_MARK].contains(&mark));
    let named = words.next().is_some_and(|name| name == format!("{model}/{version}"));
    let rated = words.next() == Some(&format!("model={model}"))
        && words.next().is_some_and(|word| word.starts_with("ability="));
    let counted = (4..tokens).all(|number| words.next() == Some(&format!("w{number}")));
    marked && named && rated && counted && words.next().is_none()
}

fn refused(body: &[u8], status: u16) -> EndState {
    match serde_json::from_slice::<error_body::ErrorBody>(body) {
        Ok(body) => EndState::Refused(body.error.code, body.error.ran),
        Err(_) => EndState::Refused(format!("status {status}"), error_body::RunState::Unknown),
    }
}

fn read_whole(body: &[u8], cost: Option<String>) -> AnswerText {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = value["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    let cost = cost.and_then(|cost| cost.parse().ok()).unwrap_or(0);
    AnswerText { text: text.to_owned(), cost, done: true, error: None }
}

fn read_stream(body: &[u8]) -> AnswerText {
    let mut answer = AnswerText { text: String::new(), cost: 0, done: false, error: None };
    let body = String::from_utf8_lossy(body);
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            answer.done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        let delta = &value["choices"][0]["delta"]["content"];
        answer.text.push_str(delta.as_str().unwrap_or_default());
        answer.cost += value["yuccareel"]["cost_microcredits"].as_u64().unwrap_or(0);
        if let Some(error) = value.get("error") {
            answer.error = serde_json::from_value(error.clone()).ok();
        }
    }
    answer
}
