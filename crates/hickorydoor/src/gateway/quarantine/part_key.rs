//! A prompt part of the requests to one service.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::gateway::quarantine::part_id::PartId;
use crate::id::IdError;
use crate::id::ServiceName;

/// A prompt part, for one service: what ends the engines of a service says nothing about others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey {
    /// Service that the requests with the part are sent to.
    pub service: ServiceName,
    /// The part.
    pub part: PartId,
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.part)
    }
}

/// Error of reading a part in its text form, `SERVICE/PART`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartKeyError {
    /// The text has no `/`.
    NoPart,
    /// The service is not a valid name.
    Service(IdError),
    /// The part is not a hexadecimal number.
    Part(ParseIntError),
}

impl fmt::Display for PartKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoPart => f.write_str("expected SERVICE/PART"),
            Self::Service(error) => write!(f, "invalid service: {error}"),
            Self::Part(error) => write!(f, "the part is not a hexadecimal number: {error}"),
        }
    }
}

impl std::error::Error for PartKeyError {}

impl FromStr for PartKey {
    type Err = PartKeyError;

    fn from_str(text: &str) -> Result<Self, PartKeyError> {
        let (service, part) = text.rsplit_once('/').ok_or(PartKeyError::NoPart)?;
        Ok(Self {
            service: service.parse().map_err(PartKeyError::Service)?,
            part: part.parse().map_err(PartKeyError::Part)?,
        })
    }
}
