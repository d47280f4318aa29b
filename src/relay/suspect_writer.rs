//! Shares suspected prompt parts with the other instances, through records in the store.
//!
//! Each record is written under the condition that it has not changed since it was read. If it has,
//! the change is made again to the current record, so that no instance's evidence is lost.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::mirror_scope::MirrorScope;
use super::relay_node::RelayNode;
use super::suspect_budget::SuspectBudget;
use super::suspect_record::{CrashedProcess, SuspectRecord};
use super::suspect_table::{QuarantineChange, SuspectChange};
use super::trial_claim::TrialClaim;
use crate::event_catalogue::LogEvent;
use crate::ids;
use crate::kv_store::{
    KvCompare, KvEntry, KvError, KvOperation, KvOutcome, KvStore as _, KvTransaction,
};

/// Prefix of the records, by part in hexadecimal.
const RECORD_PREFIX: &str = "yuccareel/suspect/";
/// Prefix of the claims on trials, by part. A claim ends with its lease.
const HOLD_PREFIX: &str = "yuccareel/suspect-hold/";
/// Lease of records, the longest that the store grants. It outlives the instance, as the evidence
/// does not depend on it.
const RECORD_TTL_S: i64 = 600;
/// Age from which the lease for new records is replaced.
const MAX_LEASE_AGE: Duration = Duration::from_secs(300);
/// Longest time after which delayed changes are looked for.
const DELAYED_CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which a call that was cut by a crash waits until the crash is in the store.
const CRASH_WRITE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a claim is kept although its call was not sent, so that the instances together claim
/// a trial no more often while no replica can be reached.
const UNSENT_CLAIM_TIME: Duration = Duration::from_secs(1);
/// Writes with which such a claim is deleted, as the record may change meanwhile.
const MAX_RELEASES: u32 = 3;
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Lease to which this instance attaches records.
struct RecordLease {
    id: ids::LeaseId,
    /// Era of the store in which it was granted.
    era: ids::StoreEra,
    granted_at: Instant,
}

