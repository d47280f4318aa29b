//! One node in front of a platform stand-in, for tests of the whole path.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use yuccareel::standins::{engine, platform, server, service};
use yuccareel::{
    config_snapshot, http_server, instance_list, kv_client, node, records, replica_table,
    token_index,
};

/// Bearer token of the test customer.
pub const TOKEN: &str = "test-token";

/// Node with its platform.
pub struct WholePath {
    pub platform: platform::PlatformStandin,
    pub node: Arc<node::Node>,
    pub address: SocketAddr,
}

impl WholePath {
    /// URL of a path at the node.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Puts records in force at the next sequence number.
    pub fn adopt(&self, change: impl FnOnce(&mut config_snapshot::ConfigSnapshot)) {
        let mut snapshot = (**self.node.snapshot.load()).clone();
        change(&mut snapshot);
        snapshot.sequence += 1;
        self.node.adopt(snapshot);
    }

    /// Reads the instance list now.
    pub async fn refresh(&self) {
        let list = self.platform.list.instances.lock().clone();
        let table = replica_table::ReplicaTable::from_list(&list, &self.node.replicas.load());
        self.node.replicas.store(Arc::new(table));
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
    let mut platform = platform::PlatformStandin::start().await;
    for (name, data_centre, version) in
        [("e1", "dc-a", "v1"), ("e2", "dc-b", "v1"), ("e3", "dc-a", "v2"), ("e4", "dc-b", "v2")]
    {
        platform.add_engine(data_centre, engine_options(name, "small", version), true, true).await;
    }
    let booking = service::ServiceStandin::default();
    platform.add_service("dc-a", "hire-desk", "h1", booking.clone()).await;
    platform.add_service("dc-b", "hire-desk", "h2", booking).await;
    let http = reqwest::Client::new();
    let kv_url = format!("http://{}", platform.kv_address);
    let list_url = format!("http://{}", platform.list_address);
    let options = node::NodeOptions {
        name: "entry-1".into(),
        data_centre: "dc-a".into(),
        advertise: platform::loopback(),
        body_limit: 64 << 10,
        store: Arc::new(kv_client::HttpKvStore::new(http.clone(), kv_url)),
        list: instance_list::ListClient::new(http, list_url),
    };
    let node = Arc::new(node::Node::new(options).unwrap());
    let (address, _task) = server::serve(http_server::router(&node)).await;
    let path = WholePath { platform, node, address };
    path.adopt(|snapshot| test_records().into_iter().for_each(|record| snapshot.put(record)));
    path.refresh().await;
    path
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
            token_sha256: vec![token_index::token_hash(TOKEN)],
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
                spend_per_day: u64::MAX,
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
