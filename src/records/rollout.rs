//! Rollout record.

use serde::{Deserialize, Serialize};

use crate::ids;

/// Staged change from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Unique name.
    pub name: ids::RolloutName,
    /// Model that changes version.
    pub model: ids::ModelName,
    /// Version that is replaced.
    pub from: ids::VersionName,
    /// Version that replaces it.
    pub to: ids::VersionName,
    /// Shares of new sessions, each 0 to 1, increasing.
    pub stages: Vec<f64>,
    /// Least time in a stage, in seconds.
    pub stage_dwell_s: u64,
    /// Least number of requests on the new version in a stage.
    pub stage_min_requests: u64,
    /// Tolerated rise of the error rate, 0 to 1.
    pub max_error_rise: f64,
    /// Tolerated fall of the share of good answers, 0 to 1.
    pub max_quality_fall: f64,
    /// Whether operators hold it at its stage.
    pub paused: bool,
    /// Engines that are to load the new version, in the order in which they do.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub replicas: Vec<ids::ReplicaName>,
}
