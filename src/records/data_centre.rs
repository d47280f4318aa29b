//! Data centre record.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids;

/// Data centre and its drain state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DataCentreRecord {
    /// Unique name.
    pub name: ids::DataCentreName,
    /// Region that holds it.
    pub region: String,
    /// Whether it takes new work.
    pub state: DataCentreState,
    /// Distance to other data centres, in microseconds of round trip.
    pub distance_us: BTreeMap<ids::DataCentreName, u32>,
}

/// Whether a data centre takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DataCentreState {
    /// Takes new work.
    Active,
    /// Takes no new work.
    Drained,
}
