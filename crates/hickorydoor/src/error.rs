//! Error categories shared by the error types of this crate.
//!
//! Each module defines its own error enum. Its `category()` method lets callers decide how to react
//! without matching every variant: fix the input, retry later or report a fault.

/// How a caller should react to an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Category {
    /// The input is invalid, so the same call would fail again.
    Input,
    /// The caller is not permitted to perform the operation.
    Forbidden,
    /// Another writer has changed the same state since it was read.
    Conflict,
    /// A required service is not reachable at present; a later call may succeed.
    Unavailable,
    /// It is not known whether the operation took effect.
    Unknown,
}
