//! Change of an instance from one era of the store to the next.
//!
//! Records that the first complete read of an era lacks may only have been undone. They are listed
//! here, and count as deleted only if they are still missing after their writers had time to write
//! them again.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::mirror_scope::MirrorScope;
use super::store_era;
use crate::ids;

/// Record that the store lacks since a restoration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AbsentRecord {
    pub scope: MirrorScope,
    pub key: String,
}

/// Summary of a finished change, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EraSummary {
    pub former_era: ids::StoreEra,
    pub era: ids::StoreEra,
    /// Last revision that was read in the former era.
    pub former_revision: ids::KvRevision,
    /// Number of records written again, by kind.
    pub rewritten: BTreeMap<&'static str, u64>,
}

/// State of the change; empty before the first restoration that the process sees.
#[derive(Debug, Default)]
pub struct EraTransition {
    era: Option<ids::StoreEra>,
    former_era: ids::StoreEra,
    former_revision: ids::KvRevision,
    began_at: Option<Instant>,
    absent: Vec<(Instant, AbsentRecord)>,
    rewritten: BTreeMap<&'static str, u64>,
    is_reported: bool,
}

impl EraTransition {
    /// Enters an era; returns whether beliefs of a former one have to end. The first era that the
    /// process has seen ends none.
    pub fn enter(
        &mut self,
        first: ids::StoreEra,
        era: ids::StoreEra,
        former_revision: ids::KvRevision,
        now: Instant,
    ) -> bool {
        let former_era = self.era.unwrap_or(first);
        if era <= former_era {
            return false;
        }
        self.era = Some(era);
        (self.former_era, self.former_revision) = (former_era, former_revision);
        self.began_at = Some(now);
        self.rewritten.clear();
        self.is_reported = false;
        true
    }

    /// Whether writers may still be writing records of a scope again.
    pub fn is_settling(&self, scope: MirrorScope, now: Instant) -> bool {
        self.began_at.is_some_and(|at| now < at + store_era::rewrite_time(scope))
    }

    /// Lists a record that a read lacks; returns `false` if its absence counts at once.
    pub fn defer_removal(&mut self, record: AbsentRecord, now: Instant) -> bool {
        if !self.is_settling(record.scope, now) {
            return false;
        }
        let due_at = self.began_at.unwrap_or(now) + store_era::rewrite_time(record.scope);
        self.absent.push((due_at, record));
        true
    }

    /// Removes and returns the records whose writers had time to write them again.
    pub fn take_due(&mut self, now: Instant) -> Vec<AbsentRecord> {
        let is_due = |(due_at, _): &mut (Instant, AbsentRecord)| now >= *due_at;
        self.absent.extract_if(.., is_due).map(|(_, record)| record).collect()
    }

    /// Counts a record that was written again, if an era began lately.
    pub fn count_rewrite(&mut self, kind: &'static str, now: Instant) {
        if self.is_settling(MirrorScope::Operators, now) {
            *self.rewritten.entry(kind).or_default() += 1;
            metrics::counter!("yuccareel_store_rewrites_total", "record" => kind).increment(1);
        }
    }

    /// Summary of the change, once, after all writers had time.
    pub fn take_summary(&mut self, now: Instant) -> Option<EraSummary> {
        let is_over = self.began_at.is_some() && !self.is_settling(MirrorScope::Operators, now);
        if !is_over || std::mem::replace(&mut self.is_reported, true) {
            return None;
        }
        Some(EraSummary {
            former_era: self.former_era,
            era: self.era.unwrap_or_default(),
            former_revision: self.former_revision,
            rewritten: std::mem::take(&mut self.rewritten),
        })
    }
}
