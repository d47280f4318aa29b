//! At-most-once claims over the key-value service.
//!
//! The owner of a shard holds `claim/owner/<shard>` under its node's lease. Every
//! write compares the create revision of that key, so a paused former owner cannot
//! write, whatever its clock says. A claimant sends its call only after the
//! verdict `Run`, which means that the start is stored.
//!
//! A serving node uses one request id per HTTP request, sends the call at most once
//! for it however often it receives `Run`, and does not claim again under it after
//! `abandon`.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::{claim_lease, claim_record, claim_shard, claim_table, ids, kv_deadline, kv_store};

/// Time between looks at leases, owners and members.
const TICK: Duration = Duration::from_secs(1);
/// Least time between two ticks, so that claims of a shard without an owner read the owner keys
/// at most ten times a second.
const TICK_PAUSE: Duration = Duration::from_millis(100);
/// Largest sum of segments in one transaction; etcd refuses requests over 1.5 MB, and base64
/// adds a third.
const WRITE_BYTES: usize = 720_000;
/// Time for which a shutdown tries to store what waits.
const HAND_OVER_TIME: Duration = Duration::from_secs(5);
/// Writes that a flush may repeat because other writes came between.
const WRITE_TRIES: usize = 4;

/// Claims of the shards that this node owns.
pub struct ClaimStore {
    store: Arc<dyn kv_store::KvStore>,
    clock: claim_lease::WallClock,
    table: Arc<Mutex<claim_table::ClaimTable>>,
    lease: claim_lease::ClaimLease,
    flushing: tokio::sync::Mutex<()>,
    wake: tokio::sync::Notify,
    tick_wake: tokio::sync::Notify,
}

/// Shards of one transaction with their fences and segment keys.
type WriteShards = Vec<(ids::ShardNumber, ids::KvRevision, String)>;

impl ClaimStore {
    /// Store of one process, by its process name.
    pub fn new(
        instance: ids::InstanceName,
        store: Arc<dyn kv_store::KvStore>,
        clock: claim_lease::WallClock,
    ) -> Self {
        let table = Arc::new(Mutex::new(claim_table::ClaimTable::new(instance.clone())));
        let lease =
            claim_lease::ClaimLease::new(instance, store.clone(), clock.clone(), table.clone());
        Self {
            store,
            clock,
            table,
            lease,
            flushing: tokio::sync::Mutex::default(),
            wake: tokio::sync::Notify::new(),
            tick_wake: tokio::sync::Notify::new(),
        }
    }

    /// Replaces the live processes, this one included, leaving ones among them.
    pub fn set_members(&self, members: impl IntoIterator<Item = ids::InstanceName>) {
        let members = members.into_iter().collect();
        self.table.lock().set_members(members, (self.clock)());
        self.tick_wake.notify_one();
    }

    /// Replaces the processes that leave: their calls go on, but their shards get other owners.
    pub fn set_leaving(&self, leaving: impl IntoIterator<Item = ids::InstanceName>) {
        self.table.lock().set_leaving(leaving.into_iter().collect());
        self.tick_wake.notify_one();
    }

    /// Claims a key. Returns once the start is stored or the claim is decided otherwise.
    pub async fn claim(&self, request: claim_record::ClaimRequest) -> claim_table::ClaimVerdict {
        let begun = {
            let mut table = self.table.lock();
            if table.awaits(claim_record::shard_of(&request.key)) {
                self.tick_wake.notify_one();
            }
            table.claim(&request, (self.clock)())
        };
        let receiver = match begun {
            Ok(receiver) => receiver,
            Err(verdict) => return verdict,
        };
        self.wake.notify_one();
        let stopped =
            claim_table::ClaimVerdict::Unavailable(claim_table::ClaimUnavailable::Loading);
        receiver.await.unwrap_or(stopped)
    }

    /// Records the answer of a call. The owner replays it from now on and stores it soon.
    pub fn finish(
        &self,
        key: claim_record::ClaimKey,
        request: ids::RequestId,
        answer: claim_record::ClaimAnswer,
    ) -> Result<(), claim_table::ClaimEndError> {
        self.end(&key, request, Some(answer))
    }

    /// Frees the key of a call of which no byte was sent.
    pub fn abandon(
        &self,
        key: claim_record::ClaimKey,
        request: ids::RequestId,
    ) -> Result<(), claim_table::ClaimEndError> {
        self.end(&key, request, None)
    }

    fn end(
        &self,
        key: &claim_record::ClaimKey,
        request: ids::RequestId,
        answer: Option<claim_record::ClaimAnswer>,
    ) -> Result<(), claim_table::ClaimEndError> {
        self.table.lock().end(key, request, answer, (self.clock)())?;
        self.wake.notify_one();
        Ok(())
    }

