//! Bodies of the administration API, shared by the handler and the command-line tool.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config_apply::ApplyConflict;
use crate::record_finding::RecordFinding;
use crate::{error_body, ids};

/// Body of `apply` and `check`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// Operator; not empty.
    pub author: String,
    /// Identifier of the call; chosen by the node when absent.
    pub apply_id: Option<ids::ApplyId>,
    /// Sequence number that the operator has seen.
    pub expected_sequence: Option<ids::ConfigSequence>,
    /// Records by file.
    #[serde(default)]
    pub documents: Vec<ApplyDocument>,
    /// Kind and name of records to remove.
    #[serde(default)]
    pub removals: Vec<(String, Arc<str>)>,
}

/// Parsed file with its name, which findings repeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyDocument {
    /// File name.
    pub file: Arc<str>,
    /// Table with a list `record`, or the list itself.
    pub document: Value,
}

/// Answer to an accepted `apply`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReply {
    /// Sequence number at which the records are in effect.
    pub sequence: ids::ConfigSequence,
    /// Identifier of the call.
    pub apply_id: ids::ApplyId,
    /// Whether the configuration already said the same; nothing was written then.
    pub unchanged: bool,
}

/// Answer to `check`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReply {
    /// Sequence number against which the records were checked.
    pub sequence: ids::ConfigSequence,
    /// Everything that is wrong.
    pub findings: Vec<RecordFinding>,
}

/// Answer to `list`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListReply {
    /// Sequence number in effect on the node.
    pub sequence: ids::ConfigSequence,
    /// Records in the newest schema.
    pub records: Vec<Value>,
}

/// Answer to `history`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Changes, newest first.
    pub changes: Vec<Value>,
}

/// Answer to `status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Sequence number in effect on the node.
    pub sequence: ids::ConfigSequence,
    /// Instances that the node knows, itself included.
    pub instances: Vec<InstanceStatus>,
}

/// Configuration state of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Instance.
    pub name: ids::InstanceName,
    /// Its data centre.
    pub data_centre: ids::DataCentreName,
    /// Sequence number in effect there.
    pub sequence: ids::ConfigSequence,
    /// Age of this row in milliseconds.
    pub age_ms: u64,
}

/// Result of an audit of the bills.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditReport {
    /// Instances with bill batches.
    pub instances: u64,
    /// Bill batches read.
    pub batches: u64,
    /// Bills within them.
    pub bills: u64,
    /// Sum in microcredits.
    pub microcredits: ids::Microcredits,
    /// Gaps, overlaps and sums that do not agree.
    pub faults: Vec<String>,
}

/// Body of every refusal of the administration API.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdminFault {
    /// The error.
    pub error: error_body::ErrorDetail,
    /// Faults of the records.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<RecordFinding>,
    /// Change that came first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<ApplyConflict>,
    /// Identifier to look for in the history when the outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub apply_id: Option<ids::ApplyId>,
}
