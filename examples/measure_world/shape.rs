//! Shapes of the deployments in section 1.3 of the design page, and their records.

use std::collections::BTreeMap;
use std::time::Duration;

use yuccareel::records::{self, RoutingRecord};
use yuccareel::standins::engine;
use yuccareel::token_index;

/// Versions of the cheap model: in use, a good successor, a bad one.
pub const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// Name of the cascade of all customers.
pub const CASCADE: &str = "standard";
/// Requests that a cold replica bears at once.
pub const COLD: u32 = 2;
/// Customers with their share of the requests in percent.
pub const CUSTOMERS: [(&str, u32); 10] = [
    ("c0", 34),
    ("c1", 22),
    ("c2", 14),
    ("c3", 8),
    ("c4", 6),
    ("c5", 5),
    ("c6", 4),
    ("c7", 3),
    ("c8", 2),
    ("c9", 2),
];
/// Customer that may use only the first version of the cheap model.
pub const RESTRICTED: &str = "c3";
/// Share of good answers that customers ask for.
pub const QUALITY_TARGET: f64 = 0.9;

/// Model of the deployment.
#[derive(Clone, Copy)]
pub struct ModelShape {
    pub name: &'static str,
    /// Share of prompts that it answers well.
    pub skill: f64,
    pub input_cost: u64,
    pub output_cost: u64,
    pub token_time: Duration,
    /// Replicas by version.
    pub replicas: &'static [(&'static str, usize)],
}

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Short question, answered whole.
    Short,
    /// Summary of medium length, streamed.
    Summary,
    /// Report over a whole dossier, streamed.
    Dossier,
    /// Call that may be repeated.
    Check,
    /// Call that must not be repeated.
    Booking,
}

/// Deployment.
#[derive(Clone, Copy)]
pub struct DeploymentShape {
    pub name: &'static str,
    /// Limit of each customer in requests per second.
    pub customer_rate: f64,
    pub region: &'static str,
    pub data_centres: &'static [&'static str],
    /// Round trip from a caller to its nearest data centre.
    pub caller_trip: Duration,
    /// Round trip between two data centres.
    pub data_centre_trip: Duration,
    pub models: &'static [ModelShape],
    pub service: &'static str,
    pub service_replicas: usize,
    /// Requests that a warm replica bears at once.
    pub warm: u32,
    /// Kinds with their share of the requests in percent.
    pub kinds: &'static [(RequestKind, u32)],
    /// Whether reports are drafted overnight, when nobody waits for them.
    pub overnight_reports: bool,
}

/// Model with its costs and the time of a token in milliseconds.
pub const fn model(
    name: &'static str,
    skill: f64,
    costs: (u64, u64),
    token_ms: u64,
    replicas: &'static [(&'static str, usize)],
) -> ModelShape {
    let token_time = Duration::from_millis(token_ms);
    ModelShape { name, skill, input_cost: costs.0, output_cost: costs.1, token_time, replicas }
}

/// Lanka Cold Craft Authority.
pub const AUTHORITY: DeploymentShape = DeploymentShape {
    name: "authority",
    customer_rate: 10_000.0,
    region: "lk-west",
    data_centres: &["colombo-a", "colombo-b", "gampaha-c"],
    caller_trip: Duration::from_micros(800),
    data_centre_trip: Duration::from_micros(1_000),
    models: &[
        model("small", 0.75, (100, 1_000), 6, &[("v1", 2), ("v2", 2), ("v3", 2)]),
        model("medium", 0.92, (400, 4_000), 8, &[("v1", 3)]),
        model("large", 0.985, (1_200, 12_000), 10, &[("v1", 3)]),
    ],
    service: "registry",
    service_replicas: 3,
    warm: 16,
    kinds: &[
        (RequestKind::Short, 45),
        (RequestKind::Summary, 25),
        (RequestKind::Dossier, 12),
        (RequestKind::Check, 8),
        (RequestKind::Booking, 10),
    ],
    overnight_reports: false,
};

/// Rungwell Orchard Ladders Ltd.
pub const RUNGWELL: DeploymentShape = DeploymentShape {
    name: "rungwell",
    customer_rate: 10_000.0,
    region: "midlands",
    data_centres: &["evesham", "pershore", "ledbury", "tenbury"],
    caller_trip: Duration::from_micros(1_600),
    data_centre_trip: Duration::from_micros(300),
    models: &[
        model("small", 0.75, (100, 1_000), 6, &[("v1", 3), ("v2", 3), ("v3", 3)]),
        model("medium", 0.92, (400, 4_000), 8, &[("v1", 5)]),
        model("large", 0.985, (1_200, 12_000), 10, &[("v1", 4)]),
    ],
    service: "hire-desk",
    service_replicas: 4,
    warm: 16,
    kinds: &[
        (RequestKind::Short, 35),
        (RequestKind::Summary, 20),
        (RequestKind::Dossier, 5),
        (RequestKind::Check, 20),
        (RequestKind::Booking, 20),
    ],
    overnight_reports: true,
};

impl RequestKind {
    /// Words of the prompt.
    pub fn prompt_words(self) -> usize {
        match self {
            Self::Short => 30,
            Self::Summary => 400,
            Self::Dossier => 3_000,
            Self::Check | Self::Booking => 0,
        }
    }

    /// Tokens of the answer.
    pub fn answer_tokens(self) -> u64 {
        match self {
            Self::Short => 12,
            Self::Summary => 24,
            Self::Dossier => 48,
            Self::Check | Self::Booking => 0,
        }
    }

    /// Whether the caller wants a stream.
    pub fn streamed(self) -> bool {
        matches!(self, Self::Summary | Self::Dossier)
    }

