//! Connection through which this gateway follows another one.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::feed_wire::FeedError;
use hickorydoor::gateway::feed_wire::FeedSynced;
use hickorydoor::gateway::feed_wire::FollowerMessage;
use hickorydoor::gateway::feed_wire::HELLO_PING;
use hickorydoor::gateway::feed_wire::WatcherMessage;
use hickorydoor::gateway::feed_wire::WireFollowerFrame;
use hickorydoor::gateway::feed_wire::WireWatcherFrame;
use log::debug;
use log::warn;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::gateway::core::Core;
use crate::link::LinkError;
use crate::link::LinkQueue;
use crate::link::framed_reader;
use crate::link::read_message;
use crate::link::write_messages;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for the first synchronization.
const FIRST_SYNC_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for the first synchronization of a gateway that knows nothing yet. All gateways may be
/// starting at the same time, and a watcher may not know this host yet.
const INITIAL_SYNC_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of pings whose sending time is remembered.
const MAX_OPEN_PINGS: usize = 64;
/// Estimated size of a message to the watcher.
const MESSAGE_BYTES: usize = 32;

/// Why a gateway no longer follows another one.
#[derive(Debug)]
pub enum FeedEnd {
    /// No connection could be opened.
    Connect(io::Error),
    /// The connection failed or was closed, or nothing arrived for too long.
    Link(LinkError),
    /// The watcher sent a message that is not valid.
    Message(FeedError),
    /// The watcher closed the connection.
    Closed,
}

impl fmt::Display for FeedEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "cannot connect: {error}"),
            Self::Link(error) => error.fmt(f),
            Self::Message(error) => error.fmt(f),
            Self::Closed => f.write_str("the watcher closed the connection"),
        }
    }
}

/// Follows the gateway at `source` until the connection ends, or until no synchronization arrives
/// within `sync_timeout`. `on_synced` is called after the first one.
pub async fn follow(
    core: &Core,
    source: SocketAddr,
    own_ip: IpAddr,
    sync_timeout: Duration,
    on_synced: impl FnOnce(),
) -> FeedEnd {
    let connected = timeout(CONNECT_TIMEOUT, connect(source, own_ip)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return FeedEnd::Connect(error),
        Err(_elapsed) => return FeedEnd::Connect(io::ErrorKind::TimedOut.into()),
    };
    let (reader, writer) = stream.into_split();
    let (queue, queue_reader) = LinkQueue::new();
    let max_age_ms = DurationMs::new(2 * sync_timeout.as_millis() as u64);
    let pings = VecDeque::from([(HELLO_PING, core.now())]);
    let mut feed = Feed { core, queue, pings, last_ping: HELLO_PING, max_age_ms };
    feed.send(FollowerMessage::Hello(core.feed_hello()));
    let receive = async {
        let mut frames = framed_reader(reader);
        let mut on_synced = Some(on_synced);
        let first_limit = match core.store_position() {
            Some(_known) => FIRST_SYNC_TIMEOUT,
            None => INITIAL_SYNC_TIMEOUT,
        };
        loop {
            let limit = if on_synced.is_some() { first_limit } else { sync_timeout };
            match timeout(limit, feed.receive_until_synced(&mut frames)).await {
                Ok(Ok(())) => {}
                Ok(Err(end)) => return end,
                Err(_elapsed) => return FeedEnd::Link(LinkError::Timeout),
            }
            if let Some(on_synced) = on_synced.take() {
                on_synced();
            }
        }
    };
    tokio::select! {
        end = receive => end,
        result = write_messages::<WireFollowerFrame, _, _>(writer, queue_reader) => match result {
            Ok(()) => FeedEnd::Closed,
            Err(error) => FeedEnd::Link(error),
        },
    }
}

/// Connects from the own address, by which the watcher recognises this gateway.
async fn connect(source: SocketAddr, own_ip: IpAddr) -> io::Result<TcpStream> {
    let socket = if own_ip.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.bind(SocketAddr::new(own_ip, 0))?;
    let stream = socket.connect(source).await?;
    if let Err(error) = stream.set_nodelay(true) {
        debug!(reason:% = error; "cannot set TCP_NODELAY; small writes may be delayed");
    }
    Ok(stream)
}

struct Feed<'a> {
    core: &'a Core,
    queue: LinkQueue<FollowerMessage>,
    /// Pings that were not returned yet, with the time at which they were sent.
    pings: VecDeque<(u64, TimeMs)>,
    last_ping: u64,
    /// Age of a synchronization from which on the watcher itself has lost its source.
    max_age_ms: DurationMs,
}

type Frames = tokio_util::codec::FramedRead<
    tokio::net::tcp::OwnedReadHalf,
    tokio_util::codec::LengthDelimitedCodec,
>;

impl Feed<'_> {
    /// Applies the received events up to the next current synchronization.
    async fn receive_until_synced(&mut self, frames: &mut Frames) -> Result<(), FeedEnd> {
        loop {
            let message = read_message::<WireWatcherFrame, WatcherMessage, _>(frames).await;
            match message.map_err(FeedEnd::Link)?.ok_or(FeedEnd::Closed)? {
                WatcherMessage::Event(bytes) => self.apply_event(&bytes)?,
                WatcherMessage::Synced(synced) => {
                    let is_current = self.apply_synced(&synced);
                    self.send_ping();
                    if is_current {
                        return Ok(());
                    }
                }
            }
        }
    }

    fn apply_event(&self, bytes: &[u8]) -> Result<(), FeedEnd> {
        let now = self.core.now();
        match WatcherMessage::decode_event(bytes, now).map_err(FeedEnd::Message)? {
            Some(event) => self.core.apply(event),
            None => warn!("ignoring an event of unknown kind from another gateway"),
        }
        Ok(())
    }

    /// Applies a synchronization. Returns whether it is current: its time is known, which needs a
    /// ping, and it is recent. Gateways that follow each other in a circle never get a recent one.
    fn apply_synced(&mut self, synced: &FeedSynced) -> bool {
        while self.pings.front().is_some_and(|(number, _)| *number < synced.ping) {
            self.pings.pop_front();
        }
        let Some((_, sent_at)) = self.pings.front().filter(|(number, _)| *number == synced.ping)
        else {
            return false;
        };
        let synced_at = *sent_at - synced.age_ms;
        if self.core.now().since(synced_at) > self.max_age_ms {
            return false;
        }
        self.core.apply(GatewayEvent::StoreSynced { synced_at, position: synced.position });
        true
    }

    fn send_ping(&mut self) {
        self.last_ping += 1;
        self.pings.push_back((self.last_ping, self.core.now()));
        if self.pings.len() > MAX_OPEN_PINGS {
            self.pings.pop_front();
        }
        self.send(FollowerMessage::Ping(self.last_ping));
    }

    fn send(&self, message: FollowerMessage) {
        if self.queue.push(message, MESSAGE_BYTES).is_err() {
            debug!("connection to the followed gateway is closing; message dropped");
        }
    }
}