    /// Answers that this node could not store before it lost their shards. The caller passes
    /// them to `finish` of the new owners.
    pub fn take_orphans(&self) -> Vec<claim_table::ClaimOrphan> {
        self.table.lock().take_orphans()
    }

    /// Shards that are owned and loaded.
    pub fn owned_shards(&self) -> Vec<ids::ShardNumber> {
        let table = self.table.lock();
        let loaded = table.shards.iter().filter(|(_, owned)| owned.claims.is_some());
        loaded.map(|(number, _)| *number).collect()
    }

    /// Renews the lease, gives back and takes shards, loads those that are not loaded.
    pub async fn tick(&self) -> Result<(), kv_store::KvError> {
        self.lease.tick().await
    }

    /// Stores the records that wait, in one transaction over all shards.
    pub async fn flush(&self) -> Result<(), kv_store::KvError> {
        let _turn = self.flushing.lock().await;
        for _ in 0..WRITE_TRIES {
            self.resolve_outstanding().await?;
            let Some((transaction, shards)) = self.begin_write() else { return Ok(()) };
            match kv_deadline::bounded(self.store.commit(transaction)).await {
                Ok(outcome) if outcome.committed => {
                    self.confirm(&shards, outcome.revision);
                    return Ok(());
                }
                Ok(outcome) => self.reject(&shards, &outcome.current),
                Err(error) if error.may_have_written() => {}
                Err(error) => {
                    let mut table = self.table.lock();
                    for (number, fence, _) in &shards {
                        let owned = table.fenced(*number, *fence);
                        if let Some(claims) = owned.and_then(|owned| owned.claims.as_mut()) {
                            claims.log.unwritten();
                        }
                    }
                    table.refuse_starts(&error, (self.clock)());
                    return Err(error);
                }
            }
        }
        let error = kv_store::KvError::NoAnswer("claims are not stored after retries".to_owned());
        self.table.lock().refuse_starts(&error, (self.clock)());
        Err(error)
    }

    /// Reads back one segment of a write without an answer; the write stands or falls as a
    /// whole. A write that is not found may still arrive late: the next write of the segment
    /// compares its revision, so only one of the two takes effect.
    async fn resolve_outstanding(&self) -> Result<(), kv_store::KvError> {
        while let Some(shards) = self.outstanding() {
            self.resolve(&shards).await?;
        }
        Ok(())
    }

    async fn resolve(&self, shards: &WriteShards) -> Result<(), kv_store::KvError> {
        let entry = match kv_deadline::bounded(self.store.get(&shards[0].2)).await {
            Ok(entry) => entry,
            Err(error) => {
                self.table.lock().refuse_starts(&error, (self.clock)());
                return Err(error);
            }
        };
        let mut table = self.table.lock();
        let first = table.fenced(shards[0].0, shards[0].1).and_then(|owned| owned.claims.as_ref());
        let Some(first) = first else { return Ok(()) };
        let revision =
            first.log.is_in(entry.as_ref()).then(|| entry.map_or(0, |entry| entry.mod_revision));
        for (number, fence, _) in shards {
            let Some(owned) = table.fenced(*number, *fence) else { continue };
            match (revision, &mut owned.claims) {
                (Some(revision), _) => owned.written(revision, (self.clock)()),
                (None, Some(claims)) => claims.log.unwritten(),
                (None, None) => {}
            }
        }
        Ok(())
    }

    /// Shards of one transaction whose outcome is not known.
    fn outstanding(&self) -> Option<WriteShards> {
        let table = self.table.lock();
        let mut writes = table.shards.iter().filter_map(|(number, owned)| {
            let write = owned.claims.as_ref()?.log.outstanding()?;
            let key = claim_shard::segment_key(*number, write.segment);
            Some((write.transaction, (*number, owned.fence, key)))
        });
        let (transaction, first) = writes.next()?;
        let others = writes.filter(|(other, _)| *other == transaction).map(|(_, shard)| shard);
        Some(std::iter::once(first).chain(others).collect())
    }

