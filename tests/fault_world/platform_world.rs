//! Three instances in two data centres with their platform stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::time::Instant;
use yuccareel::records::{RoutingRecord, customer, data_centre, model, rollout, service};
use yuccareel::standins::{
    engine, instance, link, platform, rating, server, service as service_standin,
};
use yuccareel::{daemon, record_reader, settings, token_index};

use super::observation::CellObservations;

/// Operators' token.
pub const OPERATOR: &str = "operator";
/// Customer that may use `v1` and `v2`; its token is its name.
pub const ACME: &str = "acme";
/// Customer that may use `v1` only.
pub const BETA: &str = "beta";
/// Time for anything that a cell waits for.
pub const PATIENCE: Duration = Duration::from_secs(25);
/// Time for which a stopping instance accepts requests, and then for those in flight.
pub const STOP_TIME: Duration = Duration::from_secs(4);
const POLL: Duration = Duration::from_millis(20);

/// Instance of a cell.
pub struct CellInstance {
    pub name: String,
    pub address: SocketAddr,
    pub served: Mutex<Option<daemon::ServedNode>>,
    /// Whether callers still know it.
    pub callable: Mutex<bool>,
}

/// Instances, platform and record of one cell.
pub struct CellWorld {
    pub epoch: Instant,
    pub platform: platform::PlatformStandin,
    pub rating: rating::RatingStandin,
    pub rating_address: SocketAddr,
    pub instances: Mutex<Vec<Arc<CellInstance>>>,
    pub http: reqwest::Client,
    pub seen: Mutex<CellObservations>,
    pub serial: AtomicU64,
    /// Held during a request of a session of the background load.
    pub session_turn: tokio::sync::Mutex<()>,
    /// Links through which instances reach each other.
    pub peer_links: Mutex<Vec<link::LinkStandin>>,
}

/// Waits until a condition holds; false when it does not within `PATIENCE`.
pub async fn wait_for(condition: impl Fn() -> bool) -> bool {
    let limit = Instant::now() + PATIENCE;
    while !condition() {
        if Instant::now() >= limit {
            return false;
        }
        tokio::time::sleep(POLL).await;
    }
    true
}

impl CellWorld {
    /// Platform with three ready instances.
    pub async fn start() -> Arc<Self> {
        let mut platform = platform::PlatformStandin::start_linked().await;
        for (name, data_centre, version) in [
            ("e1", "dc-a", "v1"),
            ("e2", "dc-b", "v1"),
            ("e3", "dc-a", "v2"),
            ("e4", "dc-b", "v2"),
            ("e5", "dc-a", "v3"),
        ] {
            platform.add_engine(data_centre, engine_options(name, version), true, true).await;
        }
        for (name, data_centre) in [("h1", "dc-a"), ("h2", "dc-b")] {
            let desk = service_standin::ServiceStandin::default();
            desk.faults.lock().delay_ms = 200;
            platform.add_service(data_centre, "hire-desk", name, desk).await;
        }
        let rating = rating::RatingStandin::default();
        let (rating_address, _) = server::serve(rating::router(rating.clone())).await;
        let world = Arc::new(Self {
            epoch: Instant::now(),
            platform,
            rating,
            rating_address,
            instances: Mutex::default(),
            http: reqwest::Client::new(),
            seen: Mutex::default(),
            serial: AtomicU64::new(1),
            session_turn: tokio::sync::Mutex::default(),
            peer_links: Mutex::default(),
        });
        world.seen.lock().allowed = vec![
            (ACME.to_owned(), vec!["v1".to_owned(), "v2".to_owned()]),
            (BETA.to_owned(), vec!["v1".to_owned()]),
        ];
        for (name, data_centre) in [("entry-1", "dc-a"), ("entry-2", "dc-b"), ("entry-3", "dc-a")] {
            world.add_instance(name, data_centre).await;
        }
        // A new instance has no configuration and accepts none before it confirmed that.
        assert!(world.apply(0, first_records()).await, "first configuration is not accepted");
        assert!(wait_for(|| world.all_ready(3)).await, "instances do not get ready");
        world.admit_ready();
        world
    }

