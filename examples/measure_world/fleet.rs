//! Platform stand-ins and entry instances of a deployment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;
use yuccareel::standins::{instance, platform, rating, server, service};
use yuccareel::{daemon, ids, node, records, settings};

use super::shape;

/// Time in which a condition of the fleet must come true.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Time for which a stopping instance accepts requests, and then for those in flight.
pub const LEAVE_TIME: Duration = Duration::from_secs(4);
/// Entry instances.
pub const NODES: usize = 8;

/// Entry instance and where it runs.
pub struct PlacedNode {
    pub name: String,
    pub data_centre: &'static str,
    pub served: daemon::ServedNode,
}

/// Platform with its instances.
pub struct Fleet {
    pub shape: shape::DeploymentShape,
    pub platform: platform::PlatformStandin,
    pub rating_url: String,
    pub nodes: Mutex<Vec<PlacedNode>>,
    /// Process names by address, replaced instances included.
    pub processes: Mutex<Vec<(SocketAddr, ids::InstanceName)>>,
    _rating: tokio::task::JoinHandle<()>,
}

impl Fleet {
    /// Starts the platform and `nodes` instances with the records of the shape in effect.
    pub async fn start(shape: shape::DeploymentShape, nodes: usize) -> Self {
        let platform = start_platform(&shape).await;
        let ratings = rating::RatingStandin::default();
        let (rating_address, rating_task) = server::serve(rating::router(ratings)).await;
        let fleet = Self {
            shape,
            platform,
            rating_url: format!("http://{rating_address}"),
            nodes: Mutex::default(),
            processes: Mutex::default(),
            _rating: rating_task,
        };
        for place in 0..nodes {
            let data_centre = shape.data_centres[place % shape.data_centres.len()];
            fleet.add_node(&format!("entry-{place}"), data_centre).await;
        }
        fleet.apply(shape.records(), Vec::new()).await;
        fleet.wait("replicas", |node| !node.replicas.load().rows().is_empty()).await;
        fleet
    }

    /// Starts an instance and lists it.
    pub async fn add_node(&self, name: &str, data_centre: &'static str) {
        let settings = self.settings(name, data_centre);
        let served = daemon::ServedNode::start(&settings, logger(), None).await;
        let served = served.expect("instance starts");
        let peer_address = served.running.peer_address();
        self.platform.list_entry(name, served.address, peer_address, data_centre);
        self.processes.lock().push((served.address, served.running.node.process.clone()));
        self.nodes.lock().push(PlacedNode { name: name.to_owned(), data_centre, served });
    }

    /// Commits a change; returns the time until it was in effect on every instance.
    pub async fn apply(
        &self,
        puts: Vec<records::RoutingRecord>,
        removals: Vec<(String, Arc<str>)>,
    ) -> Duration {
        let outcome = instance::commit_records(&self.platform, puts, removals).await;
        let sequence = outcome.sequence();
        let started = Instant::now();
        self.wait("configuration", |node| {
            node.snapshot.load().sequence >= sequence && node.ready()
        })
        .await;
        started.elapsed()
    }

    /// Running instances.
    pub fn running(&self) -> Vec<Arc<node::Node>> {
        self.nodes.lock().iter().map(|placed| Arc::clone(&placed.served.running.node)).collect()
    }

    /// Waits until a condition holds on every instance.
    pub async fn wait(&self, what: &str, condition: impl Fn(&node::Node) -> bool) {
        let started = Instant::now();
        while !self.running().iter().all(|node| condition(node)) {
            if started.elapsed() > WAIT_LIMIT {
                eprintln!("{what} not reached within {WAIT_LIMIT:?}");
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Address and data centre of an instance to ask for endpoints first.
    pub fn first_address(&self, place: usize) -> SocketAddr {
        let nodes = self.nodes.lock();
        nodes[place % nodes.len()].served.address
    }

    fn settings(&self, name: &str, data_centre: &str) -> settings::Settings {
        let settings = instance::settings(&self.platform, name, data_centre);
        settings::Settings {
            rating_url: Some(self.rating_url.clone()),
            limits: settings::RequestLimits { shutdown_timeout: LEAVE_TIME, ..settings.limits },
            ..settings
        }
    }
}

/// Platform with all engines and services of a shape, warm.
pub async fn start_platform(shape: &shape::DeploymentShape) -> platform::PlatformStandin {
    let mut platform = platform::PlatformStandin::start().await;
    for (data_centre, options) in shape.engines() {
        platform.add_engine(data_centre, options, true, true).await;
    }
    for place in 0..shape.service_replicas {
        let data_centre = shape.data_centres[place % shape.data_centres.len()];
        // Each replica counts its own runs, so that a drained data centre can be checked.
        let replica = service::ServiceStandin::default();
        let name = format!("{}-{place}", shape.service);
        platform.add_service(data_centre, shape.service, &name, replica).await;
    }
    platform
}

/// Log that keeps nothing; the reports are on standard output.
pub fn logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
