//! HTTP/1.1 server with limits on request heads, connections and idle time, and with graceful
//! shutdown.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use log::debug;
use rustls::ServerConfig;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tower::util::MapRequest;

use crate::accept_queue;
use crate::lingering_close::LingeringClose;
use crate::tls::TlsWatch;
use crate::write_timeout::WriteTimeout;

/// Delay before the next accept after a failure, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum time that a stopping port waits for the first request on a new connection.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a request after which a stopping port closes a connection.
const QUIET_TIME: Duration = Duration::from_millis(200);

/// Limits that an HTTP port enforces on its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request head; also the size of the write buffer of a connection.
    pub max_head_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Maximum time to receive a complete request head, maximum idle time before the next request,
    /// and maximum time for a TLS handshake.
    pub head_timeout: Duration,
    /// A connection is closed if writing a response makes no progress for this long.
    pub write_timeout: Duration,
    /// Maximum number of open connections; further ones wait in the accept queue of the system.
    pub max_connections: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 32 << 10,
            max_headers: 64,
            head_timeout: Duration::from_secs(20),
            write_timeout: Duration::from_secs(30),
            max_connections: 8192,
        }
    }
}

/// Serves until `stop` becomes true; open connections then finish their current request.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: HttpLimits,
    tls: Option<TlsWatch>,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => {
                    start_connection(stream, permit, &router, limits, tls.as_ref(), &stop);
                }
                Err(error) => {
                    debug!(reason:% = error; "cannot accept a connection; retrying after a delay");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = stop_requested(&mut stop) => break,
        }
    }
    for stream in accept_queue::close(listener) {
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            break;
        };
        start_connection(stream, permit, &router, limits, tls.as_ref(), &stop);
    }
    // All permits are available once every connection has ended.
    drop(permits.acquire_many(limits.max_connections as u32).await);
}

/// Serves a connection on a task of its own, which holds the connection's permit.
fn start_connection(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    router: &Router,
    limits: HttpLimits,
    tls: Option<&TlsWatch>,
    stop: &watch::Receiver<bool>,
) {
    // Small chunks of a stream must be sent without delay.
    drop(stream.set_nodelay(true));
    let server = tls.map(|tls| Arc::clone(&tls.borrow().server));
    let (router, stop) = (router.clone(), stop.clone());
    tokio::spawn(async move {
        accept_connection(stream, server, router, limits, stop).await;
        drop(permit);
    });
}

async fn accept_connection(
    stream: TcpStream,
    server: Option<Arc<ServerConfig>>,
    router: Router,
    limits: HttpLimits,
    stop: watch::Receiver<bool>,
) {
    let Some(server) = server else {
        return serve_connection(stream, router, limits, stop).await;
    };
    let handshake = timeout(limits.head_timeout, TlsAcceptor::from(server).accept(stream));
    match handshake.await {
        Ok(Ok(stream)) => serve_connection(stream, router, limits, stop).await,
        Ok(Err(error)) => debug!(reason:% = error; "TLS handshake failed; closing the connection"),
        Err(_elapsed) => debug!("TLS handshake timed out; closing the connection"),
    }
}

async fn serve_connection(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    router: Router,
    limits: HttpLimits,
    mut stop: watch::Receiver<bool>,
) {
    let (request_seen, mut first_request) = watch::channel(false);
    let service = MapRequest::new(router, move |request: Request<Incoming>| {
        request_seen.send_replace(true);
        request
    });
    let service = TowerToHyperService::new(service);
    let stream = LingeringClose::new(WriteTimeout::new(stream, limits.write_timeout));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .max_headers(limits.max_headers)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = stop_requested(&mut stop) => {
            // The first request on a new connection, or the next one on another, may still be in
            // transit. Without this wait, the connection would be closed before it is answered.
            let close_at = async {
                wait_for_first_request(&mut first_request).await;
                sleep(QUIET_TIME).await;
            };
            tokio::select! {
                biased;
                result = connection.as_mut() => result,
                () = close_at => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    if let Err(error) = result {
        debug!(reason:% = error; "HTTP connection closed after an error");
    }
}

/// Waits for the first request on a connection, but no longer than [`FIRST_REQUEST_TIMEOUT`].
async fn wait_for_first_request(seen: &mut watch::Receiver<bool>) {
    drop(timeout(FIRST_REQUEST_TIMEOUT, seen.wait_for(|seen| *seen)).await);
}

/// Waits until the port must stop.
async fn stop_requested(stop: &mut watch::Receiver<bool>) {
    // A closed channel counts as a request to stop.
    drop(stop.wait_for(|stop| *stop).await);
}
