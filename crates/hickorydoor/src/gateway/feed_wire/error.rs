//! Errors of decoding messages between gateways.

use std::fmt;
use std::io;

use crate::gateway::quarantine::PartKeyError;
use crate::id::IdError;
use crate::quantity::ShareError;

/// Error of decoding a message between gateways.
#[derive(Debug)]
pub enum FeedError {
    /// The bytes are not a valid protobuf message.
    Decode(prost::DecodeError),
    /// A configuration cannot be decompressed, or is larger than allowed.
    Compression(io::Error),
    /// An id is invalid.
    Id(IdError),
    /// A share is out of range.
    Share(ShareError),
    /// A prompt part is invalid.
    Part(PartKeyError),
    /// An address is invalid.
    Address,
    /// A required part is missing, or a number does not stand for any value.
    Incomplete,
}

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decode(error) => write!(f, "malformed message: {error}"),
            Self::Compression(error) => write!(f, "invalid compressed configuration: {error}"),
            Self::Id(error) => write!(f, "invalid id: {error}"),
            Self::Share(error) => write!(f, "invalid share: {error}"),
            Self::Part(error) => write!(f, "invalid prompt part: {error}"),
            Self::Address => f.write_str("invalid address"),
            Self::Incomplete => f.write_str("a part of the message is missing or unknown"),
        }
    }
}

impl std::error::Error for FeedError {}

impl From<prost::DecodeError> for FeedError {
    fn from(error: prost::DecodeError) -> Self {
        Self::Decode(error)
    }
}

impl From<IdError> for FeedError {
    fn from(error: IdError) -> Self {
        Self::Id(error)
    }
}

impl From<PartKeyError> for FeedError {
    fn from(error: PartKeyError) -> Self {
        Self::Part(error)
    }
}

impl From<ShareError> for FeedError {
    fn from(error: ShareError) -> Self {
        Self::Share(error)
    }
}
