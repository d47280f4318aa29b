//! Customer record.

use serde::{Deserialize, Serialize};

use crate::ids;

/// Customer with its rights and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerRecord {
    /// Unique name.
    pub name: ids::CustomerName,
    /// SHA-256 of each bearer token, in hexadecimal.
    pub token_sha256: Vec<String>,
    /// Models and versions that the customer may use.
    pub allowed: Vec<AllowedModel>,
    /// Least share of answers that must be good, 0 to 1.
    pub quality_target: f64,
    /// Cascade for requests that name it or no model.
    pub cascade: Option<ids::CascadeName>,
    /// Weight in the fair queue, from 1.
    pub weight: u32,
    /// Limits shared across instances.
    pub limits: CustomerLimits,
}

/// Permission for one model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AllowedModel {
    /// Model name.
    pub model: ids::ModelName,
    /// Allowed versions; none means all.
    pub versions: Option<Vec<ids::VersionName>>,
}

/// Limits of a customer over all instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerLimits {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Requests in flight.
    pub concurrency: u32,
    /// Spend in microcredits per day.
    pub spend_per_day: ids::Microcredits,
}

impl CustomerRecord {
    /// Whether the customer may use a version of a model.
    pub fn allows(&self, model: &str, version: &str) -> bool {
        self.allowed.iter().filter(|allowed| &*allowed.model == model).any(|allowed| match &allowed
            .versions
        {
            None => true,
            Some(versions) => versions.iter().any(|name| &**name == version),
        })
    }

    /// Whether the customer may use any version of a model.
    pub fn allows_model(&self, model: &str) -> bool {
        self.allowed.iter().any(|allowed| &*allowed.model == model)
    }
}