/// Writes changes to the store until the process ends.
pub async fn run(node: Arc<RelayNode>) {
    let mut lease = None;
    let mut budget = SuspectBudget::default();
    loop {
        let has_read = node.has_read_era(MirrorScope::Instances)
            && node.store.store_eras().missing_mark().is_none();
        if !has_read {
            tokio::time::sleep(DELAYED_CHANGE_INTERVAL).await;
            continue;
        }
        // Bounded, as sound answers and objections are written after a delay.
        let time = node.suspects.lock().time_to_change(Instant::now(), DELAYED_CHANGE_INTERVAL);
        let _ = tokio::time::timeout(time, node.suspects_changed.notified()).await;
        let members = node.member_names().all.len();
        let mut changes = {
            let mut suspects = node.suspects.lock();
            suspects.set_member_count(members);
            suspects.due_changes(Instant::now())
        };
        changes.sort_by_key(|change| change.is_single_crash);
        for change in changes {
            if change.is_single_crash && !budget.take(members, Instant::now()) {
                node.suspects.lock().defer_single_crashes();
                break;
            }
            if let Err(error) = write_change(&node, &change, &mut lease).await {
                let fields = slog::o!("call" => "suspect", "error" => error.to_string());
                node.emit(LogEvent::KvFailed, fields);
                lease = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            if change.is_single_crash {
                // Others may have come up meanwhile, which go first.
                node.suspects_changed.notify_one();
                break;
            }
        }
        node.suspects_written.notify_waiters();
    }
}

/// Waits until the crash of a process under these parts is in the store, and the crashes that others
/// have seen under them are known; not longer than `CRASH_WRITE_TIMEOUT`, and not for records that
/// the budget leaves no write for.
pub(super) async fn share_crash(
    node: &RelayNode,
    parts: &[ids::PromptPartId],
    process: &CrashedProcess,
) {
    node.suspects_changed.notify_one();
    let writing = async {
        loop {
            let written = node.suspects_written.notified();
            tokio::pin!(written);
            // Registers before the check, as `notify_waiters` wakes only those that wait.
            written.as_mut().enable();
            if !node.suspects.lock().is_unwritten(parts, process) {
                break;
            }
            written.await;
        }
    };
    let _ = tokio::time::timeout(CRASH_WRITE_TIMEOUT, writing).await;
}

async fn write_change(
    node: &RelayNode,
    change: &SuspectChange,
    lease: &mut Option<RecordLease>,
) -> Result<(), KvError> {
    let record_key = record_key(change.part);
    let operations = match &change.record {
        Some(record) => {
            let lease = record_lease(node, lease).await?;
            vec![KvOperation::Put(record_key.clone(), encode(record)?, lease)]
        }
        None => {
            vec![
                KvOperation::Delete(record_key.clone()),
                KvOperation::Delete(hold_key(change.part)),
            ]
        }
    };
    let compares = vec![KvCompare::ModRevision(record_key, change.revision)];
    let outcome = node.store.commit(KvTransaction { compares, operations }).await?;
    if change.record.is_some() && !outcome.committed && outcome.current.is_empty() {
        // The record or the lease has ended; the store's answers do not tell which.
        *lease = None;
    }
    apply_outcome(node, change, &outcome);
    Ok(())
}

/// Claims the one trial of a quarantined part that is due; `None` if this instance does not get it.
pub(super) async fn claim_trial(
    node: Arc<RelayNode>,
    part: ids::PromptPartId,
) -> Option<TrialClaim> {
    let change = node.suspects.lock().begin_claim(part, Instant::now())?;
    let claim = commit_claim(&node, &change).await;
    let committed = claim.as_ref().ok().filter(|outcome| outcome.committed);
    let trial = committed.map(|outcome| TrialClaim::new(node.clone(), part, outcome.revision));
    let hold_key = hold_key(part);
    let is_record_changed = claim.as_ref().is_ok_and(|outcome| {
        !outcome.committed && outcome.current.iter().all(|entry| entry.key != hold_key)
    });
    match claim {
        Ok(outcome) => apply_outcome(&node, &change, &outcome),
        Err(error) => {
            let fields = slog::o!("call" => "suspect", "error" => error.to_string());
            node.emit(LogEvent::KvFailed, fields);
        }
    }
    let mut suspects = node.suspects.lock();
    if trial.is_some() {
        suspects.set_held(part, true, Instant::now());
    } else if is_record_changed {
        suspects.allow_claim(part);
    } else {
        suspects.record_failed_claim(part, Instant::now());
    }
    trial
}

/// Deletes the claim on a trial that was not sent, so that another prompt can be tried, and no longer
/// counts the trial. A later claim of another instance stays.
pub(super) async fn release_trial(
    node: &RelayNode,
    part: ids::PromptPartId,
    revision: ids::KvRevision,
) {
    tokio::time::sleep(UNSENT_CLAIM_TIME).await;
    for _ in 0..MAX_RELEASES {
        let change = node.suspects.lock().unsent_trial_change(part);
        let outcome = match commit_release(node, part, revision, change.as_ref()).await {
            Ok(outcome) => outcome,
            Err(error) => {
                let fields = slog::o!("call" => "suspect", "error" => error.to_string());
                node.emit(LogEvent::KvFailed, fields);
                return;
            }
        };
        if let Some(change) = &change {
            apply_outcome(node, change, &outcome);
        }
        if outcome.committed {
            node.suspects.lock().set_held(part, false, Instant::now());
            return;
        }
        let hold_key = hold_key(part);
        let is_held = |entry: &KvEntry| entry.key == hold_key && entry.mod_revision == revision;
        if !outcome.current.iter().any(is_held) {
            return;
        }
    }
}

async fn commit_release(
    node: &RelayNode,
    part: ids::PromptPartId,
    revision: ids::KvRevision,
    change: Option<&SuspectChange>,
) -> Result<KvOutcome, KvError> {
    let mut compares = vec![KvCompare::ModRevision(hold_key(part), revision)];
    let mut operations = vec![KvOperation::Delete(hold_key(part))];
    if let Some(SuspectChange { revision, record: Some(record), .. }) = change {
        let lease = node.store.grant_lease(RECORD_TTL_S).await?;
        compares.push(KvCompare::ModRevision(record_key(part), *revision));
        operations.push(KvOperation::Put(record_key(part), encode(record)?, lease));
    }
    node.store.commit(KvTransaction { compares, operations }).await
}

async fn commit_claim(node: &RelayNode, change: &SuspectChange) -> Result<KvOutcome, KvError> {
    let Some(record) = &change.record else {
        return Err(KvError::Refused("a trial needs a record".to_owned()));
    };
    let (record_key, hold_key) = (record_key(change.part), hold_key(change.part));
    let record_lease = node.store.grant_lease(RECORD_TTL_S).await?;
    let hold_ttl_s = i64::try_from(record.trial_interval().as_secs()).unwrap_or(RECORD_TTL_S);
    let hold_lease = node.store.grant_lease(hold_ttl_s).await?;
    let holder = Bytes::copy_from_slice(node.settings.name.as_bytes());
    let transaction = KvTransaction {
        compares: vec![
            KvCompare::ModRevision(record_key.clone(), change.revision),
            KvCompare::ModRevision(hold_key.clone(), 0),
        ],
        operations: vec![
            KvOperation::Put(record_key, encode(record)?, record_lease),
            KvOperation::Put(hold_key, holder, hold_lease),
        ],
    };
    node.store.commit(transaction).await
}

/// Applies the outcome of a conditional write: the new revision, or the record as it stands.
fn apply_outcome(node: &RelayNode, change: &SuspectChange, outcome: &KvOutcome) {
    if outcome.committed {
        node.era_transition.lock().count_rewrite("suspect", Instant::now());
        node.suspects.lock().confirm_written(change, outcome.revision, Instant::now());
    } else {
        let record_key = record_key(change.part);
        match outcome.current.iter().find(|entry| entry.key == record_key) {
            Some(entry) => {
                apply_record(node, entry);
            }
            // After a restoration of the store, the record is still to be written again.
            None if node.suspects.lock().is_rewrite_due(change.part) => {}
            None => node.suspects.lock().remove_record(change.part, Instant::now()),
        }
        // The change is still due, now on the current record.
        node.suspects_changed.notify_one();
    }
    log_quarantine_changes(node);
}

/// Applies an entry of the store; returns whether it is one of this module's.
pub(super) fn apply_record(node: &RelayNode, entry: &KvEntry) -> bool {
    let now = Instant::now();
    if let Some(part) = entry.key.strip_prefix(HOLD_PREFIX) {
        if let Some(part) = parse_part(part) {
            node.suspects.lock().set_held(part, true, now);
        }
        return true;
    }
    let Some(part) = entry.key.strip_prefix(RECORD_PREFIX) else { return false };
    match (parse_part(part), serde_json::from_slice::<SuspectRecord>(&entry.value)) {
        (Some(part), Ok(record)) => {
            node.suspects.lock().apply_record(part, record, entry.mod_revision, now);
            log_quarantine_changes(node);
        }
        (_, Err(error)) => node.log_unreadable_record(&entry.key, &error),
        (None, _) => node.log_unreadable_record(&entry.key, &"part is not a hexadecimal number"),
    }
    true
}

/// Whether the absence of an entry must not count yet, as its record is still to be written again.
pub(super) fn is_rewrite_due(node: &RelayNode, key: &str) -> bool {
    let part = key.strip_prefix(RECORD_PREFIX).and_then(parse_part);
    part.is_some_and(|part| node.suspects.lock().is_rewrite_due(part))
}

/// Applies the deletion of an entry; returns whether it was one of this module's.
pub(super) fn remove_record(node: &RelayNode, key: &str) -> bool {
    let now = Instant::now();
    if let Some(part) = key.strip_prefix(HOLD_PREFIX) {
        if let Some(part) = parse_part(part) {
            node.suspects.lock().set_held(part, false, now);
        }
        return true;
    }
    let Some(part) = key.strip_prefix(RECORD_PREFIX) else { return false };
    if let Some(part) = parse_part(part) {
        node.suspects.lock().remove_record(part, now);
        log_quarantine_changes(node);
    }
    true
}

/// Logs the quarantines that have started or ended.
pub(super) fn log_quarantine_changes(node: &RelayNode) {
    let (changes, quarantined) = {
        let mut suspects = node.suspects.lock();
        let changes = suspects.take_quarantine_changes();
        if changes.is_empty() {
            return;
        }
        (changes, suspects.quarantined_count())
    };
    metrics::gauge!("yuccareel_quarantined_parts").set(quarantined as f64);
    for (part, change) in changes {
        let part = format!("{part:x}");
        match change {
            QuarantineChange::Started { crashes } => {
                node.emit(
                    LogEvent::PartQuarantined,
                    slog::o!("part" => part, "crashes" => crashes),
                );
            }
            QuarantineChange::Ended => {
                node.emit(LogEvent::PartReleased, slog::o!("part" => part));
            }
        }
    }
}

async fn record_lease(
    node: &RelayNode,
    lease: &mut Option<RecordLease>,
) -> Result<ids::LeaseId, KvError> {
    let era = node.store.store_eras().current();
    let is_usable =
        |lease: &&RecordLease| lease.era == era && lease.granted_at.elapsed() < MAX_LEASE_AGE;
    if let Some(lease) = lease.as_ref().filter(is_usable) {
        return Ok(lease.id);
    }
    let id = node.store.grant_lease(RECORD_TTL_S).await?;
    *lease = Some(RecordLease { id, era, granted_at: Instant::now() });
    Ok(id)
}

fn record_key(part: ids::PromptPartId) -> String {
    format!("{RECORD_PREFIX}{part:x}")
}

fn hold_key(part: ids::PromptPartId) -> String {
    format!("{HOLD_PREFIX}{part:x}")
}

fn parse_part(text: &str) -> Option<ids::PromptPartId> {
    ids::PromptPartId::from_str_radix(text, 16).ok()
}

fn encode(record: &SuspectRecord) -> Result<Bytes, KvError> {
    let text = serde_json::to_vec(record).map_err(|error| KvError::Refused(error.to_string()))?;
    Ok(Bytes::from(text))
}
