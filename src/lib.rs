//! yuccareel, a model-aware router for versions and cascades.
//!
//! Decision modules are pure: they take tables, a clock value and a random
//! source and return actions. Modules at the process edge own sockets and call
//! them. `docs/design.md` maps every module to its job.

pub mod cascade_policy;
pub mod config_change;
pub mod config_snapshot;
pub mod engine_control;
pub mod error_body;
pub mod ids;
pub mod instance_list;
pub mod kv_client;
pub mod kv_store;
pub mod order_sender;
pub mod prefix_index;
pub mod quality_table;
pub mod rating_client;
pub mod records;
pub mod refusal_reason;
pub mod rendezvous;
pub mod replica_table;
pub mod retry_reason;
pub mod rollout_evidence;
pub mod rollout_holder;
pub mod rollout_stage;
pub mod session_table;
pub mod standins;
pub mod weight_client;
