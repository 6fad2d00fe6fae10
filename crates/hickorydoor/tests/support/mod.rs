//! A fleet of reducers in virtual time, with seeded faults.
//!
//! `Fleet` drives entries and agents against an in-memory key-value service and small fake
//! engines. A connection keeps the order of its frames. After a cut its remaining frames are lost
//! or arrive late, past frames of a newer connection, and single frames may arrive twice.

#![allow(dead_code, reason = "each test binary uses a part of the harness")]

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
