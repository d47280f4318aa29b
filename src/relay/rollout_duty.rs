//! Carries out the rollouts that operators order.
//!
//! One instance at a time holds the duty, under the lease of its member entry. Its writes are
//! conditional on its claim, so that a holder that was paused changes nothing after another took
//! over. The other instances publish their evidence and follow the stage that the holder records.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use rand::RngExt as _;
use tokio::time::Instant;

use super::relay_node::{LifecycleStage, RelayNode};
use super::rollout_plan::{self, RolloutPhase, RolloutView};
use super::rollout_table::{EvidenceRecord, RolloutRecord, RolloutRow};
use super::store_codec::{RolloutOrder, RolloutStatus};
use super::version_rule::VersionRule;
use crate::event_catalogue::LogEvent;
use crate::ids;
use crate::kv_store::{KvCompare, KvEntry, KvError, KvOperation, KvStore as _, KvTransaction};
use crate::rollout_evidence::{EvidenceBlock, RolloutTests, VersionEvidence};

/// Time between two looks at the rollouts.
const DUTY_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two reports without a failure; failures are reported at the next look.
const REPORT_INTERVAL: Duration = Duration::from_millis(2_500);
/// Members for each of which `REPORT_INTERVAL` is one longer, so that the reports of up to 64
/// stay at about six writes a second.
const REPORTING_MEMBERS: usize = 16;
/// Longest time between two reports; a rollout is given some tens of seconds.
const LONGEST_REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two readings of the reports by the holder.
const READ_INTERVAL: Duration = Duration::from_millis(600);
/// Longest random wait before a free duty is claimed, so that not all instances try at once.
const CLAIM_SPREAD: Duration = Duration::from_millis(300);
/// Rise of the share of failures that the sequential test tolerates.
const TOLERATED_RISE: f64 = 0.1;
/// Answers of the new version from which the plain comparison of the shares counts.
const COMPARED_ANSWERS: u64 = 6;
/// Difference of the shares of failures above which the new version is bad.
const BAD_DIFFERENCE: f64 = 0.3;

const DUTY_KEY: &str = "yuccareel/duty";
const RECORD_PREFIX: &str = "yuccareel/rollout/";
/// Evidence stands apart from the other records, because only the holder reads it.
const EVIDENCE_PREFIX: &str = "yuccareel-evidence/";

/// Evidence that the holder has counted for one order.
#[derive(Debug)]
struct OrderTests {
    order: ids::KvRevision,
    tests: RolloutTests,
    counted: HashMap<ids::InstanceName, EvidenceBlock>,
    total: EvidenceBlock,
}

/// Stage to be recorded.
#[derive(Debug)]
struct StageStep {
    order: RolloutOrder,
    record: RolloutRecord,
    former: Option<RolloutPhase>,
    record_revision: ids::KvRevision,
}

#[derive(Debug)]
struct PublishedReport {
    order: ids::KvRevision,
    block: EvidenceBlock,
    at: Instant,
}

/// System that carries out the rollouts.
pub struct RolloutDuty {
    node: Arc<RelayNode>,
    tests: HashMap<ids::ServiceName, OrderTests>,
    published: HashMap<ids::ServiceName, PublishedReport>,
    reports_read: Option<Instant>,
    started_unix_ms: u64,
}

impl RolloutDuty {
    /// System that has counted nothing yet.
    pub fn new(node: Arc<RelayNode>) -> Self {
        Self {
            node,
            tests: HashMap::new(),
            published: HashMap::new(),
            reports_read: None,
            started_unix_ms: unix_ms(),
        }
    }

    /// Runs until the instance leaves.
    pub async fn run(mut self) {
        let life = self.node.lifecycle();
        while *life.borrow() == LifecycleStage::Serving {
            tokio::time::sleep(DUTY_INTERVAL).await;
            if let Err(error) = self.look().await {
                let fields = slog::o!("call" => "rollout", "error" => error.to_string());
                self.node.emit(LogEvent::KvFailed, fields);
            }
        }
    }

