//! Interface to the key-value service: its keys, and calls to it as plain data.

pub mod keys;
pub mod kv_call;
