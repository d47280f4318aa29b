//! Streamed answers that move on to the next step of their cascade.

mod whole_path;

use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use yuccareel::records::{RoutingRecord, cascade, customer, model};
use yuccareel::standins::engine::EngineStandin;

/// Far below the request deadline and far above the 50 ms that a stream waits at a busy pool.
const NEXT_STEP_TIMEOUT: Duration = Duration::from_secs(3);

fn records() -> Vec<RoutingRecord> {
    let mut records = whole_path::test_records();
    let mut steps = Vec::new();
    for record in records.clone() {
        if let RoutingRecord::Model(small) = record {
            let large = model::ModelRecord {
                name: "large".into(),
                prior_quality: 0.99,
                output_cost_per_1k: 10_000,
                ..small
            };
            records.push(RoutingRecord::Model(large));
        }
    }
    for name in ["small", "large"] {
        steps.push(cascade::CascadeStep::Model(name.into()));
    }
    records.push(RoutingRecord::Cascade(cascade::CascadeRecord { name: "both".into(), steps }));
    for record in &mut records {
        if let RoutingRecord::Customer(acme) = record {
            acme.allowed.push(customer::AllowedModel { model: "large".into(), versions: None });
            // The cheap model meets this target, so that streams start with it.
            acme.quality_target = 0.3;
        }
    }
    records
}

/// Guards against streams that wait for a busy cheap pool although a costlier step is idle, and
/// against abandoned requests that stay in the queue of the busy pool.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stream_leaves_a_busy_pool_for_the_next_step() {
    let mut path = whole_path::start().await;
    let options = whole_path::engine_options("e5", "large", "v1");
    path.platform.add_engine("dc-a", options, true, true).await;
    path.apply(records()).await;
    path.wait(|node| node.replicas.load().find("e5").is_some()).await;
    let send_request = async || {
        let body = json!({ "model": "both", "stream": true,
            "messages": [{ "role": "user", "content": "hello" }] });
        let request = reqwest::Client::new().post(path.url("/v1/chat/completions"));
        let started = Instant::now();
        let reply = request.bearer_auth(whole_path::TOKEN).json(&body).send().await.unwrap();
        let model = reply.headers().get("x-yuccareel-model").map(|name| name.to_str().unwrap());
        (reply.status().as_u16(), model.map(str::to_owned), started.elapsed())
    };
    // The first request of an idle node waits for its leased shares of the cheap pool.
    let (status, model, _) = send_request().await;
    assert_eq!((status, model.as_deref()), (200, Some("small")));
    let set_busy = |engine: &EngineStandin, is_busy: bool| {
        engine.faults.lock().busy = if is_busy { engine.options.warm_concurrency } else { 0 };
    };
    let engines: Vec<_> = path.platform.engines.iter().map(|placed| &placed.engine).collect();
    let small = engines.into_iter().filter(|engine| engine.options.model == "small");
    small.for_each(|engine| set_busy(engine, true));
    for attempt in 0..8 {
        let (status, model, took) = send_request().await;
        assert_eq!((status, model.as_deref()), (200, Some("large")), "attempt {attempt}");
        assert!(took < NEXT_STEP_TIMEOUT, "attempt {attempt}: {took:?}");
    }
    let node = path.node();
    let waiting_requests = || node.waiting_by_pool().iter().map(|(_, count)| *count).sum::<u64>();
    let deadline = Instant::now() + NEXT_STEP_TIMEOUT;
    while waiting_requests() > 0 {
        assert!(Instant::now() < deadline, "abandoned requests are still queued");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
