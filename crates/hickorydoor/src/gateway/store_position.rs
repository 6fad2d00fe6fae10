//! Position in the history of a store that may come back from an older copy.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Number of a restore of the store. It grows by one each time that the store comes back from a
/// copy; 0 if the store does not state it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Creates an era from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.trim().parse().map(Self)
    }
}

/// A revision of the store within an era.
///
/// After a restore, revisions that followed the copy are assigned again. So revisions may be
/// compared only within an era, and a position in a later era is later whatever its revision is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StorePosition {
    /// Era in which the revision was assigned or read.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: u64,
}

impl StorePosition {
    /// Creates a position.
    pub const fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

impl FromStr for StorePosition {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let (era, revision) = text.split_once(':').unwrap_or(("0", text));
        Ok(Self { era: era.parse()?, revision: revision.parse()? })
    }
}
