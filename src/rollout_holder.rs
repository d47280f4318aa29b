//! Holder of the rollouts: one node that decides on stages.
//!
//! The role is a key under a lease. Every decision is a transaction that compares
//! the create revision of that key and the mod revision of the rollout's state, so
//! that a holder which was paused past its lease cannot write, whatever its clock
//! says. During an outage nothing is written and the stages stay where they are.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::{config_keys, ids, kv_store, quality_table, records, rollout_stage};

/// Key of the holder.
pub const HOLDER_KEY: &str = "rollout/holder";
/// Prefix of the keys of the states.
const STATE_PREFIX: &str = "rollout/state/";
/// Time to live of the holder's lease, in seconds.
pub const LEASE_TTL_S: i64 = 10;
/// Time between two renewals of the lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Time between two writes of evidence without a decision; a successor loses at most this much.
pub const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(10);

/// Role of the holder, as this node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderRole {
    /// Create revision of the holder key.
    pub token: ids::FencingToken,
    /// Lease of the holder key.
    pub lease: ids::LeaseId,
    /// When the role was taken.
    pub acquired_at: Instant,
    /// When the last renewal that succeeded was sent.
    pub renewed_at: Instant,
}

impl HolderRole {
    /// Whether the lease can still run, as far as this node's clock tells.
    pub fn may_be_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.renewed_at)
            < Duration::from_secs(LEASE_TTL_S.unsigned_abs())
    }
}

/// State of a rollout with its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredState {
    /// State.
    pub state: rollout_stage::RolloutState,
    /// Mod revision of its key; 0 when it was never written.
    pub revision: ids::KvRevision,
    /// When this node wrote the state; none after a read.
    pub written_at: Option<Instant>,
}

/// Error of the holder.
#[derive(Debug, thiserror::Error)]
pub enum HolderError {
    /// The key-value service failed.
    #[error("rollout holder: {0}")]
    Store(#[from] kv_store::KvError),
    /// A stored value cannot be read, or one to store cannot be written as JSON.
    #[error("value of {key} is unreadable: {error}")]
    Unreadable {
        /// Key.
        key: String,
        /// Error of the parser.
        error: serde_json::Error,
    },
    /// Another node holds the role.
    #[error("the role of the rollout holder is lost")]
    RoleLost,
    /// The state was written since it was read.
    #[error("rollout state {0} was written by another holder")]
    Conflict(String),
}

/// One node's part in holding the rollouts.
pub struct RolloutHolder {
    store: Arc<dyn kv_store::KvStore>,
    instance: ids::InstanceName,
    role: Option<HolderRole>,
    decisions: u64,
}

/// Key of the state of a rollout.
pub fn state_key(rollout: &str) -> String {
    format!("{STATE_PREFIX}{rollout}")
}

impl RolloutHolder {
    /// Candidate for the role. The instance name is unique per process start.
    pub fn new(store: Arc<dyn kv_store::KvStore>, instance: ids::InstanceName) -> Self {
        Self { store, instance, role: None, decisions: 0 }
    }

    /// Role as of the last tick.
    pub fn role(&self) -> Option<HolderRole> {
        self.role
    }

    /// Renews the lease when it is due, or tries to take the role.
    ///
    /// An error leaves the role as it was: the fence, not this node, decides whether it still holds.
    ///
    /// # Errors
    /// When the key-value service fails.
    pub async fn tick(&mut self) -> Result<Option<HolderRole>, HolderError> {
        match self.role {
            Some(role) => self.renew_if_due(role).await?,
            None => self.campaign().await?,
        }
        Ok(self.role)
    }

    async fn renew_if_due(&mut self, mut role: HolderRole) -> Result<(), HolderError> {
        let sent_at = Instant::now();
        if sent_at.saturating_duration_since(role.renewed_at) < RENEWAL_INTERVAL {
            return Ok(());
        }
        if self.store.renew_lease(role.lease).await? {
            role.renewed_at = sent_at;
            self.role = Some(role);
        } else {
            self.role = None;
        }
        Ok(())
    }

    async fn campaign(&mut self) -> Result<(), HolderError> {
        if let Some(entry) = self.store.get(HOLDER_KEY).await? {
            if entry.value == self.instance.as_bytes() {
                self.resume_role(entry.create_revision, entry.lease).await?;
            }
            return Ok(());
        }
        let sent_at = Instant::now();
        let lease = self.store.grant_lease(LEASE_TTL_S).await?;
        let value = Bytes::copy_from_slice(self.instance.as_bytes());
        let transaction = kv_store::KvTransaction {
            compares: vec![kv_store::KvCompare::CreateRevision(HOLDER_KEY.to_owned(), 0)],
            operations: vec![kv_store::KvOperation::Put(HOLDER_KEY.to_owned(), value, lease)],
        };
        // A lost answer is resolved by the next campaign, which finds this node's name in the key.
        let outcome = self.store.commit(transaction).await?;
        if outcome.committed {
            let acquired_at = Instant::now();
            let token = outcome.revision;
            self.role = Some(HolderRole { token, lease, acquired_at, renewed_at: sent_at });
        } else {
            self.store.revoke_lease(lease).await?;
        }
        Ok(())
    }

