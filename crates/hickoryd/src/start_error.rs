//! Reasons why a process cannot start.

use std::fmt;
use std::io;
use std::net::SocketAddr;

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
            Self::Signals { cause } => write!(f, "cannot receive signals: {cause}"),
            Self::Metrics { cause } => write!(f, "cannot open the metrics socket: {cause}"),
        }
    }
}

impl std::error::Error for StartError {}
