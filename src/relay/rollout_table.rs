//! Rollouts by service, as this instance has read them from the store.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::answer_pace::AnswerPace;
use super::crash_evidence::CrashEvidence;
use super::order_evidence;
use super::pace_baseline::{PaceBaseline, PaceLimits, PaceObjective};
use super::pace_evidence::{PaceEvidence, ReplicaLoad};
use super::rollout_plan::{self, RolloutPhase};
use super::store_codec::RolloutOrder;
use super::store_era;
use super::suspect_record::CrashedProcess;
use super::version_rule::VersionRule;
use crate::ids;
use crate::rollout_evidence::{EvidenceBlock, VersionEvidence};

/// Failed answers of the new version after which this instance stops using it, if they are at least
/// half of its answers and more than the old version leads to expect. The lease holder, which decides on rollbacks, may be unreachable.
const MIN_STOP_ERRORS: u64 = 4;

/// Phase of a rollout, which the lease holder records in the store for all instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    pub target: ids::VersionName,
    /// Revision of the order.
    pub order: ids::KvRevision,
    pub phase: RolloutPhase,
    /// Time of the order by the clock of the first lease holder, in milliseconds since 1970.
    pub ordered_unix_ms: u64,
}

/// Evidence of one instance since the order, as published in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// Revision of the order.
    pub order: ids::KvRevision,
    /// Start of the process that counted the answers, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// Totals since the order, not differences.
    pub block: EvidenceBlock,
    /// Answers whose pace is compared. Absent in records of earlier releases.
    #[serde(default)]
    pub pace: PaceEvidence,
    /// Replicas whose crash the instance noticed. Absent in records of earlier releases.
    #[serde(default)]
    pub crashes: CrashEvidence,
    /// Whether the instance has stopped using the new version.
    pub stopped: bool,
}

/// Order as read from the store.
#[derive(Clone, Debug)]
pub struct ObservedOrder {
    pub order: RolloutOrder,
    pub revision: ids::KvRevision,
    /// Revision at which the order was last read. It differs from `revision`, which identifies the
    /// order, after a restoration of the store.
    pub read_revision: ids::KvRevision,
    /// Time at which this instance read the order.
    pub observed_at: Instant,
}

/// Rollout of one service.
#[derive(Debug, Default)]
pub struct RolloutRow {
    /// `None` before the first order and after an operator has withdrawn it.
    pub observed_order: Option<ObservedOrder>,
    /// Latest phase that a lease holder recorded. It may belong to an earlier order.
    pub record: Option<RolloutRecord>,
    /// Revision of the phase record in the store; 0 if there is none.
    pub record_revision: ids::KvRevision,
    /// Whether the store may lack the phase since it was restored.
    pub is_rewrite_due: bool,
    /// Whether an order was read before.
    pub was_ordered: bool,
    /// Order before the last change, with its revision in the store.
    pub former_order: Option<(ids::KvRevision, RolloutOrder)>,
    /// Time at which this instance read the phase.
    pub phase_since: Option<Instant>,
    /// Evidence of this instance since the order.
    pub local_evidence: EvidenceBlock,
    /// Calls that this instance took since the order, and those of them without a session.
    pub calls: u64,
    pub free_calls: u64,
    /// Answers since the order whose pace is compared.
    pub local_pace: PaceEvidence,
    /// Replicas whose crash this instance noticed since the order.
    pub local_crashes: CrashEvidence,
    /// Evidence that instances have published; read only while this instance holds the lease.
    pub reports: HashMap<ids::InstanceName, EvidenceRecord>,
}

/// Versions of a call, in the order in which they are tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionChoice {
    pub preferred: VersionRule,
    /// Used when no replica of a preferred version can take the call.
    pub fallback: Option<VersionRule>,
}

impl RolloutRow {
    /// Phase record of the current order. Without an order, the latest record counts.
    pub fn current_record(&self) -> Option<&RolloutRecord> {
        let revision = self.observed_order.as_ref().map(|observed| observed.revision);
        self.record
            .as_ref()
            .filter(|record| revision.is_none_or(|revision| revision == record.order))
    }