    /// Takes up a role that was granted in an answer that got lost.
    async fn resume_role(
        &mut self,
        token: ids::FencingToken,
        lease: ids::LeaseId,
    ) -> Result<(), HolderError> {
        let sent_at = Instant::now();
        if self.store.renew_lease(lease).await? {
            let acquired_at = Instant::now();
            self.role = Some(HolderRole { token, lease, acquired_at, renewed_at: sent_at });
        }
        Ok(())
    }

    /// Gives up the role, so that a successor need not wait for the lease to expire.
    ///
    /// # Errors
    /// When the key-value service fails; the lease then expires by itself.
    pub async fn resign(&mut self) -> Result<(), HolderError> {
        if let Some(role) = self.role.take() {
            self.store.revoke_lease(role.lease).await?;
        }
        Ok(())
    }

    /// Reads the state of a rollout; a new one when none is stored or the record names others.
    ///
    /// # Errors
    /// When the key-value service fails or the state is unreadable.
    pub async fn read_state(
        &self,
        record: &records::rollout::RolloutRecord,
    ) -> Result<StoredState, HolderError> {
        let key = state_key(&record.name);
        let Some(entry) = self.store.get(&key).await? else {
            let state = rollout_stage::RolloutState::new(record);
            return Ok(StoredState { state, revision: 0, written_at: None });
        };
        let stored: rollout_stage::RolloutState = serde_json::from_slice(&entry.value)
            .map_err(|error| HolderError::Unreadable { key, error })?;
        let state = if stored.belongs_to(record) {
            stored
        } else {
            rollout_stage::RolloutState::new(record)
        };
        Ok(StoredState { state, revision: entry.mod_revision, written_at: None })
    }

    /// Takes the evidence of a tick, decides, and writes the outcome under the fence.
    ///
    /// Evidence is kept in `stored` even when the write fails; the stage changes only with it, so
    /// that an outage leaves the stage where it is. After `RoleLost` or `Conflict` the caller reads
    /// the state again.
    ///
    /// # Errors
    /// As for `write`.
    pub async fn step_rollout(
        &mut self,
        record: &records::rollout::RolloutRecord,
        to_active: bool,
        tick: &rollout_stage::RolloutTick,
        stored: &mut StoredState,
    ) -> Result<rollout_stage::RolloutDecision, HolderError> {
        let decision = stored.state.decide(record, to_active, tick);
        let checkpoint_due = stored.state.phase == rollout_stage::RolloutPhase::Running
            && stored.written_at.is_none_or(|written| written.elapsed() >= CHECKPOINT_INTERVAL);
        if decision == rollout_stage::RolloutDecision::Hold && !checkpoint_due {
            return Ok(decision);
        }
        let mut next = stored.clone();
        next.state.apply(record, &decision);
        self.write_state(&record.name, &mut next).await?;
        *stored = next;
        Ok(decision)
    }

    /// Writes a state under the fence.
    ///
    /// # Errors
    /// `RoleLost` and `Conflict` when the fence holds the write back; nothing is written then.
    /// `Store` when the service fails and, after a lost answer, cannot be read either.
    pub async fn write_state(
        &mut self,
        rollout: &str,
        stored: &mut StoredState,
    ) -> Result<(), HolderError> {
        let role = self.role.ok_or(HolderError::RoleLost)?;
        let key = state_key(rollout);
        self.decisions += 1;
        stored.state.decision_id = format!("{}/{}/{}", self.instance, role.token, self.decisions);
        let transaction = fenced_write(&role, &key, stored)?;
        match self.store.commit(transaction).await {
            Ok(outcome) if outcome.committed => {
                stored.revision = outcome.revision;
                stored.written_at = Some(Instant::now());
                Ok(())
            }
            Ok(outcome) => Err(self.fence_error(&role, &outcome.current, key)),
            Err(error) if error.may_have_written() => self.read_back(&key, stored, error).await,
            Err(error) => Err(error.into()),
        }
    }

