//! Nodes known from the instance list and from heartbeats.
//!
//! Rows spread in both directions of a heartbeat and are merged by incarnation.
//! Ages are taken as proof of an exchange only from replies, because only the
//! caller can bound the transit time: a reply proves its ages for the moment at
//! which the request was sent. Rows are spread over 64 buckets by the hash of
//! their name. Buckets with equal digests hold the same rows, so their ages need
//! no names. For the others the replier sends rows, and ages with a part of the
//! hash, because ages must get through while many nodes join or leave at once.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{
    ids, instance_list, member_age, member_digest, member_exchange, member_reach, member_row,
    peer_message,
};

/// Rows in a heartbeat besides the sender's own.
pub const CHANGED_ROWS: usize = 32;
/// Age after which an unlisted node is forgotten. Well above the age of death, so
/// that no node still passes the row on and brings it back.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Heartbeats that carry a row after it changed: four rounds of three. Nodes that
/// are missed find the change by the digest.
const CHANGE_SENDS: u8 = 12;

/// Nodes known to this node.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: ids::InstanceName,
    own_hash: u64,
    /// In the order of hash and name.
    entries: Vec<member_row::MemberEntry>,
    /// Per bucket, the combined digest of the rows that nodes wrote themselves.
    digests: member_digest::TableDigest,
    /// Bucket at which the next reply starts to fill in differing rows.
    next_bucket: usize,
}

impl MemberTable {
    /// Table of a node that knows only itself.
    ///
    /// The incarnation must exceed that of an earlier start under the same name;
    /// the wall clock in milliseconds does. One of 0 is raised to 1.
    pub fn new(mut own: member_row::MemberRow, now: Duration) -> Self {
        own.incarnation = own.incarnation.max(1);
        let own_hash = member_digest::name_hash(&own.name);
        let mut table = Self {
            own: own.name.clone(),
            own_hash,
            entries: Vec::new(),
            digests: [0; member_digest::DIGEST_BUCKETS],
            next_bucket: member_digest::bucket_of(own_hash),
        };
        table.insert(own, now);
        table
    }

    /// Name of this node.
    pub fn own_name(&self) -> &ids::InstanceName {
        &self.own
    }

    /// Entry of this node.
    pub fn own_entry(&self) -> &member_row::MemberEntry {
        &self.entries[self.own_position()]
    }

    /// All entries, this node's included.
    pub fn entries(&self) -> &[member_row::MemberEntry] {
        &self.entries
    }

    /// Entry of a name.
    pub fn find(&self, name: &str) -> Option<&member_row::MemberEntry> {
        self.position(member_digest::name_hash(name), name)
            .ok()
            .map(|position| &self.entries[position])
    }

    /// Digest of each bucket.
    pub fn digests(&self) -> &member_digest::TableDigest {
        &self.digests
    }

