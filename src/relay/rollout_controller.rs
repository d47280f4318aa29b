//! Runs the rollouts that operators order.
//!
//! One instance at a time holds the rollout lease, a key attached to the lease of its member entry.
//! The holder judges the evidence and records the phase of each rollout. Its writes are conditional
//! on the revision of its claim, a fencing token, so that a holder that was paused cannot overwrite
//! its successor. The other instances publish their evidence and follow the recorded phase.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use rand::RngExt as _;
use tokio::time::Instant;

use super::crash_evidence::CrashEvidence;
use super::mirror_scope::MirrorScope;
use super::order_evidence::{OrderEvidence, RolloutFinding};
use super::relay_node::{LifecycleStage, RelayNode};
use super::rollout_plan::{self, RolloutPhase, RolloutProgress};
use super::rollout_table::{EvidenceRecord, RolloutRecord, RolloutRow};
use super::store_codec::{RolloutOrder, RolloutStatus};
use super::store_era;
use super::version_rule::VersionRule;
use crate::event_catalogue::LogEvent;
use crate::ids;
use crate::kv_store::{KvCompare, KvEntry, KvError, KvOperation, KvStore as _, KvTransaction};
use crate::rollout_evidence::EvidenceBlock;

/// Time between two ticks of the controller.
const TICK_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two reports without a new failure; failures are reported at the next tick.
const BASE_REPORT_INTERVAL: Duration = Duration::from_millis(2_500);
/// The report interval grows by `BASE_REPORT_INTERVAL` for each further group of this many members,
/// so that up to 64 members cause about six writes a second.
const REPORT_GROUP_MEMBERS: usize = 16;
/// Time between two reports of answers of the new version.
const TARGET_REPORT_INTERVAL: Duration = Duration::from_millis(600);
/// Mean time between the reports of all members that it is lengthened to.
const MIN_REPORT_SPACING: Duration = Duration::from_millis(10);
/// Longest time between two reports. A rollout has a time limit of some tens of seconds.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two reads of the reports by the lease holder.
const REPORT_READ_INTERVAL: Duration = Duration::from_millis(600);
/// Longest random delay before a free lease is claimed, so that not all instances try at once.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(300);
/// Key that names the holder of the rollout lease.
const LEASE_KEY: &str = "yuccareel/duty";
/// Prefix of the recorded phases, by service.
const RECORD_PREFIX: &str = "yuccareel/rollout/";
/// Prefix of the published evidence, by service and instance. It is not below the prefix that all
/// instances mirror, because only the lease holder reads it.
const EVIDENCE_PREFIX: &str = "yuccareel-evidence/";

/// Change of phase that is to be recorded.
#[derive(Debug)]
struct PhaseChange {
    order: RolloutOrder,
    record: RolloutRecord,
    /// `None` when the rollout starts.
    previous_phase: Option<RolloutPhase>,
    /// Why the version was found bad, if it was.
    finding: Option<RolloutFinding>,
    /// Revision of the record that is replaced; 0 if there is none.
    record_revision: ids::KvRevision,
}

#[derive(Debug)]
struct PublishedReport {
    order: ids::KvRevision,
    block: EvidenceBlock,
    crashes: CrashEvidence,
    published_at: Instant,
}

/// Claims the rollout lease if it is free, advances rollouts while this instance holds it, and
/// publishes evidence while another one does.
pub struct RolloutController {
    node: Arc<RelayNode>,
    evidence: HashMap<ids::ServiceName, OrderEvidence>,
    published_reports: HashMap<ids::ServiceName, PublishedReport>,
    reports_read_at: Option<Instant>,
    started_unix_ms: u64,
    /// Era of the store in which evidence was last published, and the time from which it is
    /// published in it.
    era: ids::StoreEra,
    publish_from: Instant,
}

impl RolloutController {
    pub fn new(node: Arc<RelayNode>) -> Self {
        Self {
            node,
            evidence: HashMap::new(),
            published_reports: HashMap::new(),
            reports_read_at: None,
            started_unix_ms: unix_ms(),
            era: 0,
            publish_from: Instant::now(),
        }
    }

