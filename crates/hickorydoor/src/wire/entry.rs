//! Encoding of the messages from entries to agents.

use crate::id::Incarnation;
use crate::id::Revision;
use crate::id::Serial;
use crate::message::EntryMessage;
use crate::message::Settlement;
use crate::message::VersionRating;
use crate::quantity::ByteCount;
use crate::wire::attempt::WireAttempt;
use crate::wire::attempt::WirePosition;
use crate::wire::attempt::decode_attempt;
use crate::wire::attempt::encode_position;
use crate::wire::config::WireConfigUpdate;
use crate::wire::dispatch::WireDispatch;
use crate::wire::error::WireError;
use crate::wire::hello::WireEntryHello;
use crate::wire::pin::WirePin;

/// Encoded [`Settlement`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireSettled {
    /// Host of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Incarnation of the entry that the requests belong to.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Numbers of further settled requests.
    #[prost(uint64, repeated, tag = "3")]
    pub serials: Vec<u64>,
    /// Every request with a lower number is settled.
    #[prost(uint64, tag = "4")]
    pub settled_below: u64,
}

/// Encoded [`EntryMessage::Ratings`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WireRatings {
    /// Version of each rated answer.
    #[prost(string, repeated, tag = "1")]
    pub versions: Vec<String>,
    /// Rating of each answer from 0 to 1, in the same order as `versions`.
    #[prost(double, repeated, tag = "2")]
    pub scores: Vec<f64>,
}

/// A message without content.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireEmpty {}

/// Content of an [`EntryFrame`].
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum EntryBody {
    /// [`EntryMessage::Hello`]
    #[prost(message, tag = "1")]
    Hello(WireEntryHello),
    /// [`EntryMessage::Dispatch`]
    #[prost(message, tag = "2")]
    Dispatch(Box<WireDispatch>),
    /// [`EntryMessage::Cancel`]
    #[prost(message, tag = "3")]
    Cancel(WireAttempt),
    /// [`EntryMessage::Credit`]
    #[prost(message, tag = "4")]
    Credit(WirePosition),
    /// [`EntryMessage::Resume`]
    #[prost(message, tag = "5")]
    Resume(WirePosition),
    /// [`EntryMessage::Settled`]
    #[prost(message, tag = "6")]
    Settled(WireSettled),
    /// [`EntryMessage::Ratings`]
    #[prost(message, tag = "7")]
    Ratings(WireRatings),
    /// [`EntryMessage::Heartbeat`]
    #[prost(uint64, tag = "8")]
    Heartbeat(u64),
    /// [`EntryMessage::ConfigNotice`]
    #[prost(uint64, tag = "9")]
    ConfigNotice(u64),
    /// [`EntryMessage::ConfigPull`]
    #[prost(uint64, tag = "10")]
    ConfigPull(u64),
    /// [`EntryMessage::ConfigUpdate`]
    #[prost(message, tag = "11")]
    ConfigUpdate(WireConfigUpdate),
    /// [`EntryMessage::LeaveNotice`]
    #[prost(message, tag = "12")]
    LeaveNotice(WireEmpty),
    /// [`EntryMessage::Pin`]
    #[prost(message, tag = "20")]
    Pin(WirePin),
}

/// A frame from an entry to an agent.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct EntryFrame {
    /// Content of the frame; required.
    #[prost(oneof = "EntryBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 20")]
    pub body: Option<EntryBody>,
}

impl From<Settlement> for WireSettled {
    fn from(settlement: Settlement) -> Self {
        Self {
            entry: settlement.entry.to_string(),
            incarnation: settlement.incarnation.get(),
            serials: settlement.serials.iter().map(|serial| serial.get()).collect(),
            settled_below: settlement.settled_below.get(),
        }
    }
}

