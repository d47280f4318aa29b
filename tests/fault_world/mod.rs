//! Cells of the fault matrix: real daemons and stand-ins on loopback, with a record of
//! what callers, backend servers and the bill audit saw.
#![allow(dead_code)]

pub mod observation;
pub mod promises;

pub mod callers;
pub mod cell;
pub mod faults;
pub mod matrix;
pub mod platform_world;
pub mod steps;
