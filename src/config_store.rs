//! Commits, reads and watches the configuration in the key-value service.
//!
//! A change is one transaction that compares the mod revision of the head, so
//! sequence numbers are dense and every record at a head belongs to it. A lost
//! answer is recognised by the apply id in the history entry.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::BoxStream;
use serde_json::Value;

use crate::config_apply::{ApplyConflict, ApplyError, ApplyOutcome, ConfigApply, ConfigError};
use crate::config_change::ConfigChange;
use crate::config_keys::{self, ConfigHead, ValueError};
use crate::config_plan::{self, ConfigPlan};
use crate::config_snapshot::ConfigSnapshot;
use crate::error_body::RequestRefusal;
use crate::kv_store::{KvError, KvEvent, KvStore};
use crate::{ids, kv_client};

/// Times that a change is planned anew after other changes won.
const PLAN_ATTEMPTS: u32 = 16;
/// Times that one transaction is sent when answers are lost.
const COMMIT_ATTEMPTS: u32 = 3;
/// Times that a snapshot is read anew because changes arrived meanwhile.
const LOAD_ATTEMPTS: u32 = 5;
/// Changes read one by one; more are read as a range, which costs one call.
const SINGLE_READS_MAX: u64 = 16;
/// Longest pause between two attempts; spreads writers that collide.
const PAUSE_MS_MAX: u64 = 50;

/// Newest change with the revision that the next one compares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredHead {
    /// The head.
    pub head: ConfigHead,
    /// Mod revision of its key; 0 before the first change.
    pub revision: ids::KvRevision,
}

/// Configuration in the key-value service.
#[derive(Clone)]
pub struct ConfigStore {
    store: Arc<dyn KvStore>,
}

/// Whether this node may commit now, or the refusal to answer with.
pub type CommitGate<'a> = dyn Fn() -> Result<(), RequestRefusal> + Sync + 'a;

/// What became of a transaction.
enum CommitResult {
    Committed,
    /// Another change came first; the flag says whether an answer was lost before.
    Overtaken(bool),
}

impl ConfigStore {
    /// Configuration behind a key-value store.
    pub fn new(store: Arc<dyn KvStore>) -> Self {
        Self { store }
    }

    /// Reads the head.
    ///
    /// # Errors
    /// When the service fails or the value is unreadable.
    pub async fn head(&self) -> Result<StoredHead, ConfigError> {
        match call(self.store.get(config_keys::HEAD_KEY)).await? {
            None => Ok(StoredHead::default()),
            Some(entry) => Ok(StoredHead {
                head: config_keys::read_head(&entry.value)?,
                revision: entry.mod_revision,
            }),
        }
    }

    /// Reads all records and the head they belong to.
    ///
    /// # Errors
    /// When the service fails or any record is unreadable or has a newer schema.
    pub async fn load_snapshot(&self) -> Result<(ConfigSnapshot, StoredHead), ConfigError> {
        for _ in 0..LOAD_ATTEMPTS {
            let range = call(self.store.range(config_keys::RECORD_PREFIX)).await?;
            let stored = self.head().await?;
            // Records change only together with the head, so a head that is not newer than
            // the range is the head of exactly these records.
            if stored.revision > range.revision {
                continue;
            }
            let records = range
                .entries
                .iter()
                .map(|entry| config_keys::read_record(&entry.key, &entry.value))
                .collect::<Result<Vec<_>, _>>()?;
            return Ok((ConfigSnapshot::from_records(stored.head.sequence, records), stored));
        }
        Err(ConfigError::Unsettled(LOAD_ATTEMPTS))
    }

    /// Reads the changes after one sequence number up to another.
    ///
    /// # Errors
    /// `ChangeMissing` when the history no longer holds one of them.
    pub async fn load_changes(
        &self,
        after: ids::ConfigSequence,
        to: ids::ConfigSequence,
    ) -> Result<Vec<ConfigChange>, ConfigError> {
        let wanted = after + 1..=to;
        let mut changes = Vec::new();
        if to.saturating_sub(after) <= SINGLE_READS_MAX {
            for sequence in wanted {
                let key = config_keys::history_key(sequence);
                let entry = call(self.store.get(&key)).await?;
                let entry = entry.ok_or(ConfigError::ChangeMissing(sequence))?;
                changes.push(config_keys::read_change(&key, &entry.value)?);
            }
            return Ok(changes);
        }
        let range = call(self.store.range(config_keys::HISTORY_PREFIX)).await?;
        let (first, last) = (config_keys::history_key(after + 1), config_keys::history_key(to));
        for entry in range.entries.iter().filter(|entry| entry.key >= first && entry.key <= last) {
            changes.push(config_keys::read_change(&entry.key, &entry.value)?);
        }
        match wanted.clone().zip(&changes).find(|(sequence, change)| change.sequence != *sequence) {
            Some((sequence, _)) => Err(ConfigError::ChangeMissing(sequence)),
            None if changes.len() as u64 != to - after => {
                Err(ConfigError::ChangeMissing(after + 1 + changes.len() as u64))
            }
            None => Ok(changes),
        }
    }

