//! Errors of calls to the key-value service.

use std::fmt;

use compact_str::CompactString;
use hickorydoor::Category;
use hickorydoor::store::kv_call::KvFault;

/// Error of a call to the key-value service.
///
/// [`CallError::fault`] tells whether the call may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No endpoint accepted a connection, so the call had no effect.
    Connect {
        /// Root cause of the last failed connection attempt.
        detail: CompactString,
    },
    /// The connection failed before the whole response arrived, or its status is none of HTTP; the
    /// call may have taken effect.
    ResponseLost {
        /// Root cause of the failed transfer.
        detail: CompactString,
    },
    /// No response arrived within the call timeout; the call may have taken effect.
    TimedOut,
    /// The service rejected the call, which had no effect.
    Rejected {
        /// HTTP status code, 4xx.
        status: u16,
        /// Error message in the response, or the start of its body.
        detail: CompactString,
    },
    /// The service failed while it handled the call; the call may have taken effect.
    ServiceFailed {
        /// HTTP status code: 408, 3xx or 5xx.
        status: u16,
        /// Error message in the response, or the start of its body.
        detail: CompactString,
    },
    /// The response body exceeds
    /// [`ClientSettings::response_limit_bytes`](crate::ClientSettings::response_limit_bytes).
    ResponseTooLarge {
        /// Configured limit of the response body.
        limit_bytes: usize,
    },
    /// The response body is not in the format of the JSON gateway.
    MalformedResponse {
        /// Parse error.
        detail: CompactString,
    },
    /// [`KvCall::Watch`](hickorydoor::store::kv_call::KvCall::Watch) and
    /// [`KvCall::Unwatch`](hickorydoor::store::kv_call::KvCall::Unwatch) are not sent as calls; use
    /// [`Client::watch`](crate::Client::watch).
    UnsupportedCall,
}

impl CallError {
    /// Classifies the error by whether the call may have taken effect.
    pub const fn fault(&self) -> KvFault {
        match self {
            Self::Connect { .. } | Self::UnsupportedCall => KvFault::NotSent,
            Self::Rejected { .. } => KvFault::Rejected,
            Self::ResponseLost { .. }
            | Self::TimedOut
            | Self::ServiceFailed { .. }
            | Self::ResponseTooLarge { .. }
            | Self::MalformedResponse { .. } => KvFault::OutcomeUnknown,
        }
    }

    /// Category that determines how a caller reacts, such as the exit code of `hickoryctl`.
    pub const fn category(&self) -> Category {
        match self {
            Self::Connect { .. } => Category::Unavailable,
            Self::Rejected { .. } | Self::UnsupportedCall => Category::Input,
            _ => Category::Unknown,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect { detail } => write!(f, "no endpoint accepted a connection: {detail}"),
            Self::ResponseLost { detail } => {
                write!(f, "the connection failed before the response was complete: {detail}")
            }
            Self::TimedOut => f.write_str("no response within the call timeout"),
            Self::Rejected { status, detail } => {
                write!(f, "the service rejected the call with status {status}: {detail}")
            }
            Self::ServiceFailed { status, detail } => {
                write!(f, "the service failed with status {status}: {detail}")
            }
            Self::ResponseTooLarge { limit_bytes } => {
                write!(f, "the response is larger than {limit_bytes} bytes")
            }
            Self::MalformedResponse { detail } => write!(f, "the response is malformed: {detail}"),
            Self::UnsupportedCall => f.write_str("watches cannot be started or ended by a call"),
        }
    }
}

impl std::error::Error for CallError {}
