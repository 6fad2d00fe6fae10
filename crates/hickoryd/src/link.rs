//! Framing, queueing and timeouts of links, the connections between entries and agents.
//!
//! A link carries length-delimited `prost` frames. Its task ends when the peer closes the
//! connection, when the [`LinkQueue`] is dropped, or when a read or write times out.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

/// Size limit of a frame. A snapshot of the largest planned configuration stays below it.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Bytes that may be queued for a peer that reads slowly. Flow-control credit keeps response bodies
/// below this limit. A link that exceeds it is closed, and its attempts resume on the next
/// connection.
const MAX_QUEUED_BYTES: usize = 32 << 20;
/// A link is closed if nothing is received for this long. A peer sends a heartbeat or load report at
/// least every 4 s, and the entry reducer closes silent links after 24 s at the latest; this limit
/// covers connections that the reducer does not monitor.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for each write or flush. It is exceeded if the peer stops reading.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Messages that are written before each flush.
const MAX_BATCH_MESSAGES: usize = 64;

/// Reason why a link ended.
#[derive(Debug)]
pub enum LinkError {
    /// A socket operation or the TLS handshake failed.
    Io(io::Error),
    /// A frame or the message in it could not be decoded.
    Malformed,
    /// The handshake, a read or a write exceeded its limit.
    Timeout,
    /// The first message was not a hello, or its host is not the expected one or does not match the
    /// certificate of the peer.
    UnexpectedHello,
    /// The task that owns the reducer has ended.
    Stopped,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::Malformed => f.write_str("received a frame that could not be decoded"),
            Self::Timeout => f.write_str("timed out waiting for the peer"),
            Self::UnexpectedHello => f.write_str("the peer did not start with the expected hello"),
            Self::Stopped => f.write_str("the process is shutting down"),
        }
    }
}

impl From<io::Error> for LinkError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Sending half of the queue of messages to write to a link.
#[derive(Debug)]
pub struct LinkQueue<M> {
    sender: mpsc::UnboundedSender<(usize, M)>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Receiving half of a [`LinkQueue`].
#[derive(Debug)]
pub struct LinkQueueReader<M> {
    receiver: mpsc::UnboundedReceiver<(usize, M)>,
    queued_bytes: Arc<AtomicUsize>,
}

/// A message could not be queued, because the queue is full or its link has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkQueueError;

impl<M> LinkQueue<M> {
    /// Creates both halves of a queue.
    pub fn new() -> (Self, LinkQueueReader<M>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let reader = LinkQueueReader { receiver, queued_bytes: Arc::clone(&queued_bytes) };
        (Self { sender, queued_bytes }, reader)
    }

    /// Queues a message. Its estimated size counts towards [`MAX_QUEUED_BYTES`] until it is flushed.
    pub fn push(&self, message: M, size_bytes: usize) -> Result<(), LinkQueueError> {
        let before = self.queued_bytes.fetch_add(size_bytes, Ordering::Relaxed);
        if before > MAX_QUEUED_BYTES {
            return Err(LinkQueueError);
        }
        self.sender.send((size_bytes, message)).map_err(|_closed| LinkQueueError)
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Splits the received bytes into frames.
pub fn framed_reader<R: AsyncRead>(reader: R) -> FramedRead<R, LengthDelimitedCodec> {
    FramedRead::new(reader, codec())
}

/// Reads and decodes the next message. Returns `None` if the peer has closed the connection.
pub async fn read_message<F, M, R>(
    frames: &mut FramedRead<R, LengthDelimitedCodec>,
) -> Result<Option<M>, LinkError>
where
    F: Message + Default,
    M: TryFrom<F>,
    R: AsyncRead + Unpin,
{
    let next = timeout(READ_TIMEOUT, frames.next()).await;
    let Some(frame) = next.map_err(|_elapsed| LinkError::Timeout)? else {
        return Ok(None);
    };
    let frame = F::decode(frame?.freeze()).map_err(|_error| LinkError::Malformed)?;
    M::try_from(frame).map(Some).map_err(|_error| LinkError::Malformed)
}

/// Writes queued messages until the sending half of the queue is dropped.
pub async fn write_messages<F, M, W>(
    writer: W,
    mut queue: LinkQueueReader<M>,
) -> Result<(), LinkError>
where
    F: Message + From<M>,
    W: AsyncWrite + Unpin,
{
    let mut sink = FramedWrite::new(writer, codec());
    let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
    while queue.receiver.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
        let mut written_bytes = 0;
        for (size_bytes, message) in batch.drain(..) {
            written_bytes += size_bytes;
            let frame = Bytes::from(F::from(message).encode_to_vec());
            let fed = timeout(WRITE_TIMEOUT, sink.feed(frame)).await;
            fed.map_err(|_elapsed| LinkError::Timeout)??;
        }
        let flushed = timeout(WRITE_TIMEOUT, SinkExt::<Bytes>::flush(&mut sink)).await;
        flushed.map_err(|_elapsed| LinkError::Timeout)??;
        queue.queued_bytes.fetch_sub(written_bytes, Ordering::Relaxed);
    }
    Ok(())
}
