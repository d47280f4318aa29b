//! Records that several test files share.
#![allow(dead_code)]

use yuccareel::record_reader::{LocatedRecord, RecordBatch};

/// Records without faults, of every kind.
pub const GOOD: &str = include_str!("good.toml");

/// Reads TOML whose records have no fault of their own.
pub fn read_batch(text: &str) -> RecordBatch {
    let mut batch = RecordBatch::default();
    batch.read_file("good.toml", text.as_bytes());
    assert!(batch.findings.is_empty(), "{:?}", batch.findings);
    batch
}

/// Records of `read_batch`.
pub fn read(text: &str) -> Vec<LocatedRecord> {
    read_batch(text).records
}
