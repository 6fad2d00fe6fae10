//! Errors in received frames.

use std::fmt;

use crate::configuration::raw::RawConfigurationError;
use crate::id::IdError;

/// Error when a received frame is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum WireError {
    /// The frame is not a valid protobuf message.
    Decode(prost::DecodeError),
    /// A required part is missing, or a list does not have the required length.
    Missing {
        /// Name of the part.
        part: &'static str,
    },
    /// The frame contains an invalid id.
    Id(IdError),
    /// A numeric code is not one of the defined values.
    UnknownCode {
        /// What the code stands for.
        part: &'static str,
        /// The received code.
        code: u32,
    },
    /// A configuration or change cannot be parsed or is invalid.
    Configuration(RawConfigurationError),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decode(error) => write!(f, "the frame cannot be decoded: {error}"),
            Self::Missing { part } => write!(f, "the frame has no valid {part}"),
            Self::Id(error) => write!(f, "the frame contains an invalid id: {error}"),
            Self::UnknownCode { part, code } => {
                write!(f, "the frame contains an unknown {part} code: {code}")
            }
            Self::Configuration(error) => {
                write!(f, "the frame contains an invalid configuration: {error}")
            }
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
