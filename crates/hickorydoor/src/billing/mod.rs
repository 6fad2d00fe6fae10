//! Usage of requests, their bills, and the ledger that stores each bill exactly once.

pub mod bill;
pub mod ledger;
pub mod serial_set;
pub mod usage;
