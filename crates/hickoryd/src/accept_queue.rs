//! Connections that the system has accepted for a listener.
//!
//! They are reset if the listener is closed first, although their callers have sent requests on
//! them. The system is asked directly, since the reactor only knows what had arrived when it last
//! looked.

use std::io;
use std::net::TcpListener as StdTcpListener;

use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Maximum number of failures in a row; more mean that no connection can be accepted.
const MAX_BROKEN: usize = 16;

/// Closes a listener and returns the connections that were waiting for it.
pub fn close(listener: TcpListener) -> Vec<TcpStream> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            warn!(reason:% = error; "connections that wait to be accepted are reset");
            return Vec::new();
        }
    };
    std::iter::from_fn(|| next_waiting(&listener)).collect()
}

/// Returns the next connection; `None` if there is none, or if the rest cannot be accepted.
fn next_waiting(listener: &StdTcpListener) -> Option<TcpStream> {
    for _ in 0..MAX_BROKEN {
        match listener.accept() {
            Ok((stream, _peer)) => {
                stream.set_nonblocking(true).ok()?;
                return TcpStream::from_std(stream).ok();
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            // An error may be that of one connection, which is broken already.
            Err(error) => warn!(reason:% = error; "cannot accept a connection that waits"),
        }
    }
    None
}
