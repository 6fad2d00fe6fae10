//! HTTP/1.1 connections to upstreams, one for each request.
//!
//! A connection is never used for a second request. A server may send a second copy of a response
//! late, and on a reused connection it would be taken for the response to the next request.
//!
//! A server may also send bytes without end. The size of the head of a response is limited, and so
//! is all that precedes it, such as interim responses, which hyper would skip without a limit.
//!
//! A status outside 200 to 599 is no final response. The end of a response that ends with its
//! connection is checked by [`UploadStream`].

use std::fmt;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hickory_kv::UploadStream;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header::HOST;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::Connection;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Maximum size of the head of a response, and of the part of its body that is buffered.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of bytes until the head of the response is complete. Part of the body may have
/// been read with the head.
const MAX_BYTES_UNTIL_HEAD: usize = 2 * MAX_HEAD_BYTES;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 100;
/// Maximum time to connect to an upstream, which is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_PORT: u16 = 80;

/// Drives a connection; it ends when the connection is closed.
pub type ConnectionDriver = Connection<TokioIo<HeadLimitedStream>, Full<Bytes>>;

/// Sends the single request of a connection.
#[derive(Debug)]
pub struct RequestSender {
    sender: SendRequest<Full<Bytes>>,
    has_head: Arc<AtomicBool>,
}

impl RequestSender {
    /// Sends the request and waits for the head of the response.
    ///
    /// # Errors
    /// Fails if the connection is lost, or if the bytes received are not a response or too many.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let response = self.sender.send_request(request).await.map_err(SendError::Http)?;
        self.has_head.store(true, Ordering::Relaxed);
        match response.status() {
            // No other protocol was asked for, so a status 101 is no final response either. The
            // `http` crate accepts up to 999.
            status if matches!(status.as_u16(), 200..=599) => Ok(response),
            status => Err(SendError::Status(status)),
        }
    }
}

/// Why no response to a request arrived on its connection.
#[derive(Debug)]
pub enum SendError {
    /// The connection was lost, or what arrived is not HTTP.
    Http(hyper::Error),
    /// The status is not one of a final response.
    Status(StatusCode),
}

impl SendError {
    /// Returns whether something arrived that is not a response.
    pub fn is_garbled(&self) -> bool {
        match self {
            Self::Http(error) => error.is_parse(),
            Self::Status(_) => true,
        }
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Http(error) => error.fmt(f),
            Self::Status(status) => write!(f, "status {} is no response", status.as_str()),
        }
    }
}

/// Aborts the task of a connection when it is dropped, which closes the connection.
#[derive(Debug)]
pub struct ConnectionGuard(AbortHandle);

impl ConnectionGuard {
    /// Creates the guard of the task that drives a connection.
    pub const fn new(task: AbortHandle) -> Self {
        Self(task)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a request got no response.
#[derive(Debug)]
pub enum RequestError {
    /// The address of the upstream is invalid.
    Address,
    /// No connection could be opened, so the request was not sent.
    Connect(io::Error),
    /// The request may have been sent, but no valid response arrived.
    NoResponse(SendError),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address => f.write_str("the address of the upstream is invalid"),
            Self::Connect(error) => write!(f, "cannot connect to the upstream: {error}"),
            Self::NoResponse(error) => write!(f, "no valid response of the upstream: {error}"),
        }
    }
}

/// Starts HTTP on a new connection. The returned driver must be polled by a task of its own.
///
/// # Errors
/// Fails if the connection is already closed.
pub async fn handshake(stream: TcpStream) -> hyper::Result<(RequestSender, ConnectionDriver)> {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(reason:% = error; "cannot set TCP_NODELAY; small writes may be delayed");
    }
    let has_head = Arc::new(AtomicBool::new(false));
    let stream = UploadStream::new(stream);
    let stream = HeadLimitedStream { stream, read_bytes: 0, has_head: Arc::clone(&has_head) };
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .handshake(TokioIo::new(stream))
        .await?;
    Ok((RequestSender { sender, has_head }, driver))
}

/// Sends a request on a connection of its own to the host and port of its URI. The body of the
/// response can be read while the guard exists.
///
/// # Errors
/// Fails if no connection can be opened, or if no valid response arrives.
pub async fn request(
    mut request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, ConnectionGuard), RequestError> {
    let uri = request.uri().clone();
    let host = uri.host().ok_or(RequestError::Address)?;
    let authority = uri.authority().ok_or(RequestError::Address)?.as_str();
    let host_header = HeaderValue::try_from(authority).map_err(|_error| RequestError::Address)?;
    request.headers_mut().insert(HOST, host_header);
    *request.uri_mut() = uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let address = (host, uri.port_u16().unwrap_or(DEFAULT_PORT));
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected
        .unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into()))
        .map_err(RequestError::Connect)?;
    let (sender, driver) = handshake(stream)
        .await
        .map_err(|error| RequestError::NoResponse(SendError::Http(error)))?;
    let task = tokio::spawn(async move {
        if let Err(error) = driver.await {
            debug!(reason:% = error; "connection to the upstream closed after an error");
        }
    });
    let guard = ConnectionGuard::new(task.abort_handle());
    let response = sender.send(request).await.map_err(RequestError::NoResponse)?;
    Ok((response, guard))
}

/// Connection on which reading fails if too much arrives before the head of the response.
#[derive(Debug)]
pub struct HeadLimitedStream {
    stream: UploadStream,
    read_bytes: usize,
    has_head: Arc<AtomicBool>,
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.read_bytes = self.read_bytes.saturating_add(buf.filled().len() - filled);
        if self.read_bytes > MAX_BYTES_UNTIL_HEAD && !self.has_head.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        result
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
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
}
