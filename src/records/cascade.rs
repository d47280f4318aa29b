//! Cascade record.

use serde::{Deserialize, Serialize};

use crate::ids;

/// Models from cheap to costly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CascadeRecord {
    /// Unique name.
    pub name: ids::CascadeName,
    /// Steps in order of cost.
    pub steps: Vec<CascadeStep>,
}

/// Step of a cascade.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CascadeStep {
    /// One model.
    Model(ids::ModelName),
    /// All steps of another cascade.
    Cascade(ids::CascadeName),
}
