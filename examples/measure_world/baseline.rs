//! Policies of callers that send straight to the engines, for comparison.
//!
//! Each has a platform of its own with the same engines and faults. They know
//! the versions and data centres only as far as a caller can see them: a failed
//! request is tried elsewhere, and a rollout advances by time alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::json;
use tokio::time::Instant;
use yuccareel::standins::{engine_answer, platform};
use yuccareel::{engine_client, error_body};

use super::outcome::{EndState, Outcome};
use super::workload::PlannedRequest;
use super::{caller, shape};

/// Attempts of one request.
const ATTEMPTS: usize = 3;
/// Time for one attempt at a plain service.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two reads of the load reports.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Policy of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerPolicy {
    /// Replicas of the costly model in turn.
    RoundRobin,
    /// Replica of the costly model with the least reported load.
    LeastLoad,
    /// Models from cheap to costly, each answer rated; replicas in turn.
    FixedCascade,
}

/// All policies.
pub const POLICIES: [CallerPolicy; 3] =
    [CallerPolicy::RoundRobin, CallerPolicy::LeastLoad, CallerPolicy::FixedCascade];

impl CallerPolicy {
    /// Name for reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastLoad => "least load",
            Self::FixedCascade => "fixed cascade",
        }
    }
}

/// Versions of the cheap model and the share of requests on the newer one.
#[derive(Clone, Copy, Debug)]
pub struct VersionShare {
    pub from: &'static str,
    pub to: &'static str,
    pub share: f64,
}

/// Callers with one policy and their platform.
pub struct Baseline {
    pub policy: CallerPolicy,
    pub platform: platform::PlatformStandin,
    pub versions: Mutex<VersionShare>,
    shape: shape::DeploymentShape,
    engine: engine_client::EngineClient,
    http: reqwest::Client,
    turn: AtomicUsize,
    loads: Mutex<Vec<u32>>,
    started: Instant,
}

impl Baseline {
    /// Callers in front of a platform.
    pub fn new(
        policy: CallerPolicy,
        shape: shape::DeploymentShape,
        platform: platform::PlatformStandin,
        started: Instant,
    ) -> Arc<Self> {
        let loads = Mutex::new(vec![0; platform.engines.len()]);
        Arc::new(Self {
            policy,
            platform,
            versions: Mutex::new(VersionShare { from: "v1", to: "v1", share: 0.0 }),
            shape,
            engine: engine_client::EngineClient::new().expect("HTTP client"),
            http: reqwest::Client::builder().timeout(SERVICE_TIMEOUT).build().expect("HTTP client"),
            turn: AtomicUsize::new(0),
            loads,
            started,
        })
    }

    /// Reads the load reports until it is dropped.
    pub async fn run_loads(self: Arc<Self>) {
        loop {
            for (place, placed) in self.platform.engines.iter().enumerate() {
                if let Ok(load) = self.engine.load(placed.address).await {
                    self.loads.lock()[place] = load.requests;
                }
            }
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
    }

    /// Sends a request and records what became of it.
    pub async fn send(&self, planned: &PlannedRequest) -> Outcome {
        let started = Instant::now();
        let mut outcome = Outcome {
            phase: planned.phase,
            kind: planned.kind,
            customer: planned.customer,
            sent_at: self.started.elapsed(),
            latency: Duration::ZERO,
            first: None,
            end: EndState::Refused("no attempt left".to_owned(), error_body::RunState::Unknown),
            good: false,
            cost: 0,
            target: None,
            session: None,
            request: None,
            process: None,
            key: planned.key.clone(),
        };
        let trip = match planned.kind.is_chat() {
            true => self.chat(planned, &mut outcome, started).await,
            false => self.service(planned, &mut outcome).await,
        };
        outcome.latency = started.elapsed() + trip;
        outcome
    }

    async fn chat(
        &self,
        planned: &PlannedRequest,
        outcome: &mut Outcome,
        started: Instant,
    ) -> Duration {
        let last = self.shape.models.len() - 1;
        let first = if self.policy == CallerPolicy::FixedCascade { 0 } else { last };
        let mut trips = Duration::ZERO;
        for (step, model) in self.shape.models.iter().enumerate().skip(first) {
            let (answered, trip) = self.step(planned, model, outcome, started + trips).await;
            trips += trip;
            if !answered || outcome.good || step == last {
                break;
            }
            // Streams are held back until they are rated.
            outcome.first = None;
        }
        if planned.kind.streamed() && self.policy == CallerPolicy::FixedCascade {
            outcome.first = outcome.answered().then(|| started.elapsed() + trips);
        } else {
            outcome.first = outcome.first.map(|first| first + trips);
        }
        trips
    }

    /// One model of the cascade, over several replicas if need be.
    async fn step(
        &self,
        planned: &PlannedRequest,
        model: &shape::ModelShape,
        outcome: &mut Outcome,
        started: Instant,
    ) -> (bool, Duration) {
        let version = self.version(model);
        let mut trips = Duration::ZERO;
        for _ in 0..ATTEMPTS {
            let (address, data_centre) = self.choose(model.name, version);
            trips += self.shape.trip(planned.near, &data_centre);
            let Some((text, usage, first)) = self.attempt(planned, model, version, address).await
            else {
                continue;
            };
            if planned.kind.streamed() {
                outcome.first = Some(first.saturating_duration_since(started));
            }
            let tokens = usage.prompt_tokens * model.input_cost
                + usage.completion_tokens * model.output_cost;
            outcome.cost += tokens.div_ceil(1_000);
            outcome.good = text.starts_with(engine_answer::GOOD_MARK);
            outcome.target = Some((model.name.to_owned(), version.to_owned()));
            outcome.end = match caller::whole_text(
                &text,
                model.name,
                version,
                planned.kind.answer_tokens(),
            ) {
                true => EndState::Answered,
                false => EndState::Mismatched(text),
            };
            return (true, trips);
        }
        (false, trips)
    }

    fn version(&self, model: &shape::ModelShape) -> &'static str {
        if model.replicas.len() == 1 {
            return "v1";
        }
        let versions = *self.versions.lock();
        match rand::random::<f64>() < versions.share {
            true => versions.to,
            false => versions.from,
        }
    }

