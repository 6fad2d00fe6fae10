//! Identifiers as validated newtypes.
//!
//! Text ids are 1 to 128 characters of `A-Z a-z 0-9 . _ : @ -`, so they need no escaping in
//! key-value paths, headers and file names. [`SessionId`] and [`IdempotencyKey`] are chosen by
//! callers, so they accept any text of 1 to 256 bytes without control characters.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

const MAX_ID_BYTES: usize = 128;
const MAX_CALLER_TEXT_BYTES: usize = 256;

/// Error when a text is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than `limit_bytes`.
    TooLong {
        /// Maximum length in bytes.
        limit_bytes: usize,
    },
    /// The text contains a character that is not allowed in this kind of id.
    InvalidCharacter {
        /// The first character that is not allowed.
        character: char,
    },
    /// A request or attempt id does not consist of the expected parts separated by `/`.
    InvalidFormat {
        /// The rejected text.
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
            Self::InvalidCharacter { character } => {
                write!(f, "{character:?} is not allowed in an id (A-Z a-z 0-9 . _ : @ -)")
            }
            Self::InvalidFormat { text } => {
                write!(f, "{text:?} is not a valid id of a request or attempt")
            }
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
        Some(character) => Err(IdError::InvalidCharacter { character }),
        None => Ok(()),
    }
}

fn check_caller_text(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_CALLER_TEXT_BYTES {
        return Err(IdError::TooLong { limit_bytes: MAX_CALLER_TEXT_BYTES });
    }
    match text.chars().find(|c| c.is_control()) {
        Some(character) => Err(IdError::InvalidCharacter { character }),
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
            /// Returns the id as text.
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

text_id!(/// Identifies a customer.
    CustomerId, check_id);
text_id!(/// Name of a model, as given in requests.
    ModelId, check_id);
text_id!(/// Identifies a version of a model; unique across all models.
    VersionId, check_id);
text_id!(/// Name of a cascade, given in requests in place of a model.
    CascadeId, check_id);
text_id!(/// Name of a plain service.
    ServiceName, check_id);
text_id!(/// Identifies a data centre.
    DataCentreId, check_id);
text_id!(/// Identifies a region, which is a group of data centres.
    RegionId, check_id);
text_id!(/// Identifies a host that runs an entry or an agent.
    HostId, check_id);
text_id!(/// Identifies an upstream: a model engine or an instance of a plain service.
    UpstreamId, check_id);
text_id!(/// Identifies an exception to the fleet-wide defaults.
    ExceptionId, check_id);
text_id!(/// Identifies a configuration change; each attempt of an operator to make one gets its own.
    ChangeId, check_id);
text_id!(/// Identifies an operator.
    OperatorId, check_id);
text_id!(/// Identifies a session; chosen by the caller.
    SessionId, check_caller_text);
text_id!(/// Idempotency key of a call; chosen by the caller.
    IdempotencyKey, check_caller_text);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates an id from its number.
            pub const fn new(raw: u64) -> Self {
                Self(raw)
            }

            /// Returns the number of this id.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the id with the next higher number.
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

number_id!(/// Incarnation of a process; higher for each later start on the same host.
    Incarnation);
number_id!(/// Revision of the configuration; each change has a higher one than the change before.
    Revision);
number_id!(/// Fencing number of a lease; higher for each later holder.
    FencingNumber);
number_id!(/// Serial number of a request within one incarnation of its entry.
    Serial);
number_id!(/// Sequence number of a billing batch within its ledger, from 0.
    Sequence);
number_id!(/// Identifies an open HTTP exchange with a caller at one entry; assigned by the daemon.
    CallerId);
number_id!(/// Identifies a key-value call in flight; assigned by the reducer that issued it.
    KvCallId);

/// Identifies a request across the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// The entry that accepted the request.
    pub entry: HostId,
    /// The incarnation of that entry.
    pub incarnation: Incarnation,
    /// Serial number of the request within that incarnation.
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
        let invalid_format = || IdError::InvalidFormat { text: text.into() };
        let mut parts = text.split('/');
        let (Some(entry), Some(incarnation), Some(serial), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(invalid_format());
        };
        Ok(Self {
            entry: entry.parse()?,
            incarnation: incarnation.parse().map_err(|_error| invalid_format())?,
            serial: serial.parse().map_err(|_error| invalid_format())?,
        })
    }
}

/// Identifies one attempt to run a request on one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request that the attempt runs.
    pub request: RequestId,
    /// Position among the attempts of the request, from 0.
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
        let invalid_format = || IdError::InvalidFormat { text: text.into() };
        let (request, ordinal) = text.rsplit_once('/').ok_or_else(invalid_format)?;
        Ok(Self {
            request: request.parse()?,
            ordinal: ordinal.parse().map_err(|_error| invalid_format())?,
        })
    }
}
