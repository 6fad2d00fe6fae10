//! Keys of the key-value service and calls to it, as data.

pub mod keys;
pub mod kv_call;
