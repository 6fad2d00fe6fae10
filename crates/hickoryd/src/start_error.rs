//! Reasons why a process cannot start.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use crate::tls::TlsError;

/// Reasons why a process cannot start.
#[derive(Debug)]
pub enum StartError {
    /// A port cannot be opened.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        cause: io::Error,
    },
    /// A TLS identity cannot be used.
    Tls(TlsError),
    /// Signals cannot be received.
    Signals {
        /// The cause.
        cause: io::Error,
    },
    /// The metrics' socket cannot be opened.
    Metrics {
        /// The cause.
        cause: io::Error,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, cause } => write!(f, "cannot listen on {address}: {cause}"),
            Self::Tls(error) => write!(f, "cannot use the TLS identity: {error}"),
            Self::Signals { cause } => write!(f, "cannot receive signals: {cause}"),
            Self::Metrics { cause } => write!(f, "cannot open the metrics socket: {cause}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<TlsError> for StartError {
    fn from(error: TlsError) -> Self {
        Self::Tls(error)
    }
}
