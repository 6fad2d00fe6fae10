//! Ids of prompt parts.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Id of a prompt part. Its text form is hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(u64);

impl PartId {
    /// Creates an id from its number.
    pub const fn new(id: u64) -> Self {
        Self(id)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
