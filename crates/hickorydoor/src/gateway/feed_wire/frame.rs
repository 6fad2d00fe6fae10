//! Frames of the connection between a watcher and a follower.

use bytes::Bytes;
use prost::Message;
use prost::Oneof;

use crate::gateway::event::GatewayEvent;
use crate::gateway::feed_wire::FeedError;
use crate::gateway::feed_wire::event::decode_event;
use crate::gateway::feed_wire::event::encode_event;
use crate::gateway::feed_wire::position::WirePosition;
use crate::gateway::store_position::StorePosition;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Number of the ping for which the first message of a follower counts.
pub const HELLO_PING: u64 = 1;

/// First message of a follower: what it knows already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedHello {
    /// Position up to which it knows the changes; `None` if it knows nothing.
    pub position: Option<StorePosition>,
    /// Version of the configuration that it has; 0 if it has none. It is not sent again.
    pub configuration_version: u64,
}

/// A message of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerMessage {
    /// First message.
    Hello(FeedHello),
    /// A number, which the watcher returns with each synchronization, and at once if it is the first one
    /// since the last.
    Ping(u64),
}

/// A synchronization of the watcher with the store, after all events that belong to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedSynced {
    /// Number of the last ping that the watcher has received.
    pub ping: u64,
    /// How long before the arrival of that ping the watcher was in sync; 0 if it was so afterwards.
    pub age_ms: DurationMs,
    /// Position up to which the changes were sent.
    pub position: StorePosition,
}

/// A message of a watcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatcherMessage {
    /// An event of the view, encoded once for all followers.
    Event(Bytes),
    /// A synchronization.
    Synced(FeedSynced),
}

impl WatcherMessage {
    /// Encodes an event; `None` if it is not part of the view.
    pub fn event(event: &GatewayEvent) -> Option<Self> {
        encode_event(event).map(Self::Event)
    }

    /// Decodes the event of a message received at `now`; `None` if its kind is not known.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid event.
    pub fn decode_event(bytes: &[u8], now: TimeMs) -> Result<Option<GatewayEvent>, FeedError> {
        decode_event(bytes, now)
    }

    /// Returns the approximate size of the encoded message in bytes.
    pub const fn size_bytes(&self) -> usize {
        match self {
            Self::Event(bytes) => bytes.len() + 8,
            Self::Synced(_) => 32,
        }
    }
}

/// Encoded [`FollowerMessage`].
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct WireFollowerFrame {
    #[prost(oneof = "FollowerBody", tags = "1, 2")]
    body: Option<FollowerBody>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Oneof)]
enum FollowerBody {
    #[prost(message, tag = "1")]
    Hello(WireHello),
    #[prost(uint64, tag = "2")]
    Ping(u64),
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Message)]
struct WireHello {
    #[prost(message, optional, tag = "1")]
    position: Option<WirePosition>,
    #[prost(uint64, tag = "2")]
    configuration_version: u64,
}

/// Encoded [`WatcherMessage`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct WireWatcherFrame {
    #[prost(oneof = "WatcherBody", tags = "1, 2")]
    body: Option<WatcherBody>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Oneof)]
enum WatcherBody {
    #[prost(bytes = "bytes", tag = "1")]
    Event(Bytes),
    #[prost(message, tag = "2")]
    Synced(WireSynced),
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Message)]
struct WireSynced {
    #[prost(uint64, tag = "1")]
    ping: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(message, optional, tag = "3")]
    position: Option<WirePosition>,
}

impl From<FollowerMessage> for WireFollowerFrame {
    fn from(message: FollowerMessage) -> Self {
        let body = match message {
            FollowerMessage::Hello(hello) => FollowerBody::Hello(WireHello {
                position: hello.position.map(WirePosition::from),
                configuration_version: hello.configuration_version,
            }),
            FollowerMessage::Ping(number) => FollowerBody::Ping(number),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<WireFollowerFrame> for FollowerMessage {
    type Error = FeedError;

    fn try_from(frame: WireFollowerFrame) -> Result<Self, FeedError> {
        Ok(match frame.body.ok_or(FeedError::Incomplete)? {
            FollowerBody::Hello(hello) => Self::Hello(FeedHello {
                position: hello.position.map(StorePosition::from),
                configuration_version: hello.configuration_version,
            }),
            FollowerBody::Ping(number) => Self::Ping(number),
        })
    }
}

impl From<WatcherMessage> for WireWatcherFrame {
    fn from(message: WatcherMessage) -> Self {
        let body = match message {
            WatcherMessage::Event(bytes) => WatcherBody::Event(bytes),
            WatcherMessage::Synced(synced) => WatcherBody::Synced(WireSynced {
                ping: synced.ping,
                age_ms: synced.age_ms.get(),
                position: Some(synced.position.into()),
            }),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<WireWatcherFrame> for WatcherMessage {
    type Error = FeedError;

    fn try_from(frame: WireWatcherFrame) -> Result<Self, FeedError> {
        Ok(match frame.body.ok_or(FeedError::Incomplete)? {
            WatcherBody::Event(bytes) => Self::Event(bytes),
            WatcherBody::Synced(synced) => Self::Synced(FeedSynced {
                ping: synced.ping,
                age_ms: DurationMs::new(synced.age_ms),
                position: synced.position.ok_or(FeedError::Incomplete)?.into(),
            }),
        })
    }
}