    async fn look(&mut self) -> Result<(), KvError> {
        let node = self.node.clone();
        let (open, holder) = {
            let rollouts = node.rollouts.lock();
            let open: Vec<_> = rollouts
                .rows()
                .filter(|(_, row)| row.open())
                .map(|(service, _)| service.clone())
                .collect();
            (open, rollouts.holder.clone())
        };
        let Some(lease) = *node.member_lease.lock() else { return Ok(()) };
        if open.is_empty() {
            return Ok(());
        }
        match holder {
            Some((name, revision)) if name == node.settings.name => {
                self.read_reports().await?;
                for service in &open {
                    self.advance(service, revision).await?;
                }
            }
            Some(_) => {
                for service in &open {
                    self.publish(service, lease).await?;
                }
            }
            None => self.claim(lease).await?,
        }
        Ok(())
    }

    async fn read_reports(&mut self) -> Result<(), KvError> {
        let now = Instant::now();
        if self.reports_read.is_some_and(|at| now < at + READ_INTERVAL) {
            return Ok(());
        }
        self.reports_read = Some(now);
        let range = self.node.store.range(EVIDENCE_PREFIX).await?;
        for entry in &range.entries {
            let place = entry.key.strip_prefix(EVIDENCE_PREFIX);
            let Some((service, instance)) = place.and_then(|place| place.split_once('/')) else {
                continue;
            };
            match serde_json::from_slice::<EvidenceRecord>(&entry.value) {
                Ok(report) => {
                    self.node.rollouts.lock().put_report(service, instance.into(), report);
                }
                Err(error) => {
                    self.node.log_unreadable_record(&entry.key, &error);
                }
            }
        }
        Ok(())
    }

    async fn claim(&mut self, lease: ids::LeaseId) -> Result<(), KvError> {
        let spread = CLAIM_SPREAD.mul_f64(rand::rng().random::<f64>());
        tokio::time::sleep(spread).await;
        if self.node.rollouts.lock().holder.is_some() {
            return Ok(());
        }
        let name = Bytes::copy_from_slice(self.node.settings.name.as_bytes());
        let transaction = KvTransaction {
            compares: vec![KvCompare::ModRevision(DUTY_KEY.to_owned(), 0)],
            operations: vec![KvOperation::Put(DUTY_KEY.to_owned(), name, lease)],
        };
        // The watch tells who holds the duty, also when the answer to the claim is lost.
        self.node.store.commit(transaction).await?;
        Ok(())
    }

    async fn publish(
        &mut self,
        service: &ids::ServiceName,
        lease: ids::LeaseId,
    ) -> Result<(), KvError> {
        let now = Instant::now();
        let Some((order, block, stopped)) = self.local_evidence(service) else { return Ok(()) };
        let last = self.published.get(service).filter(|last| last.order == order);
        let former = last.map_or(EvidenceBlock::default(), |last| last.block);
        let failed = bad_answers(&block.to) > bad_answers(&former.to);
        let interval = report_interval(self.node.members.lock().len());
        let due = last.is_none_or(|last| now >= last.at + interval);
        if block.to == former.to || !(failed || due) {
            return Ok(());
        }
        let started_unix_ms = self.started_unix_ms;
        let record = EvidenceRecord { order, started_unix_ms, block, stopped };
        let key = format!("{EVIDENCE_PREFIX}{service}/{}", self.node.settings.name);
        let put = KvOperation::Put(key, encode(&record)?, lease);
        let transaction = KvTransaction { compares: Vec::new(), operations: vec![put] };
        self.node.store.commit(transaction).await?;
        self.published.insert(service.clone(), PublishedReport { order, block, at: now });
        Ok(())
    }

    fn local_evidence(
        &self,
        service: &ids::ServiceName,
    ) -> Option<(ids::KvRevision, EvidenceBlock, bool)> {
        let rollouts = self.node.rollouts.lock();
        let (_, row) = rollouts.rows().find(|(name, _)| *name == service)?;
        Some((row.known.as_ref()?.revision, row.local, row.stopped()))
    }

