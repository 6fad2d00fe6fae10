//! HTTP/1.1 server and client connections on the single thread of a gateway.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

pub use crate::upstream_connection::ConnectionGuard;
pub use crate::upstream_connection::RequestSender;
pub use crate::upstream_connection::SendError;
use crate::upstream_connection::handshake;

/// Delay before the next accept after a failure, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time to receive a request head, and maximum idle time before the next request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Waits for the next connection, and retries after errors. This is cancel-safe: no connection is
/// lost if the future is dropped.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                warn!(reason:% = error; "cannot accept a connection; retrying after a delay");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests on a connection with `handler` until the peer closes the connection. Used
/// for status checks and calls of other gateways, but not for callers, whose connections have
/// limits of their own.
pub async fn serve_connection<H, F, B>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let service = service_fn(|request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = server::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        debug!(reason:% = error; "server-side connection closed after an error");
    }
}

/// Starts HTTP/1.1 as the client of a connection, which carries one request. Returns the sender of
/// the request and the guard of the task that drives the connection.
///
/// # Errors
/// Fails if the connection is already closed.
pub async fn client_handshake(
    stream: TcpStream,
) -> hyper::Result<(RequestSender, ConnectionGuard)> {
    let (sender, driver) = handshake(stream).await?;
    let task = spawn_local(async move {
        if let Err(error) = driver.await {
            debug!(reason:% = error; "client-side connection closed after an error");
        }
    });
    Ok((sender, ConnectionGuard::new(task.abort_handle())))
}
