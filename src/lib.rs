//! yuccareel, a model-aware router for versions and cascades.
//!
//! Decision modules are pure: they take tables, a clock value and a random
//! source and return actions. Modules at the process edge own sockets and call
//! them. `docs/design.md` maps every module to its job.

pub mod admission_queue;
pub mod cold_start;
pub mod bill_audit;
pub mod bill_batch;
pub mod bill_copies;
pub mod bill_ledger;
pub mod bill_line;
pub mod claim_log;
pub mod claim_record;
pub mod claim_shard;
pub mod claim_store;
pub mod claim_table;
pub mod config_change;
pub mod config_log;
pub mod config_snapshot;
pub mod customer_limits;
pub mod endpoint_answer;
pub mod error_body;
pub mod freshness;
pub mod fair_lane;
pub mod ids;
pub mod instance_list;
pub mod kv_client;
pub mod kv_store;
pub mod member_age;
pub mod member_choice;
pub mod member_digest;
pub mod member_reach;
pub mod member_row;
pub mod member_table;
pub mod peer_client;
pub mod peer_handler;
pub mod peer_handshake;
pub mod peer_message;
pub mod peer_pool;
pub mod peer_service;
pub mod peer_wire;
pub mod quota_home;
pub mod quota_lease;
pub mod quota_message;
pub mod quota_row;
pub mod records;
pub mod refusal_reason;
pub mod rendezvous;
pub mod replica_table;
pub mod retry_budget;
pub mod retry_reason;
pub mod route_decision;
pub mod service_rate;
pub mod standins;

/// Generated from `schema/peer.capnp`.
#[allow(clippy::all, clippy::pedantic, missing_docs, unused)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;
