//! Encoding of the messages from agents to entries.

use bytes::Bytes;

use crate::id::Incarnation;
use crate::id::Revision;
use crate::message::AgentMessage;
use crate::message::AgentRefusal;
use crate::message::AttemptFault;
use crate::quantity::ByteCount;
use crate::quantity::Tokens;
use crate::time::DurationMs;
use crate::wire::attempt::WireAttempt;
use crate::wire::attempt::WireUsage;
use crate::wire::attempt::decode_attempt;
use crate::wire::config::WireConfigUpdate;
use crate::wire::entry::WireEmpty;
use crate::wire::error::WireError;
use crate::wire::hello::WireAgentHello;
use crate::wire::load::WireEvidence;
use crate::wire::load::WireEvidenceList;
use crate::wire::load::WireLoad;
use crate::wire::pin::WirePin;

/// Encoded [`AgentMessage::Refused`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireRefused {
    /// The refused attempt; required.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// Reason as an index into the table of refusals.
    #[prost(uint32, tag = "2")]
    pub reason: u32,
    /// Time in milliseconds after which the agent expects to have capacity.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
}

/// Encoded [`AgentMessage::Started`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireStarted {
    /// The attempt; required.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// HTTP status code of the upstream's response; at most 65,535.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Content type of the answer.
    #[prost(string, tag = "3")]
    pub content_type: String,
}

/// Encoded [`AgentMessage::Chunk`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireChunk {
    /// The attempt; required.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// Position of the chunk's first byte in the answer.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Number of tokens in the chunk.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Content of the chunk.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// Encoded [`AgentMessage::Ended`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireEnded {
    /// The attempt; required.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// Length of the whole answer in bytes.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// Tokens that the attempt used; zero if absent.
    #[prost(message, optional, tag = "3")]
    pub usage: Option<WireUsage>,
}

/// Encoded [`AgentMessage::Failed`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireFailed {
    /// The attempt; required.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// Kind of failure as an index into the table of faults.
    #[prost(uint32, tag = "2")]
    pub fault: u32,
    /// Tokens that the attempt used; zero if absent.
    #[prost(message, optional, tag = "3")]
    pub usage: Option<WireUsage>,
}

/// Content of an [`AgentFrame`].
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum AgentBody {
    /// [`AgentMessage::Hello`]
    #[prost(message, tag = "1")]
    Hello(WireAgentHello),
    /// [`AgentMessage::Refused`]
    #[prost(message, tag = "2")]
    Refused(WireRefused),
    /// [`AgentMessage::Started`]
    #[prost(message, tag = "3")]
    Started(WireStarted),
    /// [`AgentMessage::Chunk`]
    #[prost(message, tag = "4")]
    Chunk(WireChunk),
    /// [`AgentMessage::Ended`]
    #[prost(message, tag = "5")]
    Ended(WireEnded),
    /// [`AgentMessage::Failed`]
    #[prost(message, tag = "6")]
    Failed(WireFailed),
    /// [`AgentMessage::Load`]
    #[prost(message, tag = "7")]
    Load(Box<WireLoad>),
    /// [`AgentMessage::Evidence`]
    #[prost(message, tag = "8")]
    Evidence(WireEvidenceList),
    /// [`AgentMessage::Draining`]
    #[prost(message, tag = "9")]
    Draining(WireEmpty),
    /// [`AgentMessage::IncarnationClosed`]
    #[prost(uint64, tag = "10")]
    IncarnationClosed(u64),
    /// [`AgentMessage::ConfigNotice`]
    #[prost(uint64, tag = "11")]
    ConfigNotice(u64),
    /// [`AgentMessage::ConfigPull`]
    #[prost(uint64, tag = "12")]
    ConfigPull(u64),
    /// [`AgentMessage::ConfigUpdate`]
    #[prost(message, tag = "13")]
    ConfigUpdate(WireConfigUpdate),
    /// [`AgentMessage::PinReply`]
    #[prost(message, tag = "20")]
    PinReply(WirePin),
}

/// A frame from an agent to an entry.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AgentFrame {
    /// Content of the frame; required.
    #[prost(oneof = "AgentBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 20")]
    pub body: Option<AgentBody>,
}

/// The position of a variant is its code on the wire, so the order must not change.
const REFUSALS: [AgentRefusal; 9] = [
    AgentRefusal::AtLimit,
    AgentRefusal::Draining,
    AgentRefusal::VersionNotServed,
    AgentRefusal::DataCentreOut,
    AgentRefusal::DeadlineExceeded,
    AgentRefusal::StoreUnavailable,
    AgentRefusal::IncarnationClosed,
    AgentRefusal::Fenced,
    AgentRefusal::UpstreamDown,
];

/// The position of a variant is its code on the wire, so the order must not change.
const FAULTS: [AttemptFault; 7] = [
    AttemptFault::UpstreamError,
    AttemptFault::ConnectionLost,
    AttemptFault::DeadlineExceeded,
    AttemptFault::NotResumable,
    AttemptFault::OutcomeUnknown,
    AttemptFault::DuplicateInProgress,
    AttemptFault::KeyReused,
];

fn code_of<T: PartialEq>(table: &[T], value: &T) -> u32 {
    let position = table.iter().position(|known| known == value);
    position.map_or(u32::MAX, |index| index as u32)
}

