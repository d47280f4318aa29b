//! Platform and peers around one measured instance.

pub mod counted_link;
pub mod fake_peers;
pub mod process_use;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use yuccareel::records::{self, RoutingRecord};
use yuccareel::standins::{engine, instance, platform};
use yuccareel::{
    config_apply, config_change, config_store, daemon, instance_list, peer_handshake, settings,
    token_index,
};

use counted_link::ByteCount;

/// Secret between instances.
pub const SECRET: &str = "a secret of the measurements";
/// Name of the measured instance.
pub const MEASURED: &str = "measured";
/// Nodes per data centre at scale: 1,300 in 16.
const NODES_PER_DATA_CENTRE: usize = 81;

/// Size of the world.
#[derive(Clone, Copy, Debug)]
pub struct WorldSize {
    /// Instances, the measured one included.
    pub nodes: usize,
    /// Whether the other instances are real.
    pub real: bool,
    pub replicas: usize,
    pub customers: usize,
    pub changes_per_s: f64,
}

/// World of one measured instance.
pub struct ControlWorld {
    pub size: WorldSize,
    pub platform: platform::PlatformStandin,
    /// Address on which the measured instance is to accept peers.
    pub peer_listen: SocketAddr,
    /// Address that it is to tell its peers.
    pub peer_advertise: SocketAddr,
    /// Address for callers.
    pub listen: SocketAddr,
    pub bytes: ByteCount,
    /// Ports of the measured instance, held so that nothing here takes them.
    reserved: Vec<std::net::TcpListener>,
    peers: Option<Arc<fake_peers::FakePeers>>,
    _real: Vec<daemon::ServedNode>,
}

impl ControlWorld {
    /// Starts everything but the measured instance.
    pub async fn start(size: WorldSize) -> Self {
        let bytes = ByteCount::default();
        let reserved = [reserve_port(), reserve_port()];
        let [listen, peer_listen] = reserved.each_ref().map(bound_address);
        let peer_advertise = counted_link::start(peer_listen, Arc::clone(&bytes)).await;
        let platform = start_platform(&size).await;
        platform.list_entry(MEASURED, listen, peer_advertise, "dc-00");
        let mut world = Self {
            size,
            platform,
            peer_listen,
            peer_advertise,
            listen,
            bytes,
            reserved: reserved.into(),
            peers: None,
            _real: Vec::new(),
        };
        for record in records(&size).chunks(100) {
            world.apply(record.to_vec()).await;
        }
        match size.real {
            true => world.start_real().await,
            false => world.start_fakes().await,
        }
        world
    }

    /// Gives up the ports of the measured instance, which is to start now.
    pub fn release_ports(&mut self) {
        self.reserved.clear();
    }

    /// Number of data centres.
    pub fn data_centres(size: &WorldSize) -> usize {
        size.nodes.div_ceil(NODES_PER_DATA_CENTRE).max(3)
    }

    async fn start_fakes(&mut self) {
        let secret = peer_handshake::SharedSecret::new(SECRET.as_bytes()).expect("long secret");
        let centres = Self::data_centres(&self.size);
        let count = self.size.nodes - 1;
        let peers =
            fake_peers::FakePeers::start(count, centres, secret, self.peer_listen, &self.bytes);
        let peers = Arc::new(peers.await);
        for row in &peers.rows {
            self.platform.list_entry(&row.name, row.address, row.peer_address, &row.data_centre);
        }
        let (snapshot, _) = self.store().load_snapshot().await.expect("configuration is readable");
        peers.set_tables(snapshot, self.platform.list.instances.lock().clone());
        tokio::spawn(Arc::clone(&peers).run());
        self.peers = Some(peers);
    }

    async fn start_real(&mut self) {
        for place in 1..self.size.nodes {
            let peer_listen = bound_address(&reserve_port());
            let advertise = counted_link::start(peer_listen, Arc::clone(&self.bytes)).await;
            let name = format!("real-{place}");
            let data_centre = format!("dc-{:02}", place % Self::data_centres(&self.size));
            let settings = self.settings(&name, &data_centre, peer_listen, advertise);
            let logger = slog::Logger::root(slog::Discard, slog::o!());
            let served = daemon::ServedNode::start(&settings, logger, None).await;
            let served = served.expect("instance starts");
            self.platform.list_entry(&name, served.address, advertise, &data_centre);
            self._real.push(served);
        }
    }