    /// Whether this instance has stopped using the new version on its own evidence.
    pub fn is_stopped_locally(&self) -> bool {
        let VersionEvidence { errors, requests, .. } = self.local_evidence.to;
        let fails_half = errors >= MIN_STOP_ERRORS && errors * 2 >= requests;
        (fails_half && order_evidence::has_more_errors(&self.local_evidence))
            || self.local_crashes.is_target_worse(&self.local_evidence)
    }

    fn keep_former_order(&mut self) {
        let observed = self.observed_order.as_ref();
        let former = observed.map(|observed| {
            (store_era::plain_revision(observed.read_revision), observed.order.clone())
        });
        self.former_order = former.or(self.former_order.take());
    }

    /// Whether an order at this revision is the one before the last change.
    fn is_former_order(&self, order: &RolloutOrder, revision: ids::KvRevision) -> bool {
        let revision = store_era::plain_revision(revision);
        let is_same =
            |former: &(ids::KvRevision, RolloutOrder)| former.0 == revision && former.1 == *order;
        self.former_order.as_ref().is_some_and(is_same)
    }

    /// Whether there is an order that is neither completed nor rolled back.
    pub fn is_open(&self) -> bool {
        self.observed_order.is_some()
            && self.current_record().is_none_or(|record| record.phase < RolloutPhase::Completed)
    }

    /// Time since the order: the longer of the time since this instance read it and the time since
    /// the recorded time of the order.
    pub fn elapsed(&self, now: Instant, now_unix_ms: u64) -> Duration {
        let observed = self
            .observed_order
            .as_ref()
            .map(|observed| now.saturating_duration_since(observed.observed_at));
        let recorded = self.current_record().map(|record| {
            Duration::from_millis(now_unix_ms.saturating_sub(record.ordered_unix_ms))
        });
        observed.max(recorded).unwrap_or_default()
    }
}

/// Rollouts by service.
#[derive(Debug, Default)]
pub struct RolloutTable {
    rows: HashMap<ids::ServiceName, RolloutRow>,
    /// Usual pace of streams by service and index of the model.
    baselines: HashMap<(ids::ServiceName, usize), PaceBaseline>,
    /// Holder of the rollout lease, with the revision at which it acquired the lease.
    pub lease_holder: Option<(ids::InstanceName, ids::KvRevision)>,
    /// End of the time for which operators may write orders again after a restoration of the store.
    settles_until: Option<Instant>,
}

impl RolloutTable {
    pub fn rows(&self) -> impl Iterator<Item = (&ids::ServiceName, &RolloutRow)> {
        self.rows.iter()
    }

    /// Ends what rests on the former era of the store, after it was restored from an old copy.
    /// Returns the holder of the rollout lease, which is lost.
    pub fn begin_era(&mut self, now: Instant) -> Option<ids::InstanceName> {
        self.settles_until = Some(now + store_era::OPERATOR_REWRITE_TIME);
        for row in self.rows.values_mut() {
            row.record_revision = 0;
            row.is_rewrite_due = row.record.is_some();
        }
        self.lease_holder.take().map(|(name, _)| name)
    }

    /// Applies an order. A newer revision replaces the order and discards the evidence of the
    /// earlier one.
    pub fn apply_order(&mut self, order: RolloutOrder, revision: ids::KvRevision, now: Instant) {
        let row = self.rows.entry(order.service.clone()).or_default();
        if row.observed_order.as_ref().is_some_and(|observed| observed.read_revision >= revision) {
            return;
        }
        let is_settling = self.settles_until.is_some_and(|until| now < until);
        let read_revision = revision;
        let is_former = is_settling && row.is_former_order(&order, revision);
        match &mut row.observed_order {
            // The same order, written again or read from the restored copy.
            Some(observed) if is_settling && observed.order == order => {
                observed.read_revision = read_revision;
                return;
            }
            // The copy shows an order that was replaced or withdrawn before.
            _ if is_former => return,
            Some(_) => row.keep_former_order(),
            None => {}
        }
        // An instance that started after a restoration identifies the order as the others do.
        let is_recorded = |record: &&RolloutRecord| {
            record.target == order.target
                && store_era::era_of(record.order) < store_era::era_of(revision)
        };
        let recorded = row.record.as_ref().filter(|_| !row.was_ordered).filter(is_recorded);
        let revision = recorded.map_or(revision, |record| record.order);
        row.was_ordered = true;
        row.observed_order =
            Some(ObservedOrder { order, revision, read_revision, observed_at: now });
        row.local_evidence = EvidenceBlock::default();
        (row.calls, row.free_calls) = (0, 0);
        row.local_pace = PaceEvidence::default();
        row.local_crashes = CrashEvidence::default();
        row.reports.clear();
    }

