//! Opens the ports of a process.
//!
//! An earlier process on the host may still have them while it stops, so a port that is in use is
//! waited for.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use log::warn;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::start_error::StartError;

/// Maximum time to wait for a port; a process stops in less.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Interval at which a port that is in use is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Opens a TCP port.
///
/// # Errors
/// Fails if the port cannot be opened, or is in use for too long.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    open(address, || TcpListener::bind(address)).await
}

/// Opens a UDP port.
///
/// # Errors
/// Fails if the port cannot be opened, or is in use for too long.
pub async fn open_datagram(address: SocketAddr) -> Result<UdpSocket, StartError> {
    open(address, || UdpSocket::bind(address)).await
}

async fn open<S, F>(address: SocketAddr, bind: impl Fn() -> F) -> Result<S, StartError>
where
    F: Future<Output = io::Result<S>>,
{
    let deadline = Instant::now() + MAX_WAIT;
    let mut is_reported = false;
    loop {
        match bind().await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                if !std::mem::replace(&mut is_reported, true) {
                    warn!(address:% = address; "port is in use; waiting until it is free");
                }
                sleep(RETRY_INTERVAL).await;
            }
            opened => return opened.map_err(|cause| StartError::Listen { address, cause }),
        }
    }
}
