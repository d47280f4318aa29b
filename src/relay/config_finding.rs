//! Finding on a configuration, with the entry and the field that it concerns.

use crate::record_finding::RecordFault;

/// Entry of a configuration, by its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigEntry {
    Route(usize),
    Service(usize),
    Customer(usize),
    Limits,
}

/// Field of an entry. Lists carry the position within.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigField {
    /// The entry as a whole.
    Entry,
    Name,
    Host,
    PathPrefix,
    Timeout,
    LatencyObjective,
    MaxAttempts,
    Resumable,
    EventGap,
    HomeRegion(usize),
    /// All services of a route.
    Services,
    Service(usize),
    ServiceWeight(usize),
    Model(usize),
    /// All keys of a customer.
    Keys,
    Key(usize),
    MaxHeadBytes,
    MaxBodyBytes,
    HeadTimeout,
    IdleTimeout,
}

/// Whether a finding makes calls fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingLevel {
    /// Calls are refused or fail, or an entry is replaced by another one.
    Fault,
    /// Calls are served, but an entry has no effect or limits contradict each other.
    Note,
}

/// Finding on a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFinding {
    pub entry: ConfigEntry,
    pub field: ConfigField,
    pub level: FindingLevel,
    pub fault: RecordFault,
    /// What was found and why it matters; without keys of customers.
    pub message: String,
}