    /// Records that an operator has withdrawn an order.
    pub fn remove_order(&mut self, service: &str) {
        if let Some(row) = self.rows.get_mut(service) {
            row.keep_former_order();
            row.observed_order = None;
        }
    }

    /// Applies a recorded phase if it is later than the current one or belongs to a later order, so
    /// that a phase never goes back within one order. Returns whether it was applied.
    pub fn apply_record(
        &mut self,
        service: &ids::ServiceName,
        record: RolloutRecord,
        revision: ids::KvRevision,
        now: Instant,
    ) -> bool {
        let row = self.rows.entry(service.clone()).or_default();
        row.record_revision = row.record_revision.max(revision);
        let is_first = row.record.is_none();
        if let Some(observed) = row.observed_order.as_mut().filter(|observed| {
            is_first
                && observed.order.target == record.target
                && store_era::era_of(record.order) < store_era::era_of(observed.revision)
        }) {
            // Recorded before a restoration of the store, and the order was written again since.
            observed.revision = record.order;
        }
        row.is_rewrite_due &= row
            .record
            .as_ref()
            .is_some_and(|current| (record.order, record.phase) < (current.order, current.phase));
        let is_newer = row
            .record
            .as_ref()
            .is_none_or(|current| (record.order, record.phase) > (current.order, current.phase));
        if is_newer {
            row.record = Some(record);
            row.phase_since = Some(now);
        }
        is_newer
    }

    /// Applies the evidence that an instance published, unless newer evidence of it was already
    /// read: the store may apply a write late.
    pub fn apply_report(
        &mut self,
        service: &str,
        instance: ids::InstanceName,
        report: EvidenceRecord,
    ) {
        let Some(row) = self.rows.get_mut(service) else { return };
        let recency = |report: &EvidenceRecord| {
            let answers = report.block.from.requests + report.block.to.requests;
            (report.order, report.started_unix_ms, answers)
        };
        let is_current =
            row.reports.get(&instance).is_none_or(|latest| recency(&report) >= recency(latest));
        if is_current {
            row.reports.insert(instance, report);
        }
    }

    /// Counts an answer as evidence while a rollout of its service is open.
    pub fn record_answer(&mut self, service: &str, version: &str, error: bool, slow: bool) {
        if let Some(evidence) = self.evidence_mut(service, version) {
            evidence.record_answer(error, None, slow);
        }
    }

    /// Whether a rollout of a service is open, so that its answers are evidence.
    pub fn is_open(&self, service: &str) -> bool {
        self.rows.get(service).is_some_and(RolloutRow::is_open)
    }

    /// Counts a call while a rollout of its service is open.
    pub fn record_call(&mut self, service: &str, has_session: bool) {
        if let Some(row) = self.rows.get_mut(service).filter(|row| row.is_open()) {
            row.calls += 1;
            row.free_calls += u64::from(!has_session);
        }
    }

    /// Records a replica that crashed while a rollout of its service is open.
    pub fn record_crash(&mut self, service: &str, version: &str, process: CrashedProcess) {
        if let Some((row, is_target)) = self.open_row_mut(service, version) {
            row.local_crashes.record(process, is_target);
        }
    }

