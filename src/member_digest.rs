//! Digests by which two nodes find the rows in which their tables differ.

use xxhash_rust::xxh3;

use crate::member_row;

/// Buckets of a member table, each with its own digest.
pub const DIGEST_BUCKETS: usize = 64;
const BUCKET_SHIFT: u32 = u64::BITS - DIGEST_BUCKETS.ilog2();

/// Digest of each bucket of a member table.
pub type TableDigest = [u32; DIGEST_BUCKETS];

/// Hash of a name; its highest bits choose the bucket.
pub fn name_hash(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

/// Bucket of a hash.
pub fn bucket_of(hash: u64) -> usize {
    usize::try_from(hash >> BUCKET_SHIFT).expect("a bucket number has six bits")
}

/// First 24 bits of a hash. Among 1,300 names the key of an unknown one equals that of
/// a known one with a chance below 1 in 10,000.
pub fn hash_key(hash: u64) -> u32 {
    (hash >> 40) as u32
}

/// Digest of a row; 0 for a row from the list, which not all nodes have.
pub fn row_digest(row: &member_row::MemberRow) -> u32 {
    if row.incarnation == 0 {
        return 0;
    }
    let mut hasher = xxh3::Xxh3::with_seed(row.incarnation);
    hasher.update(&[u8::from(row.leaving)]);
    hasher.update(&member_row::address_bytes(&row.address));
    hasher.update(&member_row::address_bytes(&row.peer_address));
    hasher.update(row.name.as_bytes());
    hasher.update(&[0]);
    hasher.update(row.data_centre.as_bytes());
    hasher.digest() as u32
}
