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

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{claim_record, claim_shard, claim_table, ids, kv_deadline, kv_store};

/// Time to live of a node's lease.
pub const LEASE_TTL_S: i64 = 10;
/// Time between renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Time between looks at leases, owners and members.
const TICK: Duration = Duration::from_secs(1);
/// Largest sum of segments in one transaction; etcd refuses requests over 1.5 MB, and base64
/// adds a third.
const WRITE_BYTES: usize = 720_000;
/// Time for which a shutdown tries to store what waits.
const HAND_OVER_TIME: Duration = Duration::from_secs(5);
/// Writes that a flush may repeat because other writes came between.
const WRITE_TRIES: usize = 4;

/// Wall clock in milliseconds since 1970.
pub type WallClock = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Claims of the shards that this node owns.
pub struct ClaimStore {
    instance: ids::InstanceName,
    store: Arc<dyn kv_store::KvStore>,
    clock: WallClock,
    table: Mutex<claim_table::ClaimTable>,
    lease: Mutex<LeaseState>,
    ticking: tokio::sync::Mutex<()>,
    flushing: tokio::sync::Mutex<()>,
    wake: tokio::sync::Notify,
}

#[derive(Debug, Default)]
struct LeaseState {
    held: Option<(ids::LeaseId, Instant)>,
    closed: bool,
}

/// Shards of one transaction with their fences and segment keys.
type WriteShards = Vec<(ids::ShardNumber, ids::KvRevision, String)>;

impl ClaimStore {
    /// Store of one process, by its process name.
    pub fn new(
        instance: ids::InstanceName,
        store: Arc<dyn kv_store::KvStore>,
        clock: WallClock,
    ) -> Self {
        Self {
            instance,
            store,
            clock,
            table: Mutex::default(),
            lease: Mutex::default(),
            ticking: tokio::sync::Mutex::default(),
            flushing: tokio::sync::Mutex::default(),
            wake: tokio::sync::Notify::new(),
        }
    }

    /// Replaces the live processes, this one included.
    pub fn set_members(&self, members: impl IntoIterator<Item = ids::InstanceName>) {
        let members = members.into_iter().collect();
        self.table.lock().set_members(members, (self.clock)());
    }

    /// Claims a key. Returns once the start is stored or the claim is decided otherwise.
    pub async fn claim(&self, request: claim_record::ClaimRequest) -> claim_table::ClaimVerdict {
        let begun = self.table.lock().claim(&request, (self.clock)());
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
        self.end(claim_table::ClaimOrphan { key, request, answer: Some(answer) })
    }

    /// Frees the key of a call of which no byte was sent.
    pub fn abandon(
        &self,
        key: claim_record::ClaimKey,
        request: ids::RequestId,
    ) -> Result<(), claim_table::ClaimEndError> {
        self.end(claim_table::ClaimOrphan { key, request, answer: None })
    }

    /// Ends a call; also takes the orphans of a former owner.
    pub fn end(&self, orphan: claim_table::ClaimOrphan) -> Result<(), claim_table::ClaimEndError> {
        self.table.lock().end(orphan, (self.clock)())?;
        self.wake.notify_one();
        Ok(())
    }

