//! Platform, instances and callers of the measurements, all on loopback in one process.
//!
//! Each measurement uses a part of it.
#![allow(dead_code)]

pub mod audit;
pub mod baseline;
pub mod caller;
pub mod chart;
pub mod drive;
pub mod fleet;
pub mod operator;
pub mod outcome;
pub mod report;
pub mod shape;
pub mod workload;
