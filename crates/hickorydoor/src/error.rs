//! Categories shared by the error enums of this crate.
//!
//! Each concern has an error enum of its own. `category()` on those enums tells callers how to
//! react without matching every variant: fix the input, retry later, or report a fault.

/// How a caller should react to an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Category {
    /// The input is wrong and the same call fails again.
    Input,
    /// The caller is not allowed to do this.
    Forbidden,
    /// Another writer changed the same state first.
    Conflict,
    /// A part that is needed is not reachable now.
    Unavailable,
    /// The outcome of the operation is not known.
    Unknown,
}
