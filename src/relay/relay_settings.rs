//! Settings of a relay instance. The adapter that reads them checks them, so they are valid here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ids;

/// Addresses on which an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    pub calls: SocketAddr,
    /// May equal `directory`.
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    /// For connections of peers that cannot reach the store themselves.
    pub tunnel: SocketAddr,
    /// For instances of the data centre that take the store's changes from this one.
    pub feed: SocketAddr,
    pub metrics: SocketAddr,
}

/// Bounds set by the platform. The ones on retries and cold replicas hold for the sum over all
/// instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Repeated attempts allowed for each call of a service.
    pub retry_ratio: f64,
    /// Repeated attempts allowed beyond the ratio, per window.
    pub retry_slack: f64,
    /// Window over which calls and repeated attempts are counted.
    pub retry_window: Duration,
    /// A cold replica may get its stated rate times this factor, plus `cold_slack`.
    pub cold_factor: f64,
    /// Calls per second.
    pub cold_slack: f64,
    /// Time after which the platform kills a process that it told to stop.
    pub stop_grace: Duration,
    /// Longest time for which callers may cache a response of the directory.
    pub max_directory_ttl: Duration,
    /// Time for which a replica still accepts calls after its entry was marked as leaving.
    pub replica_drain_grace: Duration,
    /// Shortest time from the end of a replica to the use of its address by another one.
    pub address_reuse_delay: Duration,
    /// Time within which a configuration must be in effect.
    pub config_apply: Duration,
}

/// Settings of a relay instance.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Unique among the instances.
    pub name: ids::InstanceName,
    pub data_centre: ids::DataCentreName,
    /// Region of each data centre.
    pub regions: HashMap<ids::DataCentreName, Arc<str>>,
    pub listen: ListenAddresses,
    /// Tunnel addresses of some peers. They lead to the store if it refuses direct connections when
    /// the instance starts.
    pub seed_tunnels: Vec<SocketAddr>,
    pub store: SocketAddr,
    pub bounds: FleetBounds,
    /// Whether all instances start for the first time, before any caller.
    pub is_first_start: bool,
    /// Speed of the machine's link in Mbit/s.
    pub link_mbps: u32,
    /// Memory limit of the process.
    pub memory_bytes: u64,
    /// Limit on sockets open at the same time.
    pub max_sockets: usize,
    /// Whether replicas are chosen and calls refused by the time that calls would take, and not by free
    /// slots. Services whose replicas state how long work takes are always served so.
    pub plans_by_time: bool,
}

impl RelaySettings {
    /// Region of this instance's data centre; `None` if the platform lists none.
    pub fn region(&self) -> Option<&Arc<str>> {
        self.regions.get(&self.data_centre)
    }
}
