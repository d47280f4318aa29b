//! Rendezvous hashing, which assigns keys such as quantities and shards to members.
//!
//! Every node computes the same ranks from the same names, so no election is
//! needed, and when a member leaves only the keys assigned to it move.

use xxhash_rust::xxh3;

/// Rank of a member for a key; the key is assigned to the member with the highest rank.
pub fn member_rank(key: &str, member: &str) -> u64 {
    xxh3::xxh3_64_with_seed(member.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// Member with the highest rank for a key; `None` without members. Names break ties.
pub fn highest_ranked<'a, M>(key: &str, members: impl IntoIterator<Item = &'a M>) -> Option<&'a M>
where
    M: AsRef<str> + 'a + ?Sized,
{
    members
        .into_iter()
        .max_by_key(|member| (member_rank(key, (*member).as_ref()), (*member).as_ref()))
}

/// Up to `count` members, the highest rank first.
pub fn top_ranked<'a, M>(
    key: &str,
    members: impl IntoIterator<Item = &'a M>,
    count: usize,
) -> Vec<&'a M>
where
    M: AsRef<str> + 'a + ?Sized,
{
    let mut ranked: Vec<_> =
        members.into_iter().map(|member| (member_rank(key, member.as_ref()), member)).collect();
    ranked.sort_by(|(left_rank, left), (right_rank, right)| {
        right_rank.cmp(left_rank).then_with(|| right.as_ref().cmp(left.as_ref()))
    });
    ranked.into_iter().take(count).map(|(_, member)| member).collect()
}
