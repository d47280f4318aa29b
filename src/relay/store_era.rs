//! Order of states of a store that may be restored from an old copy.
//!
//! A store that is restored from a copy loses its last writes and issues their revisions again, but
//! then counts an era up. The era is joined to each revision that is read, so that all comparisons
//! of revisions order by (era, revision). A store without eras is in era 0, in which revisions
//! stay as they are.
//!
//! The rules of this module say how long a record that is missing after a restoration may still be
//! written again, and when this instance writes again what it knows, so that a large fleet causes
//! no burst.

use std::time::Duration;

use super::mirror_scope::MirrorScope;
use crate::{ids, rendezvous};

/// Bits of a joined revision that hold the revision of the store: enough for 10,000 writes a second
/// over 27 years.
const REVISION_BITS: u32 = 43;
const REVISION_MASK: i64 = (1 << REVISION_BITS) - 1;
/// Highest era that fits beside the revision.
pub const MAX_ERA: ids::StoreEra = (1 << 20) - 1;
/// Time for which operators may write a record again that was undone.
pub const OPERATOR_REWRITE_TIME: Duration = Duration::from_secs(30);
/// The same for replicas, which write about once a second, and for instances, which write within
/// [`MAX_REWRITE_DELAY`].
pub const REPLICA_REWRITE_TIME: Duration = Duration::from_secs(6);
pub const INSTANCE_REWRITE_TIME: Duration = Duration::from_secs(12);
/// Longest delay of a write by which an instance repeats what it knows.
pub const MAX_REWRITE_DELAY: Duration = Duration::from_secs(8);
/// Time over which records that all instances know are spread: at most 1,024 in 4 s.
const SHARED_RECORD_SPREAD: Duration = Duration::from_secs(4);
/// Time that an instance leaves to the one ranked before it. A written record reaches the mirrors
/// of the others within about a second, but the first few writes of a record are not a burst.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Mean time between the writes of all instances that repeat a record of their own.
const OWN_RECORD_SPACING: Duration = Duration::from_millis(5);

/// Era of a response, compared with the highest one seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraReading {
    /// First era that is seen, or the same again.
    Current,
    /// The store was restored: what rests on a lower era has ended.
    Raised,
    /// The response was made before the restoration.
    Old,
}

/// Compares the era of a response with the highest one seen.
pub fn read_era(known: Option<ids::StoreEra>, seen: ids::StoreEra) -> EraReading {
    match known {
        None => EraReading::Current,
        Some(known) if seen == known => EraReading::Current,
        Some(known) if seen > known => EraReading::Raised,
        Some(_) => EraReading::Old,
    }
}

/// Joins an era and a revision; `None` if they do not fit. Revision 0, for no record, has no era.
pub fn join(era: ids::StoreEra, revision: ids::KvRevision) -> Option<ids::KvRevision> {
    if era == 0 || revision == 0 {
        return Some(revision);
    }
    let fits = era <= MAX_ERA && (0..=REVISION_MASK).contains(&revision);
    fits.then(|| (i64::from(era) << REVISION_BITS) | revision)
}

/// Era that a store states as this number. Era 0 is that of a store that states none.
pub fn era_stated_as(number: u32) -> Option<ids::StoreEra> {
    number.checked_add(1).filter(|era| *era <= MAX_ERA)
}

/// Number with which the store states an era, for logs.
pub fn stated_era(era: ids::StoreEra) -> u32 {
    era.saturating_sub(1)
}

/// First joined revision of an era.
pub fn start_of(era: ids::StoreEra) -> ids::KvRevision {
    i64::from(era.min(MAX_ERA)) << REVISION_BITS
}

/// Era of a joined revision.
pub fn era_of(revision: ids::KvRevision) -> ids::StoreEra {
    ids::StoreEra::try_from(revision >> REVISION_BITS).unwrap_or_default()
}

/// Revision of the store in a joined revision.
pub fn plain_revision(revision: ids::KvRevision) -> ids::KvRevision {
    revision & REVISION_MASK
}

/// Revision to be sent to a store in this era; `None` if it belongs to another one.
pub fn sent_revision(known: ids::StoreEra, revision: ids::KvRevision) -> Option<ids::KvRevision> {
    if known == 0 || revision == 0 {
        return Some(revision);
    }
    (era_of(revision) == known).then(|| plain_revision(revision))
}

/// Time after a restoration for which a missing record of a scope does not count as deleted.
pub fn rewrite_time(scope: MirrorScope) -> Duration {
    match scope {
        MirrorScope::Operators => OPERATOR_REWRITE_TIME,
        MirrorScope::Replicas => REPLICA_REWRITE_TIME,
        MirrorScope::Instances => INSTANCE_REWRITE_TIME,
    }
}

/// Delay after which an instance writes a record again that all of them know. The instances follow
/// one another by their ranks for the record; one that sees it written does not write it.
pub fn shared_rewrite_delay<'a>(
    key: &str,
    own_name: &str,
    members: impl IntoIterator<Item = &'a ids::InstanceName>,
) -> Duration {
    let own_rank = rendezvous::member_rank(key, own_name);
    let is_before = |member: &&ids::InstanceName| rendezvous::member_rank(key, member) > own_rank;
    let before = members.into_iter().filter(is_before).count();
    let slot = SHARED_RECORD_SPREAD.mul_f64(fraction(rendezvous::member_rank("rewrite", key)));
    let turn = RANK_DELAY.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX));
    let last_turn = MAX_REWRITE_DELAY - SHARED_RECORD_SPREAD;
    if turn < last_turn {
        return slot + turn;
    }
    // The others come in when nobody of the first ones has written, spread by their ranks.
    slot.max(SHARED_RECORD_SPREAD.mul_f64(fraction(own_rank))) + last_turn
}

/// Delay after which an instance writes a record again that it alone writes, in a fleet of `members`.
pub fn own_rewrite_delay(key: &str, own_name: &str, members: usize) -> Duration {
    let spread = OWN_RECORD_SPACING.saturating_mul(u32::try_from(members).unwrap_or(u32::MAX));
    spread.min(MAX_REWRITE_DELAY).mul_f64(fraction(rendezvous::member_rank(key, own_name)))
}

/// Part of the range of ranks that is below a rank.
fn fraction(rank: u64) -> f64 {
    rank as f64 / u64::MAX as f64
}
