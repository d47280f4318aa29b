//! Keys and values of the configuration in the key-value service.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::config_change::ConfigChange;
use crate::{ids, record_reader, records};

/// Key of the head.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the records.
pub const RECORD_PREFIX: &str = "config/record/";
/// Prefix of the history.
pub const HISTORY_PREFIX: &str = "config/history/";

/// Newest change, as kept in `config/head`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Number of the newest change; 0 before the first.
    pub sequence: ids::ConfigSequence,
    /// Identifier of the apply call.
    pub apply_id: ids::ApplyId,
    /// Operator who made the change.
    pub author: String,
    /// Kind and name of each record that was written or removed.
    pub names: Vec<(String, Arc<str>)>,
}

/// Stored value that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// Record with a schema version that this version does not support.
    #[error("{key}: schema {schema} is newer than this version supports")]
    NewerSchema {
        /// Key, and the record within it.
        key: String,
        /// Schema version that was found.
        schema: u64,
    },
    /// Value that is not in the expected form.
    #[error("{key}: {message}")]
    Unreadable {
        /// Key.
        key: String,
        /// What is wrong.
        message: String,
    },
}

/// Key of a record.
pub fn record_key(kind: &str, name: &str) -> String {
    format!("{RECORD_PREFIX}{kind}/{name}")
}

/// Key of a history entry. Padded, so that keys are in the order of their numbers.
pub fn history_key(sequence: ids::ConfigSequence) -> String {
    format!("{HISTORY_PREFIX}{sequence:020}")
}

/// Value of a record.
pub fn record_bytes(record: &records::RoutingRecord) -> Bytes {
    Bytes::from(record_reader::record_value(record).to_string())
}

/// Record of a value.
///
/// # Errors
/// When the value is no record or has a newer schema.
pub fn read_record(key: &str, bytes: &[u8]) -> Result<records::RoutingRecord, ValueError> {
    record_of(key, &parse(key, bytes)?)
}

/// Value of the head.
pub fn head_bytes(head: &ConfigHead) -> Bytes {
    Bytes::from(json!(head).to_string())
}

/// Head of a value.
///
/// # Errors
/// When the value is no head.
pub fn read_head(bytes: &[u8]) -> Result<ConfigHead, ValueError> {
    serde_json::from_slice(bytes).map_err(|error| unreadable(HEAD_KEY, error))
}

/// JSON value of a change; each record carries its schema version.
pub fn change_value(change: &ConfigChange) -> Value {
    json!({
        "sequence": change.sequence,
        "apply_id": change.apply_id,
        "author": change.author,
        "written_at_ms": change.written_at_ms,
        "puts": change.puts.iter().map(record_reader::record_value).collect::<Vec<_>>(),
        "removals": change.removals,
    })
}

/// Stored form of a change, with the records not yet read.
#[derive(Deserialize)]
struct StoredChange {
    sequence: ids::ConfigSequence,
    apply_id: ids::ApplyId,
    author: String,
    written_at_ms: u64,
    puts: Vec<Value>,
    removals: Vec<(String, Arc<str>)>,
}

/// Change of a history value.
///
/// # Errors
/// When the value is no change or holds a record with a newer schema.
pub fn read_change(key: &str, bytes: &[u8]) -> Result<ConfigChange, ValueError> {
    let stored: StoredChange =
        serde_json::from_slice(bytes).map_err(|error| unreadable(key, error))?;
    let puts = stored.puts.iter().map(|value| record_of(key, value)).collect::<Result<_, _>>()?;
    Ok(ConfigChange {
        sequence: stored.sequence,
        apply_id: stored.apply_id,
        author: stored.author,
        written_at_ms: stored.written_at_ms,
        puts,
        removals: stored.removals,
    })
}

fn parse(key: &str, bytes: &[u8]) -> Result<Value, ValueError> {
    serde_json::from_slice(bytes).map_err(|error| unreadable(key, error))
}

fn record_of(key: &str, value: &Value) -> Result<records::RoutingRecord, ValueError> {
    record_reader::read_single(key, value).map_err(|batch| match batch.newer_schema {
        Some(schema) => ValueError::NewerSchema { key: key.to_owned(), schema },
        None => {
            let faults: Vec<String> = batch.findings.iter().map(ToString::to_string).collect();
            ValueError::Unreadable { key: key.to_owned(), message: faults.join("; ") }
        }
    })
}

fn unreadable(key: &str, error: impl std::fmt::Display) -> ValueError {
    ValueError::Unreadable { key: key.to_owned(), message: error.to_string() }
}
