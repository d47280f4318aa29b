//! Two deployments of which one still lists an address that the other took over.

mod whole_path;

use std::time::Duration;

use tokio::time::Instant;
use yuccareel::standins::platform;
use yuccareel::{daemon, settings};

/// Time for a listed node to get configuration from its peers.
const SPREAD_LIMIT: Duration = Duration::from_secs(20);

/// Time until a node of another deployment took configuration through a reassigned address.
async fn time_to_leak(shared_secret: bool, limit: Duration) -> Option<Duration> {
    let path = whole_path::start().await;
    let store = platform::PlatformStandin::start().await;
    let mut options = whole_path::settings(&store, "entry-2", "dc-a");
    if shared_secret {
        options.peer_secret = settings::PeerSecret::new(&path.platform.peer_secret);
    }
    let other = daemon::ServedNode::start(&options, whole_path::logger(), None).await.unwrap();
    let peers = other.running.peer_address();
    path.platform.list_entry("entry-2", other.address, peers, "dc-a");
    let listed = Instant::now();
    while other.running.node.snapshot.load().sequence == 0 {
        if listed.elapsed() > limit {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Some(listed.elapsed())
}

/// Guards against configuration that crosses to another deployment: addresses are reassigned
/// while lists lag, so each deployment has a peer secret of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_peer_secret_keeps_deployments_apart() {
    // One secret makes one deployment; its time tells how long to watch the other case.
    let shared = time_to_leak(true, SPREAD_LIMIT).await;
    let shared = shared.expect("nodes with one secret exchange no configuration");
    let own = time_to_leak(false, shared * 2).await;
    assert_eq!(own, None, "configuration crossed to another deployment");
}