    /// Newest changes first, as stored; their records may have a newer schema.
    ///
    /// # Errors
    /// When the service fails or an entry is no JSON.
    pub async fn history(&self, limit: usize) -> Result<Vec<Value>, ConfigError> {
        let range = call(self.store.range(config_keys::HISTORY_PREFIX)).await?;
        let newest = range.entries.iter().rev().take(limit);
        let read = |entry: &crate::kv_store::KvEntry| {
            serde_json::from_slice(&entry.value).map_err(|error| {
                let (key, message) = (entry.key.clone(), error.to_string());
                ConfigError::Value(ValueError::Unreadable { key, message })
            })
        };
        newest.map(read).collect()
    }

    /// Watches the head for changes after a revision; the stream ends with the connection.
    ///
    /// # Errors
    /// When the watch cannot be opened.
    pub async fn watch_head(
        &self,
        after: ids::KvRevision,
    ) -> Result<BoxStream<'static, Result<StoredHead, ConfigError>>, ConfigError> {
        let events = call(self.store.watch(config_keys::HEAD_KEY, after)).await?;
        let heads = events.filter_map(|event| async move {
            match event {
                Ok(KvEvent::Put(entry)) => Some(
                    config_keys::read_head(&entry.value)
                        .map(|head| StoredHead { head, revision: entry.mod_revision })
                        .map_err(ConfigError::from),
                ),
                Ok(KvEvent::Delete(..)) => None,
                Err(error) => Some(Err(error.into())),
            }
        });
        Ok(heads.boxed())
    }

    /// Commits a change on top of the newest configuration.
    ///
    /// The snapshot in effect saves reading all records when it is current. The gate is asked
    /// immediately before every transaction, because a node that was paused since it took the
    /// call may have lost its right to commit.
    ///
    /// # Errors
    /// See `ApplyError`; only `OutcomeUnknown` leaves open whether the change was written.
    pub async fn apply(
        &self,
        in_effect: Arc<ConfigSnapshot>,
        apply: &ConfigApply,
        gate: &CommitGate<'_>,
    ) -> Result<ApplyOutcome, ApplyError> {
        let mut base = in_effect;
        let mut seen = apply.expected_sequence;
        let mut pending: Option<ids::ConfigSequence> = None;
        for attempt in 0..PLAN_ATTEMPTS {
            if attempt > 0 {
                pause().await;
            }
            let (snapshot, stored) =
                self.catch_up(base).await.map_err(|cause| failure(apply, pending, cause))?;
            base = snapshot;
            let head = stored.head.sequence;
            if let Some(change) =
                self.check_unseen(apply, seen.unwrap_or(head), head, pending).await?
            {
                return Ok(ApplyOutcome::Committed(Arc::new(change)));
            }
            seen = Some(head);
            pending = None;
            let Some(plan) = ConfigPlan::new(&base, stored.revision, apply)? else {
                return Ok(ApplyOutcome::Unchanged(head));
            };
            match self.commit(&plan, gate).await? {
                CommitResult::Committed => return Ok(ApplyOutcome::Committed(plan.change)),
                CommitResult::Overtaken(false) => {}
                CommitResult::Overtaken(true) => pending = Some(plan.change.sequence),
            }
        }
        Err(match pending {
            None => ApplyError::Contended(PLAN_ATTEMPTS),
            Some(_) => failure(apply, pending, ConfigError::Unsettled(PLAN_ATTEMPTS)),
        })
    }

    /// Brings a snapshot up to the head.
    async fn catch_up(
        &self,
        base: Arc<ConfigSnapshot>,
    ) -> Result<(Arc<ConfigSnapshot>, StoredHead), ConfigError> {
        let stored = self.head().await?;
        let (in_effect, newest) = (base.sequence, stored.head.sequence);
        if in_effect == newest {
            return Ok((base, stored));
        }
        if in_effect > newest {
            return Err(ConfigError::StoreBehind { stored: newest, in_effect });
        }
        if in_effect == 0 || newest - in_effect > SINGLE_READS_MAX {
            let (snapshot, stored) = self.load_snapshot().await?;
            return Ok((Arc::new(snapshot), stored));
        }
        let mut snapshot = ConfigSnapshot::clone(&base);
        for change in self.load_changes(in_effect, newest).await? {
            add_change(&mut snapshot, change);
        }
        Ok((Arc::new(snapshot), stored))
    }

    /// Looks through changes that the operator has not seen: for its own apply id,
    /// then for changes to the same records.
    async fn check_unseen(
        &self,
        apply: &ConfigApply,
        seen: ids::ConfigSequence,
        head: ids::ConfigSequence,
        pending: Option<ids::ConfigSequence>,
    ) -> Result<Option<ConfigChange>, ApplyError> {
        let unknown = ApplyError::ExpectedUnknown { expected: seen, head };
        if seen > head {
            return Err(unknown);
        }
        let changes = match self.load_changes(seen, head).await {
            Ok(changes) => changes,
            Err(ConfigError::ChangeMissing(_)) if pending.is_none() => return Err(unknown),
            Err(cause) => return Err(failure(apply, pending, cause)),
        };
        if let Some(own) = changes.iter().find(|change| change.apply_id == apply.apply_id) {
            return Ok(Some(own.clone()));
        }
        match changes.iter().rev().find_map(|change| conflict(apply, change)) {
            Some(conflict) => Err(ApplyError::Conflict(conflict)),
            None => Ok(None),
        }
    }

    async fn commit(
        &self,
        plan: &ConfigPlan,
        gate: &CommitGate<'_>,
    ) -> Result<CommitResult, ApplyError> {
        let change = &plan.change;
        let mut lost: Option<KvError> = None;
        for _ in 0..COMMIT_ATTEMPTS {
            if let Err(refusal) = gate() {
                match lost {
                    None => return Err(ApplyError::Refused(refusal)),
                    Some(_) => break,
                }
            }
            match call(self.store.commit(plan.transaction.clone())).await {
                Ok(outcome) if outcome.committed => return Ok(CommitResult::Committed),
                Ok(_) => return Ok(CommitResult::Overtaken(lost.is_some())),
                Err(error) if error.may_have_written() => lost = Some(error),
                // A refusal says nothing about an earlier attempt whose answer was lost.
                Err(error) if lost.is_some() => lost = Some(error),
                Err(error) => return Err(ApplyError::Store(error.into())),
            }
            // The same transaction may be sent again: its compare admits it at most once.
            match self.writer_of(change.sequence).await {
                Ok(Some(id)) if id == change.apply_id => return Ok(CommitResult::Committed),
                Ok(Some(_)) => return Ok(CommitResult::Overtaken(false)),
                Ok(None) | Err(_) => pause().await,
            }
        }
        let cause = lost.unwrap_or_else(|| KvError::NoAnswer("no attempt".to_owned()));
        Err(ApplyError::OutcomeUnknown {
            apply_id: change.apply_id.clone(),
            sequence: Some(change.sequence),
            cause: cause.into(),
        })
    }

    /// Apply id of a committed change.
    async fn writer_of(
        &self,
        sequence: ids::ConfigSequence,
    ) -> Result<Option<ids::ApplyId>, ConfigError> {
        let entry = call(self.store.get(&config_keys::history_key(sequence))).await?;
        let id = entry.and_then(|entry| {
            let value: Value = serde_json::from_slice(&entry.value).ok()?;
            value["apply_id"].as_str().map(Arc::from)
        });
        Ok(id)
    }
}

