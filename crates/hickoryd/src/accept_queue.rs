//! Connections that the system has accepted for a listener.
//!
//! They are reset if the listener is closed first, although their callers have sent requests on
//! them. The system is asked directly, since the reactor only knows what had arrived when it last
//! looked.

use std::net::TcpListener as StdTcpListener;

use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

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

/// Returns the next connection; `None` if there is none, or if no descriptor is left for it.
fn next_waiting(listener: &StdTcpListener) -> Option<TcpStream> {
    let (stream, _peer) = listener.accept().ok()?;
    stream.set_nonblocking(true).ok()?;
    TcpStream::from_std(stream).ok()
}
