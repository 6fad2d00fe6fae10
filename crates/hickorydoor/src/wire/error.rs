//! Reasons why a frame is refused.

use std::fmt;

use crate::configuration::raw::RawConfigurationError;
use crate::id::IdError;

/// Reasons why a frame is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum WireError {
    /// The frame is not a valid protobuf message.
    Decode(prost::DecodeError),
    /// A required part is absent.
    Missing {
        /// Name of the part.
        part: &'static str,
    },
    /// An id is not valid.
    Id(IdError),
    /// An enumerated value is not known.
    UnknownCode {
        /// Name of the enumeration.
        part: &'static str,
        /// The value.
        code: u32,
    },
    /// A configuration does not parse or does not pass its checks.
    Configuration(RawConfigurationError),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decode(error) => write!(f, "the frame cannot be decoded: {error}"),
            Self::Missing { part } => write!(f, "the frame lacks {part}"),
            Self::Id(error) => write!(f, "the frame holds a bad id: {error}"),
            Self::UnknownCode { part, code } => write!(f, "{code} is not a known {part}"),
            Self::Configuration(error) => write!(f, "the configuration is not valid: {error}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<prost::DecodeError> for WireError {
    fn from(error: prost::DecodeError) -> Self {
        Self::Decode(error)
    }
}

impl From<IdError> for WireError {
    fn from(error: IdError) -> Self {
        Self::Id(error)
    }
}

impl From<RawConfigurationError> for WireError {
    fn from(error: RawConfigurationError) -> Self {
        Self::Configuration(error)
    }
}
