//! Ages of the last exchanges, as a table adds them to a reply and merges them.
//!
//! The entries are in the order of hash and name, so those of a bucket are adjacent.

use std::time::Duration;

use smallvec::SmallVec;

use crate::{member_age, member_digest, member_row, peer_message};

/// Adds the ages of all members to a reply.
pub(crate) fn add_ages(
    entries: &mut [member_row::MemberEntry],
    digests: &member_digest::TableDigest,
    now: Duration,
    other: &member_digest::TableDigest,
    reply: &mut peer_message::HeartbeatReply,
) {
    for (bucket, digest) in other.iter().enumerate() {
        let aged: SmallVec<[_; 32]> = bucket_entries(entries, bucket)
            .map(|entry| {
                let age = member_age::MemberAge::since(entry.exchanged_at, now);
                (entry.row.incarnation, entry.hash, age)
            })
            .collect();
        let written = aged.iter().filter(|(incarnation, _, _)| *incarnation > 0);
        let count = u8::try_from(written.clone().count());
        if let (true, Ok(count)) = (digests[bucket] == *digest, count) {
            if count > 0 {
                reply.matching |= 1 << bucket;
                reply.ages.push(count);
                reply.ages.extend(written.map(|(_, _, age)| age.byte()));
            }
        } else {
            let known = aged.iter().filter(|(_, _, age)| *age != member_age::MemberAge::UNKNOWN);
            reply.keyed_ages.extend(known.map(|&(_, hash, age)| age.keyed(hash)));
        }
    }
}

/// Merges the ages of a reply to a heartbeat with the digests `sent`.
pub(crate) fn merge_ages(
    entries: &mut [member_row::MemberEntry],
    digests: &member_digest::TableDigest,
    sent_at: Duration,
    sent: &member_digest::TableDigest,
    reply: &peer_message::HeartbeatReply,
) {
    let mut rest = reply.ages.as_slice();
    for bucket in (0..member_digest::DIGEST_BUCKETS).filter(|b| reply.matching >> b & 1 == 1) {
        let Some((&count, tail)) = rest.split_first() else { return };
        let Some((ages, tail)) = tail.split_at_checked(usize::from(count)) else { return };
        rest = tail;
        // The table may have changed while the heartbeat was under way.
        if digests[bucket] != sent[bucket] {
            continue;
        }
        let members = bucket_entries(entries, bucket);
        for (entry, &byte) in members.filter(|entry| entry.row.incarnation > 0).zip(ages) {
            if let Some(at) = member_age::MemberAge::from_byte(byte).time_before(sent_at) {
                entry.exchange(at);
            }
        }
    }
}

/// Merges ages with keys.
pub(crate) fn merge_keyed_ages(
    entries: &mut [member_row::MemberEntry],
    sent_at: Duration,
    keyed_ages: &[u32],
) {
    for &keyed in keyed_ages {
        let (age, key) = member_age::MemberAge::from_keyed(keyed);
        let Some(at) = age.time_before(sent_at) else { continue };
        let start = entries.partition_point(|entry| member_digest::hash_key(entry.hash) < key);
        let mut same =
            entries[start..].iter_mut().take_while(|e| member_digest::hash_key(e.hash) == key);
        // Two members with one key cannot be told apart.
        if let (Some(entry), None) = (same.next(), same.next()) {
            entry.exchange(at);
        }
    }
}

/// Entries of one bucket.
pub(crate) fn bucket_entries(
    entries: &mut [member_row::MemberEntry],
    bucket: usize,
) -> impl Iterator<Item = &mut member_row::MemberEntry> {
    let start = entries.partition_point(|entry| member_digest::bucket_of(entry.hash) < bucket);
    entries[start..]
        .iter_mut()
        .take_while(move |entry| member_digest::bucket_of(entry.hash) == bucket)
}