    /// Counts the evidence and moves the rollout when it is time.
    async fn advance(
        &mut self,
        service: &ids::ServiceName,
        claim: ids::KvRevision,
    ) -> Result<(), KvError> {
        let node = self.node.clone();
        let (now, now_unix_ms) = (Instant::now(), unix_ms());
        let step = {
            let rollouts = node.rollouts.lock();
            let row = rollouts.rows().find(|(name, _)| *name == service).map(|(_, row)| row);
            row.and_then(|row| self.step(service, row, now, now_unix_ms))
        };
        let Some(step) = step else { return Ok(()) };
        let status = match step.record.phase {
            RolloutPhase::Completed => RolloutStatus::Completed,
            RolloutPhase::RolledBack => RolloutStatus::RolledBack,
            RolloutPhase::Trial | RolloutPhase::Load | RolloutPhase::Full => RolloutStatus::Running,
        };
        let record_key = format!("{RECORD_PREFIX}{service}");
        // A write that the store does late must not undo a later stage.
        let compares = vec![
            KvCompare::ModRevision(DUTY_KEY.to_owned(), claim),
            KvCompare::ModRevision(record_key.clone(), step.record_revision),
        ];
        let mut operations = vec![KvOperation::Put(record_key, encode(&step.record)?, 0)];
        if step.former.is_none() || status != RolloutStatus::Running {
            let (key, value) = node.store_codec.write_status(&step.order, status);
            operations.push(KvOperation::Put(key, Bytes::from(value), 0));
        }
        let outcome = node.store.commit(KvTransaction { compares, operations }).await?;
        if !outcome.committed {
            let fields = slog::o!("service" => service.to_string(), "claim" => claim);
            node.emit(LogEvent::StageRefused, fields);
            return Ok(());
        }
        self.log_stage(service, &step, outcome.revision);
        node.rollouts.lock().put_record(service, step.record, outcome.revision, now);
        Ok(())
    }

    fn log_stage(&self, service: &ids::ServiceName, step: &StageStep, revision: ids::KvRevision) {
        let total = self.tests.get(service).map_or(EvidenceBlock::default(), |tests| tests.total);
        let fields = slog::o!(
            "service" => service.to_string(), "target" => step.record.target.to_string(),
            "from" => step.former.map(RolloutPhase::code), "to" => step.record.phase.code(),
            "answers" => total.to.requests, "errors" => total.to.errors, "slow" => total.to.slow,
            "old_answers" => total.from.requests, "old_errors" => total.from.errors,
            "revision" => revision,
        );
        let event = match step.record.phase {
            RolloutPhase::RolledBack => LogEvent::RolloutRolledBack,
            _ => LogEvent::RolloutAdvanced,
        };
        self.node.emit(event, fields);
    }

    fn step(
        &mut self,
        service: &ids::ServiceName,
        row: &RolloutRow,
        now: Instant,
        now_unix_ms: u64,
    ) -> Option<StageStep> {
        let known = row.known.as_ref()?;
        let elapsed = row.elapsed(now, now_unix_ms);
        let ordered = now_unix_ms.saturating_sub(elapsed.as_millis() as u64);
        let to = |phase, former| StageStep {
            order: known.order.clone(),
            record: RolloutRecord {
                target: known.order.target.clone(),
                order: known.revision,
                phase,
                ordered_unix_ms: row.current().map_or(ordered, |record| record.ordered_unix_ms),
            },
            former,
            record_revision: row.record_revision,
        };
        let Some(current) = row.current() else { return Some(to(RolloutPhase::Trial, None)) };
        let version = VersionRule::Only(known.order.target.clone());
        let replicas = self.node.fleet.lock().ready_replica_count(service, &version);
        let tests = self.count(service, row, known.revision);
        let mut stopped = row.reports.values().filter(|report| report.order == known.revision);
        let view = RolloutView {
            phase: current.phase,
            elapsed,
            in_phase: row.phase_since.map_or(Duration::ZERO, |since| now - since),
            duration: known.order.duration,
            answers: tests.total.to.requests,
            replicas,
            bad: tests.bad() || row.stopped() || stopped.any(|report| report.stopped),
        };
        let phase = rollout_plan::next_phase(&view)?;
        Some(to(phase, Some(current.phase)))
    }

