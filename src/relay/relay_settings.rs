//! Settings of a relay instance, checked once by whoever reads them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ids;

/// Addresses on which an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Calls.
    pub calls: SocketAddr,
    /// Readiness.
    pub readiness: SocketAddr,
    /// Directory.
    pub directory: SocketAddr,
    /// Connections of peers that cannot reach the store themselves.
    pub tunnel: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// Bounds that all instances keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Repeated sends for each call of a service.
    pub retry_ratio: f64,
    /// Repeated sends beyond the ratio.
    pub retry_slack: f64,
    /// Window of both.
    pub retry_window: Duration,
    /// Factor on the rate that a cold replica bears.
    pub cold_factor: f64,
    /// Calls a second beyond the factor.
    pub cold_slack: f64,
    /// Time after which the platform kills a process that was asked to stop.
    pub stop_grace: Duration,
    /// Longest time for which callers keep an answer of the directory.
    pub max_directory_ttl: Duration,
    /// Time for which a leaving replica still takes calls after its entry says so.
    pub replica_drain_grace: Duration,
}

/// Settings of a relay instance.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Name, unique among the instances.
    pub name: ids::InstanceName,
    /// Data centre.
    pub data_centre: ids::DataCentreName,
    /// Region of each data centre.
    pub regions: HashMap<ids::DataCentreName, Arc<str>>,
    /// Addresses.
    pub listen: ListenAddresses,
    /// Tunnels of some peers, for an instance that starts while the store refuses it.
    pub seed_tunnels: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Bounds.
    pub bounds: FleetBounds,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Sockets that may be open at once.
    pub max_sockets: usize,
}

impl RelaySettings {
    /// Region of this instance.
    pub fn region(&self) -> Option<&Arc<str>> {
        self.regions.get(&self.data_centre)
    }
}
