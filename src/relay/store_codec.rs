//! Keys and records of the platform's store, as a trait that an adapter implements.
//!
//! The relay works with the types of this module; the adapter maps them to the key names and
//! formats of its platform.

use std::time::Duration;

use super::relay_config::RelayConfig;
use super::replica_entry::ReplicaEntry;
use crate::ids;

/// Operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    pub service: ids::ServiceName,
    pub target: ids::VersionName,
    /// Time from the order within which the rollout must be completed.
    pub time_limit: Duration,
}

/// State of a rollout as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStatus {
    Running,
    /// Only the target version is used; replicas of other versions may stop.
    Completed,
    /// The target version is not used; its replicas may stop.
    RolledBack,
}

/// Parsed key of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreKey {
    Config,
    /// Rollout order for a service.
    Rollout(ids::ServiceName),
    Evacuation(ids::DataCentreName),
    Replica(ids::ReplicaName),
    /// Key that the router does not use.
    Other,
}

/// The value of a key cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record is unreadable: {0}")]
pub struct UnreadableRecord(pub String);

/// Maps keys and values of the platform's store to the relay's types.
pub trait StoreCodec: Send + Sync {
    /// Prefix of all keys that operators write.
    fn operator_prefix(&self) -> &str;

    /// Prefix of the entries of replicas.
    fn replica_prefix(&self) -> &str;

    fn parse_key(&self, key: &str) -> StoreKey;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// When the value is malformed or incomplete.
    fn read_config(&self, value: &[u8]) -> Result<RelayConfig, UnreadableRecord>;

    /// Decodes a rollout order.
    ///
    /// # Errors
    /// When the value is malformed or a field is missing.
    fn read_rollout(
        &self,
        service: &ids::ServiceName,
        value: &[u8],
    ) -> Result<RolloutOrder, UnreadableRecord>;

    /// Decodes the entry of a replica.
    ///
    /// # Errors
    /// When the entry does not describe a usable replica.
    fn read_replica(
        &self,
        name: &ids::ReplicaName,
        value: &[u8],
    ) -> Result<ReplicaEntry, UnreadableRecord>;

    /// Key and value that report the state of a rollout to operators.
    fn write_status(&self, order: &RolloutOrder, status: RolloutStatus) -> (String, Vec<u8>);
}
