//! Cache events of engines, from their publication to the prefix index of a node.

mod whole_path;

use serde_json::json;
use yuccareel::prefix_index::prompt_prefixes;
use yuccareel::standins::prefix_cache::{CACHE_PREFIXES, EventFaults, PrefixCache};

async fn send_chat(path: &whole_path::WholePath, prompt: &str) {
    let body = json!({ "model": "small", "messages": [{ "role": "user", "content": prompt }] });
    let request = reqwest::Client::new().post(path.url("/v1/chat/completions")).json(&body);
    let reply = request.bearer_auth(whole_path::TOKEN).send().await.unwrap();
    assert_eq!(reply.status().as_u16(), 200);
}

/// Guards against a stand-in whose delays and losses have no effect on the events it publishes.
#[tokio::test(start_paused = true)]
async fn the_cache_publishes_late_and_with_gaps() {
    struct Case {
        name: &'static str,
        faults: EventFaults,
        wait_ms: u64,
        published: &'static [u64],
    }
    let none = EventFaults::default;
    let late = || EventFaults { late_ms: 500, ..none() };
    let lost = EventFaults { lose_every: 2, ..none() };
    let cases = [
        Case { name: "at once", faults: none(), wait_ms: 0, published: &[1, 2, 3] },
        Case { name: "not yet", faults: late(), wait_ms: 0, published: &[] },
        Case { name: "late", faults: late(), wait_ms: 500, published: &[1, 2, 3] },
        Case { name: "gaps", faults: lost, wait_ms: 0, published: &[1, 3] },
    ];
    for case in &cases {
        let mut cache = PrefixCache::default();
        for prefix in 1..=3 {
            cache.take(&[prefix], &case.faults);
        }
        tokio::time::sleep(std::time::Duration::from_millis(case.wait_ms)).await;
        let events = cache.events(0, 64, &case.faults);
        let numbers: Vec<_> = events.iter().map(|event| event.sequence).collect();
        assert_eq!(numbers, case.published, "{}", case.name);
    }
    let mut cache = PrefixCache::default();
    let all: Vec<u64> = (0..=CACHE_PREFIXES as u64).collect();
    cache.take(&all, &none());
    assert_eq!(cache.events(0, 64, &none())[0].evicted, [0]);
}

/// Guards against a node that ignores events of prefixes sent by other nodes or evicted.
#[tokio::test(flavor = "multi_thread")]
async fn events_of_other_senders_and_evictions_reach_the_index() {
    let path = whole_path::start().await;
    let long = "a long prompt ".repeat(40);
    send_chat(&path, &long).await;
    let engine = &path.platform.engines[0].engine;
    let faults = EventFaults::default();
    engine.cache.lock().take(&[7], &faults);
    path.wait(|node| node.prefixes.lock().replica_bonus("e1", &[7]) > 0.0).await;
    let others: Vec<u64> = (1_000..1_000 + CACHE_PREFIXES as u64).collect();
    engine.cache.lock().take(&others, &faults);
    path.wait(|node| node.prefixes.lock().replica_bonus("e1", &[7]) == 0.0).await;
    let own = prompt_prefixes(long.as_bytes());
    assert_eq!(path.node().prefixes.lock().replica_bonus("e1", &own), 0.0);
}

/// Guards against nodes that read cache events although their prompts have no prefixes, which costs
/// control traffic on idle nodes.
#[tokio::test(flavor = "multi_thread")]
async fn short_prompts_cause_no_event_reads() {
    let path = whole_path::start().await;
    send_chat(&path, "short").await;
    tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
    let bytes =
        path.platform.engines.iter().map(|placed| placed.engine.cache.lock().published_bytes);
    assert_eq!(bytes.sum::<u64>(), 0);
}
