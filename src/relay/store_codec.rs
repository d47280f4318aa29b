//! Trait towards the records of the platform's store, which an adapter implements.

use std::time::Duration;

use super::relay_config::RelayConfig;
use super::replica_entry::ReplicaEntry;
use crate::ids;

/// Order of an operator to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service.
    pub service: ids::ServiceName,
    /// Version.
    pub target: ids::VersionName,
    /// Time within which the move is to be done.
    pub duration: Duration,
}

/// State of a rollout that operators read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStatus {
    /// Under way.
    Running,
    /// Only the target is used; the other replicas may stop.
    Completed,
    /// The target is not used; its replicas may stop.
    RolledBack,
}

/// What a key of the store names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreKey {
    /// Configuration.
    Config,
    /// Rollout of a service.
    Rollout(ids::ServiceName),
    /// Evacuation of a data centre.
    Evacuation(ids::DataCentreName),
    /// Replica.
    Replica(ids::ReplicaName),
    /// Nothing that the router reads.
    Other,
}

/// Value of the store cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record is unreadable: {0}")]
pub struct UnreadableRecord(pub String);

/// Reads and writes the platform's records.
pub trait StoreCodec: Send + Sync {
    /// Prefix of what operators write.
    fn operator_prefix(&self) -> &str;

    /// Prefix of the list of replicas.
    fn replica_prefix(&self) -> &str;

    /// What a key names.
    fn parse_key(&self, key: &str) -> StoreKey;

    /// Reads a configuration.
    ///
    /// # Errors
    /// When it is not a whole configuration.
    fn read_config(&self, value: &[u8]) -> Result<RelayConfig, UnreadableRecord>;

    /// Reads a rollout order.
    ///
    /// # Errors
    /// When a field is missing.
    fn read_rollout(
        &self,
        service: &ids::ServiceName,
        value: &[u8],
    ) -> Result<RolloutOrder, UnreadableRecord>;

    /// Reads the entry of a replica.
    ///
    /// # Errors
    /// When the entry names no replica that can be used.
    fn read_replica(
        &self,
        name: &ids::ReplicaName,
        value: &[u8],
    ) -> Result<ReplicaEntry, UnreadableRecord>;

    /// Key and value that tell operators the state of a rollout.
    fn write_status(&self, order: &RolloutOrder, status: RolloutStatus) -> (String, Vec<u8>);
}
