//! Encoding of the pins of sessions.

use crate::id::Revision;
use crate::rollouts::session_pin::Pin;
use crate::rollouts::session_pin::PinKey;
use crate::time::TimeMs;
use crate::wire::WireError;

const HALF_BITS: u32 = 64;

/// Encoded pin of a session, in the messages to and from its owner agents.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WirePin {
    /// Upper half of the session's key.
    #[prost(fixed64, tag = "1")]
    pub key_high: u64,
    /// Lower half of the session's key.
    #[prost(fixed64, tag = "2")]
    pub key_low: u64,
    /// Number of times that the session had to move to another version.
    #[prost(uint32, tag = "3")]
    pub generation: u32,
    /// Time of the assignment, on the clock of the entry that made it.
    #[prost(uint64, tag = "4")]
    pub since_ms: u64,
    /// Configuration revision in force at that entry.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Id of the assigned version; empty if there is no pin.
    #[prost(string, tag = "6")]
    pub version: String,
    /// Whether the pin is confirmed, in a message to an owner, or was known, in its reply.
    #[prost(bool, tag = "7")]
    pub flag: bool,
}

impl WirePin {
    /// Encodes a pin or its absence. `flag` is `confirmed` or `known`, depending on the message.
    pub fn new(key: PinKey, pin: Option<&Pin>, flag: bool) -> Self {
        let key = Self {
            key_high: (key.get() >> HALF_BITS) as u64,
            key_low: key.get() as u64,
            flag,
            ..Self::default()
        };
        let Some(pin) = pin else {
            return key;
        };
        Self {
            generation: pin.generation,
            since_ms: pin.since_ms.get(),
            revision: pin.revision.get(),
            version: pin.version.to_string(),
            ..key
        }
    }
}

impl TryFrom<WirePin> for (PinKey, Option<Pin>, bool) {
    type Error = WireError;

    fn try_from(wire: WirePin) -> Result<Self, WireError> {
        let key = (u128::from(wire.key_high) << HALF_BITS) | u128::from(wire.key_low);
        let key = PinKey::from_raw(key);
        if wire.version.is_empty() {
            return Ok((key, None, wire.flag));
        }
        let pin = Pin {
            generation: wire.generation,
            since_ms: TimeMs::new(wire.since_ms),
            revision: Revision::new(wire.revision),
            version: wire.version.parse()?,
        };
        Ok((key, Some(pin), wire.flag))
    }
}