    /// Digest of what views of the table show: rows and their states.
    pub fn state_digest(&self, now: Duration) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        for entry in &self.entries {
            hasher.update(&entry.hash.to_le_bytes());
            hasher.update(&entry.row.incarnation.to_le_bytes());
            hasher.update(&[entry.state(now) as u8]);
            hasher.update(&member_row::address_bytes(&entry.row.address));
            hasher.update(entry.row.data_centre.as_bytes());
        }
        hasher.digest()
    }

    /// Members of the last list read, and those reached lately.
    pub fn reach(&self, now: Duration) -> member_reach::MemberReach {
        let listed = self.entries.iter().filter(|entry| entry.listed);
        let mut reach =
            member_reach::MemberReach { listed: listed.clone().count(), ..Default::default() };
        let window = member_reach::outage_window(reach.listed);
        for entry in listed {
            let own = entry.row.name == self.own;
            let age = entry.exchanged_at.map(|at| now.saturating_sub(at));
            let within = |limit| own || age.is_some_and(|age| age <= limit);
            reach.exchanged += usize::from(within(member_reach::REACH_WINDOW));
            reach.exchanged_in_outage += usize::from(within(window));
        }
        reach
    }

    /// Announces in all further heartbeats that this node is leaving.
    pub fn announce_leaving(&mut self) {
        let position = self.own_position();
        let mut row = self.entries[position].row.clone();
        row.leaving = true;
        self.replace(position, row);
    }

    /// Heartbeat to one target, to be sent now.
    pub fn heartbeat(
        &mut self,
        now: Duration,
        status: peer_message::NodeStatus,
    ) -> peer_message::Heartbeat {
        let mut rows = vec![self.own_row(now)];
        for entry in &mut self.entries {
            if rows.len() > CHANGED_ROWS {
                break;
            }
            if entry.sends_left > 0 && entry.row.name != self.own && passed_on(entry, now) {
                entry.sends_left -= 1;
                rows.push(aged_row(entry, now));
            }
        }
        peer_message::Heartbeat { sender: self.own.clone(), status, rows, digests: self.digests }
    }

    /// Merges a heartbeat received now and returns the reply.
    pub fn receive(
        &mut self,
        now: Duration,
        heartbeat: &peer_message::Heartbeat,
        status: peer_message::NodeStatus,
    ) -> peer_message::HeartbeatReply {
        for aged in &heartbeat.rows {
            self.merge_row(aged, now, member_row::MemberEntry::hear);
        }
        let rows = self.reply_rows(now, &heartbeat.digests);
        let mut reply = peer_message::HeartbeatReply {
            status,
            rows,
            ..peer_message::HeartbeatReply::default()
        };
        self.touch_own(now);
        member_exchange::add_ages(
            &mut self.entries,
            &self.digests,
            now,
            &heartbeat.digests,
            &mut reply,
        );
        reply
    }

    /// Merges the reply to a heartbeat.
    pub fn merge_reply(
        &mut self,
        sent_at: Duration,
        sent: &peer_message::Heartbeat,
        reply: &peer_message::HeartbeatReply,
    ) {
        member_exchange::merge_ages(
            &mut self.entries,
            &self.digests,
            sent_at,
            &sent.digests,
            reply,
        );
        member_exchange::merge_keyed_ages(&mut self.entries, sent_at, &reply.keyed_ages);
        self.end_known_changes(sent, reply.matching);
        for aged in &reply.rows {
            self.merge_row(aged, sent_at, member_row::MemberEntry::exchange);
        }
    }

    /// Ends the sending of changed rows that a peer knew before the heartbeat reached it.
    ///
    /// Such rows are no news: a node that starts learns all rows from others, and would
    /// otherwise send each of them 12 times. Nodes that lack one find it by the digest.
    fn end_known_changes(&mut self, sent: &peer_message::Heartbeat, matching: u64) {
        let mut known = matching;
        for aged in &sent.rows {
            known &= !(1 << member_digest::bucket_of(member_digest::name_hash(&aged.row.name)));
        }
        for bucket in (0..member_digest::DIGEST_BUCKETS).filter(|bucket| known >> bucket & 1 == 1) {
            if self.digests[bucket] == sent.digests[bucket] {
                for entry in member_exchange::bucket_entries(&mut self.entries, bucket) {
                    entry.sends_left = 0;
                }
            }
        }
    }

    /// Notes that a heartbeat or push to a node was not answered.
    pub fn note_unanswered(&mut self, now: Duration, name: &str) {
        if let Ok(position) = self.position(member_digest::name_hash(name), name) {
            self.entries[position].unanswered_at = Some(now);
        }
    }

    /// Merges the entry instances of an instance list read now.
    ///
    /// A listed instance is known before its first heartbeat. `Leaving` is obeyed
    /// at once; `Live` says nothing, because the list lags.
    pub fn merge_list(&mut self, now: Duration, list: &[instance_list::ListedInstance]) {
        for entry in &mut self.entries {
            entry.listed = false;
            entry.list_leaving = false;
        }
        for listed in list {
            self.merge_listed(now, listed);
        }
        let own = self.own.clone();
        self.entries
            .retain(|entry| entry.listed || entry.row.incarnation > 0 || entry.row.name == own);
    }

    /// Removes nodes that are not listed and were not heard of for 60 s.
    pub fn forget_dead(&mut self, now: Duration) {
        // A node without peers exchanges no heartbeats, but it is alive all the same.
        self.touch_own(now);
        let (own, digests) = (&self.own, &mut self.digests);
        self.entries.retain(|entry| {
            let expired = now.saturating_sub(entry.heard_at) >= FORGET_AFTER;
            let kept = entry.listed || !expired || entry.row.name == *own;
            if !kept {
                digests[member_digest::bucket_of(entry.hash)] ^=
                    member_digest::row_digest(&entry.row);
            }
            kept
        });
    }

    fn merge_listed(&mut self, now: Duration, listed: &instance_list::ListedInstance) {
        let (instance_list::InstanceRole::Entry, Some(peer_address)) =
            (&listed.role, listed.peer_address)
        else {
            return;
        };
        let row = member_row::MemberRow {
            incarnation: 0,
            leaving: false,
            name: listed.name.clone(),
            address: listed.address,
            peer_address,
            data_centre: listed.data_centre.clone(),
        };
        let position = match self.position(member_digest::name_hash(&row.name), &row.name) {
            Ok(position) => position,
            Err(_) => self.insert(row.clone(), now),
        };
        let entry = &mut self.entries[position];
        entry.listed = true;
        entry.list_leaving = listed.state == instance_list::InstanceState::Leaving;
        if entry.row.incarnation == 0 {
            entry.row = row;
        }
    }

    /// Merges one row; `note` records the time at which its node lived.
    fn merge_row(
        &mut self,
        aged: &peer_message::AgedRow,
        reference: Duration,
        note: fn(&mut member_row::MemberEntry, Duration),
    ) {
        let row = &aged.row;
        if row.incarnation == 0 {
            return;
        }
        let position = match self.position(member_digest::name_hash(&row.name), &row.name) {
            Ok(position) if row.name == self.own => return self.merge_own(position, row),
            Ok(position) => position,
            Err(_) => self.insert(row.clone(), reference),
        };
        if self.entries[position].row < *row {
            self.replace(position, row.clone());
        }
        if let Some(at) = aged.age.time_before(reference) {
            note(&mut self.entries[position], at);
        }
    }

    /// Outbids a row of an earlier start of this node.
    fn merge_own(&mut self, position: usize, row: &member_row::MemberRow) {
        let own = &self.entries[position].row;
        if row.incarnation > own.incarnation {
            let incarnation = row.incarnation.saturating_add(1);
            let outbid = member_row::MemberRow { incarnation, ..own.clone() };
            self.replace(position, outbid);
        }
    }

    /// Own row, then rows of buckets that differ, then changed rows.
    fn reply_rows(
        &mut self,
        now: Duration,
        other: &member_digest::TableDigest,
    ) -> Vec<peer_message::AgedRow> {
        let mut rows = vec![self.own_row(now)];
        let start = self.next_bucket;
        for offset in 0..member_digest::DIGEST_BUCKETS {
            let bucket = (start + offset) % member_digest::DIGEST_BUCKETS;
            if self.digests[bucket] == other[bucket] {
                continue;
            }
            self.next_bucket = (bucket + 1) % member_digest::DIGEST_BUCKETS;
            for entry in member_exchange::bucket_entries(&mut self.entries, bucket) {
                if rows.len() > CHANGED_ROWS {
                    return rows;
                }
                if entry.row.name != self.own && passed_on(entry, now) {
                    rows.push(aged_row(entry, now));
                }
            }
        }
        rows
    }

    fn own_row(&mut self, now: Duration) -> peer_message::AgedRow {
        self.touch_own(now);
        aged_row(self.own_entry(), now)
    }

    fn touch_own(&mut self, now: Duration) {
        let position = self.own_position();
        self.entries[position].exchange(now);
    }

    fn own_position(&self) -> usize {
        self.position(self.own_hash, &self.own).expect("the own row is never removed")
    }

    fn position(&self, hash: u64, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| (entry.hash, &*entry.row.name).cmp(&(hash, name)))
    }

    fn insert(&mut self, row: member_row::MemberRow, heard_at: Duration) -> usize {
        let hash = member_digest::name_hash(&row.name);
        let position = self.position(hash, &row.name).unwrap_or_else(|position| position);
        self.digests[member_digest::bucket_of(hash)] ^= member_digest::row_digest(&row);
        let entry = member_row::MemberEntry {
            row,
            listed: false,
            list_leaving: false,
            heard_at,
            exchanged_at: None,
            unanswered_at: None,
            sends_left: CHANGE_SENDS,
            hash,
        };
        self.entries.insert(position, entry);
        position
    }

    fn replace(&mut self, position: usize, row: member_row::MemberRow) {
        let entry = &mut self.entries[position];
        self.digests[member_digest::bucket_of(entry.hash)] ^=
            member_digest::row_digest(&entry.row) ^ member_digest::row_digest(&row);
        entry.row = row;
        entry.sends_left = CHANGE_SENDS;
    }
}

/// Whether a row is passed on to other nodes.
fn passed_on(entry: &member_row::MemberEntry, now: Duration) -> bool {
    entry.row.incarnation > 0 && entry.state(now) != member_row::MemberState::Dead
}

fn aged_row(entry: &member_row::MemberEntry, now: Duration) -> peer_message::AgedRow {
    let age = member_age::MemberAge::since(entry.exchanged_at, now);
    peer_message::AgedRow { row: entry.row.clone(), age }
}