    fn begin_write(&self) -> Option<(kv_store::KvTransaction, WriteShards)> {
        let now_ms = (self.clock)();
        let mut transaction = kv_store::KvTransaction::default();
        let (mut shards, mut room) = (WriteShards::new(), WRITE_BYTES);
        let mut table = self.table.lock();
        let number_of_write = table.next_transaction();
        for (number, owned) in &mut table.shards {
            let Some(claims) = &mut owned.claims else { continue };
            let Some(write) = claims.log.begin_write(number_of_write, room, now_ms) else {
                continue;
            };
            room -= write.value.len();
            let key = claim_shard::segment_key(*number, write.segment);
            let owner = claim_table::owner_key(*number);
            transaction.compares.push(kv_store::KvCompare::CreateRevision(owner, owned.fence));
            let compare = kv_store::KvCompare::ModRevision(key.clone(), write.compare);
            transaction.compares.push(compare);
            let put = kv_store::KvOperation::Put(key.clone(), write.value.clone(), 0);
            transaction.operations.push(put);
            let expired =
                write.expired.iter().map(|segment| claim_shard::segment_key(*number, *segment));
            transaction.operations.extend(expired.map(kv_store::KvOperation::Delete));
            shards.push((*number, owned.fence, key));
        }
        (!shards.is_empty()).then_some((transaction, shards))
    }

    fn confirm(&self, shards: &WriteShards, revision: ids::KvRevision) {
        let mut table = self.table.lock();
        for (number, fence, _) in shards {
            if let Some(owned) = table.fenced(*number, *fence) {
                owned.written(revision, (self.clock)());
            }
        }
    }

    /// Gives up the shards whose fence failed, and prepares the others for another write.
    fn reject(&self, shards: &WriteShards, current: &[kv_store::KvEntry]) {
        let mut table = self.table.lock();
        for (number, fence, key) in shards {
            let owner = claim_table::owner_key(*number);
            let owner = current.iter().find(|entry| entry.key == owner);
            let Some(owned) = table.fenced(*number, *fence) else { continue };
            if owner.is_none_or(|entry| entry.create_revision != *fence) {
                table.give_up(*number);
                continue;
            }
            let Some(claims) = &mut owned.claims else { continue };
            let compare = claims.log.outstanding().map_or(0, |write| write.compare);
            let segment = current.iter().find(|entry| entry.key == *key);
            let adopted = match segment.filter(|entry| entry.mod_revision != compare) {
                Some(entry) => claims.adopt(entry, (self.clock)()).is_ok(),
                None => {
                    claims.log.unwritten();
                    true
                }
            };
            if !adopted {
                table.give_up(*number);
            }
        }
    }

    /// Time between writes: 128 writes/s over at most 64 owners, and never above 10/s.
    pub fn write_interval(&self) -> Duration {
        let owners = self.table.lock().members.len().min(usize::from(claim_record::SHARDS));
        Duration::from_millis(100).max(Duration::from_secs(1) * owners as u32 / 128)
    }

    /// Runs ticks and writes until cancelled, then hands the shards over.
    pub async fn run(&self, stop: CancellationToken) {
        let ticks = async {
            loop {
                // The next tick repeats what an error left undone.
                let ticked = self.tick().await;
                if !self.table.lock().is_idle() {
                    self.wake.notify_one();
                }
                if ticked.is_err() {
                    tokio::time::sleep(TICK).await;
                    continue;
                }
                tokio::time::sleep(TICK_PAUSE).await;
                tokio::select! {
                    () = tokio::time::sleep(TICK - TICK_PAUSE) => {}
                    () = self.tick_wake.notified() => {}
                }
            }
        };
        let writes = async {
            loop {
                self.wake.notified().await;
                let flushed = self.flush().await;
                let (idle, leaving) = {
                    let table = self.table.lock();
                    (table.is_idle(), table.shards.values().any(|owned| owned.leaving))
                };
                if flushed.is_ok() && !idle {
                    self.wake.notify_one();
                }
                // A shard is given back once its last records are stored.
                if flushed.is_ok() && leaving {
                    self.tick_wake.notify_one();
                }
                tokio::time::sleep(self.write_interval()).await;
            }
        };
        tokio::select! {
            () = ticks => {}
            () = writes => {}
            () = stop.cancelled() => {}
        }
        self.hand_over().await;
    }

    /// Stores what waits and releases all shards at once by revoking the lease.
    pub async fn hand_over(&self) {
        let held = self.lease.close();
        for owned in self.table.lock().shards.values_mut() {
            owned.leaving = true;
        }
        let store_all = async {
            while !self.table.lock().is_idle() {
                if self.flush().await.is_err() {
                    tokio::time::sleep(self.write_interval()).await;
                }
            }
        };
        let _ = tokio::time::timeout(HAND_OVER_TIME, store_all).await;
        if let Some(lease) = held {
            // Without an answer the lease lapses by itself.
            let _ = kv_deadline::bounded(self.store.revoke_lease(lease)).await;
        }
        self.table.lock().give_up_all();
    }
}
