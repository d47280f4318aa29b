//! yuccareel, a model-aware router for versions and cascades.
//!
//! Decision modules are pure: they take tables, a clock value and a random
//! source and return actions. Modules at the process edge own sockets and call
//! them. `docs/design.md` maps every module to its job.

pub mod config_change;
pub mod config_log;
pub mod config_snapshot;
pub mod error_body;
pub mod freshness;
pub mod ids;
pub mod instance_list;
pub mod kv_client;
pub mod kv_store;
pub mod member_age;
pub mod member_choice;
pub mod member_digest;
mod member_exchange;
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
pub mod records;
pub mod refusal_reason;
pub mod rendezvous;
pub mod replica_table;
pub mod retry_reason;
pub mod standins;

/// Generated from `schema/peer.capnp`.
#[allow(clippy::all, clippy::pedantic, missing_docs, unused)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;
