//! Periodic task that reads the cache events of engines into the prefix index.
//!
//! A node reads only replicas of its own subset, and only in pools for which it recently had a
//! prompt long enough to have prefixes. It reads a few replicas a second in rotation and a bounded
//! number of prefixes from each: reading its 112 replicas each second would use more than the
//! 10 KB/s that the control plane of a node may use at 10,000 replicas. An idle node reads none.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::{engine_client, ids, node, prefix_index};

const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Replicas read per interval. With `engine_client::EVENT_PREFIXES` prefixes each, the response
/// bodies use 3.9 KB/s in `examples/prefix_hits.rs`.
pub const READS_PER_INTERVAL: usize = 4;
/// Time after the last prompt with prefixes at which a node stops reading the replicas of its pool.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Read of the cache events of one replica.
struct CacheEventRead {
    replica: ids::ReplicaName,
    address: SocketAddr,
    /// Boot and sequence number of the last event in the index; `None` before the first.
    last_event: Option<(ids::BootId, u64)>,
}

impl node::Node {
    /// Reads cache events of the replicas in rotation until the node stops.
    pub async fn run_cache_event_reads(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(READ_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut next_read = 0;
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => return,
                _ = ticks.tick() => self.read_cache_events(&mut next_read).await,
            }
        }
    }

    async fn read_cache_events(&self, next_read: &mut usize) {
        let mut reads = self.cache_event_reads();
        if reads.is_empty() {
            return;
        }
        let start = *next_read % reads.len();
        reads.rotate_left(start);
        reads.truncate(READS_PER_INTERVAL);
        *next_read = start + reads.len();
        let calls =
            reads.iter().map(|read| self.engine.cache_events(read.address, &read.last_event));
        let replies = futures::future::join_all(calls).await;
        for (read, reply) in reads.iter().zip(replies) {
            match reply {
                Ok(reply) => self.apply_cache_events(&read.replica, reply),
                Err(_) => {
                    metrics::counter!("yuccareel_cache_event_reads_failed_total").increment(1);
                }
            }
        }
    }

    fn cache_event_reads(&self) -> Vec<CacheEventRead> {
        let (routes, now) = (self.routes.load(), self.clock());
        let rows = routes.subset.all_members().map(|member| routes.table.row(member.index));
        let mut uses = self.prefix_uses.lock();
        uses.retain(|_, at| now.saturating_sub(*at) < POOL_IDLE_TIMEOUT);
        let used = rows
            .filter(|row| uses.contains_key(&row.pool) && !row.is_leaving && !row.is_reassigned());
        let index = self.prefixes.lock();
        let mut reads: Vec<_> = used
            .map(|row| CacheEventRead {
                replica: row.name.clone(),
                address: row.address,
                last_event: index.last_event(&row.name).cloned(),
            })
            .collect();
        reads.sort_unstable_by(|left, right| left.replica.cmp(&right.replica));
        reads
    }

    fn apply_cache_events(
        &self,
        replica: &ids::ReplicaName,
        reply: engine_client::EngineCacheEvents,
    ) {
        metrics::counter!("yuccareel_cache_events_total").increment(reply.events.len() as u64);
        let mut index = self.prefixes.lock();
        for event in reply.events {
            index.apply_event(&prefix_index::CacheEvent {
                replica: replica.clone(),
                boot: reply.boot.clone(),
                sequence: event.sequence,
                stored: event.stored,
                evicted: event.evicted,
            });
        }
    }
}
