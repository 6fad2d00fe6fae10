//! Reads bodies into memory that is in proportion to their length.
//!
//! A piece of a body keeps the whole read buffer alive that it was cut from, hundreds of times its
//! size if the sender writes a few bytes at a time. So the pieces are copied. A
//! [`MemoryPool`] bounds the bodies that a process holds at the same
//! time: one without a stated length gives way to smaller ones, and one with a length waits.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hickorydoor::memory::MemoryKind;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::memory_pool::MemoryPool;

/// Bytes that count as progress of a body; fewer in some seconds are next to nothing.
const PROGRESS_BYTES: usize = 4 << 10;

/// Length of the segments in which a body is held until it is complete.
const SEGMENT_BYTES: usize = 64 << 10;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// The body is longer than allowed.
    TooLong,
    /// The body ended before it was complete.
    Broken,
    /// There was no memory for the body in time, or it gave its memory up to others.
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

/// Reads a complete body of at most `limit_bytes`.
///
/// # Errors
/// Returns an error if the body is longer, or ends before it is complete.
pub async fn collect_body<B>(mut body: B, limit_bytes: usize) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut collected = Segments::new(None);
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.map_err(|_error| CollectError::Broken)?.into_data() else {
            continue;
        };
        if collected.length + bytes.len() > limit_bytes {
            return Err(CollectError::TooLong);
        }
        collected.push(&bytes);
    }
    Ok(collected.into_bytes())
}

/// Reads a complete body of at most `limit_bytes` with memory of a pool, which the result keeps.
///
/// A body that states its length waits for all of its memory at most for `within`, and is not read
/// meanwhile. One without gives way once it is large. A request body also gives way if next to nothing
/// of it arrives while others wait.
///
/// # Errors
/// Returns an error if the body is longer, ends before it is complete, or finds no memory.
pub async fn collect_within<B>(
    mut body: B,
    limit_bytes: usize,
    pool: &MemoryPool,
    kind: MemoryKind,
    within: Duration,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let hold = pool.hold(kind);
    let mut hold = if matches!(kind, MemoryKind::RequestBody) { hold.paced() } else { hold };
    let stated_bytes = body.size_hint().exact().map(|length| length as usize);
    if stated_bytes.is_some_and(|length| length > limit_bytes) {
        return Err(CollectError::TooLong);
    }
    if let Some(length) = stated_bytes
        && !hold.take(length, within).await
    {
        return Err(CollectError::NoMemory);
    }
    hold.progress();
    let mut collected = Segments::new(stated_bytes);
    let mut unreported_bytes = 0;
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = hold.evicted() => return Err(CollectError::NoMemory),
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(bytes) = frame.map_err(|_error| CollectError::Broken)?.into_data() else {
            continue;
        };
        if collected.length + bytes.len() > limit_bytes {
            return Err(CollectError::TooLong);
        }
        if stated_bytes.is_none() {
            let is_small = collected.length < SEGMENT_BYTES;
            let within = if is_small { within } else { Duration::ZERO };
            if !hold.take(bytes.len(), within).await {
                return Err(CollectError::NoMemory);
            }
        }
        unreported_bytes += bytes.len();
        if unreported_bytes >= PROGRESS_BYTES {
            unreported_bytes = 0;
            hold.progress();
        }
        collected.push(&bytes);
    }
    hold.rest();
    Ok(hold.attach(collected.into_bytes()))
}

/// Bytes in segments, which never move as more are added.
#[derive(Debug)]
struct Segments {
    full: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    /// Maximum length of a segment; that of the body if it is stated.
    segment_bytes: usize,
}

impl Segments {
    fn new(stated_bytes: Option<usize>) -> Self {
        let segment_bytes = stated_bytes.unwrap_or(SEGMENT_BYTES).max(1);
        let last = BytesMut::with_capacity(stated_bytes.unwrap_or_default());
        Self { full: Vec::new(), last, length: 0, segment_bytes }
    }

    fn push(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let (fitting, rest) =
                bytes.split_at(bytes.len().min(self.segment_bytes - self.last.len()));
            self.last.extend_from_slice(fitting);
            bytes = rest;
            if self.last.len() == self.segment_bytes {
                self.full.push(std::mem::take(&mut self.last).freeze());
            }
        }
    }

    fn into_bytes(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        if self.full.len() == 1 && self.last.is_empty() {
            return self.full.into_iter().next().unwrap_or_default();
        }
        let mut joined = BytesMut::with_capacity(self.length);
        for segment in self.full {
            joined.extend_from_slice(&segment);
        }
        joined.extend_from_slice(&self.last);
        joined.freeze()
    }
}
