//! Encoding of attempt ids, of usage and of positions in a response.

use crate::billing::usage::Usage;
use crate::id::AttemptId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::Serial;
use crate::quantity::ByteCount;
use crate::quantity::Tokens;
use crate::wire::error::WireError;

/// Encoded [`AttemptId`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireAttempt {
    /// Host of the entry that accepted the request.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Incarnation of that entry.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the request within that incarnation.
    #[prost(uint64, tag = "3")]
    pub serial: u64,
    /// Number of the attempt within the request.
    #[prost(uint32, tag = "4")]
    pub ordinal: u32,
}

impl From<&AttemptId> for WireAttempt {
    fn from(id: &AttemptId) -> Self {
        Self {
            entry: id.request.entry.to_string(),
            incarnation: id.request.incarnation.get(),
            serial: id.request.serial.get(),
            ordinal: id.ordinal,
        }
    }
}

impl TryFrom<WireAttempt> for AttemptId {
    type Error = WireError;

    fn try_from(wire: WireAttempt) -> Result<Self, WireError> {
        let request = RequestId {
            entry: wire.entry.parse()?,
            incarnation: Incarnation::new(wire.incarnation),
            serial: Serial::new(wire.serial),
        };
        Ok(Self { request, ordinal: wire.ordinal })
    }
}

pub(crate) fn decode_attempt(wire: Option<WireAttempt>) -> Result<AttemptId, WireError> {
    wire.ok_or(WireError::Missing { part: "attempt" })?.try_into()
}

/// Encoded [`Usage`].
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireUsage {
    /// Tokens in the prompt.
    #[prost(uint64, tag = "1")]
    pub prompt_tokens: u64,
    /// Tokens in the answer.
    #[prost(uint64, tag = "2")]
    pub answer_tokens: u64,
}

impl From<Usage> for WireUsage {
    fn from(usage: Usage) -> Self {
        Self { prompt_tokens: usage.prompt_tokens.get(), answer_tokens: usage.answer_tokens.get() }
    }
}

impl From<WireUsage> for Usage {
    fn from(wire: WireUsage) -> Self {
        Self {
            prompt_tokens: Tokens::new(wire.prompt_tokens),
            answer_tokens: Tokens::new(wire.answer_tokens),
        }
    }
}

/// An attempt and a byte position in its response.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WirePosition {
    /// The attempt; required.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// Number of bytes since the start of the response.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}

pub(crate) fn encode_position(attempt: &AttemptId, bytes: ByteCount) -> WirePosition {
    WirePosition { attempt: Some(attempt.into()), bytes: bytes.get() }
}
