//! Reads bodies into memory that is in proportion to their length.
//!
//! A piece of a body keeps the whole read buffer alive that it was cut from, hundreds of times its
//! size if the sender writes a few bytes at a time. So the pieces are copied. A [`BufferBudget`]
//! bounds the bodies that a process holds at the same time: one without a stated length gives way to
//! smaller ones, and one with a length waits.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::sleep;

/// Time after which a body that waits for memory looks for it again.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);

/// Length of the segments in which a body is held until it is complete.
const SEGMENT_BYTES: usize = 64 << 10;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// The body is longer than allowed.
    TooLong,
    /// The body ended before it was complete.
    Broken,
    /// Too many bodies are held, and this one is not among the small ones.
    NoMemory,
}

impl fmt::Display for CollectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the body is too long",
            Self::Broken => "the body is not complete",
            Self::NoMemory => "too many bodies are held in memory",
        })
    }
}

impl std::error::Error for CollectError {}

/// Memory for the bodies that a process holds at the same time.
#[derive(Debug)]
pub struct BufferBudget {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
    holders: AtomicUsize,
}

impl BufferBudget {
    /// Creates a budget of which nothing is used.
    pub const fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, used_bytes: AtomicUsize::new(0), holders: AtomicUsize::new(0) }
    }

    /// Takes memory if there is enough.
    fn try_take(&self, bytes: usize) -> bool {
        let added = |used: usize| Some(used + bytes).filter(|sum| *sum <= self.limit_bytes);
        self.used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, added).is_ok()
    }

    fn mean_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed) / self.holders.load(Ordering::Relaxed).max(1)
    }
}

/// What one body uses of a budget; it is given back when this is dropped.
#[derive(Debug)]
struct BufferShare {
    budget: Arc<BufferBudget>,
    held_bytes: usize,
}

impl BufferShare {
    fn new(budget: Arc<BufferBudget>) -> Self {
        budget.holders.fetch_add(1, Ordering::Relaxed);
        Self { budget, held_bytes: 0 }
    }

    /// Takes memory for a piece of a body, which may have to wait if the body states its length.
    async fn take(&mut self, bytes: usize, may_wait: bool) -> Result<(), CollectError> {
        while !self.budget.try_take(bytes) {
            if !may_wait && self.held_bytes >= self.budget.mean_bytes() {
                return Err(CollectError::NoMemory);
            }
            sleep(WAIT_INTERVAL).await;
        }
        self.held_bytes += bytes;
        Ok(())
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.held_bytes, Ordering::Relaxed);
        self.budget.holders.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads a complete body of at most `limit_bytes`.
///
/// # Errors
/// Returns an error if the body is longer, or ends before it is complete.
pub async fn collect_body<B>(body: B, limit_bytes: usize) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    collect(body, limit_bytes, None).await
}

/// Reads a complete body of at most `limit_bytes` with memory of a budget.
///
/// # Errors
/// Returns an error if the body is longer, ends before it is complete, or finds no memory.
pub async fn collect_within<B>(
    body: B,
    limit_bytes: usize,
    budget: Arc<BufferBudget>,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    collect(body, limit_bytes, Some(BufferShare::new(budget))).await
}

async fn collect<B>(
    mut body: B,
    limit_bytes: usize,
    mut share: Option<BufferShare>,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let states_length = body.size_hint().exact().is_some();
    let mut collected = Segments::default();
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.map_err(|_error| CollectError::Broken)?.into_data() else {
            continue;
        };
        if collected.length + bytes.len() > limit_bytes {
            return Err(CollectError::TooLong);
        }
        if let Some(share) = &mut share {
            share.take(bytes.len(), states_length).await?;
        }
        collected.push(&bytes);
    }
    Ok(collected.into_bytes())
}

/// Bytes in segments, which never move as more are added.
#[derive(Debug, Default)]
struct Segments {
    full: Vec<Bytes>,
    last: BytesMut,
    length: usize,
}

impl Segments {
    fn push(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let (fitting, rest) = bytes.split_at(bytes.len().min(SEGMENT_BYTES - self.last.len()));
            self.last.extend_from_slice(fitting);
            bytes = rest;
            if self.last.len() == SEGMENT_BYTES {
                self.full.push(std::mem::take(&mut self.last).freeze());
            }
        }
    }

    fn into_bytes(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut joined = BytesMut::with_capacity(self.length);
        for segment in self.full {
            joined.extend_from_slice(&segment);
        }
        joined.extend_from_slice(&self.last);
        joined.freeze()
    }
}
