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
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::gateway::core::Core;
use crate::link::LinkError;
use crate::link::LinkQueue;
use crate::link::framed_reader;
use crate::link::read_message;
use crate::link::write_messages;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of pings whose sending time is remembered.
const MAX_OPEN_PINGS: usize = 64;
/// Estimated size of a message to the watcher.
const MESSAGE_BYTES: usize = 32;

/// Why a gateway no longer follows another one.
#[derive(Debug)]
pub enum FeedEnd {
    /// No connection could be opened.
    Connect(io::Error),
    /// The connection failed or was closed, or the view did not arrive in time.
    Link(LinkError),
    /// The watcher itself is not in sync with the store.
    Stale,
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
            Self::Stale => f.write_str("the view that arrives is too old"),
            Self::Message(error) => error.fmt(f),
            Self::Closed => f.write_str("the watcher closed the connection"),
        }
    }
}

/// How long another gateway is relied on.
#[derive(Clone, Copy, Debug)]
pub struct FollowLimits {
    /// Maximum time until the connection is open and the first synchronization has arrived.
    pub first_sync: Duration,
    /// Age of the view from which on the watcher counts as not in sync.
    pub max_age_ms: DurationMs,
}

/// Follows the gateway at `source` until the connection ends, or until the view is too old.
/// `on_synced` is called after the first synchronization.
pub async fn follow(
    core: &Core,
    source: SocketAddr,
    own_ip: IpAddr,
    limits: FollowLimits,
    on_synced: impl FnOnce(),
) -> FeedEnd {
    let synced_by = Instant::now() + limits.first_sync;
    let connect_timeout = CONNECT_TIMEOUT.min(limits.first_sync);
    let connected = timeout(connect_timeout, connect(source, own_ip)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return FeedEnd::Connect(error),
        Err(_elapsed) => return FeedEnd::Connect(io::ErrorKind::TimedOut.into()),
    };
    let (reader, writer) = stream.into_split();
    let (queue, queue_reader) = LinkQueue::new();
    let FollowLimits { max_age_ms, .. } = limits;
    let pings = VecDeque::from([(HELLO_PING, core.now())]);
    let mut feed = Feed { core, queue, pings, last_ping: HELLO_PING, max_age_ms };
    feed.send(FollowerMessage::Hello(core.feed_hello()));
    let receive = async {
        let mut frames = framed_reader(reader);
        match timeout_at(synced_by, feed.receive_until_synced(&mut frames)).await {
            Ok(Ok(true)) => on_synced(),
            Ok(Ok(false)) => return FeedEnd::Stale,
            Ok(Err(end)) => return end,
            Err(_elapsed) => return FeedEnd::Link(LinkError::Timeout),
        }
        loop {
            let age_ms = core.view_age_ms().unwrap_or_default();
            let left = Duration::from(max_age_ms.saturating_sub(age_ms));
            match timeout(left, feed.receive_until_synced(&mut frames)).await {
                Ok(Ok(_is_current)) => {}
                Ok(Err(end)) => return end,
                Err(_elapsed) => return FeedEnd::Stale,
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
    /// Age of a synchronization from which on the watcher counts as not in sync.
    max_age_ms: DurationMs,
}

type Frames = tokio_util::codec::FramedRead<
    tokio::net::tcp::OwnedReadHalf,
    tokio_util::codec::LengthDelimitedCodec,
>;

impl Feed<'_> {
    /// Applies the received events up to the next synchronization whose time is known. Returns
    /// whether it is current.
    async fn receive_until_synced(&mut self, frames: &mut Frames) -> Result<bool, FeedEnd> {
        loop {
            let message = read_message::<WireWatcherFrame, WatcherMessage, _>(frames).await;
            match message.map_err(FeedEnd::Link)?.ok_or(FeedEnd::Closed)? {
                WatcherMessage::Event(bytes) => self.apply_event(&bytes)?,
                WatcherMessage::Synced(synced) => {
                    let is_current = self.apply_synced(&synced);
                    self.send_ping();
                    if let Some(is_current) = is_current {
                        return Ok(is_current);
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

    /// Applies a synchronization if it is recent, and returns whether it is; `None` if its time is not
    /// known, which needs a ping. Gateways that follow each other in a circle never get a recent one.
    fn apply_synced(&mut self, synced: &FeedSynced) -> Option<bool> {
        while self.pings.front().is_some_and(|(number, _)| *number < synced.ping) {
            self.pings.pop_front();
        }
        let (_, sent_at) = self.pings.front().filter(|(number, _)| *number == synced.ping)?;
        let synced_at = *sent_at - synced.age_ms;
        let is_current = self.core.now().since(synced_at) <= self.max_age_ms;
        if is_current {
            self.core.apply(GatewayEvent::StoreSynced { synced_at, position: synced.position });
        }
        Some(is_current)
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
