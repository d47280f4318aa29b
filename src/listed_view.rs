//! Instance list as one node knows it.
//!
//! Whole lists come from the platform or from a peer and carry the time of their read. Peers
//! also push single changes, which are newer than the whole list known here but carry no time
//! of their own. A whole list that was read before a push arrived must not undo that push:
//! a leaving backend server would get new work again.
//!
//! Receivers relay pushes that changed something. Without an order among pushes, an old one
//! ("live") and a new one ("leaving") would undo each other and be relayed for seconds, so a
//! push only moves an entry towards its end; whole lists alone bring it back.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{ids, instance_list, peer_message};

/// Time for which a pushed entry does not bring a removed instance back; pushes are relayed
/// within 2 s each.
const REMOVAL_KEPT: Duration = Duration::from_secs(10);

/// Instance list as last read or received.
#[derive(Clone, Debug, Default)]
pub struct ListedView {
    /// Entries in the order of their names.
    pub entries: Vec<instance_list::ListedInstance>,
    /// Clock of this node when the list was read, here or at a peer.
    pub read_at: Option<Duration>,
    /// Digest of the entries, by which peers notice different lists.
    pub digest: u64,
    /// Clock of this node when peers pushed a change of an entry.
    pushed_at: HashMap<ids::ReplicaName, Duration>,
    /// Removed entries with their address and the clock of the removal.
    removed: HashMap<ids::ReplicaName, (SocketAddr, Duration)>,
}

impl ListedView {
    /// Takes a whole list that is newer than the known one, except for entries that were
    /// pushed after its read; returns what changed.
    pub fn adopt(
        &mut self,
        mut entries: Vec<instance_list::ListedInstance>,
        read_at: Duration,
    ) -> Option<peer_message::PushRequest> {
        if self.read_at.is_some_and(|known| known >= read_at) {
            return None;
        }
        self.pushed_at.retain(|_, pushed_at| *pushed_at >= read_at);
        entries.retain(|entry| !self.pushed_at.contains_key(&entry.name));
        let pushed = self.entries.iter().filter(|entry| self.pushed_at.contains_key(&entry.name));
        entries.extend(pushed.cloned());
        entries.sort_by(|left, right| left.name.cmp(&right.name));
        let changes = changed_entries(&self.entries, &entries);
        self.set(entries, read_at);
        self.read_at = Some(read_at);
        changes
    }

    /// Notes that the list had the digest when it was read elsewhere at `read_at`.
    ///
    /// Without it, each node would read the whole list again once its own read is stale.
    pub fn confirm(&mut self, digest: u64, read_at: Duration) {
        if self.digest == digest && self.read_at.is_some_and(|known| known < read_at) {
            self.read_at = Some(read_at);
        }
    }

    /// Takes changes that a peer pushed; false when nothing was new.
    ///
    /// A push may arrive late, so it does not bring a leaving or removed instance back; a whole
    /// list does.
    pub fn apply_push(&mut self, push: &peer_message::PushRequest, now: Duration) -> bool {
        let mut entries = self.entries.clone();
        for name in &push.removed_instances {
            entries.retain(|entry| entry.name != *name);
        }
        for pushed in push.instances.iter().filter(|pushed| !self.returns(pushed, now)) {
            entries.retain(|entry| entry.name != pushed.name);
            entries.push(pushed.clone());
        }
        entries.sort_by(|left, right| left.name.cmp(&right.name));
        let Some(changes) = changed_entries(&self.entries, &entries) else { return false };
        let changed = changes.instances.into_iter().map(|entry| entry.name);
        for name in changed.chain(changes.removed_instances) {
            self.pushed_at.insert(name, now);
        }
        self.set(entries, now);
        self.read_at.get_or_insert_default();
        true
    }

    /// Whether a pushed entry brings back an instance that is leaving or was removed.
    fn returns(&self, pushed: &instance_list::ListedInstance, now: Duration) -> bool {
        let leaving = self.entries.iter().any(|known| {
            known.name == pushed.name
                && known.address == pushed.address
                && known.state == instance_list::InstanceState::Leaving
                && pushed.state == instance_list::InstanceState::Live
        });
        let removed = self
            .removed
            .get(&pushed.name)
            .is_some_and(|(address, at)| *address == pushed.address && now < *at + REMOVAL_KEPT);
        leaving || removed
    }

    fn set(&mut self, entries: Vec<instance_list::ListedInstance>, at: Duration) {
        self.removed.retain(|name, (_, removed_at)| {
            at < *removed_at + REMOVAL_KEPT && entries.iter().all(|entry| entry.name != *name)
        });
        let gone = |entry: &&instance_list::ListedInstance| {
            entries.binary_search_by(|next| next.name.cmp(&entry.name)).is_err()
        };
        let gone = self.entries.iter().filter(gone);
        self.removed.extend(gone.map(|entry| (entry.name.clone(), (entry.address, at))));
        let bytes = serde_json::to_vec(&entries).unwrap_or_default();
        self.digest = xxh3::xxh3_64(&bytes);
        self.entries = entries;
    }
}

/// Difference of two sorted lists as a push; none when they are equal.
fn changed_entries(
    former: &[instance_list::ListedInstance],
    next: &[instance_list::ListedInstance],
) -> Option<peer_message::PushRequest> {
    let known = |entry: &&instance_list::ListedInstance| {
        let found = former.binary_search_by(|known| known.name.cmp(&entry.name));
        found.is_ok_and(|position| former[position] == **entry)
    };
    let instances: Vec<_> = next.iter().filter(|entry| !known(entry)).cloned().collect();
    let gone = |entry: &&instance_list::ListedInstance| {
        next.binary_search_by(|known| known.name.cmp(&entry.name)).is_err()
    };
    let removed_instances: Vec<_> =
        former.iter().filter(gone).map(|entry| entry.name.clone()).collect();
    if instances.is_empty() && removed_instances.is_empty() {
        return None;
    }
    Some(peer_message::PushRequest { instances, removed_instances, ..Default::default() })
}
