//! One accepted change of the configuration, as kept in `config/history`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ids, records};

/// Accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Number of the change; dense, from 1.
    pub sequence: ids::ConfigSequence,
    /// Identifier by which a writer recognises its own change.
    pub apply_id: ids::ApplyId,
    /// Operator who made the change.
    pub author: String,
    /// Wall clock of the writer, in milliseconds since 1970; for people only.
    pub written_at_ms: u64,
    /// Records added or replaced.
    pub puts: Vec<records::RoutingRecord>,
    /// Kind and name of removed records.
    pub removals: Vec<(String, Arc<str>)>,
}
