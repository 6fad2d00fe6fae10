//! Exchange of load digests and messages about permits between gateways over UDP, one datagram
//! each.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::digest_pace::regular_interval_ms;
use hickorydoor::gateway::digest_pace::urgent_interval_ms;
use hickorydoor::gateway::peer_digest::DigestError;
use hickorydoor::gateway::peer_inbox::Filed;
use hickorydoor::gateway::peer_inbox::PeerInbox;
use hickorydoor::gateway::peer_message::PeerMessage;
use log::debug;
use log::warn;
use tokio::net::UdpSocket;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::gateway::core::AddressedPermit;
use crate::gateway::core::Core;

/// Maximum length of a received digest.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Datagrams that are handled before other tasks get their turn.
const DATAGRAMS_PER_TURN: usize = 4;
/// Datagrams that are taken from the system at a time.
const MAX_TAKEN: usize = 64;
/// Delay before the next receive after a failure.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Periodically sends the digest of this gateway to the other gateways, sends messages about
/// permits, and applies what the others send.
pub async fn exchange_digests(
    socket: Rc<UdpSocket>,
    core: Rc<Core>,
    port: u16,
    interval: Duration,
) {
    tokio::join!(
        send_digests(&socket, &core, port, interval),
        send_permits(&socket, &core, port),
        receive(&socket, &core),
    );
}

async fn send_digests(socket: &UdpSocket, core: &Core, port: u16, interval: Duration) {
    let interval_ms = DurationMs::new(interval.as_millis() as u64);
    loop {
        let peers = core.peer_addresses();
        let regular = Duration::from(regular_interval_ms(interval_ms, peers.len()));
        let urgent = Duration::from(urgent_interval_ms(peers.len())).min(regular);
        sleep(urgent).await;
        tokio::select! {
            () = sleep(regular.saturating_sub(urgent)) => {}
            () = core.digest_due() => {}
        }
        if peers.is_empty() {
            continue;
        }
        let digest = core.digest().encode();
        for peer in peers {
            match socket.try_send_to(&digest, SocketAddr::new(peer, port)) {
                Ok(_sent) => {}
                // The send buffer is full; the next digest replaces this one.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => debug!(peer:% = peer, reason:% = error; "cannot send digest to peer"),
            }
        }
    }
}

/// Sends messages about permits at once. One that is lost is repeated by the gateway that waits for
/// the answer.
async fn send_permits(socket: &UdpSocket, core: &Core, port: u16) {
    let Some(mut permits) = core.take_permit_receiver() else {
        return;
    };
    while let Some(AddressedPermit { address, message }) = permits.recv().await {
        if let Err(error) = socket.try_send_to(&message.encode(), SocketAddr::new(address, port)) {
            debug!(peer:% = address, reason:% = error; "cannot send message about a permit");
        }
    }
}

/// Takes what has arrived, and handles a few datagrams at a time: time-outs, closes and requests that
/// have become due meanwhile come first.
async fn receive(socket: &UdpSocket, core: &Core) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut inbox = PeerInbox::default();
    loop {
        if inbox.is_empty()
            && let Err(error) = socket.readable().await
        {
            debug!(reason:% = error; "cannot receive digests; retrying after a delay");
            sleep(RECEIVE_RETRY_DELAY).await;
            continue;
        }
        take_arrived(socket, core, &mut inbox, &mut buffer);
        for datagram in std::iter::from_fn(|| inbox.pop()).take(DATAGRAMS_PER_TURN) {
            handle(core, &datagram);
        }
        if !inbox.is_empty() {
            yield_now().await;
        }
    }
}

/// Moves the datagrams that have arrived into the inbox, of many only a part.
fn take_arrived(socket: &UdpSocket, core: &Core, inbox: &mut PeerInbox, buffer: &mut [u8]) {
    for _ in 0..MAX_TAKEN {
        let length = match socket.try_recv(buffer) {
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                debug!(reason:% = error; "cannot receive a datagram");
                return;
            }
        };
        match inbox.push(&buffer[..length]) {
            Ok(Filed::Kept) => {}
            Ok(Filed::Replaced | Filed::Dropped) => core.metrics.record_datagram("outdated"),
            Err(error) => report_malformed(core, &error),
        }
    }
}

fn handle(core: &Core, datagram: &[u8]) {
    match PeerMessage::decode(datagram) {
        Ok(PeerMessage::Digest(digest)) => {
            core.metrics.record_datagram("digest");
            core.apply(GatewayEvent::Digest(digest));
        }
        Ok(PeerMessage::Permit { host, message }) => {
            core.metrics.record_datagram("permit");
            core.apply(GatewayEvent::Permit { host, message: Box::new(message) });
        }
        Err(error) => report_malformed(core, &error),
    }
}

fn report_malformed(core: &Core, error: &DigestError) {
    core.metrics.record_datagram("malformed");
    warn!(reason:% = error; "datagram of a gateway dropped: cannot decode it");
}