    /// Deletes the states of rollouts whose records were removed.
    ///
    /// Each deletion compares the record's key as well, so that a holder which does not know of a
    /// new rollout yet cannot delete its state. A record that was added again keeps its state
    /// only when it is added before the deletion.
    ///
    /// # Errors
    /// `RoleLost` when the fence holds a deletion back, `Store` when the service fails.
    pub async fn delete_removed_states(
        &mut self,
        rollouts: &BTreeMap<ids::RolloutName, Arc<records::rollout::RolloutRecord>>,
    ) -> Result<(), HolderError> {
        let role = self.role.ok_or(HolderError::RoleLost)?;
        let entries = self.store.range(STATE_PREFIX).await?.entries;
        for entry in entries {
            let name = entry.key.strip_prefix(STATE_PREFIX).unwrap_or_default();
            if rollouts.contains_key(name) {
                continue;
            }
            let record = config_keys::record_key("rollout", name);
            let transaction = kv_store::KvTransaction {
                compares: vec![
                    kv_store::KvCompare::CreateRevision(HOLDER_KEY.to_owned(), role.token),
                    kv_store::KvCompare::ModRevision(entry.key.clone(), entry.mod_revision),
                    kv_store::KvCompare::ModRevision(record, 0),
                ],
                operations: vec![kv_store::KvOperation::Delete(entry.key.clone())],
            };
            let outcome = self.store.commit(transaction).await?;
            if !outcome.committed
                && let HolderError::RoleLost = self.fence_error(&role, &outcome.current, entry.key)
            {
                return Err(HolderError::RoleLost);
            }
        }
        Ok(())
    }

    /// Writes one part of the quality summary under the fence; called once a second, part by part.
    ///
    /// The next round writes every part again, so that a lost answer needs no read.
    ///
    /// # Errors
    /// `RoleLost` when the fence holds the write back, `Store` when the service fails.
    pub async fn write_summary(
        &mut self,
        part: u64,
        rows: &[quality_table::CountRow],
    ) -> Result<(), HolderError> {
        let role = self.role.ok_or(HolderError::RoleLost)?;
        let key = quality_table::summary_key(part);
        let value = to_json(&key, rows)?;
        let transaction = kv_store::KvTransaction {
            compares: vec![kv_store::KvCompare::CreateRevision(HOLDER_KEY.to_owned(), role.token)],
            operations: vec![kv_store::KvOperation::Put(key.clone(), value, 0)],
        };
        let outcome = self.store.commit(transaction).await?;
        if outcome.committed { Ok(()) } else { Err(self.fence_error(&role, &outcome.current, key)) }
    }

    fn fence_error(
        &mut self,
        role: &HolderRole,
        current: &[kv_store::KvEntry],
        key: String,
    ) -> HolderError {
        let holds = current
            .iter()
            .any(|entry| entry.key == HOLDER_KEY && entry.create_revision == role.token);
        if holds {
            return HolderError::Conflict(key);
        }
        self.role = None;
        HolderError::RoleLost
    }

    /// Finds out whether a write took effect whose answer is missing.
    async fn read_back(
        &self,
        key: &str,
        stored: &mut StoredState,
        error: kv_store::KvError,
    ) -> Result<(), HolderError> {
        let entry = self.store.get(key).await?;
        let Some(entry) = entry else { return Err(error.into()) };
        let found: rollout_stage::RolloutState = serde_json::from_slice(&entry.value)
            .map_err(|error| HolderError::Unreadable { key: key.to_owned(), error })?;
        if found.decision_id != stored.state.decision_id {
            return Err(error.into());
        }
        stored.revision = entry.mod_revision;
        stored.written_at = Some(Instant::now());
        Ok(())
    }
}

/// Reads one part of the quality summary, as a node does when it starts.
///
/// # Errors
/// When the key-value service fails or the part is unreadable.
pub async fn read_summary(
    store: &dyn kv_store::KvStore,
    part: u64,
) -> Result<Vec<quality_table::CountRow>, HolderError> {
    let key = quality_table::summary_key(part);
    let Some(entry) = store.get(&key).await? else { return Ok(Vec::new()) };
    serde_json::from_slice(&entry.value).map_err(|error| HolderError::Unreadable { key, error })
}

fn to_json(key: &str, value: &(impl serde::Serialize + ?Sized)) -> Result<Bytes, HolderError> {
    let unwritable = |error| HolderError::Unreadable { key: key.to_owned(), error };
    serde_json::to_vec(value).map(Bytes::from).map_err(unwritable)
}

fn fenced_write(
    role: &HolderRole,
    key: &str,
    stored: &StoredState,
) -> Result<kv_store::KvTransaction, HolderError> {
    let value = to_json(key, &stored.state)?;
    Ok(kv_store::KvTransaction {
        compares: vec![
            kv_store::KvCompare::CreateRevision(HOLDER_KEY.to_owned(), role.token),
            kv_store::KvCompare::ModRevision(key.to_owned(), stored.revision),
        ],
        operations: vec![kv_store::KvOperation::Put(key.to_owned(), value, 0)],
    })
}
