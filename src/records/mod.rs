//! Routing records, one file per kind.
//!
//! The structs are the current form, to which `record_reader` lifts every
//! schema version that it knows.

pub mod cascade;
pub mod customer;
pub mod data_centre;
pub mod model;
pub mod rollout;
pub mod service;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Oldest schema version that is read.
pub const OLDEST_SCHEMA: u32 = 1;
/// Newest schema version that is read, and the one that is written.
pub const NEWEST_SCHEMA: u32 = 2;

/// Routing record of any kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RoutingRecord {
    /// Customer with its rights and limits.
    Customer(customer::CustomerRecord),
    /// Model with its versions and costs.
    Model(model::ModelRecord),
    /// Models from cheap to costly.
    Cascade(cascade::CascadeRecord),
    /// Staged change of version.
    Rollout(rollout::RolloutRecord),
    /// Data centre and its drain state.
    DataCentre(data_centre::DataCentreRecord),
    /// Plain service.
    Service(service::ServiceRecord),
}

impl RoutingRecord {
    /// Kind as written in records and keys.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Customer(_) => "customer",
            Self::Model(_) => "model",
            Self::Cascade(_) => "cascade",
            Self::Rollout(_) => "rollout",
            Self::DataCentre(_) => "data_centre",
            Self::Service(_) => "service",
        }
    }

    /// Name, unique within the kind.
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Customer(record) => &record.name,
            Self::Model(record) => &record.name,
            Self::Cascade(record) => &record.name,
            Self::Rollout(record) => &record.name,
            Self::DataCentre(record) => &record.name,
            Self::Service(record) => &record.name,
        }
    }
}
