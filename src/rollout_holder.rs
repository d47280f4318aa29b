//! Holder of the rollout lease: the one node that decides on the stages of all rollouts.
//!
//! The role is a key that is bound to a lease. Every decision is a transaction that compares the
//! create revision of that key, which is the fencing token, and the mod revision of the rollout's
//! state. A holder that was paused past the expiry of its lease thus cannot write, whatever its
//! clock shows. During an outage nothing is written and no rollout changes its stage.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::{config_keys, ids, kv_store, quality_table, records, rollout_stage};

/// Key that holds the process name of the lease holder.
pub const HOLDER_KEY: &str = "rollout/holder";
/// Key prefix of the rollout states.
const STATE_PREFIX: &str = "rollout/state/";
pub const LEASE_TTL_S: i64 = 10;
/// Min time between two renewals of the lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Time between two writes of a running rollout without a decision. A successor loses at most the
/// evidence of this time.
pub const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(10);

/// Role of the lease holder, as of this node's last tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderRole {
    /// Create revision of the holder key; rises with each holder.
    pub token: ids::FencingToken,
    pub lease: ids::LeaseId,
    /// When the answer that granted the role arrived.
    pub acquired_at: Instant,
    /// When the last successful grant or renewal was sent. The lease runs from here for at least
    /// its time to live.
    pub renewed_at: Instant,
}

impl HolderRole {
    /// Whether the lease can still be current by this node's clock.
    pub fn may_be_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.renewed_at)
            < Duration::from_secs(LEASE_TTL_S.unsigned_abs())
    }
}

/// State of a rollout with its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredState {
    pub state: rollout_stage::RolloutState,
    /// Mod revision of its key; 0 if it was never written.
    pub revision: ids::KvRevision,
    /// When this node wrote the state; `None` after a read.
    pub written_at: Option<Instant>,
}

#[derive(Debug, thiserror::Error)]
pub enum HolderError {
    #[error("rollout holder: {0}")]
    Store(#[from] kv_store::KvError),
    #[error("value of {key} cannot be read or written as JSON: {error}")]
    Unreadable { key: String, error: serde_json::Error },
    /// This node is no longer the holder.
    #[error("this instance no longer holds the rollout lease")]
    RoleLost,
    /// The state was written after it was read.
    #[error("rollout state {0} was changed since it was read")]
    Conflict(String),
}

/// One node's client of the rollout lease; writes rollout states while the node holds the lease.
pub struct RolloutHolder {
    store: Arc<dyn kv_store::KvStore>,
    instance: ids::InstanceName,
    role: Option<HolderRole>,
    /// Number of attempts to write a state; part of each decision identifier.
    decisions: u64,
}

pub fn state_key(rollout: &str) -> String {
    format!("{STATE_PREFIX}{rollout}")
}

impl RolloutHolder {
    /// Candidate for the role. `instance` is the process name, which no restarted instance shares.
    pub fn new(store: Arc<dyn kv_store::KvStore>, instance: ids::InstanceName) -> Self {
        Self { store, instance, role: None, decisions: 0 }
    }

    /// Role as of the last tick.
    pub fn role(&self) -> Option<HolderRole> {
        self.role
    }

    /// Renews the lease if that is due, or tries to acquire the role.
    ///
    /// An error leaves the role as it was: each write compares the fencing token, so that a role
    /// that has passed to another node does no harm.
    ///
    /// # Errors
    /// If the key-value service fails.
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
        // If the answer is lost, the next campaign finds this node's name in the key.
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

    /// Resumes a role that was granted in a lost answer.
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

    /// Revokes the lease, so that a successor does not have to wait for its expiry.
    ///
    /// # Errors
    /// If the key-value service fails; the lease then expires on its own.
    pub async fn resign(&mut self) -> Result<(), HolderError> {
        if let Some(role) = self.role.take() {
            self.store.revoke_lease(role.lease).await?;
        }
        Ok(())
    }

    /// Reads the state of a rollout. Returns a new state if none is stored or the stored one is
    /// that of other versions.
    ///
    /// # Errors
    /// If the key-value service fails or the stored state is no valid JSON.
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

    /// Adds the evidence of a tick to the state, decides, and writes the new state if a decision or
    /// a checkpoint is due.
    ///
    /// If the write fails, `stored` keeps the evidence but not the decision, so that no stage
    /// changes during an outage. After `RoleLost` or `Conflict` the caller must read the state
    /// again.
    ///
    /// # Errors
    /// As for `write_state`.
    pub async fn step_rollout(
        &mut self,
        record: &records::rollout::RolloutRecord,
        to_active: bool,
        tick: &rollout_stage::RolloutTick,
        stored: &mut StoredState,
    ) -> Result<rollout_stage::RolloutDecision, HolderError> {
        let decision = stored.state.decide(record, to_active, tick);
        let is_checkpoint_due = stored.state.phase == rollout_stage::RolloutPhase::Running
            && stored.written_at.is_none_or(|written| written.elapsed() >= CHECKPOINT_INTERVAL);
        if decision == rollout_stage::RolloutDecision::Hold && !is_checkpoint_due {
            return Ok(decision);
        }
        let mut next = stored.clone();
        next.state.apply(record, &decision);
        self.write_state(&record.name, &mut next).await?;
        *stored = next;
        Ok(decision)
    }

    /// Writes a state if this node still holds the role and the state is unchanged since its read.
    ///
    /// # Errors
    /// `RoleLost` and `Conflict` if one of these conditions fails; nothing is written then. `Store`
    /// if the key-value service fails, and after a lost answer only if reading the state back does
    /// not show the write. `Unreadable` if the state is no valid JSON.
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
    /// Each deletion also requires that the record's key is absent, so that a holder with an old
    /// configuration cannot delete the state of a new rollout. A record that is added again keeps
    /// its state only if it is added before the deletion.
    ///
    /// # Errors
    /// `RoleLost` if this node no longer holds the role, `Store` if the key-value service fails.
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

    /// Writes one part of the quality summary if this node still holds the role. Called once a
    /// second for one part.
    ///
    /// A part whose write failed is written again, so that a lost answer needs no read.
    ///
    /// # Errors
    /// `RoleLost` if this node no longer holds the role, `Store` if the key-value service fails.
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

    /// Error of a transaction whose comparisons failed. Drops the role if it has passed to another
    /// node.
    fn fence_error(
        &mut self,
        role: &HolderRole,
        current: &[kv_store::KvEntry],
        key: String,
    ) -> HolderError {
        let holds_role = current
            .iter()
            .any(|entry| entry.key == HOLDER_KEY && entry.create_revision == role.token);
        if holds_role {
            return HolderError::Conflict(key);
        }
        self.role = None;
        HolderError::RoleLost
    }

    /// Checks by the decision identifier whether a write without an answer took effect.
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

/// Reads one part of the quality summary, as a new holder does; empty if it was never written.
///
/// # Errors
/// If the key-value service fails or the part is no valid JSON.
pub async fn read_summary(
    store: &dyn kv_store::KvStore,
    part: u64,
) -> Result<Vec<quality_table::CountRow>, HolderError> {
    let key = quality_table::summary_key(part);
    let Some(entry) = store.get(&key).await? else { return Ok(Vec::new()) };
    serde_json::from_slice(&entry.value).map_err(|error| HolderError::Unreadable { key, error })
}

fn to_json(key: &str, value: &(impl serde::Serialize + ?Sized)) -> Result<Bytes, HolderError> {
    let json_error = |error| HolderError::Unreadable { key: key.to_owned(), error };
    serde_json::to_vec(value).map(Bytes::from).map_err(json_error)
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
