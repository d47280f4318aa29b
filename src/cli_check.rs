//! Reports on records that are checked before they are sent.

use std::sync::Arc;

use crate::admin_types::ListReply;
use crate::check_report::CheckReport;
use crate::config_snapshot::ConfigSnapshot;
use crate::record_finding::{self, RecordFinding};
use crate::record_reader::{LocatedRecord, RecordBatch};
use crate::{record_check, record_difference, record_notes};

/// Report on files that hold a whole configuration, compared with a saved one if there is any.
pub fn check_whole(batch: &RecordBatch, saved: Option<(&str, &RecordBatch)>) -> CheckReport {
    let findings = record_check::check_batch(batch);
    let notes = notes(&ConfigSnapshot::default(), &findings, batch);
    let mut report = CheckReport { findings, notes, differences: None };
    if let Some((file, saved)) = saved {
        // Faults across the saved records are those of an earlier check.
        report.findings.extend(saved.findings.iter().cloned());
        let base = snapshot(&saved.records);
        let found = record_difference::differences(&base, &batch.records, Some(file));
        // Unreadable records on either side would show as added or removed.
        report.differences =
            (batch.findings.is_empty() && saved.findings.is_empty()).then_some(found);
    }
    report
}

/// Report on files on top of the records in effect, of which the server has judged the faults.
pub fn check_onto(
    mut findings: Vec<RecordFinding>,
    batch: &RecordBatch,
    in_effect: &ListReply,
) -> CheckReport {
    let mut base = RecordBatch::default();
    let file: Arc<str> = Arc::from(record_finding::IN_EFFECT);
    for (index, value) in in_effect.records.iter().enumerate() {
        base.read_value(&file, index, value);
    }
    findings.extend(base.findings.iter().cloned());
    let base = snapshot(&base.records);
    let notes = notes(&base, &findings, batch);
    let differences = Some(record_difference::differences(&base, &batch.records, None));
    CheckReport { findings, notes, differences }
}

fn notes(
    base: &ConfigSnapshot,
    findings: &[RecordFinding],
    batch: &RecordBatch,
) -> Vec<RecordFinding> {
    if !findings.is_empty() {
        return Vec::new();
    }
    let (after, _) = record_check::check_change(base, &batch.records, &[]);
    record_notes::notes(&after, &batch.records)
}

fn snapshot(records: &[LocatedRecord]) -> ConfigSnapshot {
    ConfigSnapshot::from_records(0, records.iter().map(|located| located.record.clone()))
}
