//! Type aliases for identifiers.
//!
//! Names are shared strings, because one name stands in many rows of the tables.

use std::sync::Arc;

/// Name of an entry instance.
pub type InstanceName = Arc<str>;
/// Name of a backend server's replica.
pub type ReplicaName = Arc<str>;
/// Name of a customer record.
pub type CustomerName = Arc<str>;
/// Name of a model record.
pub type ModelName = Arc<str>;
/// Name of a version within a model record.
pub type VersionName = Arc<str>;
/// Name of a data centre record.
pub type DataCentreName = Arc<str>;
/// Name of a cascade record.
pub type CascadeName = Arc<str>;
/// Name of a rollout record.
pub type RolloutName = Arc<str>;
/// Name of a plain service record.
pub type ServiceName = Arc<str>;
/// Caller-chosen session key.
pub type SessionKey = Arc<str>;
/// Kind of request, by which quality is learned.
pub type RequestKind = Arc<str>;
/// Random request identifier, printed as 32 hexadecimal digits.
pub type RequestId = u128;
/// Random identifier of one `apply` call.
pub type ApplyId = Arc<str>;
/// Dense number of a configuration change, from 1.
pub type ConfigSequence = u64;
/// Revision of the key-value service.
pub type KvRevision = i64;
/// Era of the key-value service, which rises when it is restored from an old copy; 0 if it states none.
pub type StoreEra = u32;
/// Lease identifier of the key-value service.
pub type LeaseId = i64;
/// Fencing token: the create revision of the holder's key.
pub type FencingToken = i64;
/// Identifier of one start of a replica's engine process.
pub type BootId = Arc<str>;
/// Identifier of a part of a prompt; equal texts have equal identifiers.
pub type PromptPartId = u64;
/// Amount of money in microcredits.
pub type Microcredits = u64;
/// Shard of the claim space.
pub type ShardNumber = u16;
