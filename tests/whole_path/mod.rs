//! One node in front of a platform stand-in, for tests of the whole path.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use yuccareel::standins::{engine, instance, platform, service};
use yuccareel::{daemon, node, records, settings, token_index};

/// Bearer token of the test customer.
pub const TOKEN: &str = "test-token";

/// Nodes with their platform.
pub struct WholePath {
    pub platform: platform::PlatformStandin,
    pub address: SocketAddr,
    pub served: Vec<daemon::ServedNode>,
}

impl WholePath {
    /// First node.
    pub fn node(&self) -> &Arc<node::Node> {
        &self.served[0].running.node
    }

    /// URL of a path at the first node.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Commits records by the ordinary path and waits until every node has them in effect.
    pub async fn apply(&self, puts: Vec<records::RoutingRecord>) {
        self.change(puts, Vec::new()).await;
    }

    /// Removes records, given by kind and name, in the same way.
    pub async fn remove(&self, records: Vec<(&str, &str)>) {
        let removals = records.into_iter().map(|(kind, name)| (kind.to_owned(), name.into()));
        self.change(Vec::new(), removals.collect()).await;
    }

    async fn change(&self, puts: Vec<records::RoutingRecord>, removals: Vec<(String, Arc<str>)>) {
        let outcome = instance::commit_records(&self.platform, puts, removals).await;
        let sequence = outcome.sequence();
        self.wait(|node| node.snapshot.load().sequence >= sequence && node.ready()).await;
        self.wait(|node| !node.replicas.load().rows().is_empty()).await;
    }

    /// Waits until a condition holds on every node.
    pub async fn wait(&self, condition: impl Fn(&node::Node) -> bool) {
        let limit = tokio::time::Instant::now() + Duration::from_secs(20);
        while !self.served.iter().all(|served| condition(&served.running.node)) {
            let states = || self.served.iter().map(|served| state(&served.running.node));
            let late = tokio::time::Instant::now() >= limit;
            assert!(
                !late,
                "condition does not hold within 20 s: {:#?}",
                states().collect::<Vec<_>>()
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Options of a fast engine.
pub fn engine_options(name: &str, model: &str, version: &str) -> engine::EngineOptions {
    engine::EngineOptions {
        name: name.to_owned(),
        model: model.to_owned(),
        version: version.to_owned(),
        skill: 1.0,
        token_time: Duration::ZERO,
        answer_tokens: 8,
        cold_concurrency: 2,
        warm_concurrency: 64,
        warm_after: 4,
    }
}

/// Customer, one model with two versions, one service; two engines a version.
pub async fn start() -> WholePath {
    start_with(|_| {}).await
}

/// The same with other settings of the node.
pub async fn start_with(adjust: impl Fn(&mut settings::Settings)) -> WholePath {
    let mut platform = platform::PlatformStandin::start().await;
    for (name, data_centre, version) in
        [("e1", "dc-a", "v1"), ("e2", "dc-b", "v1"), ("e3", "dc-a", "v2"), ("e4", "dc-b", "v2")]
    {
        platform.add_engine(data_centre, engine_options(name, "small", version), true, true).await;
    }
    let booking = service::ServiceStandin::default();
    platform.add_service("dc-a", "hire-desk", "h1", booking.clone()).await;
    platform.add_service("dc-b", "hire-desk", "h2", booking).await;
    let mut settings = settings(&platform, "entry-1", "dc-a");
    adjust(&mut settings);
    let served = daemon::ServedNode::start(&settings, logger(), None).await.unwrap();
    let path = WholePath { platform, address: served.address, served: vec![served] };
    path.apply(test_records()).await;
    path
}

/// State of a node for messages of failed tests.
fn state(node: &node::Node) -> impl std::fmt::Debug + use<> {
    let rows = node.replicas.load().rows().len();
    (node.options.name.clone(), node.status(), node.view.load_full(), rows, node.watches())
}

/// Log of a test; the harness shows it when the test fails.
pub fn logger() -> slog::Logger {
    use slog::Drain as _;
    let drain = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog::LevelFilter::new(drain, slog::Level::Warning).fuse();
    slog::Logger::root(std::sync::Mutex::new(drain).fuse(), slog::o!())
}

/// Settings of an instance on free loopback ports.
pub fn settings(
    platform: &platform::PlatformStandin,
    name: &str,
    data_centre: &str,
) -> settings::Settings {
    let settings = instance::settings(platform, name, data_centre);
    settings::Settings {
        limits: settings::RequestLimits {
            body_bytes: 64 << 10,
            request_timeout: Duration::from_secs(20),
            shutdown_timeout: Duration::from_secs(1),
            ..settings.limits
        },
        log_level: slog::Level::Info,
        ..settings
    }
}

/// Records of the tests.
pub fn test_records() -> Vec<records::RoutingRecord> {
    use records::RoutingRecord as Record;
    let version = |name: &str| records::model::ModelVersion {
        name: name.into(),
        state: records::model::VersionState::Active,
    };
    vec![
        Record::Model(records::model::ModelRecord {
            name: "small".into(),
            versions: vec![version("v1"), version("v2")],
            default_version: "v1".into(),
            input_cost_per_1k: 100,
            output_cost_per_1k: 1_000,
            prior_quality: 0.7,
            cold_concurrency: 2,
            warm_concurrency: 64,
        }),
        Record::Customer(records::customer::CustomerRecord {
            name: "acme".into(),
            token_sha256: vec![token_index::token_digest_hex(TOKEN)],
            allowed: vec![records::customer::AllowedModel {
                model: "small".into(),
                versions: None,
            }],
            quality_target: 0.9,
            cascade: None,
            weight: 1,
            limits: records::customer::CustomerLimits {
                requests_per_s: 10_000.0,
                concurrency: 1_000,
                spend_per_day: 1_000_000_000_000,
            },
        }),
        Record::Service(records::service::ServiceRecord {
            name: "hire-desk".into(),
            path_prefix: "/hire".into(),
            routes: vec![records::service::ServiceRoute {
                method: "POST".into(),
                path: "/bookings".into(),
                repeatable: false,
            }],
            timeout_ms: 500,
        }),
    ]
}

/// Rollout of a model from `v1` to `v2` that evidence alone ends.
pub fn rollout(name: &str, model: &str) -> records::rollout::RolloutRecord {
    records::rollout::RolloutRecord {
        name: name.into(),
        model: model.into(),
        from: "v1".into(),
        to: "v2".into(),
        stages: vec![0.5, 1.0],
        stage_dwell_s: 600,
        stage_min_requests: 1_000_000,
        max_error_rise: 0.2,
        max_quality_fall: 0.9,
        paused: false,
        replicas: Vec::new(),
    }
}
