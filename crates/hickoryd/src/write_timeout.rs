//! Timeout for writes to peers that stop reading.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::memory_pool::MemoryPool;

/// Connection whose writes fail if the peer reads nothing for the duration of the timeout. hyper has
/// no such limit, so a caller that never reads would keep its connection open indefinitely.
#[derive(Debug)]
pub struct WriteTimeout<S> {
    stream: S,
    timeout: Duration,
    /// Runs while a write is pending.
    stalled: Option<Pin<Box<Sleep>>>,
    /// Pool whose memory the writes hold, if they fail only while others wait for it.
    pool: Option<MemoryPool>,
}

impl<S> WriteTimeout<S> {
    pub const fn new(stream: S, timeout: Duration) -> Self {
        Self { stream, timeout, stalled: None, pool: None }
    }

    /// Has writes fail only while others wait for memory of the pool.
    #[must_use]
    pub fn while_contended(mut self, pool: MemoryPool) -> Self {
        self.pool = Some(pool);
        self
    }

    /// Returns the result of a write, or an error if writes have been pending for longer than the
    /// timeout.
    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stalled = None;
            return result;
        }
        let timeout = self.timeout;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(timeout)));
        while stalled.as_mut().poll(cx).is_ready() {
            if self.pool.as_ref().is_none_or(MemoryPool::is_contended) {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            stalled.set(sleep(timeout));
        }
        Poll::Pending
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_stall(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_stall(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.check_stall(cx, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.check_stall(cx, result)
    }
}