    /// Records an attempt that is sent now. Returns whether its pace is compared with that of the
    /// other version.
    pub fn record_sent(
        &mut self,
        service: &str,
        version: &str,
        load: ReplicaLoad,
        now: Instant,
    ) -> bool {
        self.open_row_mut(service, version)
            .is_some_and(|(row, is_target)| row.local_pace.record_sent(is_target, load, now))
    }

    /// Counts answers whose pace is compared.
    pub fn record_compared(&mut self, service: &str, version: &str, answers: u64, slow: u64) {
        if let Some((row, is_target)) = self.open_row_mut(service, version) {
            row.local_pace.record(is_target, answers, slow);
        }
    }

    /// Row of a service with an open rollout, and whether `version` is the new one.
    fn open_row_mut(&mut self, service: &str, version: &str) -> Option<(&mut RolloutRow, bool)> {
        let row = self.rows.get_mut(service).filter(|row| row.is_open())?;
        let is_target =
            row.observed_order.as_ref().is_some_and(|observed| *observed.order.target == *version);
        Some((row, is_target))
    }

    /// Evidence on a version while a rollout of its service is open.
    fn evidence_mut(&mut self, service: &str, version: &str) -> Option<&mut VersionEvidence> {
        let (row, is_target) = self.open_row_mut(service, version)?;
        Some(if is_target { &mut row.local_evidence.to } else { &mut row.local_evidence.from })
    }

    /// Adds what a later part of an answer showed that was counted before.
    pub fn record_later_failure(&mut self, service: &str, version: &str, error: bool, slow: bool) {
        if let Some(evidence) = self.evidence_mut(service, version) {
            evidence.errors += u64::from(error);
            evidence.slow += u64::from(slow);
        }
    }

    /// Adds a complete stream to the usual pace of its service, unless a rollout is open or its
    /// version is the new one: faults beside a rollout must not raise the limits by which it is
    /// judged.
    pub fn record_pace(
        &mut self,
        service: &ids::ServiceName,
        version: &str,
        model_index: usize,
        pace: &AnswerPace,
    ) {
        let is_judged = self.rows.get(service).is_some_and(|row| {
            row.is_open()
                || row
                    .observed_order
                    .as_ref()
                    .is_some_and(|observed| *observed.order.target == *version)
        });
        let Some(time) = pace.time_to_first_event().filter(|_| !is_judged) else { return };
        let baseline = self.baselines.entry((service.clone(), model_index)).or_default();
        baseline.record(time, pace.event_interval());
    }

    /// Times from which an answer of a service and model is slow.
    pub fn pace_limits(
        &self,
        service: &ids::ServiceName,
        model_index: usize,
        objective: &PaceObjective,
    ) -> PaceLimits {
        let baseline = self.baselines.get(&(service.clone(), model_index)).copied();
        baseline.unwrap_or_default().limits(objective)
    }

    /// Versions on which a call may run. Without a session, `call` decides instead.
    pub fn version_choice(
        &self,
        service: &ids::ServiceName,
        session: Option<&str>,
        call: &str,
    ) -> VersionChoice {
        let only = |rule: VersionRule| VersionChoice { preferred: rule, fallback: None };
        let Some(row) = self.rows.get(service) else { return only(VersionRule::Any) };
        let target = match (&row.observed_order, &row.record) {
            (Some(observed), _) => &observed.order.target,
            (None, Some(record)) => &record.target,
            (None, None) => return only(VersionRule::Any),
        };
        let phase = match row.current_record() {
            Some(record) if record.phase == RolloutPhase::Completed => {
                return only(VersionRule::Only(target.clone()));
            }
            Some(record) if !row.is_stopped_locally() => record.phase,
            _ => RolloutPhase::RolledBack,
        };
        let old = VersionRule::Not(target.clone());
        let is_on_target = match (phase, session) {
            (RolloutPhase::Trial, None) => {
                rollout_plan::tries_target(service, call, row.free_calls, row.calls)
            }
            _ => rollout_plan::runs_on_target(phase, service, session, call),
        };
        if !is_on_target {
            return only(old);
        }
        VersionChoice { preferred: VersionRule::Only(target.clone()), fallback: Some(old) }
    }
}
