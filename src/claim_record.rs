//! Entries of the claim log and the types that they are made of.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::{error_body, ids, refusal_reason};

/// Number of claim shards.
pub const SHARDS: ids::ShardNumber = 64;
/// Time for which a claim is kept after its start.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Time after which a call without an outcome has certainly ended; requests are bounded by it.
pub const CALL_LIMIT: Duration = Duration::from_secs(600);
/// Largest answer body that is kept whole.
pub const BODY_BYTES: usize = 64 << 10;

/// SHA-256 of customer, route and idempotency key.
pub type ClaimKey = [u8; 32];
/// SHA-256 of the request that claims a key.
pub type ClaimFingerprint = [u8; 32];

/// Key of a claim.
pub fn claim_key(customer: &str, route: &str, idempotency_key: &str) -> ClaimKey {
    digest(&[customer.as_bytes(), route.as_bytes(), idempotency_key.as_bytes()])
}

/// Digest of parts with their lengths, so that moving a boundary changes it.
pub fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = sha2::Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// Shard of a key.
pub fn shard_of(key: &ClaimKey) -> ids::ShardNumber {
    ids::ShardNumber::from(key[0]) % SHARDS
}

/// Wish to run a call at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key.
    pub key: ClaimKey,
    /// Fingerprint of the request.
    pub fingerprint: ClaimFingerprint,
    /// Request at the serving node; a claim repeated under the same id is the same claim.
    pub request: ids::RequestId,
    /// Process that will send the call, by its process name.
    pub serving: ids::InstanceName,
}

/// Answer that is replayed to duplicates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// Content type.
    #[serde(rename = "t")]
    pub content_type: String,
    /// Body, or its digest.
    #[serde(rename = "b")]
    pub body: KeptBody,
}

/// Body of a kept answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeptBody {
    /// Body up to `BODY_BYTES`.
    #[serde(rename = "w")]
    Whole(#[serde(with = "base64_bytes")] Bytes),
    /// Digest and length of a larger body.
    #[serde(rename = "d")]
    Digest(#[serde(with = "base64_digest")] [u8; 32], u64),
}

impl ClaimAnswer {
    /// Answer as it is kept.
    pub fn new(status: u16, content_type: impl Into<String>, body: Bytes) -> Self {
        let body = if body.len() <= BODY_BYTES {
            KeptBody::Whole(body)
        } else {
            KeptBody::Digest(sha2::Sha256::digest(&body).into(), body.len() as u64)
        };
        Self { status, content_type: content_type.into(), body }
    }

    /// Body for a replay, or the error that says that the call ran and its body is not kept.
    pub fn replay(&self) -> Result<&Bytes, error_body::RequestRefusal> {
        match &self.body {
            KeptBody::Whole(body) => Ok(body),
            KeptBody::Digest(_, bytes) => Err(error_body::RequestRefusal::may_have_run(
                refusal_reason::RefusalReason::OutcomeUnknown,
                format!(
                    "the call ran and was answered with status {}; its body of {bytes} bytes is \
                     too large to be kept",
                    self.status
                ),
            )),
        }
    }
}

/// Entry of the claim log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Key.
    #[serde(rename = "k", with = "base64_digest")]
    pub key: ClaimKey,
    /// Request at the serving node.
    #[serde(rename = "r", with = "crate::bill_line::request_hex")]
    pub request: ids::RequestId,
    /// Wall clock of the owner, in milliseconds since 1970; only retention depends on it.
    #[serde(rename = "m")]
    pub at_ms: u64,
    /// What happened.
    #[serde(rename = "e")]
    pub event: ClaimEvent,
}

/// What happened to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEvent {
    /// The serving node may send the call.
    #[serde(rename = "s")]
    Started(#[serde(with = "base64_digest")] ClaimFingerprint, ids::InstanceName),
    /// The call was answered.
    #[serde(rename = "f")]
    Finished(ClaimAnswer),
    /// The call was never sent.
    #[serde(rename = "a")]
    Abandoned,
}

impl ClaimRecord {
    /// Line of a segment.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Records in a segment; lines that start with `#` name its transaction.
    pub fn parse_segment(value: &[u8]) -> Result<Vec<Self>, serde_json::Error> {
        let lines = value.split(|byte| *byte == b'\n');
        let records = lines.filter(|line| !line.is_empty() && line[0] != b'#');
        records.map(serde_json::from_slice).collect()
    }
}

mod base64_bytes {
    use base64::Engine as _;
    use base64::engine::general_purpose::STANDARD_NO_PAD;
    use bytes::Bytes;
    use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD_NO_PAD.decode(text).map(Bytes::from).map_err(D::Error::custom)
    }
}

pub(crate) mod base64_digest {
    use serde::{Deserializer, Serializer, de::Error as _};

    pub fn serialize<S: Serializer>(digest: &[u8; 32], serializer: S) -> Result<S::Ok, S::Error> {
        super::base64_bytes::serialize(digest, serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<[u8; 32], D::Error> {
        let bytes = super::base64_bytes::deserialize(deserializer)?;
        <[u8; 32]>::try_from(bytes.as_ref()).map_err(D::Error::custom)
    }
}
