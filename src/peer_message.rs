//! Requests and replies of the calls between nodes.
//!
//! Heartbeats have a binary form in `peer_wire`; all others travel as JSON.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    bill_line, claim_record, cold_start, config_change, config_snapshot, ids, instance_list,
    member_age, member_digest, member_row, quality_table, quota_message, records, rollout_evidence,
    rollout_stage, session_table,
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

/// Outstanding shares of a home that shuts down, for its successor, or the question of a new
/// home for the shares of the former one. The reply has the shares that were asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaHandover {
    /// Node that sends it: the former home of `resources`, the new one of `wanted`.
    pub home: ids::InstanceName,
    /// Shares by resource.
    pub resources: Vec<quota_message::ResourceHandover>,
    /// Resources whose shares the sender asks for.
    #[serde(default)]
    pub wanted: Vec<quota_message::ResourceKey>,
}

/// Sign of a replica's warm-up state that its home has to hear at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdReport {
    /// Replica.
    pub replica: ids::ReplicaName,
    /// What was seen.
    pub sign: cold_start::WarmupSignal,
}

/// Pin of a session that its home nodes keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinRequest {
    /// Session and model.
    pub key: session_table::SessionModel,
    /// Pin.
    pub pin: session_table::SessionPin,
}

/// Request for the right to run a call that must not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Process that would send the call.
    pub claimant: ids::InstanceName,
    /// Claim key: digest of customer, route and idempotency key.
    #[serde(with = "claim_record::base64_digest")]
    pub key: claim_record::ClaimKey,
    /// Digest of the request.
    #[serde(with = "claim_record::base64_digest")]
    pub fingerprint: claim_record::ClaimFingerprint,
    /// Request at the claimant.
    #[serde(with = "bill_line::request_hex")]
    pub request: ids::RequestId,
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The claimant sends the call, once.
    Granted,
    /// Another request under the key has not ended.
    Running,
    /// The call ran; its answer is repeated.
    Finished(claim_record::ClaimAnswer),
    /// The call may have run, and its answer will not come.
    Unknown,
    /// The key was used for another request.
    Conflict,
    /// The replier does not own the shard.
    NotOwner,
    /// The claim could not be recorded; nothing was sent.
    Unavailable(String),
}

/// Outcome of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishRequest {
    /// Claim key.
    #[serde(with = "claim_record::base64_digest")]
    pub key: claim_record::ClaimKey,
    /// Request that held the key.
    #[serde(with = "bill_line::request_hex")]
    pub request: ids::RequestId,
    /// Answer to repeat to duplicates; none when nothing was sent.
    pub answer: Option<claim_record::ClaimAnswer>,
}

/// State of all rollouts, as the holder last wrote it.
pub type RolloutStates = std::collections::BTreeMap<ids::RolloutName, rollout_stage::RolloutState>;

/// What a node learned since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearningReport {
    /// Evidence by rollout.
    pub evidence: Vec<rollout_evidence::EvidenceReport>,
    /// Counts of rated answers.
    pub counts: Vec<quality_table::CountRow>,
    /// Process whose counts the sender knows, and their revision there.
    pub known: Option<(ids::InstanceName, u64)>,
}

/// What the receiver of a report knows from all nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearningReply {
    /// States of the rollouts.
    pub states: RolloutStates,
    /// Process that replies.
    pub process: ids::InstanceName,
    /// Counts that changed there since the revision that the sender knows.
    pub counts: Vec<quality_table::CountRow>,
    /// Revision of the last of these counts.
    pub revision: u64,
}
