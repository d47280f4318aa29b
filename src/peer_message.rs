//! Requests and replies of the calls between nodes.
//!
//! Heartbeats have a binary form in `peer_wire`; all others travel as JSON.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    config_change, config_snapshot, ids, instance_list, member_age, member_digest, member_row,
    records,
};

/// What every heartbeat and its reply say about the sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// Sequence number of the configuration in effect.
    pub sequence: ids::ConfigSequence,
    /// Age of the newest confirmation of the head.
    pub confirmation_age: Option<Duration>,
    /// Digest of the instance list in use.
    pub list_digest: u64,
    /// Age of the read of that list.
    pub list_age: Option<Duration>,
}

/// Row with the age of the sender's last exchange with its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgedRow {
    /// Row.
    pub row: member_row::MemberRow,
    /// Age of the exchange.
    pub age: member_age::MemberAge,
}

/// Heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the sender, whose row is among the rows.
    pub sender: ids::InstanceName,
    /// Status of the sender.
    pub status: NodeStatus,
    /// Own row and changed rows, at most 32 of those.
    pub rows: Vec<AgedRow>,
    /// Digests of the sender's table.
    pub digests: member_digest::TableDigest,
}

/// Reply to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// Status of the replier.
    pub status: NodeStatus,
    /// Rows that differ, own row first.
    pub rows: Vec<AgedRow>,
    /// Bit per bucket: set when the digests of both tables agree.
    pub matching: u64,
    /// For each matching bucket the number of its members and their ages, in table order.
    pub ages: Vec<u8>,
    /// Ages of the members of the other buckets, each below the first 24 bits of the
    /// hash of the name.
    pub keyed_ages: Vec<u32>,
}

/// New changes, and rows of the instance list that changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PushRequest {
    /// Changes in the order of their numbers.
    pub changes: Vec<Arc<config_change::ConfigChange>>,
    /// Added or changed instances.
    pub instances: Vec<instance_list::ListedInstance>,
    /// Instances that left the list.
    pub removed_instances: Vec<ids::InstanceName>,
}

/// Receipt of a push.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushReply {
    /// Sequence number in effect at the receiver afterwards.
    pub sequence: ids::ConfigSequence,
}

/// Request for what the caller misses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Sequence number in effect at the caller.
    pub after: ids::ConfigSequence,
    /// Whether the caller wants the whole instance list, too.
    pub with_instances: bool,
}

/// What the caller missed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchReply {
    /// Configuration after the caller's sequence number.
    pub configuration: FetchedConfig,
    /// Instance list, when the caller asked for it.
    pub instances: Option<FetchedList>,
}

/// Instance list of a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchedList {
    /// Entries.
    pub entries: Vec<instance_list::ListedInstance>,
    /// Age of the read, in milliseconds.
    pub age_ms: u64,
}

/// Part of the configuration after a sequence number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FetchedConfig {
    /// The replier knows nothing newer.
    Nothing,
    /// Changes in the order of their numbers.
    Changes(Vec<Arc<config_change::ConfigChange>>),
    /// Whole configuration; the changes are no longer kept.
    Snapshot {
        /// Sequence number of the snapshot.
        sequence: ids::ConfigSequence,
        /// All records.
        records: Vec<records::RoutingRecord>,
    },
}

impl FetchedConfig {
    /// Whole configuration of a snapshot.
    pub fn from_snapshot(snapshot: &config_snapshot::ConfigSnapshot) -> Self {
        Self::Snapshot { sequence: snapshot.sequence, records: snapshot.records() }
    }
}

/// Request for shares of the resources of one home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Node that asks.
    pub holder: ids::InstanceName,
    /// Shares wanted; a share of 0 gives the former one back.
    pub wanted: Vec<QuotaShare>,
}

/// Share of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaShare {
    /// Key of the resource.
    pub resource: Arc<str>,
    /// Amount in the unit of the resource.
    pub amount: u64,
}