    /// Runs until the instance drains.
    pub async fn run(mut self) {
        let life = self.node.lifecycle();
        while *life.borrow() == LifecycleStage::Serving {
            tokio::time::sleep(TICK_INTERVAL).await;
            if let Err(error) = self.tick().await {
                let fields = slog::o!("call" => "rollout", "error" => error.to_string());
                self.node.emit(LogEvent::KvFailed, fields);
            }
        }
    }

    async fn tick(&mut self) -> Result<(), KvError> {
        let node = self.node.clone();
        let (open_services, lease_holder) = {
            let rollouts = node.rollouts.lock();
            let open_services: Vec<_> = rollouts
                .rows()
                .filter(|(_, row)| row.is_open() || row.is_rewrite_due)
                .map(|(service, _)| service.clone())
                .collect();
            (open_services, rollouts.lease_holder.clone())
        };
        let has_read = node.has_read_era(MirrorScope::Operators)
            && node.has_read_era(MirrorScope::Instances)
            && node.store.store_eras().missing_mark().is_none();
        if !has_read {
            return Ok(());
        }
        self.begin_era();
        let Some(lease) = *node.member_lease.lock() else { return Ok(()) };
        if open_services.is_empty() {
            return Ok(());
        }
        match lease_holder {
            Some((name, revision)) if name == node.settings.name => {
                self.read_reports().await?;
                for service in &open_services {
                    self.rewrite_record(service, revision).await?;
                    self.advance_rollout(service, revision).await?;
                }
            }
            Some(_) => {
                for service in &open_services {
                    self.publish_evidence(service, lease).await?;
                }
            }
            None => self.claim_lease(lease).await?,
        }
        Ok(())
    }

    /// Publishes evidence again after a restoration of the store, at this instance's own time.
    fn begin_era(&mut self) {
        let node = &self.node;
        let era = node.store.store_eras().current();
        if std::mem::replace(&mut self.era, era) == era || era == node.store.store_eras().first() {
            return;
        }
        self.published_reports.clear();
        self.reports_read_at = None;
        let members = node.members.lock().len();
        let name = &node.settings.name;
        let delay = store_era::own_rewrite_delay(EVIDENCE_PREFIX, name, members);
        self.publish_from = Instant::now() + delay;
    }

    /// Writes the phase of a rollout again that a restoration of the store has undone.
    async fn rewrite_record(
        &mut self,
        service: &ids::ServiceName,
        claim: ids::KvRevision,
    ) -> Result<(), KvError> {
        let node = self.node.clone();
        let (record, revision, order) = {
            let rollouts = node.rollouts.lock();
            let row = rollouts.rows().find(|(name, _)| *name == service).map(|(_, row)| row);
            let Some(row) = row.filter(|row| row.is_rewrite_due) else { return Ok(()) };
            let Some(record) = row.record.clone() else { return Ok(()) };
            let observed = row.observed_order.as_ref();
            let order = observed.filter(|observed| observed.revision == record.order);
            (record, row.record_revision, order.map(|observed| observed.order.clone()))
        };
        let record_key = format!("{RECORD_PREFIX}{service}");
        let compares = vec![
            KvCompare::ModRevision(LEASE_KEY.to_owned(), claim),
            KvCompare::ModRevision(record_key.clone(), revision),
        ];
        let mut operations = vec![KvOperation::Put(record_key, encode(&record)?, 0)];
        if let Some(order) = order {
            let (key, value) = node.store_codec.write_status(&order, status_of(record.phase));
            operations.push(KvOperation::Put(key, Bytes::from(value), 0));
        }
        let outcome = node.store.commit(KvTransaction { compares, operations }).await?;
        if outcome.committed {
            let now = Instant::now();
            node.era_transition.lock().count_rewrite("rollout", now);
            node.rollouts.lock().apply_record(service, record, outcome.revision, now);
        }
        Ok(())
    }

