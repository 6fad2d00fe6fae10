//! Error for a process that cannot start.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use crate::tls::TlsError;

/// Reason why a process cannot start.
#[derive(Debug)]
pub enum StartError {
    /// A port cannot be opened.
    Listen {
        /// Address to listen on, from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// A TLS identity cannot be loaded at the start.
    Tls(TlsError),
    /// A signal handler cannot be installed.
    Signals {
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The statsd socket cannot be opened, or the metrics of a gateway cannot be registered.
    Metrics {
        /// Error of the operating system or of the metrics registry.
        cause: io::Error,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, cause } => write!(f, "cannot listen on {address}: {cause}"),
            Self::Tls(error) => write!(f, "cannot use the TLS identity: {error}"),
            Self::Signals { cause } => write!(f, "cannot receive signals: {cause}"),
            Self::Metrics { cause } => write!(f, "cannot set up metrics: {cause}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<TlsError> for StartError {
    fn from(error: TlsError) -> Self {
        Self::Tls(error)
    }
}