/// Shares granted, each in place of the holder's former share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Shares granted; a resource of which the replier is not the home is absent.
    pub granted: Vec<QuotaShare>,
    /// Time for which the shares hold from the sending of the request, in milliseconds.
    pub lease_ms: u64,
}

/// Outstanding shares of a home that shuts down, for its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaHandover {
    /// Former home.
    pub home: ids::InstanceName,
    /// Shares by holder.
    pub shares: Vec<OutstandingShare>,
}

/// Share that a holder may still use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutstandingShare {
    /// Node that holds the share.
    pub holder: ids::InstanceName,
    /// Share.
    pub share: QuotaShare,
    /// Time left, in milliseconds.
    pub left_ms: u64,
}

/// Report of a replica that turned cold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// Replica.
    pub replica: ids::ReplicaName,
    /// Start of the engine process, when it is known.
    pub boot: Option<ids::BootId>,
}

/// Session of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionName {
    /// Customer.
    pub customer: ids::CustomerName,
    /// Key chosen by the caller.
    pub session: ids::SessionKey,
}

/// Version that a session keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionPin {
    /// Session.
    pub name: SessionName,
    /// Model.
    pub model: ids::ModelName,
    /// Version.
    pub version: ids::VersionName,
}

/// Request for the right to run a call that must not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Node that would send the call.
    pub claimant: ids::InstanceName,
    /// Claim key: customer, route and idempotency key.
    pub key: Arc<str>,
    /// Digest of the request.
    pub digest: Arc<str>,
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The claimant sends the call, once.
    Granted,
    /// Another claimant runs the call.
    Running,
    /// The call ran; its answer is repeated.
    Finished(ClaimAnswer),
    /// The claimant died in the call; the outcome is unknown.
    Unknown,
    /// The key was used for another request.
    DigestMismatch,
    /// The replier does not own the shard.
    NotOwner,
    /// The claim could not be recorded; nothing was sent.
    Unavailable,
}

/// Outcome of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishRequest {
    /// Node that sent the call.
    pub claimant: ids::InstanceName,
    /// Claim key.
    pub key: Arc<str>,
    /// Answer to repeat to duplicates; `None` when the outcome is unknown.
    pub answer: Option<ClaimAnswer>,
}

/// Answer of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// Body.
    #[serde(with = "base64_body")]
    pub body: Bytes,
}

/// Bills that a peer keeps until their instance has flushed them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BillCopies {
    /// Instance that numbered the bills.
    pub instance: ids::InstanceName,
    /// Bills.
    pub bills: Vec<BillCopy>,
}

/// Bill in the form of its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BillCopy {
    /// Number of the bill.
    pub number: u64,
    /// Bill as JSON.
    pub bill: serde_json::Value,
}

/// Notice that bills are in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillsFlushed {
    /// Instance that numbered the bills.
    pub instance: ids::InstanceName,
    /// Highest number that was flushed with all numbers below it.
    pub through: u64,
}

/// Evidence of one or more nodes since their last message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Node that sends the report.
    pub sender: ids::InstanceName,
    /// Number of the report from this sender, by which repeats are dropped.
    pub number: u64,
    /// Counters by rollout and version.
    pub versions: Vec<VersionEvidence>,
}

/// Counters of one version within a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// Rollout.
    pub rollout: ids::RolloutName,
    /// Version.
    pub version: ids::VersionName,
    /// Requests.
    pub requests: u64,
    /// Requests that failed.
    pub errors: u64,
    /// Answers that were rated.
    pub rated: u64,
    /// Sum of the ratings, each 0 to 1.
    pub rating_sum: f64,
    /// Answers slower than the limit.
    pub slow: u64,
    /// Whether the sender stopped the version after consecutive errors.
    pub stopped: bool,
}

/// Bodies as base64, since JSON holds no bytes.
mod base64_body {
    use base64::Engine as _;
    use base64::engine::general_purpose::STANDARD;
    use bytes::Bytes;
    use serde::{Deserialize as _, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(body))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        STANDARD.decode(text.as_bytes()).map(Bytes::from).map_err(serde::de::Error::custom)
    }
}