    async fn read_reports(&mut self) -> Result<(), KvError> {
        let now = Instant::now();
        if self.reports_read_at.is_some_and(|at| now < at + REPORT_READ_INTERVAL) {
            return Ok(());
        }
        self.reports_read_at = Some(now);
        let range = self.node.store.range(EVIDENCE_PREFIX).await?;
        for entry in &range.entries {
            let path = entry.key.strip_prefix(EVIDENCE_PREFIX);
            let Some((service, instance)) = path.and_then(|path| path.split_once('/')) else {
                continue;
            };
            match serde_json::from_slice::<EvidenceRecord>(&entry.value) {
                Ok(report) => {
                    self.node.rollouts.lock().apply_report(service, instance.into(), report);
                }
                Err(error) => {
                    self.node.log_unreadable_record(&entry.key, &error);
                }
            }
        }
        Ok(())
    }

    async fn claim_lease(&mut self, lease: ids::LeaseId) -> Result<(), KvError> {
        let delay = MAX_CLAIM_DELAY.mul_f64(rand::rng().random::<f64>());
        tokio::time::sleep(delay).await;
        if self.node.rollouts.lock().lease_holder.is_some() {
            return Ok(());
        }
        let name = Bytes::copy_from_slice(self.node.settings.name.as_bytes());
        let transaction = KvTransaction {
            compares: vec![KvCompare::ModRevision(LEASE_KEY.to_owned(), 0)],
            operations: vec![KvOperation::Put(LEASE_KEY.to_owned(), name, lease)],
        };
        // The mirror of the store reports the holder, even if the answer to this claim is lost.
        self.node.store.commit(transaction).await?;
        Ok(())
    }

    async fn publish_evidence(
        &mut self,
        service: &ids::ServiceName,
        lease: ids::LeaseId,
    ) -> Result<(), KvError> {
        let now = Instant::now();
        let Some(own) = self.own_evidence(service) else { return Ok(()) };
        let EvidenceRecord { order, block, .. } = own;
        let last = self.published_reports.get(service).filter(|last| last.order == order);
        let last_block = last.map_or(EvidenceBlock::default(), |last| last.block);
        let has_new_failures = block.to.errors > last_block.to.errors
            || block.to.slow > last_block.to.slow
            || own.crashes.to.len() > last.map_or(0, |last| last.crashes.to.len());
        if now < self.publish_from {
            return Ok(());
        }
        let interval = report_interval(self.node.members.lock().len(), block.to != last_block.to);
        let is_due = last.is_none_or(|last| now >= last.published_at + interval);
        // The answers of the old version are what those of the new one are compared with.
        let is_unchanged = block == last_block
            && last.map_or_else(CrashEvidence::default, |last| last.crashes.clone()) == own.crashes;
        if is_unchanged || !(has_new_failures || is_due) {
            return Ok(());
        }
        let key = format!("{EVIDENCE_PREFIX}{service}/{}", self.node.settings.name);
        let put = KvOperation::Put(key, encode(&own)?, lease);
        let transaction = KvTransaction { compares: Vec::new(), operations: vec![put] };
        self.node.store.commit(transaction).await?;
        self.node.era_transition.lock().count_rewrite("evidence", now);
        let crashes = own.crashes;
        let report = PublishedReport { order, block, crashes, published_at: now };
        self.published_reports.insert(service.clone(), report);
        Ok(())
    }

    /// Evidence of this instance since the order; `None` without an order.
    fn own_evidence(&self, service: &ids::ServiceName) -> Option<EvidenceRecord> {
        let rollouts = self.node.rollouts.lock();
        let (_, row) = rollouts.rows().find(|(name, _)| *name == service)?;
        Some(EvidenceRecord {
            order: row.observed_order.as_ref()?.revision,
            started_unix_ms: self.started_unix_ms,
            block: row.local_evidence,
            pace: row.local_pace,
            crashes: row.local_crashes.clone(),
            stopped: row.is_stopped_locally(),
        })
    }

