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
        let Some(lease) = self.keep().await? else { return Ok(()) };
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

    /// Renews the lease when due, or grants one; none once released.
    async fn keep(&self) -> Result<Option<ids::LeaseId>, kv_store::KvError> {
        let held = {
            let lease = self.state.lock();
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
                self.state.lock().held = Some((lease, asked_at));
                return Ok(Some(lease));
            }
            // The owner keys went with the lease.
            self.state.lock().held = None;
            self.table.lock().give_up_all();
        }
        let asked_at = Instant::now();
        let lease = kv_deadline::bounded(self.store.grant_lease(LEASE_TTL_S)).await?;
        self.state.lock().held = Some((lease, asked_at));
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
}