    /// Whether a model answers.
    pub fn is_chat(self) -> bool {
        !matches!(self, Self::Check | Self::Booking)
    }

    /// Name for reports and for the kind header.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Summary => "summary",
            Self::Dossier => "dossier",
            Self::Check => "check",
            Self::Booking => "booking",
        }
    }
}

impl DeploymentShape {
    /// One data centre with one model and no distances.
    pub const fn local(name: &'static str, models: &'static [ModelShape], warm: u32) -> Self {
        Self {
            name,
            // One customer makes all calls; at 10,000 a second its limit would be measured.
            customer_rate: 1_000_000.0,
            region: "local",
            data_centres: &["dc-a"],
            caller_trip: Duration::ZERO,
            data_centre_trip: Duration::ZERO,
            models,
            service: "registry",
            service_replicas: 1,
            warm,
            kinds: &[],
            overnight_reports: false,
        }
    }

    /// Deployment by name.
    pub fn find(name: &str) -> Option<Self> {
        [AUTHORITY, RUNGWELL].into_iter().find(|shape| shape.name == name)
    }

    /// Round trip from a caller at a data centre to a server.
    pub fn trip(&self, from: &str, to: &str) -> Duration {
        let between = if from == to { Duration::ZERO } else { self.data_centre_trip };
        self.caller_trip + between
    }

    /// Engines with their data centres.
    pub fn engines(&self) -> Vec<(&'static str, engine::EngineOptions)> {
        let replicas = self.models.iter().flat_map(|model| {
            let versions = model.replicas.iter();
            versions
                .flat_map(move |(version, count)| (0..*count).map(move |at| (model, *version, at)))
        });
        let placed = replicas.enumerate().map(|(place, (model, version, at))| {
            let options = engine::EngineOptions {
                name: format!("{}-{version}-{at}", model.name),
                model: model.name.to_owned(),
                version: version.to_owned(),
                skill: model.skill,
                token_time: model.token_time,
                answer_tokens: 16,
                cold_concurrency: COLD,
                warm_concurrency: self.warm,
                warm_after: 8,
            };
            (self.data_centres[place % self.data_centres.len()], options)
        });
        placed.collect()
    }

    /// Record of a model with its versions.
    pub fn model_record(
        &self,
        name: &str,
        default_version: &str,
        withdrawn: &[&str],
    ) -> RoutingRecord {
        let model = self.models.iter().find(|model| model.name == name).expect("known model");
        let versions = model.replicas.iter().map(|(version, _)| records::model::ModelVersion {
            name: (*version).into(),
            state: match withdrawn.contains(version) {
                true => records::model::VersionState::Withdrawn,
                false => records::model::VersionState::Active,
            },
        });
        RoutingRecord::Model(records::model::ModelRecord {
            name: name.into(),
            versions: versions.collect(),
            default_version: default_version.into(),
            input_cost_per_1k: model.input_cost,
            output_cost_per_1k: model.output_cost,
            prior_quality: model.skill,
            cold_concurrency: COLD,
            warm_concurrency: self.warm,
        })
    }

    /// Record of a data centre.
    pub fn data_centre_record(&self, name: &str, drained: bool) -> RoutingRecord {
        let others = self.data_centres.iter().filter(|other| **other != name);
        let distance = self.data_centre_trip.as_micros() as u32;
        let distances: BTreeMap<_, _> = others.map(|other| ((*other).into(), distance)).collect();
        RoutingRecord::DataCentre(records::data_centre::DataCentreRecord {
            name: name.into(),
            region: self.region.into(),
            state: match drained {
                true => records::data_centre::DataCentreState::Drained,
                false => records::data_centre::DataCentreState::Active,
            },
            distance_us: distances,
        })
    }

    /// All records at the start.
    pub fn records(&self) -> Vec<RoutingRecord> {
        let mut all: Vec<_> =
            self.models.iter().map(|model| self.model_record(model.name, "v1", &[])).collect();
        all.extend(self.data_centres.iter().map(|name| self.data_centre_record(name, false)));
        all.extend(CUSTOMERS.iter().map(|(name, share)| self.customer_record(name, *share)));
        let steps =
            self.models.iter().map(|model| records::cascade::CascadeStep::Model(model.name.into()));
        all.push(RoutingRecord::Cascade(records::cascade::CascadeRecord {
            name: CASCADE.into(),
            steps: steps.collect(),
        }));
        all.push(RoutingRecord::Service(records::service::ServiceRecord {
            name: self.service.into(),
            path_prefix: format!("/{}", self.service),
            routes: vec![records::service::ServiceRoute {
                method: "POST".into(),
                path: "/bookings".into(),
                repeatable: false,
            }],
            timeout_ms: 2_000,
        }));
        all
    }

    fn customer_record(&self, name: &str, share: u32) -> RoutingRecord {
        let allowed = self.models.iter().map(|model| records::customer::AllowedModel {
            model: model.name.into(),
            versions: (name == RESTRICTED).then(|| vec!["v1".into()]),
        });
        RoutingRecord::Customer(records::customer::CustomerRecord {
            name: name.into(),
            token_sha256: vec![token_index::token_digest_hex(&token(name))],
            allowed: allowed.collect(),
            quality_target: QUALITY_TARGET,
            cascade: Some(CASCADE.into()),
            weight: share,
            limits: records::customer::CustomerLimits {
                requests_per_s: self.customer_rate,
                concurrency: 10_000,
                spend_per_day: 1_000_000_000_000,
            },
        })
    }
}

/// Bearer token of a customer.
pub fn token(customer: &str) -> String {
    format!("token-of-{customer}")
}
