//! Identifiers as checked newtypes.
//!
//! Text ids are 1 to 128 characters of `A-Z a-z 0-9 . _ : @ -`, so that they can stand in
//! key-value paths, headers and file names unescaped. [`SessionId`] comes from callers and
//! therefore accepts any text without control characters, up to 256 bytes.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

const MAX_ID_BYTES: usize = 128;
const MAX_SESSION_BYTES: usize = 256;

/// Reasons why a text is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than `limit_bytes`.
    TooLong {
        /// The longest accepted length.
        limit_bytes: usize,
    },
    /// The text holds a character that ids may not contain.
    BadCharacter {
        /// The offending character.
        character: char,
    },
    /// A composed id does not have the expected parts.
    BadShape {
        /// The text as given.
        text: CompactString,
    },
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("the id is empty"),
            Self::TooLong { limit_bytes } => {
                write!(f, "the id is longer than {limit_bytes} bytes")
            }
            Self::BadCharacter { character } => {
                write!(f, "{character:?} is not allowed in an id (A-Z a-z 0-9 . _ : @ -)")
            }
            Self::BadShape { text } => write!(f, "{text:?} does not have the parts of this id"),
        }
    }
}

impl std::error::Error for IdError {}

fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong { limit_bytes: MAX_ID_BYTES });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '@' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        Some(character) => Err(IdError::BadCharacter { character }),
        None => Ok(()),
    }
}

fn check_session(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_SESSION_BYTES {
        return Err(IdError::TooLong { limit_bytes: MAX_SESSION_BYTES });
    }
    match text.chars().find(|c| c.is_control()) {
        Some(character) => Err(IdError::BadCharacter { character }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $check:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = IdError;

            fn try_from(text: CompactString) -> Result<Self, IdError> {
                $check(&text)?;
                Ok(Self(text))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = IdError;

            fn try_from(text: &str) -> Result<Self, IdError> {
                Self::try_from(CompactString::from(text))
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                Self::try_from(text)
            }
        }

        impl From<$name> for CompactString {
            fn from(id: $name) -> Self {
                id.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(/// A customer.
    CustomerId, check_id);
text_id!(/// A model, the name that callers ask for.
    ModelId, check_id);
text_id!(/// A version of a model, unique across models.
    VersionId, check_id);
text_id!(/// A cascade, asked for by callers like a model.
    CascadeId, check_id);
text_id!(/// A plain service.
    ServiceName, check_id);
text_id!(/// A data centre.
    DataCentreId, check_id);
text_id!(/// A region of data centres.
    RegionId, check_id);
text_id!(/// A host that runs an entry or an agent.
    HostId, check_id);
text_id!(/// An upstream: a model engine or a plain service instance.
    UpstreamId, check_id);
text_id!(/// An exception to the fleet-wide defaults.
    ExceptionId, check_id);
text_id!(/// An operator's change of the configuration, unique per attempt to change.
    ChangeId, check_id);
text_id!(/// An operator.
    OperatorId, check_id);
text_id!(/// A caller's session.
    SessionId, check_session);
text_id!(/// A caller's idempotency key.
    IdempotencyKey, check_session);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a raw number.
            pub const fn new(raw: u64) -> Self {
                Self(raw)
            }

            /// The raw number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The number that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number_id!(/// One run of a process; higher for later runs on the same host.
    Incarnation);
number_id!(/// Revision of the configuration.
    Revision);
number_id!(/// Fencing number of a lease; higher for later holders.
    FencingNumber);
number_id!(/// Number of a request within its entry's incarnation.
    Serial);
number_id!(/// Sequence number of a billing batch within its ledger.
    Sequence);
number_id!(/// A caller's open HTTP exchange at one entry, assigned by the daemon.
    CallerId);
number_id!(/// A key-value call in flight, assigned by the reducer that issued it.
    KvCallId);

/// Identifies a request across the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// The entry that accepted the request.
    pub entry: HostId,
    /// The incarnation of that entry.
    pub incarnation: Incarnation,
    /// The request's number within that incarnation.
    pub serial: Serial,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.entry, self.incarnation, self.serial)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let bad = || IdError::BadShape { text: text.into() };
        let mut parts = text.split('/');
        let (Some(entry), Some(incarnation), Some(serial), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(bad());
        };
        Ok(Self {
            entry: entry.parse()?,
            incarnation: incarnation.parse().map_err(|_error| bad())?,
            serial: serial.parse().map_err(|_error| bad())?,
        })
    }
}

/// Identifies one attempt to run a request on one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request that is attempted.
    pub request: RequestId,
    /// Counts the attempts of the request from 0.
    pub ordinal: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.ordinal)
    }
}

impl FromStr for AttemptId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let bad = || IdError::BadShape { text: text.into() };
        let (request, ordinal) = text.rsplit_once('/').ok_or_else(bad)?;
        Ok(Self { request: request.parse()?, ordinal: ordinal.parse().map_err(|_error| bad())? })
    }
}
