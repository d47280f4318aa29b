//! Claims of instances that learn of each other while they serve.

mod whole_path;

use std::time::Duration;

use serde_json::json;
use yuccareel::daemon;

/// Guards against instances that never learn the process names of their peers: the list tells
/// the name of an instance before a heartbeat tells its incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn every_instance_takes_bookings() {
    let mut path = whole_path::start().await;
    for (name, data_centre) in [("entry-2", "dc-b"), ("entry-3", "dc-a")] {
        let settings = whole_path::settings(&path.platform, name, data_centre);
        let served = daemon::ServedNode::start(&settings, whole_path::logger(), None).await;
        path.served.push(served.unwrap());
    }
    for served in &path.served {
        let node = &served.running.node;
        let peers = served.running.peer_address();
        let (name, data_centre) = (&node.options.name, &node.options.data_centre);
        path.platform.list_entry(name, served.address, peers, data_centre);
    }
    path.wait(|node| node.view.load().members.len() == 3 && node.ready()).await;
    let http = reqwest::Client::new();
    for served in &path.served {
        // A lease of 10 s and a few ticks cover every change of an owner.
        let limit = tokio::time::Instant::now() + Duration::from_secs(15);
        for attempt in 0.. {
            let url = format!("http://{}/hire/bookings", served.address);
            let key = format!("{}-{attempt}", served.address);
            let request = http.post(url).bearer_auth(whole_path::TOKEN);
            let request = request.header("idempotency-key", key).json(&json!({}));
            if request.send().await.unwrap().status() == 200 {
                break;
            }
            let late = tokio::time::Instant::now() >= limit;
            assert!(!late, "{} takes no booking", served.running.node.options.name);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
