//! What requests used, and the ledger that stores it once.

pub mod bill;
pub mod ledger;
pub mod serial_set;
pub mod usage;
