//! Lease of this node and the owner keys of the claim shards attached to it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{claim_record, claim_shard, claim_table, ids, kv_deadline, kv_store};

/// Time to live of a node's lease.
pub const LEASE_TTL_S: i64 = 10;
/// Time between renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Time between reads of the owner keys by a node that wants no shard. A take that arrives
/// late leaves a key behind that this node does not know of, and blocks the shard's home; a
/// late deletion takes a key away that this node still counts on.
const OWNERS_INTERVAL: Duration = Duration::from_secs(30);

/// Wall clock in milliseconds since 1970.
pub type WallClock = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Lease of this node.
pub struct ClaimLease {
    instance: ids::InstanceName,
    store: Arc<dyn kv_store::KvStore>,
    clock: WallClock,
    table: Arc<Mutex<claim_table::ClaimTable>>,
    state: Mutex<LeaseState>,
    ticking: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct LeaseState {
    held: Option<(ids::LeaseId, Instant)>,
    owners_read_at: Option<Instant>,
    closed: bool,
}

impl ClaimLease {
    /// Lease that is not granted yet.
    pub fn new(
        instance: ids::InstanceName,
        store: Arc<dyn kv_store::KvStore>,
        clock: WallClock,
        table: Arc<Mutex<claim_table::ClaimTable>>,
    ) -> Self {
        let (state, ticking) = (Mutex::default(), tokio::sync::Mutex::default());
        Self { instance, store, clock, table, state, ticking }
    }

    /// Renews the lease, gives back and takes shards, loads those that are not loaded.
    pub async fn tick(&self) -> Result<(), kv_store::KvError> {
        let _turn = self.ticking.lock().await;
        if self.state.lock().closed {
            return Ok(());
        }
        if self.wanted_shards().is_empty() && self.table.lock().shards.is_empty() {
            return self.release().await;
        }
        let lease = self.keep().await?;
        self.expire();
        self.give_back().await?;
        self.take_shards(lease).await?;
        self.load_shards().await
    }

    /// Ends renewals and returns the lease that was held.
    pub fn close(&self) -> Option<ids::LeaseId> {
        let mut state = self.state.lock();
        state.closed = true;
        state.held.take().map(|(lease, _)| lease)
    }

    /// Revokes the lease of a node without shards; most nodes of a large fleet have none.
    async fn release(&self) -> Result<(), kv_store::KvError> {
        let held = self.state.lock().held.take();
        match held {
            Some((lease, _)) => kv_deadline::bounded(self.store.revoke_lease(lease)).await,
            None => Ok(()),
        }
    }

    /// Renews the lease when due, or grants one.
    async fn keep(&self) -> Result<ids::LeaseId, kv_store::KvError> {
        let held = self.state.lock().held;
        if let Some((lease, renewed_at)) = held {
            if renewed_at.elapsed() < RENEWAL_INTERVAL {
                return Ok(lease);
            }
            let asked_at = Instant::now();
            if kv_deadline::bounded(self.store.renew_lease(lease)).await? {
                self.state.lock().held = Some((lease, asked_at));
                return Ok(lease);
            }
            // The owner keys went with the lease.
            self.state.lock().held = None;
            self.table.lock().give_up_all();
        }
        let asked_at = Instant::now();
        let lease = kv_deadline::bounded(self.store.grant_lease(LEASE_TTL_S)).await?;
        self.state.lock().held = Some((lease, asked_at));
        Ok(lease)
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
            self.delete_owner(number, fence).await?;
            // Without the key, or after a refused compare, the shard is not owned any more.
            self.table.lock().give_up(number);
        }
        Ok(())
    }

    /// Gives up the shards whose owner key is not there any more.
    fn drop_lost(&self, owners: &[kv_store::KvEntry]) {
        let mut table = self.table.lock();
        let held = |number: ids::ShardNumber, fence: ids::KvRevision| {
            let key = claim_table::owner_key(number);
            owners.iter().any(|entry| entry.key == key && entry.create_revision == fence)
        };
        let shards = table.shards.iter();
        let lost = shards.filter(|(number, owned)| !held(**number, owned.fence));
        for number in lost.map(|(number, _)| *number).collect::<Vec<_>>() {
            table.give_up(number);
        }
    }

    async fn delete_owner(
        &self,
        number: ids::ShardNumber,
        fence: ids::KvRevision,
    ) -> Result<(), kv_store::KvError> {
        let key = claim_table::owner_key(number);
        let transaction = kv_store::KvTransaction {
            compares: vec![kv_store::KvCompare::CreateRevision(key.clone(), fence)],
            operations: vec![kv_store::KvOperation::Delete(key)],
        };
        kv_deadline::bounded(self.store.commit(transaction)).await?;
        Ok(())
    }

    /// Takes the shards whose home is here and that have no owner.
    async fn take_shards(&self, lease: ids::LeaseId) -> Result<(), kv_store::KvError> {
        let mut wanted = self.wanted_shards();
        let read_at = self.state.lock().owners_read_at;
        if wanted.is_empty() && read_at.is_some_and(|at| at.elapsed() < OWNERS_INTERVAL) {
            return Ok(());
        }
        let owners =
            kv_deadline::bounded(self.store.range(claim_table::OWNER_PREFIX)).await?.entries;
        self.state.lock().owners_read_at = Some(Instant::now());
        self.drop_lost(&owners);
        for entry in owners {
            let number = entry.key.rsplit('/').next().and_then(|text| text.parse().ok());
            let Some(number) = number else { continue };
            wanted.retain(|shard| *shard != number);
            let known = self.table.lock().shards.contains_key(&number);
            if entry.lease != lease || known {
                continue;
            }
            // An earlier take of this node whose answer was lost.
            let home = self.table.lock().home(number);
            if home.as_ref() == Some(&self.instance) {
                let owned = claim_table::OwnedShard::new(entry.create_revision);
                self.table.lock().shards.insert(number, owned);
            } else {
                self.delete_owner(number, entry.create_revision).await?;
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
        let mut unreadable = Ok(());
        for (number, fence) in unloaded {
            let prefix = claim_shard::segment_prefix(number);
            let range = kv_deadline::bounded(self.store.range(&prefix)).await?;
            let claims = match claim_shard::ClaimShard::load(&range.entries) {
                Ok(claims) => claims,
                // Claims of an unreadable shard stay refused; the other shards serve.
                Err(error) => {
                    unreadable = Err(kv_store::KvError::Unreadable(error.to_string()));
                    continue;
                }
            };
            let mut table = self.table.lock();
            if table.fenced(number, fence).is_some() {
                table.install(number, claims, (self.clock)());
            }
        }
        unreadable
    }
}
