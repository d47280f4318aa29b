//! Lookup of customers by bearer token.
//!
//! The index holds only SHA-256 digests of tokens. It finds candidates by the first bytes of the
//! digest and compares the whole digest in constant time.

use std::collections::HashMap;
use std::sync::Arc;

use sha2::Digest as _;
use smallvec::SmallVec;
use subtle::ConstantTimeEq as _;

use crate::{config_snapshot, records};

type TokenDigest = [u8; 32];
type CustomerRow = (TokenDigest, Arc<records::customer::CustomerRecord>);

/// Customers by the first bytes of their token digests.
#[derive(Debug, Default)]
pub struct TokenIndex {
    rows: HashMap<[u8; 8], SmallVec<[CustomerRow; 1]>>,
}

impl TokenIndex {
    /// Builds the index of all customers in a snapshot.
    pub fn from_snapshot(snapshot: &config_snapshot::ConfigSnapshot) -> Self {
        let mut index = Self::default();
        for customer in snapshot.customers.values() {
            for digest in customer.token_sha256.iter().filter_map(|text| parse_digest(text)) {
                let rows = index.rows.entry(digest_prefix(&digest)).or_default();
                rows.push((digest, Arc::clone(customer)));
            }
        }
        index
    }

    /// Customer of a bearer token; `None` if the token is unknown.
    pub fn find_customer(&self, token: &str) -> Option<&Arc<records::customer::CustomerRecord>> {
        let digest = token_digest(token);
        let rows = self.rows.get(&digest_prefix(&digest))?;
        rows.iter()
            .find(|(candidate, _)| candidate.ct_eq(&digest).into())
            .map(|(_, customer)| customer)
    }
}

/// SHA-256 digest of a token.
pub fn token_digest(token: &str) -> TokenDigest {
    sha2::Sha256::digest(token.as_bytes()).into()
}

/// SHA-256 digest of a token in lower-case hexadecimal, as in customer records.
pub fn token_digest_hex(token: &str) -> String {
    token_digest(token).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses a digest of 64 hexadecimal digits; `None` if the text is anything else.
pub fn parse_digest(text: &str) -> Option<TokenDigest> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; 32];
    for (byte, index) in digest.iter_mut().zip((0..64).step_by(2)) {
        *byte = u8::from_str_radix(&text[index..index + 2], 16).ok()?;
    }
    Some(digest)
}

fn digest_prefix(digest: &TokenDigest) -> [u8; 8] {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    prefix
}
