//! yuccareel, a model-aware router for versions and cascades.
//!
//! Decision modules are pure: they take tables, a clock value and a random
//! source and return actions. Modules at the process edge own sockets and call
//! them. `docs/design.md` maps every module to its job.

pub mod admission_queue;
pub mod cold_start;
pub mod config_change;
pub mod config_snapshot;
pub mod customer_limits;
pub mod endpoint_answer;
pub mod error_body;
pub mod fair_lane;
pub mod home_row;
pub mod ids;
pub mod instance_list;
pub mod kv_client;
pub mod kv_store;
pub mod quota_home;
pub mod quota_lease;
pub mod quota_message;
pub mod quota_row;
pub mod records;
pub mod refusal_reason;
pub mod rendezvous;
pub mod replica_subset;
pub mod replica_table;
pub mod retry_budget;
pub mod retry_reason;
pub mod route_decision;
pub mod service_rate;
pub mod standins;
