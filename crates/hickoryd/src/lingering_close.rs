//! Close of a connection that loses no response.
//!
//! If a connection is closed with unread bytes, or bytes arrive after the close, the system resets
//! it and drops what it has not delivered yet. So the sending side is closed first, and what the
//! peer still sends is read and dropped until it has closed its side too.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Sleep;
use tokio::time::sleep;

/// Maximum time that a peer has to read the rest and to close its side.
const MAX_LINGER_TIME: Duration = Duration::from_secs(2);
/// Bytes that are read and dropped at a time.
const DROPPED_BYTES: usize = 4 << 10;

/// Connection whose shutdown waits until the peer has closed its side.
#[derive(Debug)]
pub struct LingeringClose<S> {
    stream: S,
    /// Runs from the moment at which the sending side is closed.
    lingering: Option<Pin<Box<Sleep>>>,
    has_ended: bool,
}

impl<S> LingeringClose<S> {
    pub const fn new(stream: S) -> Self {
        Self { stream, lingering: None, has_ended: false }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LingeringClose<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.has_ended |= buf.remaining() > 0 && buf.filled().len() == filled;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringClose<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.lingering.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        let lingering = this.lingering.get_or_insert_with(|| Box::pin(sleep(MAX_LINGER_TIME)));
        let mut dropped = [0; DROPPED_BYTES];
        while !this.has_ended && lingering.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut dropped);
            // An error ends the connection as well.
            let read = ready!(Pin::new(&mut this.stream).poll_read(cx, &mut buffer));
            this.has_ended = read.is_err() || buffer.filled().is_empty();
        }
        Poll::Ready(Ok(()))
    }
}
