//! Load on one way and its totals.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt as _;
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::time::Instant;

use crate::shape;

/// How fast the callers send.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// The next request follows the last answer.
    Closed,
    /// Requests per second over all connections.
    Rate(u32),
}

/// Load of one line of the table.
pub struct LoadCase {
    pub name: &'static str,
    pub connections: usize,
    pub tokens: u64,
    pub stream: bool,
    pub pace: Pace,
}

/// Totals of one way.
pub struct WayTotals {
    /// Times of whole answers in microseconds.
    pub whole: Histogram<u64>,
    /// Times to the first byte of the body in microseconds.
    pub first: Histogram<u64>,
    /// Calls without an answer, by refusal code, status or fault of the connection.
    pub failed: BTreeMap<String, u64>,
    cpu: Duration,
}

impl WayTotals {
    /// Totals of no answers.
    pub fn new() -> Self {
        let empty = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
        Self { whole: empty(), first: empty(), failed: BTreeMap::new(), cpu: Duration::ZERO }
    }

    /// Processor time of the whole process per answer, in seconds.
    pub fn cpu_per_answer(&self) -> f64 {
        self.cpu.as_secs_f64() / self.whole.len().max(1) as f64
    }
}

/// Sends the load of a case at some addresses for a time.
pub async fn run(case: &LoadCase, targets: &[SocketAddr], time: Duration, totals: &mut WayTotals) {
    let http =
        reqwest::Client::builder().tcp_nodelay(true).pool_max_idle_per_host(case.connections);
    let http = http.build().expect("HTTP client");
    let body = json!({
        "model": "small", "version": "v1", "stream": case.stream, "max_tokens": case.tokens,
        "messages": [{ "role": "user", "content": "How long does the kiln take to cool?" }],
    });
    let body = bytes::Bytes::from(body.to_string());
    // Connections are opened before the measured time.
    let opening = (0..case.connections)
        .map(|place| send(http.clone(), targets[place % targets.len()], body.clone()));
    futures::future::join_all(opening).await;
    let (cpu, end) = (process_cpu(), Instant::now() + time);
    let callers = (0..case.connections).map(|place| {
        let target = targets[place % targets.len()];
        tokio::spawn(call(
            http.clone(),
            target,
            body.clone(),
            (place, case.connections),
            case.pace,
            end,
        ))
    });
    for caller in callers.collect::<Vec<_>>() {
        for answer in caller.await.expect("caller ends") {
            match answer {
                Ok((first, whole)) => {
                    totals.whole.saturating_record(whole.as_micros() as u64);
                    totals.first.saturating_record(first.as_micros() as u64);
                }
                Err(code) => *totals.failed.entry(code).or_default() += 1,
            }
        }
    }
    totals.cpu += process_cpu().saturating_sub(cpu);
}

/// Times of an answer to its first byte and its end.
type AnswerTimes = Result<(Duration, Duration), String>;

async fn call(
    http: reqwest::Client,
    target: SocketAddr,
    body: bytes::Bytes,
    (place, connections): (usize, usize),
    pace: Pace,
    end: Instant,
) -> Vec<AnswerTimes> {
    let mut answers = Vec::new();
    let interval = match pace {
        Pace::Closed => Duration::ZERO,
        Pace::Rate(rate) => Duration::from_secs(connections as u64) / rate,
    };
    let mut next = Instant::now() + interval.mul_f64(place as f64 / connections as f64);
    while next < end {
        if pace != Pace::Closed {
            tokio::time::sleep_until(next).await;
        }
        answers.push(send(http.clone(), target, body.clone()).await);
        next = if pace == Pace::Closed { Instant::now() } else { next + interval };
    }
    answers
}

async fn send(http: reqwest::Client, target: SocketAddr, body: bytes::Bytes) -> AnswerTimes {
    let started = Instant::now();
    let request = http
        .post(format!("http://{target}/v1/chat/completions"))
        .header("content-type", "application/json")
        .header("x-request-id", "0".repeat(32))
        .bearer_auth(shape::token("c0"))
        .body(body);
    let lost = |error: reqwest::Error| if error.is_connect() { "connect" } else { "connection" };
    let reply = request.send().await.map_err(lost)?;
    if !reply.status().is_success() {
        return Err(refusal_code(reply).await);
    }
    let mut pieces = reply.bytes_stream();
    let mut first = None;
    while let Some(piece) = pieces.next().await {
        piece.map_err(lost)?;
        first.get_or_insert_with(|| started.elapsed());
    }
    Ok((first.ok_or("empty")?, started.elapsed()))
}

/// Code in the body of a refusal; its status where it has none.
async fn refusal_code(reply: reqwest::Response) -> String {
    let status = reply.status().to_string();
    let body: serde_json::Value = reply.json().await.unwrap_or_default();
    body["error"]["code"].as_str().map_or(status, str::to_owned)
}

/// Processor time of this process.
fn process_cpu() -> Duration {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The second field may contain spaces; fields are counted after its closing bracket.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> = rest.split_whitespace().skip(11).take(2).flat_map(str::parse).collect();
    // The kernel counts in hundredths of a second on all common platforms.
    Duration::from_millis(10 * fields.iter().sum::<u64>())
}
