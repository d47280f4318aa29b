//! What this instance knows of the rollouts.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::rollout_plan::{self, RolloutPhase};
use super::store_codec::RolloutOrder;
use super::version_rule::VersionRule;
use crate::ids;
use crate::rollout_evidence::{EvidenceBlock, VersionEvidence};

/// Failed answers of the new version after which this instance stops it by itself, if they are
/// half of all; the holder of the rollouts may be out of reach.
const STOP_ERRORS: u64 = 4;

/// Stage of a rollout as the holder records it for all instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Version.
    pub target: ids::VersionName,
    /// Revision of the order.
    pub order: ids::KvRevision,
    /// Stage.
    pub phase: RolloutPhase,
    /// Time of the order by the clock of the first holder, in milliseconds since 1970.
    pub ordered_unix_ms: u64,
}

/// Evidence of one instance since the order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// Revision of the order.
    pub order: ids::KvRevision,
    /// Start of the process that counts, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// Counters.
    pub block: EvidenceBlock,
    /// Whether the instance has stopped the new version.
    pub stopped: bool,
}

/// Order with its revision.
#[derive(Clone, Debug)]
pub struct KnownOrder {
    /// Order.
    pub order: RolloutOrder,
    /// Revision.
    pub revision: ids::KvRevision,
    /// Time at which this instance read it.
    pub seen_at: Instant,
}

/// Rollout of one service.
#[derive(Debug, Default)]
pub struct RolloutRow {
    /// Order, while it stands.
    pub known: Option<KnownOrder>,
    /// Stage that the holder recorded.
    pub record: Option<RolloutRecord>,
    /// Revision of the record of the stage, 0 while there is none.
    pub record_revision: ids::KvRevision,
    /// Time at which this instance read the stage.
    pub phase_since: Option<Instant>,
    /// Evidence of this instance since the order.
    pub local: EvidenceBlock,
    /// Evidence of the other instances.
    pub reports: HashMap<ids::InstanceName, EvidenceRecord>,
}

/// Versions of a call, in the order in which they are tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionChoice {
    /// Versions to try.
    pub preferred: VersionRule,
    /// Versions to use when no replica of the preferred ones can take the call.
    pub fallback: Option<VersionRule>,
}

impl RolloutRow {
    /// Stage of the order that stands, if the holder has recorded one.
    pub fn current(&self) -> Option<&RolloutRecord> {
        let revision = self.known.as_ref().map(|known| known.revision);
        self.record.as_ref().filter(|record| revision.is_none_or(|known| known == record.order))
    }

    /// Whether this instance has stopped the new version by itself.
    pub fn stopped(&self) -> bool {
        let VersionEvidence { errors, requests, .. } = self.local.to;
        errors >= STOP_ERRORS && errors * 2 >= requests
    }

    /// Whether the order still has to be carried out.
    pub fn open(&self) -> bool {
        self.known.is_some()
            && self.current().is_none_or(|record| record.phase < RolloutPhase::Completed)
    }

    /// Time since the order, by the clock of this process where it saw the order early enough.
    pub fn elapsed(&self, now: Instant, now_unix_ms: u64) -> Duration {
        let seen = self.known.as_ref().map(|known| now.saturating_duration_since(known.seen_at));
        let recorded = self.current().map(|record| {
            Duration::from_millis(now_unix_ms.saturating_sub(record.ordered_unix_ms))
        });
        seen.max(recorded).unwrap_or_default()
    }
}

/// Rollouts by service.
#[derive(Debug, Default)]
pub struct RolloutTable {
    rows: HashMap<ids::ServiceName, RolloutRow>,
    /// Instance that holds the rollouts, with the revision of its claim.
    pub holder: Option<(ids::InstanceName, ids::KvRevision)>,
}

impl RolloutTable {
    /// Rows by service.
    pub fn rows(&self) -> impl Iterator<Item = (&ids::ServiceName, &RolloutRow)> {
        self.rows.iter()
    }

    /// Takes over an order; one of a newer revision starts the evidence afresh.
    pub fn put_order(&mut self, order: RolloutOrder, revision: ids::KvRevision, now: Instant) {
        let row = self.rows.entry(order.service.clone()).or_default();
        if row.known.as_ref().is_some_and(|known| known.revision >= revision) {
            return;
        }
        row.known = Some(KnownOrder { order, revision, seen_at: now });
        row.local = EvidenceBlock::default();
        row.reports.clear();
    }

    /// Notes that an order was taken away.
    pub fn remove_order(&mut self, service: &str) {
        if let Some(row) = self.rows.get_mut(service) {
            row.known = None;
        }
    }

    /// Takes over a stage; returns whether it is news. A stage never goes back within one order.
    pub fn put_record(
        &mut self,
        service: &ids::ServiceName,
        record: RolloutRecord,
        revision: ids::KvRevision,
        now: Instant,
    ) -> bool {
        let row = self.rows.entry(service.clone()).or_default();
        row.record_revision = row.record_revision.max(revision);
        let newer = row
            .record
            .as_ref()
            .is_none_or(|known| (record.order, record.phase) > (known.order, known.phase));
        if newer {
            row.record = Some(record);
            row.phase_since = Some(now);
        }
        newer
    }

    /// Takes over the evidence of another instance, unless it is older than what is known: the
    /// store may do a write late.
    pub fn put_report(
        &mut self,
        service: &str,
        instance: ids::InstanceName,
        report: EvidenceRecord,
    ) {
        let Some(row) = self.rows.get_mut(service) else { return };
        let age = |report: &EvidenceRecord| {
            let answers = report.block.from.requests + report.block.to.requests;
            (report.order, report.started_unix_ms, answers)
        };
        let newer = row.reports.get(&instance).is_none_or(|known| age(&report) >= age(known));
        if newer {
            row.reports.insert(instance, report);
        }
    }

    /// Counts an answer while a rollout is open.
    pub fn record_answer(&mut self, service: &str, version: &str, error: bool, slow: bool) {
        let Some(row) = self.rows.get_mut(service) else { return };
        if !row.open() {
            return;
        }
        let target = row.known.as_ref().is_some_and(|known| *known.order.target == *version);
        let side = if target { &mut row.local.to } else { &mut row.local.from };
        side.record(error, None, slow);
    }

    /// Versions on which a call may run.
    pub fn version_choice(
        &self,
        service: &ids::ServiceName,
        session: Option<&str>,
        call: &str,
    ) -> VersionChoice {
        let only = |rule: VersionRule| VersionChoice { preferred: rule, fallback: None };
        let Some(row) = self.rows.get(service) else { return only(VersionRule::Any) };
        let target = match (&row.known, &row.record) {
            (Some(known), _) => &known.order.target,
            (None, Some(record)) => &record.target,
            (None, None) => return only(VersionRule::Any),
        };
        let phase = match row.current() {
            Some(record) if record.phase == RolloutPhase::Completed => {
                return only(VersionRule::Only(target.clone()));
            }
            Some(record) if !row.stopped() => record.phase,
            _ => RolloutPhase::RolledBack,
        };
        let old = VersionRule::Not(target.clone());
        if !rollout_plan::takes_target(phase, service, session, call) {
            return only(old);
        }
        VersionChoice { preferred: VersionRule::Only(target.clone()), fallback: Some(old) }
    }
}