    /// Ends of calls that this node could not store before it lost their shards. They belong
    /// to the new owners.
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
        let _turn = self.ticking.lock().await;
        let Some(lease) = self.keep_lease().await? else { return Ok(()) };
        self.expire();
        self.give_back().await?;
        self.take_shards(lease).await?;
        self.load_shards().await
    }

    async fn keep_lease(&self) -> Result<Option<ids::LeaseId>, kv_store::KvError> {
        let held = {
            let lease = self.lease.lock();
            if lease.closed {
                return Ok(None);
            }
            lease.held
        };
        if let Some((lease, renewed_at)) = held {
            if renewed_at.elapsed() < RENEWAL_INTERVAL {
                return Ok(Some(lease));
            }
            let asked_at = Instant::now();
            if kv_deadline::bounded(self.store.renew_lease(lease)).await? {
                self.lease.lock().held = Some((lease, asked_at));
                return Ok(Some(lease));
            }
            // The owner keys went with the lease.
            self.lease.lock().held = None;
            self.table.lock().give_up_all();
        }
        let asked_at = Instant::now();
        let lease = kv_deadline::bounded(self.store.grant_lease(LEASE_TTL_S)).await?;
        self.lease.lock().held = Some((lease, asked_at));
        Ok(Some(lease))
    }

    fn expire(&self) {
        let now_ms = (self.clock)();
        let mut table = self.table.lock();
        let claims = table.shards.values_mut().filter_map(|owned| owned.claims.as_mut());
        claims.for_each(|claims| claims.expire(now_ms));
    }

    /// Deletes the owner keys of idle shards whose home is elsewhere.
    async fn give_back(&self) -> Result<(), kv_store::KvError> {
        let mut idle = Vec::new();
        {
            let mut table = self.table.lock();
            for number in table.shards.keys().copied().collect::<Vec<_>>() {
                let leaving = table.home(number).is_some_and(|home| home != self.instance);
                let Some(owned) = table.shards.get_mut(&number) else { continue };
                owned.leaving = leaving;
                if leaving && owned.claims.as_ref().is_none_or(|claims| claims.log.is_idle()) {
                    idle.push((number, owned.fence));
                }
            }
        }
        for (number, fence) in idle {
            let key = claim_table::owner_key(number);
            let transaction = kv_store::KvTransaction {
                compares: vec![kv_store::KvCompare::CreateRevision(key.clone(), fence)],
                operations: vec![kv_store::KvOperation::Delete(key)],
            };
            // Without the key, or after a refused compare, the shard is not owned any more.
            kv_deadline::bounded(self.store.commit(transaction)).await?;
            self.table.lock().give_up(number);
        }
        Ok(())
    }

    /// Takes the shards whose home is here and that have no owner.
    async fn take_shards(&self, lease: ids::LeaseId) -> Result<(), kv_store::KvError> {
        let mut wanted = self.wanted_shards();
        if wanted.is_empty() {
            return Ok(());
        }
        let owners =
            kv_deadline::bounded(self.store.range(claim_table::OWNER_PREFIX)).await?.entries;
        for entry in owners {
            let number = entry.key.rsplit('/').next().and_then(|text| text.parse().ok());
            let Some(place) = wanted.iter().position(|shard| Some(*shard) == number) else {
                continue;
            };
            let number = wanted.swap_remove(place);
            // The answer of an earlier attempt was lost.
            if entry.lease == lease {
                let owned = claim_table::OwnedShard::new(entry.create_revision);
                self.table.lock().shards.insert(number, owned);
            }
        }
        if wanted.is_empty() {
            return Ok(());
        }
        let value = Bytes::copy_from_slice(self.instance.as_bytes());
        let keys = wanted.iter().map(|number| claim_table::owner_key(*number));
        let (compares, operations) = keys
            .map(|key| {
                let put = kv_store::KvOperation::Put(key.clone(), value.clone(), lease);
                (kv_store::KvCompare::CreateRevision(key, 0), put)
            })
            .unzip();
        let transaction = kv_store::KvTransaction { compares, operations };
        let outcome = kv_deadline::bounded(self.store.commit(transaction)).await?;
        if outcome.committed {
            let mut table = self.table.lock();
            for number in wanted {
                table.shards.insert(number, claim_table::OwnedShard::new(outcome.revision));
            }
        }
        Ok(())
    }

    fn wanted_shards(&self) -> Vec<ids::ShardNumber> {
        let table = self.table.lock();
        let here = |shard: &ids::ShardNumber| {
            table.home(*shard).is_some_and(|home| home == self.instance)
                && !table.shards.contains_key(shard)
        };
        (0..claim_record::SHARDS).filter(here).collect()
    }

    /// Loads the segments of shards. They are read after the owner key is held, so no former
    /// owner can add to them.
    async fn load_shards(&self) -> Result<(), kv_store::KvError> {
        let unloaded: Vec<_> = {
            let table = self.table.lock();
            let unloaded = table.shards.iter().filter(|(_, owned)| owned.claims.is_none());
            unloaded.map(|(number, owned)| (*number, owned.fence)).collect()
        };
        for (number, fence) in unloaded {
            let prefix = claim_shard::segment_prefix(number);
            let range = kv_deadline::bounded(self.store.range(&prefix)).await?;
            let claims = claim_shard::ClaimShard::load(&range.entries)
                .map_err(|error| kv_store::KvError::Unreadable(error.to_string()))?;
            let mut table = self.table.lock();
            if table.fenced(number, fence).is_some() {
                table.install(number, claims, (self.clock)());
            }
        }
        Ok(())
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
        let Some(shards) = self.outstanding() else { return Ok(()) };
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
        for (number, fence, _) in &shards {
            let Some(owned) = table.fenced(*number, *fence) else { continue };
            match (revision, &mut owned.claims) {
                (Some(revision), _) => owned.written(revision, (self.clock)()),
                (None, Some(claims)) => claims.log.unwritten(),
                (None, None) => {}
            }
        }
        Ok(())
    }

    fn outstanding(&self) -> Option<WriteShards> {
        let table = self.table.lock();
        let rows = table.shards.iter().filter_map(|(number, owned)| {
            let write = owned.claims.as_ref()?.log.outstanding()?;
            Some((*number, owned.fence, claim_shard::segment_key(*number, write.segment)))
        });
        let shards: WriteShards = rows.collect();
        (!shards.is_empty()).then_some(shards)
    }

    fn begin_write(&self) -> Option<(kv_store::KvTransaction, WriteShards)> {
        let now_ms = (self.clock)();
        let mut transaction = kv_store::KvTransaction::default();
        let (mut shards, mut room) = (WriteShards::new(), WRITE_BYTES);
        for (number, owned) in &mut self.table.lock().shards {
            let Some(claims) = &mut owned.claims else { continue };
            let Some(write) = claims.log.begin_write(room, now_ms) else { continue };
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
                let _ = self.tick().await;
                if !self.table.lock().is_idle() {
                    self.wake.notify_one();
                }
                tokio::time::sleep(TICK).await;
            }
        };
        let writes = async {
            loop {
                self.wake.notified().await;
                let flushed = self.flush().await;
                if flushed.is_ok() && !self.table.lock().is_idle() {
                    self.wake.notify_one();
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
        let held = {
            let mut lease = self.lease.lock();
            lease.closed = true;
            lease.held.take()
        };
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
        if let Some((lease, _)) = held {
            // Without an answer the lease lapses by itself.
            let _ = kv_deadline::bounded(self.store.revoke_lease(lease)).await;
        }
        self.table.lock().give_up_all();
    }
}
