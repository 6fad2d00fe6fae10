//! Ranks of requests.

use std::fmt;

use crate::class::Class;

/// Urgency of a request; smaller is more urgent.
///
/// The second number decides among requests with the same first one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rank {
    first: u8,
    second: u8,
}

impl Rank {
    /// Creates a rank from two numbers of which 0 is the most urgent.
    pub const fn new(first: u8, second: u8) -> Self {
        Self { first, second }
    }
}

impl From<Class> for Rank {
    fn from(class: Class) -> Self {
        match class {
            Class::Interactive => Self::new(0, 0),
            Class::Batch => Self::new(1, 0),
        }
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.first, self.second)
    }
}
