//! Pass-through routing of HTTP calls on a platform that keeps all persistent state in its store.
//!
//! This module carries a call from a caller to a replica and the answer back. It caches what the
//! routing needs: configuration, replicas, members and rollouts. All of it comes from the
//! platform's store and can be read again, so an instance keeps no state of its own on disk.
//!
//! Decisions are made in modules without I/O: `attempt_budget`, `cold_budget`, `cascade_plan`,
//! `replica_score`, `load_prior`, `prefill_average`, `mirror_scope`, `poll_interval`,
//! `retry_backoff`, `rollout_plan`, `event_splitter`, `part_history`, `replica_identity`,
//! `replica_notice`, `replica_pause`, `replica_limit`, `limit_share`, `kept_limits`, `suspect_table`,
//! `answer_pace`, `memory_account`, `caller_sockets`, `pace_baseline`, `pace_evidence`,
//! `crash_evidence`, `version_comparison`, `config_check`, those of `admission` and `balancing`, and
//! most of `shared_feed`. The modules that do I/O call them: `caller_server`, `discovery_server`,
//! `call_flow`, `load_probe`, `store_mirror`, `member_registry`, `suspect_writer` and
//! `rollout_controller`. An
//! adapter implements the traits in `call_codec` and `store_codec`. No other module contains names
//! that a platform uses on the wire.

mod accept_loop;
pub mod admission;
mod answer_body;
pub mod answer_pace;
pub mod attempt_budget;
mod attempt_flow;
mod attempt_outcome;
mod attempt_reservation;
pub mod balancing;
pub mod call_codec;
mod call_failure;
pub mod call_flow;
pub mod call_job;
mod call_log;
pub mod call_request;
mod call_routing;
mod caller_body;
pub mod caller_refusal;
pub mod caller_server;
pub mod caller_sockets;
pub mod caller_writer;
pub mod cascade_plan;
pub mod change_feed;
pub mod cold_budget;
pub mod config_check;
pub mod config_entries;
pub mod config_finding;
pub mod connection_pool;
pub mod crash_evidence;
mod crash_flow;
pub mod discovery_server;
mod era_recovery;
pub mod era_transition;
pub mod era_watch;
pub mod event_splitter;
pub mod expiring_table;
pub mod in_flight_guard;
mod kept_limits;
mod leaving_replicas;
pub mod limit_share;
pub mod limit_statement;
pub mod load_prior;
mod load_probe;
pub mod log_limiter;
pub mod member_list;
pub mod member_names;
pub mod member_registry;
pub mod memory_account;
pub mod memory_holder;
pub mod memory_reservation;
pub mod memory_shortage;
pub mod mirror_scope;
pub mod order_evidence;
pub mod pace_baseline;
pub mod pace_evidence;
pub mod part_history;
mod path_evidence;
pub mod poll_interval;
mod port_limits;
pub mod prefill_average;
pub mod relay_config;
pub mod relay_node;
pub mod relay_service;
pub mod relay_settings;
pub mod replica_choice;
pub mod replica_connection;
pub mod replica_entry;
pub mod replica_fleet;
pub mod replica_health;
pub mod replica_identity;
pub mod replica_limit;
pub mod replica_notice;
pub mod replica_pause;
pub mod replica_reach;
mod replica_row;
mod replica_score;
pub mod retry_backoff;
pub mod rollout_controller;
pub mod rollout_plan;
pub mod rollout_table;
pub mod run_proof;
pub mod shared_feed;
pub mod shared_memory;
pub mod store_codec;
pub mod store_era;
pub mod store_mirror;
pub mod store_paths;
pub mod store_tunnel;
pub mod stream_flow;
pub mod suspect_budget;
pub mod suspect_record;
pub mod suspect_table;
mod suspect_writer;
mod switch_cause;
mod trial_claim;
pub mod version_comparison;
pub mod version_rule;
