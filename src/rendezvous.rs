//! Rendezvous hashing for homes, subsets and shards.
//!
//! Every node computes the same rank from the same names, so no election is
//! needed, and a member that leaves moves only the keys it held.

use xxhash_rust::xxh3;

/// Rank of a member for a key; the highest rank holds the key.
pub fn member_rank(key: &str, member: &str) -> u64 {
    xxh3::xxh3_64_with_seed(member.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// Member with the highest rank for a key.
pub fn highest_ranked<'a, M>(key: &str, members: impl IntoIterator<Item = &'a M>) -> Option<&'a M>
where
    M: AsRef<str> + 'a + ?Sized,
{
    members
        .into_iter()
        .max_by_key(|member| (member_rank(key, (*member).as_ref()), (*member).as_ref()))
}

/// Up to `count` members in order of falling rank.
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
