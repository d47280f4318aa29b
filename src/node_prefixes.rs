//! Prefix system: reads what engines publish about their prefix caches.
//!
//! A node reads only replicas of its own subset, and of those only the pools for which it lately had
//! a prompt long enough to have prefixes; a few a second in turn, and a bounded number of prefixes
//! each. Reading its 112 replicas each second would cost more than the 10 KB/s that the control
//! plane of a node may use at 10,000 replicas. An idle node reads none.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::{engine_client, ids, node, prefix_index};

/// Time between two rounds of readings.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Replicas read in a round. With `engine_client::EVENT_PREFIXES` each, the bodies took 3.9 KB/s in
/// `examples/prefix_hits.rs`.
pub const READS_PER_ROUND: usize = 4;
/// Time since the last prompt with prefixes after which the replicas of its pool are not read.
const USED_TIME: Duration = Duration::from_secs(10);

/// Replica whose events are read, with the last event known of it.
struct EventReader {
    replica: ids::ReplicaName,
    address: SocketAddr,
    known: Option<(ids::BootId, u64)>,
}

impl node::Node {
    /// Reads cache events in turn.
    pub async fn run_cache_event_reads(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut turn = 0;
        loop {
            tokio::select! {
                () = self.stopped.cancelled() => return,
                _ = ticks.tick() => self.read_events(&mut turn).await,
            }
        }
    }

    async fn read_events(&self, turn: &mut usize) {
        let mut readers = self.event_readers();
        if readers.is_empty() {
            return;
        }
        let start = *turn % readers.len();
        readers.rotate_left(start);
        readers.truncate(READS_PER_ROUND);
        *turn = start + readers.len();
        let reads =
            readers.iter().map(|reader| self.engine.cache_events(reader.address, &reader.known));
        let replies = futures::future::join_all(reads).await;
        for (reader, reply) in readers.iter().zip(replies) {
            match reply {
                Ok(reply) => self.apply_events(&reader.replica, reply),
                Err(_) => {
                    metrics::counter!("yuccareel_cache_event_reads_failed_total").increment(1);
                }
            }
        }
    }

    fn event_readers(&self) -> Vec<EventReader> {
        let (routes, now) = (self.routes.load(), self.clock());
        let rows = routes.subset.all_members().map(|member| routes.table.row(member.index));
        let mut uses = self.prefix_uses.lock();
        uses.retain(|_, at| now.saturating_sub(*at) < USED_TIME);
        let used = rows
            .filter(|row| uses.contains_key(&row.pool) && !row.is_leaving && !row.is_reassigned());
        let index = self.prefixes.lock();
        let mut readers: Vec<_> = used
            .map(|row| EventReader {
                replica: row.name.clone(),
                address: row.address,
                known: index.last_event(&row.name).cloned(),
            })
            .collect();
        readers.sort_unstable_by(|left, right| left.replica.cmp(&right.replica));
        readers
    }

    fn apply_events(&self, replica: &ids::ReplicaName, reply: engine_client::EngineCacheEvents) {
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
