//! Model record.

use serde::{Deserialize, Serialize};

use crate::ids;

/// Model with its versions and costs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelRecord {
    /// Unique name.
    pub name: ids::ModelName,
    /// Known versions.
    pub versions: Vec<ModelVersion>,
    /// Version for new sessions where no rollout decides.
    pub default_version: ids::VersionName,
    /// Cost of 1,000 prompt tokens in microcredits.
    pub input_cost_per_1k: ids::Microcredits,
    /// Cost of 1,000 generated tokens in microcredits.
    pub output_cost_per_1k: ids::Microcredits,
    /// Expected share of good answers before any rating, 0 to 1.
    pub prior_quality: f64,
    /// Requests that a cold replica bears at once.
    pub cold_concurrency: u32,
    /// Requests that a warm replica bears at once.
    pub warm_concurrency: u32,
}

/// Version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelVersion {
    /// Name within the model.
    pub name: ids::VersionName,
    /// Whether it takes new work.
    pub state: VersionState,
}

/// Whether a version takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Takes new work.
    Active,
    /// Takes no new work.
    Withdrawn,
}

impl ModelRecord {
    /// State of a version; none when the version is unknown.
    pub fn version_state(&self, version: &str) -> Option<VersionState> {
        self.versions.iter().find(|known| &*known.name == version).map(|known| known.state)
    }

    /// Cost of an answer in microcredits, rounded up.
    pub fn cost(&self, input_tokens: u64, output_tokens: u64) -> ids::Microcredits {
        (input_tokens * self.input_cost_per_1k + output_tokens * self.output_cost_per_1k)
            .div_ceil(1_000)
    }
}
