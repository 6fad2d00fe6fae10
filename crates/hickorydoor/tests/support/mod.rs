//! Simulation of a fleet of reducers in virtual time, with seeded faults.
//!
//! `Fleet` connects entries and agents to an in-memory key-value service and to simulated upstreams.
//! The frames of one connection arrive in order. When a connection is cut, its remaining frames are
//! lost or arrive late, possibly after frames of a newer connection. Single frames may arrive twice.

#![allow(dead_code, reason = "each test binary uses only some of these items")]

pub mod bills;
pub mod callers;
pub mod faults;
pub mod fleet;
pub mod kv;
pub mod network;
pub mod process;
pub mod requests;
pub mod schedule;
pub mod store;
pub mod upstreams;
