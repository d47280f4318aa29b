//! Entry of a replica in the platform's store, written by the replica itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ids;

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EntryState {
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// Entry of one replica, as decoded by the platform's adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaEntry {
    pub name: ids::ReplicaName,
    pub service: ids::ServiceName,
    pub address: SocketAddr,
    pub data_centre: ids::DataCentreName,
    /// Version of the service software.
    pub version: ids::VersionName,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    pub state: EntryState,
    /// Time for which it stays cold, counted from when it wrote the entry.
    pub cold_left: Duration,
    /// Number that increases with each write of the entry by the replica.
    pub sequence: u64,
    /// Start time of the process in milliseconds since the Unix epoch; `None` if not stated.
    pub started_unix_ms: Option<u64>,
    /// Models that it can run; empty if the replica lists none, which allows every model.
    pub models: Vec<Arc<str>>,
}