/// Puts a change's records into a snapshot and moves its sequence number.
pub fn add_change(snapshot: &mut ConfigSnapshot, change: ConfigChange) {
    for (kind, name) in &change.removals {
        snapshot.remove(kind, name);
    }
    for record in change.puts {
        snapshot.put(record);
    }
    snapshot.sequence = change.sequence;
}

/// Conflict when a change touches a record of the apply.
fn conflict(apply: &ConfigApply, change: &ConfigChange) -> Option<ApplyConflict> {
    let own = |(kind, name): &(String, Arc<str>)| {
        apply.removals.iter().any(|removal| removal.0 == *kind && removal.1 == *name)
            || apply.puts.iter().any(|put| put.record.kind() == kind && put.record.name() == name)
    };
    let mut names = config_plan::changed_names(change);
    names.retain(own);
    (!names.is_empty()).then(|| ApplyConflict {
        author: change.author.clone(),
        apply_id: change.apply_id.clone(),
        sequence: change.sequence,
        names,
    })
}

/// Error of a read: the outcome is unknown while an earlier write is not accounted for.
fn failure(
    apply: &ConfigApply,
    pending: Option<ids::ConfigSequence>,
    cause: ConfigError,
) -> ApplyError {
    match pending {
        None => ApplyError::Store(cause),
        sequence => {
            ApplyError::OutcomeUnknown { apply_id: apply.apply_id.clone(), sequence, cause }
        }
    }
}

/// Bounds a call, whatever the store behind the trait does.
async fn call<T>(answer: impl Future<Output = Result<T, KvError>>) -> Result<T, KvError> {
    match tokio::time::timeout(kv_client::CALL_TIMEOUT, answer).await {
        Ok(answer) => answer,
        Err(elapsed) => Err(KvError::NoAnswer(elapsed.to_string())),
    }
}

async fn pause() {
    let pause_ms = rand::random_range(1..=PAUSE_MS_MAX);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
