//! Claims over several instances: all must agree on the owners of the shards.

mod whole_path;

use yuccareel::daemon::ServedNode;
use yuccareel::{claim_record, node};

/// Guards against instances that never learn the processes of listed peers, so that claim
/// shards have no owner.
#[tokio::test(flavor = "multi_thread")]
async fn bookings_succeed_at_every_instance() {
    let mut path = whole_path::start().await;
    for (name, data_centre) in [("entry-2", "dc-b"), ("entry-3", "dc-a"), ("entry-4", "dc-b")] {
        let settings = whole_path::settings(&path.platform, name, data_centre);
        let served = ServedNode::start(&settings, whole_path::logger(), None).await.unwrap();
        path.served.push(served);
    }
    // The instances learn of each other from the list before their first heartbeats.
    for served in &path.served {
        let node = &served.running.node;
        let (name, data_centre) = (&node.options.name, &node.options.data_centre);
        let peer_address = served.running.peer_address();
        path.platform.list_entry(name, served.address, peer_address, data_centre);
    }
    path.wait(|node| node.ready() && node.view.load().members.len() == 4).await;
    let owned = |node: &node::Node| node.claims.owned_shards().len();
    let total = || path.served.iter().map(|served| owned(&served.running.node)).sum::<usize>();
    let shards = usize::from(claim_record::SHARDS);
    path.wait(|node| owned(node) > 0 && total() == shards).await;
    let http = reqwest::Client::new();
    let mut failed = Vec::new();
    for number in 0..32 {
        let served = &path.served[number % path.served.len()];
        let url = format!("http://{}/hire/bookings", served.address);
        let request = http.post(url).header("idempotency-key", format!("key-{number}"));
        let reply = request.bearer_auth(whole_path::TOKEN).body("{}").send().await.unwrap();
        if reply.status() != 200 {
            failed.push(reply.text().await.unwrap());
        }
    }
    assert!(failed.is_empty(), "{} of 32 bookings failed: {failed:#?}", failed.len());
}