    /// Lets callers know the running instances that are ready.
    pub fn admit_ready(&self) {
        for instance in self.instances.lock().iter() {
            let served = instance.served.lock();
            let ready = served.as_ref().is_some_and(|served| served.running.node.ready());
            *instance.callable.lock() |= ready;
        }
    }

    /// Starts an instance and lists it; callers do not know it yet.
    pub async fn add_instance(&self, name: &str, data_centre: &str) {
        let link = link::LinkStandin::bind().await;
        let mut settings = self.settings(name, data_centre);
        settings.peer_advertise = link.address;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let served = daemon::ServedNode::start(&settings, logger, None).await.unwrap();
        let address = served.address;
        link.connect_to(served.running.peer_address());
        self.platform.list_entry(name, address, link.address, data_centre);
        self.peer_links.lock().push(link);
        self.instances.lock().push(Arc::new(CellInstance {
            name: name.to_owned(),
            address,
            served: Mutex::new(Some(served)),
            callable: Mutex::new(false),
        }));
    }

    /// Instance by its order of start.
    pub fn instance(&self, place: usize) -> Arc<CellInstance> {
        Arc::clone(&self.instances.lock()[place])
    }

    /// Instances that callers know.
    pub fn callable(&self) -> Vec<Arc<CellInstance>> {
        let instances = self.instances.lock();
        instances.iter().filter(|instance| *instance.callable.lock()).cloned().collect()
    }

    fn running(&self) -> Vec<Arc<CellInstance>> {
        let instances = self.instances.lock();
        instances.iter().filter(|instance| instance.served.lock().is_some()).cloned().collect()
    }

