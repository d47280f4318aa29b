//! Differences of records in files from records in effect or in a saved file.

use std::collections::BTreeSet;

use crate::check_report::LocatedDifference;
use crate::config_snapshot::ConfigSnapshot;
use crate::record_check;
use crate::record_reader::{self, LocatedRecord};
use crate::value_difference::{self, ValueDifference};

/// Differences of records from a base. `whole_of` names the source of the base if the records are
/// a whole configuration; records that only the base has then count as removed.
pub fn differences(
    base: &ConfigSnapshot,
    records: &[LocatedRecord],
    whole_of: Option<&str>,
) -> Vec<LocatedDifference> {
    let mut found = Vec::new();
    let mut names = BTreeSet::new();
    for located in records {
        let (kind, name) = (located.record.kind(), located.record.name());
        names.insert((kind, name.clone()));
        let after = record_reader::record_value(&located.record);
        let changes = match record_check::find_record(base, kind, name) {
            Some(record) => {
                let before = record_reader::record_value(&record);
                value_difference::differences(&before, &after, &[])
            }
            None => {
                vec![ValueDifference { field: String::new(), before: None, after: Some(after) }]
            }
        };
        found.extend(changes.into_iter().map(|difference| LocatedDifference {
            file: located.file.to_string(),
            record: format!("{kind}/{name}"),
            difference,
        }));
    }
    let Some(source) = whole_of else { return found };
    for record in base.records() {
        if !names.contains(&(record.kind(), record.name().clone())) {
            let before = Some(record_reader::record_value(&record));
            found.push(LocatedDifference {
                file: source.to_owned(),
                record: format!("{}/{}", record.kind(), record.name()),
                difference: ValueDifference { field: String::new(), before, after: None },
            });
        }
    }
    found
}