    /// Counts the evidence and records the next phase when it is due. `claim` is the revision at
    /// which this instance acquired the lease.
    async fn advance_rollout(
        &mut self,
        service: &ids::ServiceName,
        claim: ids::KvRevision,
    ) -> Result<(), KvError> {
        let node = self.node.clone();
        let (now, now_unix_ms) = (Instant::now(), unix_ms());
        let change = {
            let rollouts = node.rollouts.lock();
            let row = rollouts.rows().find(|(name, _)| *name == service).map(|(_, row)| row);
            row.and_then(|row| self.next_phase_change(service, row, now, now_unix_ms))
        };
        let Some(change) = change else { return Ok(()) };
        let status = status_of(change.record.phase);
        let record_key = format!("{RECORD_PREFIX}{service}");
        // A write that the store applies late must not replace a later phase.
        let compares = vec![
            KvCompare::ModRevision(LEASE_KEY.to_owned(), claim),
            KvCompare::ModRevision(record_key.clone(), change.record_revision),
        ];
        let mut operations = vec![KvOperation::Put(record_key, encode(&change.record)?, 0)];
        if change.previous_phase.is_none() || status != RolloutStatus::Running {
            let (key, value) = node.store_codec.write_status(&change.order, status);
            operations.push(KvOperation::Put(key, Bytes::from(value), 0));
        }
        let outcome = node.store.commit(KvTransaction { compares, operations }).await?;
        if !outcome.committed {
            let fields = slog::o!("service" => service.to_string(), "claim" => claim);
            node.emit(LogEvent::StageRefused, fields);
            return Ok(());
        }
        self.log_phase_change(service, &change, outcome.revision);
        node.rollouts.lock().apply_record(service, change.record, outcome.revision, now);
        Ok(())
    }

    fn log_phase_change(
        &self,
        service: &ids::ServiceName,
        change: &PhaseChange,
        revision: ids::KvRevision,
    ) {
        let evidence = self.evidence.get(service);
        let total = evidence.map_or(EvidenceBlock::default(), OrderEvidence::total);
        let pace = evidence.map(OrderEvidence::pace).unwrap_or_default();
        let crashes = evidence.map(|evidence| evidence.crashes().clone()).unwrap_or_default();
        let fields = slog::o!(
            "service" => service.to_string(), "target" => change.record.target.to_string(),
            "from" => change.previous_phase.map(RolloutPhase::code),
            "to" => change.record.phase.code(),
            "answers" => total.to.requests, "errors" => total.to.errors, "slow" => total.to.slow,
            "crashes" => crashes.to.len(),
            "compared" => pace.to.total, "compared_slow" => pace.to.bad,
            "old_compared" => pace.from.total, "old_compared_slow" => pace.from.bad,
            "old_answers" => total.from.requests, "old_errors" => total.from.errors,
            "old_slow" => total.from.slow, "old_crashes" => crashes.from.len(),
            "finding" => change.finding.map(RolloutFinding::code),
            "revision" => revision,
        );
        let event = match change.record.phase {
            RolloutPhase::RolledBack => LogEvent::RolloutRolledBack,
            _ => LogEvent::RolloutAdvanced,
        };
        self.node.emit(event, fields);
    }

    /// Counts the evidence and returns the phase to be recorded, if any.
    fn next_phase_change(
        &mut self,
        service: &ids::ServiceName,
        row: &RolloutRow,
        now: Instant,
        now_unix_ms: u64,
    ) -> Option<PhaseChange> {
        let observed = row.observed_order.as_ref()?;
        let elapsed = row.elapsed(now, now_unix_ms);
        let ordered_unix_ms = now_unix_ms.saturating_sub(elapsed.as_millis() as u64);
        let change_to = |phase, previous_phase, finding| PhaseChange {
            order: observed.order.clone(),
            record: RolloutRecord {
                target: observed.order.target.clone(),
                order: observed.revision,
                phase,
                ordered_unix_ms: row
                    .current_record()
                    .map_or(ordered_unix_ms, |record| record.ordered_unix_ms),
            },
            previous_phase,
            finding,
            record_revision: row.record_revision,
        };
        let Some(current) = row.current_record() else {
            return Some(change_to(RolloutPhase::Trial, None, None));
        };
        let version = VersionRule::Only(observed.order.target.clone());
        let target_replicas = self.node.fleet.lock().ready_replica_count(service, &version);
        let evidence = self.count_evidence(service, row, observed.revision);
        let total = evidence.total();
        let mut reports = row.reports.values().filter(|report| report.order == observed.revision);
        let is_stopped = row.is_stopped_locally() || reports.any(|report| report.stopped);
        let finding = evidence.finding().or(is_stopped.then_some(RolloutFinding::Stopped));
        let progress = RolloutProgress {
            phase: current.phase,
            elapsed,
            phase_elapsed: row.phase_since.map_or(Duration::ZERO, |since| now - since),
            time_limit: observed.order.time_limit,
            target_answers: total.to.requests,
            target_replicas,
            old_answers: total.from.requests,
            is_bad: finding.is_some(),
            doubt: evidence.pace().doubt(),
        };
        let phase = rollout_plan::next_phase(&progress)?;
        let finding =
            (phase == RolloutPhase::RolledBack).then(|| finding.unwrap_or(RolloutFinding::Unknown));
        Some(change_to(phase, Some(current.phase), finding))
    }