    /// Time since the start of the cell.
    pub fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Number that no other call of this cell has.
    pub fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }

    fn all_ready(&self, count: usize) -> bool {
        let ready = |instance: &Arc<CellInstance>| {
            instance.served.lock().as_ref().is_none_or(|served| {
                let node = &served.running.node;
                node.ready()
                    && node.view.load().members.len() == count
                    && node.replicas.load().rows().len() == 7
            })
        };
        self.instances.lock().iter().all(ready)
    }

    /// Whether every running instance holds a granted share of a replica's concurrency.
    pub fn shares_granted(&self, replica: &str) -> bool {
        use yuccareel::{quota_lease, quota_message};
        let kind = quota_message::ResourceKind::ReplicaConcurrency;
        let name = yuccareel::ids::ReplicaName::from(replica);
        self.instances.lock().iter().all(|instance| {
            instance.served.lock().as_ref().is_none_or(|served| {
                let node = &served.running.node;
                let state = node.shares.lock().share_state(kind, &name, node.clock());
                matches!(state, quota_lease::ShareState::Leased { .. })
            })
        })
    }

    /// Applies records at an instance, or at another one when it refuses, until they are
    /// accepted; false after a conflict or `PATIENCE`.
    pub async fn apply(&self, place: usize, records: Vec<RoutingRecord>) -> bool {
        let documents: Vec<Value> = records.iter().map(record_reader::record_value).collect();
        let body = json!({
            "author": format!("operator-{place}"),
            "apply_id": format!("{:032x}", rand::random::<u128>()),
            "documents": [{ "file": "cell", "document": documents }],
        });
        let limit = Instant::now() + PATIENCE;
        let mut place = place;
        while Instant::now() < limit {
            let running = self.running();
            let address = running[place % running.len()].address;
            match self.try_apply(address, &body).await {
                Some(200) => return true,
                Some(409) => return false,
                Some(status @ (400 | 401 | 422)) => panic!("records are refused: {status}"),
                _ => place += 1,
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    async fn try_apply(&self, address: SocketAddr, body: &Value) -> Option<u16> {
        let request = self.http.post(format!("http://{address}/admin/v1/apply"));
        let request = request.bearer_auth(OPERATOR).timeout(Duration::from_secs(12));
        let reply = request.json(body).send().await.ok()?;
        let status = reply.status().as_u16();
        let value: Value = reply.json().await.ok()?;
        if status == 200 {
            let sequence = value["sequence"].as_u64().unwrap_or_default();
            let at = self.now();
            self.seen.lock().accepted.push((sequence, at));
        }
        Some(status)
    }

    fn settings(&self, name: &str, data_centre: &str) -> settings::Settings {
        let settings = instance::settings(&self.platform, name, data_centre);
        settings::Settings {
            rating_url: Some(format!("http://{}", self.rating_address)),
            operator_token_sha256: token_index::token_digest(OPERATOR),
            limits: settings::RequestLimits {
                body_bytes: 64 << 10,
                // A shutdown waits as long for the requests in flight.
                request_timeout: STOP_TIME,
                shutdown_timeout: STOP_TIME,
                ..settings.limits
            },
            log_level: slog::Level::Critical,
            ..settings
        }
    }

    /// Silences every open connection to the platform, to engines and between instances.
    pub fn silence_connections(&self) {
        self.platform.silence_connections();
        self.peer_links.lock().iter().for_each(link::LinkStandin::silence_open);
    }

    /// Ends all instances at once.
    pub fn end(&self) {
        for instance in self.instances.lock().iter() {
            if let Some(served) = instance.served.lock().take() {
                served.kill();
            }
        }
    }
}

fn engine_options(name: &str, version: &str) -> engine::EngineOptions {
    engine::EngineOptions {
        name: name.to_owned(),
        model: "small".to_owned(),
        version: version.to_owned(),
        skill: 2.0,
        token_time: Duration::from_millis(10),
        answer_tokens: 8,
        cold_concurrency: 2,
        warm_concurrency: 48,
        warm_after: 12,
    }
}

fn first_records() -> Vec<RoutingRecord> {
    let mut records = vec![model_record(&[]), data_centre_record("dc-a", true)];
    records.push(data_centre_record("dc-b", true));
    records.push(customer_record(ACME, &["v1", "v2"], 1));
    records.push(customer_record(BETA, &["v1"], 1));
    records.push(RoutingRecord::Service(service::ServiceRecord {
        name: "hire-desk".into(),
        path_prefix: "/hire".into(),
        routes: vec![service::ServiceRoute {
            method: "POST".into(),
            path: "/bookings".into(),
            repeatable: false,
        }],
        timeout_ms: 1_000,
    }));
    records
}

/// Model with some versions withdrawn.
pub fn model_record(withdrawn: &[&str]) -> RoutingRecord {
    let version = |name: &str| model::ModelVersion {
        name: name.into(),
        state: if withdrawn.contains(&name) {
            model::VersionState::Withdrawn
        } else {
            model::VersionState::Active
        },
    };
    RoutingRecord::Model(model::ModelRecord {
        name: "small".into(),
        versions: ["v1", "v2", "v3"].map(version).to_vec(),
        default_version: "v1".into(),
        input_cost_per_1k: 100,
        output_cost_per_1k: 1_000,
        prior_quality: 0.7,
        cold_concurrency: 2,
        warm_concurrency: 48,
    })
}

/// Customer with the versions that it allows.
pub fn customer_record(name: &str, versions: &[&str], weight: u32) -> RoutingRecord {
    RoutingRecord::Customer(customer::CustomerRecord {
        name: name.into(),
        token_sha256: vec![token_index::token_digest_hex(name)],
        allowed: vec![customer::AllowedModel {
            model: "small".into(),
            versions: Some(versions.iter().map(|name| (*name).into()).collect()),
        }],
        quality_target: 0.9,
        cascade: None,
        weight,
        limits: customer::CustomerLimits {
            requests_per_s: 10_000.0,
            concurrency: 1_000,
            spend_per_day: 1_000_000_000_000,
        },
    })
}

/// Data centre that is active or drained.
pub fn data_centre_record(name: &str, active: bool) -> RoutingRecord {
    let state = if active {
        data_centre::DataCentreState::Active
    } else {
        data_centre::DataCentreState::Drained
    };
    RoutingRecord::DataCentre(data_centre::DataCentreRecord {
        name: name.into(),
        region: "midlands".to_owned(),
        state,
        distance_us: Default::default(),
    })
}

/// Rollout from `v1` to `v2`.
pub fn rollout_record() -> RoutingRecord {
    RoutingRecord::Rollout(rollout::RolloutRecord {
        name: "to-v2".into(),
        model: "small".into(),
        from: "v1".into(),
        to: "v2".into(),
        stages: vec![0.5, 1.0],
        stage_dwell_s: 1,
        stage_min_requests: 5,
        max_error_rise: 0.1,
        max_quality_fall: 0.5,
        paused: false,
        replicas: Vec::new(),
    })
}
