//! yuccareel, a model-aware router for versions and cascades.
//!
//! Decision modules are pure: they take tables, a clock value and a random
//! source and return actions. Modules at the process edge own sockets and call
//! them. `docs/design.md` maps every module to its job.

pub mod bill_audit;
pub mod bill_batch;
pub mod bill_copies;
pub mod bill_ledger;
pub mod bill_line;
pub mod claim_lease;
pub mod claim_log;
pub mod claim_record;
pub mod claim_shard;
pub mod claim_store;
pub mod claim_table;
pub mod config_change;
pub mod config_snapshot;
pub mod error_body;
pub mod ids;
pub mod instance_list;
pub mod kv_client;
pub mod kv_deadline;
pub mod kv_store;
pub mod open_bills;
pub mod records;
pub mod refusal_reason;
pub mod rendezvous;
pub mod replica_table;
pub mod retry_reason;
pub mod standins;
