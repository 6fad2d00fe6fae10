//! Reports between gateways, one datagram each.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::peer_digest::PeerDigest;
use log::debug;
use log::warn;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::gateway::core::Core;

/// Least time between two reports for each gateway that gets them, which bounds their cost.
const PAUSE_PER_PEER: Duration = Duration::from_millis(6);
/// Longest report.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// Sends own reports and takes in those of the others.
pub async fn exchange(socket: Rc<UdpSocket>, core: Rc<Core>, port: u16, every: Duration) {
    tokio::join!(send_reports(&socket, &core, port, every), receive_reports(&socket, &core));
}

async fn send_reports(socket: &UdpSocket, core: &Core, port: u16, every: Duration) {
    loop {
        let peers = core.peer_addresses();
        sleep(every.max(PAUSE_PER_PEER * peers.len() as u32)).await;
        if peers.is_empty() {
            continue;
        }
        let report = core.digest().encode();
        for peer in peers {
            match socket.try_send_to(&report, SocketAddr::new(peer, port)) {
                Ok(_sent) => {}
                // The next report makes up for one that finds no room.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => debug!(peer:% = peer, reason:% = error; "report not sent"),
            }
        }
    }
}

async fn receive_reports(socket: &UdpSocket, core: &Core) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _peer)) => length,
            Err(error) => {
                debug!(reason:% = error; "no report received");
                sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        match PeerDigest::decode(&buffer[..length]) {
            Ok(digest) => core.apply(GatewayEvent::Digest(Box::new(digest))),
            Err(error) => warn!(reason:% = error; "report dropped"),
        }
    }
}
