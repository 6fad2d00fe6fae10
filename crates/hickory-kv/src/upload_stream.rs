//! Connection on which a response that ends too early does not look complete.
//!
//! A response with neither a length nor chunks ends with its connection. A server that closes the
//! connection while the request is still being sent has not read the whole request, and its system
//! answers the rest with a reset. Reading would report an orderly end all the same, since the close
//! arrives first. So the end of the connection is reported as an error if
//!
//! - bytes of the request are left to be written,
//! - the connection was reset after it was closed, or
//! - that happens within [`RESET_TIMEOUT`], for a request that may still have been on its way.
//!
//! A response with a length or chunks is not affected, since HTTP does not read to the end then.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

/// Maximum time from the close of a connection to the reset that answers what was on its way. The
/// reset follows within a round trip, which takes up to 3 ms between the data centres of a user. A
/// response without a length or chunks to a request of more than one packet is delayed by this time.
const RESET_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum size of a request that arrives in one packet on any network, so that a server that has
/// read its head has received all of it.
const MAX_PACKET_BYTES: usize = 1_220;

/// Connection that carries one request, on which the end of the response is checked.
#[derive(Debug)]
pub struct UploadStream {
    stream: TcpStream,
    written_bytes: usize,
    read_bytes: usize,
    /// Whether bytes of the request are left to be written.
    is_writing: bool,
    end: End,
}

/// What is known of the end of the connection.
#[derive(Debug)]
enum End {
    Open,
    /// The server has closed it; a reset may follow until the timer expires.
    Closing(Pin<Box<Sleep>>),
    Closed,
}

impl UploadStream {
    /// Wraps a connection on which nothing has been sent.
    pub const fn new(stream: TcpStream) -> Self {
        Self { stream, written_bytes: 0, read_bytes: 0, is_writing: false, end: End::Open }
    }

    /// Decides about the end of the connection, once it has been read.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_writing {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if matches!(self.end, End::Open) {
            self.end = self.begin_end();
        }
        if let End::Closing(timer) = &mut self.end {
            ready!(timer.as_mut().poll(cx));
            self.end = End::Closed;
        }
        Poll::Ready(self.stream.take_error()?.map_or(Ok(()), Err))
    }

    fn begin_end(&self) -> End {
        if self.written_bytes > MAX_PACKET_BYTES && self.read_bytes > 0 {
            End::Closing(Box::pin(sleep(RESET_TIMEOUT)))
        } else {
            End::Closed
        }
    }

    const fn add_written(&mut self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(length)) = result {
            self.written_bytes = self.written_bytes.saturating_add(*length);
        }
    }
}

impl AsyncRead for UploadStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let length = buf.filled().len() - filled;
        self.read_bytes = self.read_bytes.saturating_add(length);
        if length == 0 && buf.remaining() > 0 {
            return self.poll_end(cx);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for UploadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_writing = true;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.add_written(&result);
        result
    }

    // HTTP flushes the connection once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.is_writing = false;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.is_writing = true;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.add_written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl Connection for UploadStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}
