//! Connection on which the close by a caller is seen in a request, also behind further bytes.
//!
//! hyper reads no more in a request while its buffer holds bytes of the next one. A caller that had
//! sent such bytes and then left would not be noticed, and its request would keep an upstream busy.
//! So what follows is read ahead, within a limit, whenever hyper has nothing left to write.
//!
//! A caller that closes only its direction cannot be told from one that has left. It counts as
//! gone, as hyper decides for a caller that has sent nothing behind its request.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::gateway::connection_trace::ConnectionTrace;

/// Maximum number of bytes that are read ahead. A close behind more bytes is not seen. hyper has
/// taken the first bytes behind the request before.
const MAX_AHEAD_BYTES: usize = 2 << 10;

/// Connection that reads ahead in a request.
#[derive(Debug)]
pub struct ReadAhead<S> {
    stream: S,
    trace: Rc<ConnectionTrace>,
    /// Bytes that were read ahead.
    ahead: Vec<u8>,
}

impl<S> ReadAhead<S> {
    /// Wraps the connection of a record, which says when a request is open.
    pub const fn new(stream: S, trace: Rc<ConnectionTrace>) -> Self {
        Self { stream, trace, ahead: Vec::new() }
    }
}

impl<S: AsyncRead + Unpin> ReadAhead<S> {
    /// Reads ahead until nothing more has arrived, or the limit is reached.
    ///
    /// # Errors
    /// Fails if the caller has closed the connection.
    fn read_ahead(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while self.ahead.len() < MAX_AHEAD_BYTES {
            let mut bytes = [0; MAX_AHEAD_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes[self.ahead.len()..]);
            let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, &mut buffer) else {
                return Ok(());
            };
            read?;
            if buffer.filled().is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.ahead.extend_from_slice(buffer.filled());
        }
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadAhead<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ahead.is_empty() {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let length = self.ahead.len().min(buf.remaining());
        buf.put_slice(&self.ahead[..length]);
        self.ahead.drain(..length);
        if self.ahead.is_empty() {
            self.ahead = Vec::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ReadAhead<S> {
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

    // hyper flushes the connection whenever it is polled and has nothing left to write, after it has
    // read what it wants.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if self.trace.has_open_request() {
            self.read_ahead(cx)?;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
