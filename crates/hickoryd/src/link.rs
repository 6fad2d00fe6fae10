//! Connections between entries and agents.
//!
//! A link carries length-delimited `prost` frames. Its task ends when the peer closes, when the
//! reducer drops its [`LinkQueue`], or when nothing moves for a while.

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

/// Longest frame; a snapshot of the largest planned configuration stays below it.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Bytes that may wait for a peer that reads slowly. Credit keeps answers below this; a link that
/// exceeds it is closed, and its attempts resume on the next connection.
const MAX_QUEUED_BYTES: usize = 32 << 20;
/// A peer sends a heartbeat or load report at least every four seconds. The entry's reducer closes
/// silent links after 24 s at the latest; this limit is for what it does not see.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which the system must take a batch of frames.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Messages that are written before the socket is flushed.
const MAX_BATCH: usize = 64;

/// Reasons why a link ended.
#[derive(Debug)]
pub enum LinkError {
    /// The connection failed.
    Io(io::Error),
    /// A frame could not be decoded.
    Malformed,
    /// The peer sent nothing, or took nothing, for too long.
    Timeout,
    /// The first message was not the expected hello.
    UnexpectedHello,
    /// The reducer's channel is closed.
    Stopped,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::Malformed => f.write_str("a frame could not be decoded"),
            Self::Timeout => f.write_str("the peer sent or took nothing for too long"),
            Self::UnexpectedHello => f.write_str("the first message was not the expected hello"),
            Self::Stopped => f.write_str("the process stops"),
        }
    }
}

impl From<io::Error> for LinkError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Messages that wait to be written to a link.
#[derive(Debug)]
pub struct LinkQueue<M> {
    sender: mpsc::UnboundedSender<(usize, M)>,
    queued_bytes: Arc<AtomicUsize>,
}

/// The reading end of a [`LinkQueue`].
#[derive(Debug)]
pub struct LinkQueueReader<M> {
    receiver: mpsc::UnboundedReceiver<(usize, M)>,
    queued_bytes: Arc<AtomicUsize>,
}

/// The queue is full or its link has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkQueueFull;

impl<M> LinkQueue<M> {
    /// A queue and its reading end.
    pub fn new() -> (Self, LinkQueueReader<M>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let reader = LinkQueueReader { receiver, queued_bytes: Arc::clone(&queued_bytes) };
        (Self { sender, queued_bytes }, reader)
    }

    /// Queues a message of about `size_bytes`.
    pub fn push(&self, message: M, size_bytes: usize) -> Result<(), LinkQueueFull> {
        let before = self.queued_bytes.fetch_add(size_bytes, Ordering::Relaxed);
        if before > MAX_QUEUED_BYTES {
            return Err(LinkQueueFull);
        }
        self.sender.send((size_bytes, message)).map_err(|_closed| LinkQueueFull)
    }
}

/// Frames of `MAX_FRAME_BYTES` at most.
fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Frames that arrive on a connection.
pub fn frames<R: AsyncRead>(reader: R) -> FramedRead<R, LengthDelimitedCodec> {
    FramedRead::new(reader, codec())
}

/// Reads and decodes the next message; `None` when the peer has closed the connection.
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

/// Writes queued messages until the queue is dropped.
pub async fn write_messages<F, M, W>(
    writer: W,
    mut queue: LinkQueueReader<M>,
) -> Result<(), LinkError>
where
    F: Message + From<M>,
    W: AsyncWrite + Unpin,
{
    let mut sink = FramedWrite::new(writer, codec());
    let mut batch = Vec::with_capacity(MAX_BATCH);
    while queue.receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
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
