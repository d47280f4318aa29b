//! yuccareel, a model-aware router for versions and cascades.
//!
//! Decision modules are pure: they take tables, a clock value and a random
//! source and return actions. Modules at the process edge own sockets and call
//! them. `docs/design.md` maps every module to its job.

pub mod admin_context;
pub mod admin_error;
pub mod admin_handler;
pub mod admin_types;
pub mod cli;
pub mod cli_client;
pub mod cli_exit;
pub mod cli_options;
pub mod cli_output;
pub mod config_apply;
pub mod config_change;
pub mod config_keys;
pub mod config_plan;
pub mod config_snapshot;
pub mod config_store;
pub mod error_body;
pub mod event_catalogue;
pub mod field_reader;
pub mod ids;
pub mod instance_list;
pub mod kv_client;
pub mod kv_store;
pub mod openapi;
pub mod record_check;
pub mod record_fields;
pub mod record_finding;
pub mod record_reader;
pub mod records;
pub mod refusal_reason;
pub mod rendezvous;
pub mod replica_table;
pub mod retry_reason;
pub mod setting_reader;
pub mod settings;
pub mod standins;