    /// Counts what came since the last look as one block.
    fn count(
        &mut self,
        service: &ids::ServiceName,
        row: &RolloutRow,
        order: ids::KvRevision,
    ) -> &OrderTests {
        let name = self.node.settings.name.clone();
        let tests = self.tests.entry(service.clone()).or_insert_with(|| OrderTests::new(order));
        if tests.order != order {
            *tests = OrderTests::new(order);
        }
        let reports = row.reports.iter().filter(|(_, report)| report.order == order);
        let others = reports.map(|(name, report)| (name.clone(), report.block));
        let mut block = EvidenceBlock::default();
        for (name, report) in others.chain([(name, row.local)]) {
            let counted = tests.counted.insert(name, report).unwrap_or_default();
            block.from.add(&difference(&report.from, &counted.from));
            block.to.add(&difference(&report.to, &counted.to));
        }
        if block != EvidenceBlock::default() {
            tests.tests.record(&block);
            tests.total.add(&block);
        }
        tests
    }
}

impl OrderTests {
    fn new(order: ids::KvRevision) -> Self {
        let tests = RolloutTests::new(TOLERATED_RISE, TOLERATED_RISE);
        Self { order, tests, counted: HashMap::new(), total: EvidenceBlock::default() }
    }

    fn bad(&self) -> bool {
        let share = |side: &VersionEvidence| bad_answers(side) as f64 / side.requests.max(1) as f64;
        let compared = self.total.to.requests >= COMPARED_ANSWERS;
        let worse = share(&self.total.to) - share(&self.total.from) > BAD_DIFFERENCE;
        self.tests.alarm().is_some() || (compared && worse)
    }
}

/// Takes over a record of the rollouts from the store.
pub fn apply_record(node: &RelayNode, entry: &KvEntry) {
    let now = Instant::now();
    if entry.key == DUTY_KEY {
        let name = String::from_utf8_lossy(&entry.value).into_owned();
        let own = name == *node.settings.name;
        node.rollouts.lock().holder = Some((name.as_str().into(), entry.mod_revision));
        if own {
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
                if node.rollouts.lock().put_record(&service.into(), record, revision, now) {
                    node.emit(LogEvent::RolloutPhaseSeen, fields);
                }
            }
            Err(error) => node.log_unreadable_record(&entry.key, &error),
        }
    }
}

/// Notes that a record of the rollouts is gone from the store.
pub fn remove_record(node: &RelayNode, key: &str) {
    if key == DUTY_KEY {
        let holder = node.rollouts.lock().holder.take();
        if holder.is_some_and(|(name, _)| name == node.settings.name) {
            node.emit(LogEvent::HolderLost, slog::o!("claim" => 0));
        }
    }
}

/// Time between two reports without a failure.
pub fn report_interval(members: usize) -> Duration {
    let factor = members.div_ceil(REPORTING_MEMBERS).max(1) as u32;
    (REPORT_INTERVAL * factor).min(LONGEST_REPORT_INTERVAL)
}

fn bad_answers(evidence: &VersionEvidence) -> u64 {
    evidence.errors.max(evidence.slow)
}

/// Counters since the former ones; an instance that has restarted counts from nothing.
fn difference(new: &VersionEvidence, counted: &VersionEvidence) -> VersionEvidence {
    VersionEvidence {
        requests: new.requests.saturating_sub(counted.requests),
        errors: new.errors.saturating_sub(counted.errors),
        rated: new.rated.saturating_sub(counted.rated),
        rated_bad: new.rated_bad.saturating_sub(counted.rated_bad),
        slow: new.slow.saturating_sub(counted.slow),
    }
}

fn encode(record: &impl serde::Serialize) -> Result<Bytes, KvError> {
    let text = serde_json::to_vec(record).map_err(|error| KvError::Refused(error.to_string()))?;
    Ok(Bytes::from(text))
}

fn unix_ms() -> u64 {
    // A clock before 1970 counts as 1970.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