    /// Adds the evidence since the last tick, of this instance and of the others.
    fn count_evidence(
        &mut self,
        service: &ids::ServiceName,
        row: &RolloutRow,
        order: ids::KvRevision,
    ) -> &OrderEvidence {
        let evidence =
            self.evidence.entry(service.clone()).or_insert_with(|| OrderEvidence::new(order));
        if evidence.order() != order {
            *evidence = OrderEvidence::new(order);
        }
        evidence.count(&self.node.settings.name, row);
        evidence
    }
}

/// Applies a record of the rollouts that was written to the store.
pub fn apply_record(node: &RelayNode, entry: &KvEntry) {
    let now = Instant::now();
    if entry.key == LEASE_KEY {
        let name = String::from_utf8_lossy(&entry.value).into_owned();
        let is_own_claim = name == *node.settings.name;
        node.rollouts.lock().lease_holder = Some((name.as_str().into(), entry.mod_revision));
        if is_own_claim {
            node.emit(LogEvent::HolderTaken, slog::o!("claim" => entry.mod_revision));
        }
    } else if let Some(service) = entry.key.strip_prefix(RECORD_PREFIX) {
        match serde_json::from_slice::<RolloutRecord>(&entry.value) {
            Ok(record) => {
                let fields = slog::o!(
                    "service" => service.to_owned(), "target" => record.target.to_string(),
                    "phase" => record.phase.code(), "revision" => entry.mod_revision,
                );
                let revision = entry.mod_revision;
                if node.rollouts.lock().apply_record(&service.into(), record, revision, now) {
                    node.emit(LogEvent::RolloutPhaseSeen, fields);
                }
            }
            Err(error) => node.log_unreadable_record(&entry.key, &error),
        }
    }
}

/// Applies the deletion of a record of the rollouts. Recorded phases are kept.
pub fn remove_record(node: &RelayNode, key: &str) {
    if key == LEASE_KEY {
        let lease_holder = node.rollouts.lock().lease_holder.take();
        if lease_holder.is_some_and(|(name, _)| name == node.settings.name) {
            node.emit(LogEvent::HolderLost, slog::o!("claim" => 0));
        }
    }
}

/// State of a rollout for operators.
fn status_of(phase: RolloutPhase) -> RolloutStatus {
    match phase {
        RolloutPhase::Completed => RolloutStatus::Completed,
        RolloutPhase::RolledBack => RolloutStatus::RolledBack,
        RolloutPhase::Trial | RolloutPhase::Load | RolloutPhase::Full => RolloutStatus::Running,
    }
}

/// Time between two reports without a new failure, in a fleet of `members`. Good answers of the new
/// version are reported sooner than others, as the holder must not see the bad ones only.
pub fn report_interval(members: usize, has_target_answers: bool) -> Duration {
    let factor = members.div_ceil(REPORT_GROUP_MEMBERS).max(1) as u32;
    let interval = (BASE_REPORT_INTERVAL * factor).min(MAX_REPORT_INTERVAL);
    if !has_target_answers {
        return interval;
    }
    (MIN_REPORT_SPACING * members as u32).max(TARGET_REPORT_INTERVAL).min(interval)
}

fn encode(record: &impl serde::Serialize) -> Result<Bytes, KvError> {
    let text = serde_json::to_vec(record).map_err(|error| KvError::Refused(error.to_string()))?;
    Ok(Bytes::from(text))
}

fn unix_ms() -> u64 {
    // A clock set before 1970 is read as 0.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
