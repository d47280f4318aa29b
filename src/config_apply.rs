//! An operator's change and the outcome of committing it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config_change::ConfigChange;
use crate::config_keys::ValueError;
use crate::error_body::RequestRefusal;
use crate::record_finding::RecordFinding;
use crate::record_reader::LocatedRecord;
use crate::{ids, kv_store};

/// Change that an operator asks for.
#[derive(Clone, Debug)]
pub struct ConfigApply {
    /// Identifier that the writer chose at random.
    pub apply_id: ids::ApplyId,
    /// Operator.
    pub author: String,
    /// Wall clock in milliseconds since 1970.
    pub written_at_ms: u64,
    /// Records to add or replace.
    pub puts: Vec<LocatedRecord>,
    /// Kind and name of records to remove.
    pub removals: Vec<(String, Arc<str>)>,
    /// Sequence number that the operator has seen; a later change to one of the
    /// same records is a conflict.
    pub expected_sequence: Option<ids::ConfigSequence>,
}

/// Change that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// The change is committed.
    Committed(Arc<ConfigChange>),
    /// The configuration at this sequence number already says the same.
    Unchanged(ids::ConfigSequence),
}

impl ApplyOutcome {
    /// Sequence number at which the records are in effect.
    pub fn sequence(&self) -> ids::ConfigSequence {
        match self {
            Self::Committed(change) => change.sequence,
            Self::Unchanged(sequence) => *sequence,
        }
    }
}

/// Change of another operator that came first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyConflict {
    /// Operator who won.
    pub author: String,
    /// Identifier of the winning apply call.
    pub apply_id: ids::ApplyId,
    /// Sequence number of the winning change.
    pub sequence: ids::ConfigSequence,
    /// Kind and name of the records that both change.
    pub names: Vec<(String, Arc<str>)>,
}

/// Reason why a change was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// Records are faulty; nothing was written.
    #[error("{} findings", .0.len())]
    Findings(Vec<RecordFinding>),
    /// Another operator changed the same records; nothing was written.
    #[error(
        "{} changed the same records in apply {} at sequence {}",
        .0.author, .0.apply_id, .0.sequence
    )]
    Conflict(ApplyConflict),
    /// Other writers won every attempt; nothing was written.
    #[error("gave up after {0} attempts because of other changes")]
    Contended(u32),
    /// The expected sequence is older than the retained history, or not yet reached.
    #[error("expected sequence {expected} cannot be compared with sequence {head}")]
    ExpectedUnknown {
        /// Sequence that the operator expects.
        expected: ids::ConfigSequence,
        /// Newest sequence.
        head: ids::ConfigSequence,
    },
    /// The change is larger than one transaction may be.
    #[error("{what} {found} is over the limit of {limit}; apply fewer records at once")]
    TooLarge {
        /// What is too large.
        what: &'static str,
        /// Size found.
        found: usize,
        /// Limit.
        limit: usize,
    },
    /// This node may not commit now; nothing was written.
    #[error(transparent)]
    Refused(RequestRefusal),
    /// Nothing was written.
    #[error("nothing was written: {0}")]
    Store(ConfigError),
    /// The answer was lost and could not be read back.
    #[error("outcome of apply {apply_id} is unknown: {cause}")]
    OutcomeUnknown {
        /// Identifier to look for in the history.
        apply_id: ids::ApplyId,
        /// Sequence number that the change has if it was written, where that is known.
        sequence: Option<ids::ConfigSequence>,
        /// Last error.
        cause: ConfigError,
    },
}

/// Error of a read of the configuration.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The key-value service failed.
    #[error(transparent)]
    Kv(#[from] kv_store::KvError),
    /// A stored value cannot be used; the configuration in effect stays.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// The store holds an older configuration than the one in effect.
    #[error("stored sequence {stored} is behind sequence {in_effect} in effect")]
    StoreBehind {
        /// Sequence in the store.
        stored: ids::ConfigSequence,
        /// Sequence in effect.
        in_effect: ids::ConfigSequence,
    },
    /// Changes kept arriving during every attempt to read a consistent snapshot.
    #[error("no consistent snapshot in {0} attempts")]
    Unsettled(u32),
    /// A history entry is missing.
    #[error("change {0} is not in the history")]
    ChangeMissing(ids::ConfigSequence),
}
