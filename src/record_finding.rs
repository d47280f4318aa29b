//! Faults found in records, each with its place.
//!
//! Reading and checking collect all findings, so that an operator sees every
//! fault of a set of files at once.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// File name in findings on records that are already in effect.
pub const IN_EFFECT: &str = "(in effect)";

/// Fault with its file, record and field.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordFinding {
    /// File that holds the record.
    pub file: Arc<str>,
    /// Kind and name, or the position when either is missing; empty for the whole file.
    pub record: String,
    /// Path of the field within the record; empty for the whole record.
    pub field: String,
    /// Kind of fault.
    pub fault: RecordFault,
    /// What was found and what is expected.
    pub message: String,
}

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordFault {
    /// Text is neither valid TOML nor valid JSON.
    Syntax,
    /// Schema version is not supported.
    Schema,
    /// Field is not part of the schema version.
    UnknownField,
    /// Required field is absent.
    MissingField,
    /// Field has another type.
    WrongType,
    /// Value lies outside its range or set.
    OutOfRange,
    /// Name, token or path is used twice.
    Duplicate,
    /// Record or version that is referred to does not exist.
    UnknownReference,
    /// Records or fields contradict each other.
    Contradiction,
    /// Entry is never used.
    Unused,
    /// An earlier entry takes everything that this one matches.
    Shadowed,
}

impl fmt::Display for RecordFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file)?;
        for part in [&self.record, &self.field] {
            if !part.is_empty() {
                write!(formatter, ": {part}")?;
            }
        }
        write!(formatter, ": {}", self.message)
    }
}