fn from_code<T: Copy>(table: &[T], code: u32, part: &'static str) -> Result<T, WireError> {
    table.get(code as usize).copied().ok_or(WireError::UnknownCode { part, code })
}

impl From<AgentMessage> for AgentFrame {
    fn from(message: AgentMessage) -> Self {
        let body = match message {
            AgentMessage::Hello(hello) => AgentBody::Hello(hello.into()),
            AgentMessage::Refused { attempt, reason, retry_after_ms } => {
                AgentBody::Refused(WireRefused {
                    attempt: Some((&attempt).into()),
                    reason: code_of(&REFUSALS, &reason),
                    retry_after_ms: retry_after_ms.get(),
                })
            }
            AgentMessage::Started { attempt, status, content_type } => {
                AgentBody::Started(WireStarted {
                    attempt: Some((&attempt).into()),
                    status: u32::from(status),
                    content_type: content_type.into(),
                })
            }
            AgentMessage::Chunk { attempt, offset, tokens, data } => AgentBody::Chunk(WireChunk {
                attempt: Some((&attempt).into()),
                offset: offset.get(),
                tokens: tokens.get(),
                data,
            }),
            AgentMessage::Ended { attempt, length, usage } => AgentBody::Ended(WireEnded {
                attempt: Some((&attempt).into()),
                length: length.get(),
                usage: Some(usage.into()),
            }),
            AgentMessage::Failed { attempt, fault, usage } => AgentBody::Failed(WireFailed {
                attempt: Some((&attempt).into()),
                fault: code_of(&FAULTS, &fault),
                usage: Some(usage.into()),
            }),
            AgentMessage::Load(report) => AgentBody::Load(Box::new((*report).into())),
            AgentMessage::Evidence(counters) => AgentBody::Evidence(WireEvidenceList {
                counters: counters.into_iter().map(WireEvidence::from).collect(),
            }),
            AgentMessage::Draining => AgentBody::Draining(WireEmpty {}),
            AgentMessage::IncarnationClosed { incarnation } => {
                AgentBody::IncarnationClosed(incarnation.get())
            }
            AgentMessage::ConfigNotice { revision } => AgentBody::ConfigNotice(revision.get()),
            AgentMessage::ConfigPull { current } => AgentBody::ConfigPull(current.get()),
            AgentMessage::ConfigUpdate(update) => AgentBody::ConfigUpdate(update.into()),
            AgentMessage::PinReply { key, pin, known } => {
                AgentBody::PinReply(WirePin::new(key, pin.as_ref(), known))
            }
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<AgentFrame> for AgentMessage {
    type Error = WireError;

    fn try_from(frame: AgentFrame) -> Result<Self, WireError> {
        let body = frame.body.ok_or(WireError::Missing { part: "body" })?;
        Ok(match body {
            AgentBody::Hello(hello) => Self::Hello(hello.try_into()?),
            AgentBody::Refused(wire) => Self::Refused {
                attempt: decode_attempt(wire.attempt)?,
                reason: from_code(&REFUSALS, wire.reason, "refusal")?,
                retry_after_ms: DurationMs::new(wire.retry_after_ms),
            },
            AgentBody::Started(wire) => Self::Started {
                attempt: decode_attempt(wire.attempt)?,
                status: u16::try_from(wire.status).map_err(|_error| WireError::UnknownCode {
                    part: "status",
                    code: wire.status,
                })?,
                content_type: wire.content_type.into(),
            },
            AgentBody::Chunk(wire) => Self::Chunk {
                attempt: decode_attempt(wire.attempt)?,
                offset: ByteCount::new(wire.offset),
                tokens: Tokens::new(wire.tokens),
                data: wire.data,
            },
            AgentBody::Ended(wire) => Self::Ended {
                attempt: decode_attempt(wire.attempt)?,
                length: ByteCount::new(wire.length),
                usage: wire.usage.unwrap_or_default().into(),
            },
            AgentBody::Failed(wire) => Self::Failed {
                attempt: decode_attempt(wire.attempt)?,
                fault: from_code(&FAULTS, wire.fault, "fault")?,
                usage: wire.usage.unwrap_or_default().into(),
            },
            AgentBody::Load(report) => Self::Load(Box::new((*report).try_into()?)),
            AgentBody::Evidence(list) => {
                let counters: Result<Vec<_>, _> =
                    list.counters.into_iter().map(TryInto::try_into).collect();
                Self::Evidence(counters?)
            }
            AgentBody::Draining(WireEmpty {}) => Self::Draining,
            AgentBody::IncarnationClosed(incarnation) => {
                Self::IncarnationClosed { incarnation: Incarnation::new(incarnation) }
            }
            AgentBody::ConfigNotice(revision) => {
                Self::ConfigNotice { revision: Revision::new(revision) }
            }
            AgentBody::ConfigPull(current) => Self::ConfigPull { current: Revision::new(current) },
            AgentBody::ConfigUpdate(update) => Self::ConfigUpdate(update.try_into()?),
            AgentBody::PinReply(wire) => {
                let (key, pin, known) = wire.try_into()?;
                Self::PinReply { key, pin, known }
            }
        })
    }
}