    fn choose(&self, model: &str, version: &str) -> (SocketAddr, String) {
        let engines = self.platform.engines.iter().enumerate();
        let usable: Vec<_> = engines
            .filter(|(_, placed)| {
                placed.engine.options.model == model && placed.engine.options.version == version
            })
            .collect();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed) % usable.len();
        let chosen = match self.policy {
            CallerPolicy::LeastLoad => {
                let loads = self.loads.lock();
                let rotated = usable[turn..].iter().chain(&usable[..turn]);
                *rotated.min_by_key(|(place, _)| loads[*place]).expect("replicas exist")
            }
            CallerPolicy::RoundRobin | CallerPolicy::FixedCascade => usable[turn],
        };
        (chosen.1.address, chosen.1.data_centre.to_string())
    }

    async fn attempt(
        &self,
        planned: &PlannedRequest,
        model: &shape::ModelShape,
        version: &str,
        address: SocketAddr,
    ) -> Option<(String, engine_client::TokenUsage, Instant)> {
        let body = json!({
            "model": model.name, "version": version, "stream": true,
            "max_tokens": planned.kind.answer_tokens(),
            "messages": [{ "role": "user", "content": planned.prompt }],
        });
        let call = engine_client::EngineCall {
            address,
            request_id: rand::random(),
            body: body.to_string().into(),
            resume_offset: 0,
            priority: engine_client::EnginePriority::Interactive,
            time_left: Duration::from_secs(10),
            fresh_connection: false,
        };
        let mut stream = self.engine.open(&call).await.ok()?;
        let (mut text, mut first) = (String::new(), None);
        loop {
            match stream.next().await.ok()? {
                engine_client::EngineEvent::Token(_, token, _) => {
                    first.get_or_insert_with(Instant::now);
                    text.push_str(&token);
                }
                engine_client::EngineEvent::End(usage, _) => return Some((text, usage, first?)),
            }
        }
    }

    async fn service(&self, planned: &PlannedRequest, outcome: &mut Outcome) -> Duration {
        let mut trips = Duration::ZERO;
        for _ in 0..ATTEMPTS {
            let turn = self.turn.fetch_add(1, Ordering::Relaxed);
            let replica = &self.platform.services[turn % self.platform.services.len()];
            trips += self.shape.trip(planned.near, &replica.data_centre);
            let (address, service) = (replica.address, self.shape.service);
            let request = match &planned.key {
                Some(key) => {
                    let url = format!("http://{address}/{service}/bookings");
                    self.http.post(url).header("idempotency-key", key).body("{}")
                }
                None => self.http.get(format!("http://{address}/{service}/stock")),
            };
            let sent = request.send().await.and_then(reqwest::Response::error_for_status);
            if sent.is_ok() {
                outcome.end = EndState::Answered;
                break;
            }
        }
        trips
    }
}
