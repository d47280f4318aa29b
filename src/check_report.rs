//! Report of a check: faults, notes and differences.

use serde::{Deserialize, Serialize};

use crate::record_finding::RecordFinding;
use crate::value_difference::ValueDifference;

/// Result of a check before a configuration is sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CheckReport {
    /// Faults for which a configuration is refused or calls fail.
    pub findings: Vec<RecordFinding>,
    /// Entries without effect and limits that contradict each other, in a usable configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<RecordFinding>,
    /// Differences from another configuration; absent if there was none to compare with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub differences: Option<Vec<LocatedDifference>>,
}

/// Difference with the file and the record that it concerns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LocatedDifference {
    /// File of the record, or the source of the base if only that has the record.
    pub file: String,
    /// Kind and name; empty for a document without records.
    pub record: String,
    /// Field with both values.
    #[serde(flatten)]
    pub difference: ValueDifference,
}

impl CheckReport {
    /// Lines of text: faults and their number, notes, then differences.
    pub fn text(&self) -> String {
        let mut lines: String =
            self.findings.iter().map(|finding| format!("{finding}\n")).collect();
        lines.push_str(&match self.findings.len() {
            0 => "no findings\n".to_owned(),
            1 => "1 finding\n".to_owned(),
            count => format!("{count} findings\n"),
        });
        for note in &self.notes {
            lines.push_str(&format!("note: {note}\n"));
        }
        if let Some(differences) = &self.differences {
            for located in differences {
                lines.push_str(&format!("difference: {}: ", located.file));
                if !located.record.is_empty() {
                    lines.push_str(&format!("{}: ", located.record));
                }
                lines.push_str(&format!("{}\n", located.difference));
            }
            if differences.is_empty() {
                lines.push_str("no differences\n");
            }
        }
        lines
    }
}
