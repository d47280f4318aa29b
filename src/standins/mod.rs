//! Stand-ins for the platform, with switches for its faults.
//!
//! They serve tests and examples only; the daemon never uses them.

pub mod control;
pub mod engine;
pub mod engine_answer;
pub mod engine_orders;
pub mod instance;
pub mod kv;
pub mod kv_http;
pub mod kv_table;
pub mod link;
pub mod list;
pub mod platform;
pub mod prefix_cache;
pub mod rating;
pub mod server;
pub mod service;
pub mod weights;
