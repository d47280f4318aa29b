//! yuccareel, a model-aware router for versions and cascades.
//!
//! Decision modules are pure: they take tables, a clock value and a random
//! source and return actions. Modules at the process edge own sockets and call
//! them. `docs/design.md` maps every module to its job.

pub mod admission_queue;
pub mod answer_reader;
pub mod bill_audit;
pub mod bill_batch;
pub mod bill_copies;
pub mod bill_ledger;
pub mod bill_line;
pub mod cascade_policy;
pub mod chat_flow;
pub mod chat_job;
pub mod chat_request;
pub mod claim_lease;
pub mod claim_log;
pub mod claim_record;
pub mod claim_shard;
pub mod claim_store;
pub mod claim_table;
pub mod cold_start;
pub mod config_apply;
pub mod config_change;
pub mod config_keys;
pub mod config_log;
pub mod config_plan;
pub mod config_snapshot;
pub mod config_store;
pub mod customer_limits;
pub mod endpoint_answer;
pub mod engine_client;
pub mod engine_control;
pub mod error_body;
pub mod fair_lane;
pub mod field_reader;
pub mod freshness;
pub mod http_server;
pub mod ids;
pub mod instance_list;
pub mod kv_client;
pub mod kv_deadline;
pub mod kv_store;
pub mod member_age;
pub mod member_choice;
pub mod member_digest;
pub mod member_reach;
pub mod member_row;
pub mod member_table;
pub mod node;
pub mod node_dispatch;
pub mod open_bills;
pub mod order_sender;
pub mod peer_client;
pub mod peer_handler;
pub mod peer_handshake;
pub mod peer_message;
pub mod peer_pool;
pub mod peer_service;
pub mod peer_wire;
pub mod prefix_index;
pub mod quality_table;
pub mod quota_home;
pub mod quota_lease;
pub mod quota_message;
pub mod quota_row;
pub mod rating_client;
pub mod record_check;
pub mod record_fields;
pub mod record_finding;
pub mod record_reader;
pub mod records;
pub mod refusal_reason;
pub mod rendezvous;
pub mod replica_subset;
pub mod replica_table;
pub mod retry_budget;
pub mod retry_reason;
pub mod rollout_evidence;
pub mod rollout_holder;
pub mod rollout_stage;
pub mod route_decision;
pub mod service_flow;
pub mod service_rate;
pub mod session_table;
pub mod standins;
pub mod token_index;
pub mod weight_client;

/// Generated from `schema/peer.capnp`.
#[allow(clippy::all, clippy::pedantic, missing_docs, unused)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;