    /// Makes one change and spreads it.
    pub async fn change(&self, number: u64) {
        let place = number as usize % self.size.customers;
        let change = self.apply(vec![customer(place, 1 + (number % 7) as u32)]).await;
        if let (Some(change), Some(peers)) = (change, &self.peers) {
            peers.push(change).await;
        }
    }

    fn store(&self) -> config_store::ConfigStore {
        config_store::ConfigStore::new(Arc::new(self.platform.kv.clone()))
    }

    async fn apply(&self, puts: Vec<RoutingRecord>) -> Option<Arc<config_change::ConfigChange>> {
        match instance::commit_records(&self.platform, puts, Vec::new()).await {
            config_apply::ApplyOutcome::Committed(change) => Some(change),
            config_apply::ApplyOutcome::Unchanged(_) => None,
        }
    }

    fn settings(
        &self,
        name: &str,
        data_centre: &str,
        peer_listen: SocketAddr,
        peer_advertise: SocketAddr,
    ) -> settings::Settings {
        settings::Settings {
            peer_listen,
            peer_advertise,
            peer_secret: settings::PeerSecret::new(SECRET.as_bytes()),
            ..instance::settings(&self.platform, name, data_centre)
        }
    }
}

/// Platform whose replicas share one engine process.
async fn start_platform(size: &WorldSize) -> platform::PlatformStandin {
    let mut platform = platform::PlatformStandin::start().await;
    let options = engine::EngineOptions {
        name: "engine".to_owned(),
        model: "model-0".to_owned(),
        version: "v1".to_owned(),
        skill: 1.0,
        token_time: Duration::ZERO,
        answer_tokens: 8,
        cold_concurrency: 2,
        warm_concurrency: 16,
        warm_after: 1,
    };
    platform.add_engine("dc-00", options, true, true).await;
    let address = platform.engines[0].address;
    let centres = ControlWorld::data_centres(size);
    let mut instances = platform.list.instances.lock();
    for place in 1..size.replicas {
        instances.push(instance_list::ListedInstance {
            name: format!("engine-{place:05}").into(),
            address,
            peer_address: None,
            data_centre: format!("dc-{:02}", place % centres).into(),
            role: instance_list::InstanceRole::Engine {
                model: format!("model-{}", place % models(size)).into(),
                version: "v1".into(),
                checks_fencing: true,
            },
            state: instance_list::InstanceState::Live,
        });
    }
    drop(instances);
    platform
}

/// Number of models: three today, 14 at scale.
fn models(size: &WorldSize) -> usize {
    if size.replicas < 100 { 3 } else { 14 }
}

fn records(size: &WorldSize) -> Vec<RoutingRecord> {
    let version = || records::model::ModelVersion {
        name: "v1".into(),
        state: records::model::VersionState::Active,
    };
    let model = |place: usize| {
        RoutingRecord::Model(records::model::ModelRecord {
            name: format!("model-{place}").into(),
            versions: vec![version()],
            default_version: "v1".into(),
            input_cost_per_1k: 100,
            output_cost_per_1k: 1_000,
            prior_quality: 0.9,
            cold_concurrency: 2,
            warm_concurrency: 16,
        })
    };
    let mut all: Vec<_> = (0..models(size)).map(model).collect();
    all.extend((0..size.customers).map(|place| customer(place, 1)));
    all
}

fn customer(place: usize, weight: u32) -> RoutingRecord {
    RoutingRecord::Customer(records::customer::CustomerRecord {
        name: format!("customer-{place:04}").into(),
        token_sha256: vec![token_index::token_digest_hex(&format!("token-{place}"))],
        allowed: vec![records::customer::AllowedModel { model: "model-0".into(), versions: None }],
        quality_target: 0.9,
        cascade: None,
        weight,
        limits: records::customer::CustomerLimits {
            requests_per_s: 100.0,
            concurrency: 100,
            spend_per_day: 1_000_000_000,
        },
    })
}

/// Listener on a free loopback port.
fn reserve_port() -> std::net::TcpListener {
    std::net::TcpListener::bind("127.0.0.1:0").expect("free loopback port")
}

fn bound_address(listener: &std::net::TcpListener) -> SocketAddr {
    listener.local_addr().expect("bound address")
}