impl From<EntryMessage> for EntryFrame {
    fn from(message: EntryMessage) -> Self {
        let body = match message {
            EntryMessage::Hello(hello) => EntryBody::Hello(hello.into()),
            EntryMessage::Dispatch(dispatch) => EntryBody::Dispatch(Box::new((*dispatch).into())),
            EntryMessage::Cancel { attempt } => EntryBody::Cancel((&attempt).into()),
            EntryMessage::Credit { attempt, read_bytes } => {
                EntryBody::Credit(encode_position(&attempt, read_bytes))
            }
            EntryMessage::Resume { attempt, offset } => {
                EntryBody::Resume(encode_position(&attempt, offset))
            }
            EntryMessage::Settled(settlement) => EntryBody::Settled(settlement.into()),
            EntryMessage::Ratings(ratings) => EntryBody::Ratings(WireRatings {
                versions: ratings.iter().map(|rating| rating.version.to_string()).collect(),
                scores: ratings.iter().map(|rating| rating.score).collect(),
            }),
            EntryMessage::Heartbeat { revision } => EntryBody::Heartbeat(revision.get()),
            EntryMessage::ConfigNotice { revision } => EntryBody::ConfigNotice(revision.get()),
            EntryMessage::ConfigPull { current } => EntryBody::ConfigPull(current.get()),
            EntryMessage::ConfigUpdate(update) => EntryBody::ConfigUpdate(update.into()),
            EntryMessage::LeaveNotice => EntryBody::LeaveNotice(WireEmpty {}),
            EntryMessage::Pin { key, pin, confirmed } => {
                EntryBody::Pin(WirePin::new(key, pin.as_ref(), confirmed))
            }
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<EntryFrame> for EntryMessage {
    type Error = WireError;

    fn try_from(frame: EntryFrame) -> Result<Self, WireError> {
        let body = frame.body.ok_or(WireError::Missing { part: "body" })?;
        Ok(match body {
            EntryBody::Hello(hello) => Self::Hello(hello.try_into()?),
            EntryBody::Dispatch(dispatch) => Self::Dispatch(Box::new((*dispatch).try_into()?)),
            EntryBody::Cancel(wire) => Self::Cancel { attempt: wire.try_into()? },
            EntryBody::Credit(wire) => Self::Credit {
                attempt: decode_attempt(wire.attempt)?,
                read_bytes: ByteCount::new(wire.bytes),
            },
            EntryBody::Resume(wire) => Self::Resume {
                attempt: decode_attempt(wire.attempt)?,
                offset: ByteCount::new(wire.bytes),
            },
            EntryBody::Settled(wire) => Self::Settled(wire.try_into()?),
            EntryBody::Ratings(wire) => Self::Ratings(wire.try_into()?),
            EntryBody::Heartbeat(revision) => Self::Heartbeat { revision: Revision::new(revision) },
            EntryBody::ConfigNotice(revision) => {
                Self::ConfigNotice { revision: Revision::new(revision) }
            }
            EntryBody::ConfigPull(current) => Self::ConfigPull { current: Revision::new(current) },
            EntryBody::ConfigUpdate(update) => Self::ConfigUpdate(update.try_into()?),
            EntryBody::LeaveNotice(WireEmpty {}) => Self::LeaveNotice,
            EntryBody::Pin(wire) => {
                let (key, pin, confirmed) = wire.try_into()?;
                Self::Pin { key, pin, confirmed }
            }
        })
    }
}

impl TryFrom<WireSettled> for Settlement {
    type Error = WireError;

    fn try_from(wire: WireSettled) -> Result<Self, WireError> {
        Ok(Self {
            entry: wire.entry.parse()?,
            incarnation: Incarnation::new(wire.incarnation),
            settled_below: Serial::new(wire.settled_below),
            serials: wire.serials.into_iter().map(Serial::new).collect(),
        })
    }
}

impl TryFrom<WireRatings> for Vec<VersionRating> {
    type Error = WireError;

    fn try_from(wire: WireRatings) -> Result<Self, WireError> {
        let rating = |(version, score): (String, f64)| {
            Ok(VersionRating { version: version.parse()?, score })
        };
        wire.versions.into_iter().zip(wire.scores).map(rating).collect()
    }
}
