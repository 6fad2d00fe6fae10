//! HTTP/1.1 connections of the one thread of a gateway.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::client::conn::http1::SendRequest;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for a request head, and for the next request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// The next connection. No connection is lost if this future is dropped.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                warn!(reason:% = error; "accept failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the requests on a connection that is not a caller's until it ends.
pub async fn serve_connection<A, F, B>(stream: TcpStream, answer: A)
where
    A: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let service = service_fn(|request| {
        let response = answer(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = server::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        debug!(reason:% = error; "connection ended");
    }
}

/// Begins to send requests on a connection; aborting the task closes it.
///
/// # Errors
/// Fails if the connection is lost already.
pub async fn client_handshake(
    stream: TcpStream,
) -> hyper::Result<(SendRequest<Full<Bytes>>, AbortHandle)> {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(reason:% = error; "nodelay cannot be set");
    }
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await?;
    let task = spawn_local(async move {
        if let Err(error) = connection.await {
            debug!(reason:% = error; "connection to a server ended");
        }
    });
    Ok((sender, task.abort_handle()))
}
