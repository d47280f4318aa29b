//! Prefix hit rate at the engines, with and without their cache events.
//!
//! Sessions with a prompt of their own call random instances. An instance knows its own sends; only
//! cache events tell it what the others sent and what was evicted. Prints the share of prefixes
//! found cached and the bytes of the events read per instance and second.
//! `cargo run --example prefix_hits -- 20` takes the seconds of each way.

#[path = "measure_world/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "measure_world/shape.rs"]
#[allow(dead_code)]
mod shape;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serde_json::json;
use tokio::time::Instant;
use yuccareel::standins::prefix_cache;

const NODES: usize = 4;
const SESSIONS: usize = 400;
/// Bytes of a prompt: three prefixes, so that the caches of all engines together hold all sessions,
/// and that of one engine less than half of them.
const PROMPT_BYTES: usize = 5_000;
const REQUESTS_PER_S: u32 = 250;

const SHAPE: shape::DeploymentShape = shape::DeploymentShape::local(
    "prefixes",
    &[shape::model("small", 1.0, (100, 1_000), 2, &[("v1", 8)])],
    64,
);

struct Way {
    name: &'static str,
    faults: prefix_cache::EventFaults,
}

fn prompt(session: usize) -> String {
    let mut text = format!("session {session}: ");
    while text.len() < PROMPT_BYTES {
        text.push_str("the casting dossier continues ");
    }
    text
}

/// Share of prefixes found cached in the second half of a run, and bytes read.
async fn run(way: &Way, seconds: u64, seed: u64) -> (f64, f64) {
    let fleet = fleet::Fleet::start(SHAPE, NODES).await;
    for placed in &fleet.platform.engines {
        placed.engine.faults.lock().events = way.faults.clone();
    }
    let count = || {
        let caches = fleet.platform.engines.iter().map(|placed| placed.engine.cache.lock());
        caches.fold((0, 0, 0), |sum, cache| {
            (sum.0 + cache.asked, sum.1 + cache.found, sum.2 + cache.published_bytes)
        })
    };
    let http = reqwest::Client::new();
    let mut random = StdRng::seed_from_u64(seed);
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / REQUESTS_PER_S);
    let (started, run_time) = (Instant::now(), Duration::from_secs(seconds));
    let mut calls = tokio::task::JoinSet::new();
    let mut half = None;
    while started.elapsed() < run_time {
        ticks.tick().await;
        if half.is_none() && started.elapsed() > run_time / 2 {
            half = Some(count());
        }
        let address = fleet.first_address(random.random_range(0..NODES));
        let body = json!({ "model": "small", "max_tokens": 4, "messages":
            [{ "role": "user", "content": prompt(random.random_range(0..SESSIONS)) }] });
        let request = http.post(format!("http://{address}/v1/chat/completions"));
        let request = request.bearer_auth(shape::token("c0")).json(&body);
        calls.spawn(async move { request.send().await.is_ok_and(|reply| reply.status() == 200) });
    }
    let answered = calls.join_all().await;
    let failed = answered.iter().filter(|answered| !**answered).count();
    // Requests are refused until the first shares are granted.
    assert!(failed * 10 < answered.len(), "{failed} of {} requests failed", answered.len());
    let (former, last) = (half.unwrap_or_default(), count());
    let rate = (last.1 - former.1) as f64 / (last.0 - former.0) as f64;
    (rate, last.2 as f64 / NODES as f64 / seconds as f64)
}

#[tokio::main]
async fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(20);
    let none = prefix_cache::EventFaults::default;
    let ways = [
        Way { name: "no events", faults: prefix_cache::EventFaults { off: true, ..none() } },
        Way { name: "events", faults: none() },
        Way { name: "5 s late", faults: prefix_cache::EventFaults { late_ms: 5_000, ..none() } },
        Way {
            name: "every 20th lost",
            faults: prefix_cache::EventFaults { lose_every: 20, ..none() },
        },
    ];
    println!("{:<18}{:>14}{:>22}", "way", "prefix hits", "bytes/s an instance");
    for way in &ways {
        let (rate, bytes) = run(way, seconds, 1).await;
        println!("{:<18}{:>13.1}%{bytes:>22.0}", way.name, rate * 100.0);
    }
}
