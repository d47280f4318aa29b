//! Prefix cache of an engine stand-in and the events that it publishes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{engine_client, prefix_index};

/// Prefixes that a cache holds.
pub const CACHE_PREFIXES: usize = 512;
/// Events that an engine keeps for readers.
const LOG_EVENTS: usize = 1_024;

/// Faults of the publication.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EventFaults {
    /// No events are published.
    pub off: bool,
    /// Time after which an event is published.
    pub late_ms: u64,
    /// Every event whose number this divides is lost; none when 0.
    pub lose_every: u64,
}

/// Prefix cache, with counts of what requests found in it.
#[derive(Debug, Default)]
pub struct PrefixCache {
    uses: HashMap<prefix_index::PrefixHash, u64>,
    order: BTreeMap<u64, prefix_index::PrefixHash>,
    next_use: u64,
    sequence: u64,
    log: VecDeque<(Instant, engine_client::EngineCacheEvent)>,
    /// Prefixes of all prompts.
    pub asked: u64,
    /// Those that were cached.
    pub found: u64,
    /// Bytes of all published bodies.
    pub published_bytes: u64,
}

impl PrefixCache {
    /// Takes the prefixes of a prompt; the least recently used ones make room.
    pub fn take(&mut self, prefixes: &[prefix_index::PrefixHash], faults: &EventFaults) {
        let mut event = engine_client::EngineCacheEvent::default();
        for &prefix in prefixes {
            self.asked += 1;
            self.next_use += 1;
            match self.uses.insert(prefix, self.next_use) {
                Some(former) => {
                    self.found += 1;
                    self.order.remove(&former);
                }
                None => event.stored.push(prefix),
            }
            self.order.insert(self.next_use, prefix);
        }
        while self.order.len() > CACHE_PREFIXES
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.uses.remove(&oldest);
            event.evicted.push(oldest);
        }
        if event.stored.is_empty() && event.evicted.is_empty() {
            return;
        }
        self.sequence += 1;
        event.sequence = self.sequence;
        let lost = faults.lose_every > 0 && self.sequence.is_multiple_of(faults.lose_every);
        if !lost {
            self.log.push_back((Instant::now(), event));
        }
        if self.log.len() > LOG_EVENTS {
            self.log.pop_front();
        }
    }

    /// Empties the cache, as a new engine process does.
    pub fn restart(&mut self) {
        *self = Self {
            asked: self.asked,
            found: self.found,
            published_bytes: self.published_bytes,
            ..Self::default()
        };
    }

    /// Published events after a number, up to a number of prefixes but at least one event.
    pub fn events(
        &self,
        after: u64,
        prefixes: usize,
        faults: &EventFaults,
    ) -> Vec<engine_client::EngineCacheEvent> {
        let late = Duration::from_millis(faults.late_ms);
        let (mut events, mut count) = (Vec::new(), 0);
        for (at, event) in &self.log {
            if event.sequence <= after {
                continue;
            }
            count += event.stored.len() + event.evicted.len();
            if at.elapsed() < late || (!events.is_empty() && count > prefixes) {
                break;
            }
            events.push(event.clone());
        }
        events
    }
}
