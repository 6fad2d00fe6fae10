//! Serves HTTP/1.1 with limits on heads, connections and idle time.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use futures_util::FutureExt;
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

use crate::tls::TlsWatch;
use crate::write_timeout::WriteTimeout;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Time that a stopping port gives a new connection for its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits of an HTTP port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Longest request head; also the size of the write buffer of a connection.
    pub max_head_bytes: usize,
    /// Headers of a request at most.
    pub max_headers: usize,
    /// Time for a whole request head, and for the next request on an idle connection.
    pub head_timeout: Duration,
    /// Time for the caller to take bytes that are ready; a caller that takes none is cut off.
    pub write_timeout: Duration,
    /// Open connections at most.
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

/// Serves until `stop` turns true; open connections then finish their current request.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: HttpLimits,
    tls: Option<TlsWatch>,
    mut stop: watch::Receiver<bool>,
) {
    let places = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => {
                    start_connection(stream, place, &router, limits, tls.as_ref(), &stop);
                }
                Err(error) => {
                    debug!(reason:% = error; "accept failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            () = stopping(&mut stop) => break,
        }
    }
    // Connections that the system has accepted already would be reset with the listener.
    while let Some(Ok((stream, _peer))) = listener.accept().now_or_never() {
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            break;
        };
        start_connection(stream, place, &router, limits, tls.as_ref(), &stop);
    }
    drop(listener);
    // Every place is free again once all connections have ended.
    drop(places.acquire_many(limits.max_connections as u32).await);
}

/// Serves a connection on a task of its own, which holds the connection's place.
fn start_connection(
    stream: TcpStream,
    place: OwnedSemaphorePermit,
    router: &Router,
    limits: HttpLimits,
    tls: Option<&TlsWatch>,
    stop: &watch::Receiver<bool>,
) {
    // Without delay small pieces of a stream leave at once.
    drop(stream.set_nodelay(true));
    let server = tls.map(|tls| Arc::clone(&tls.borrow().server));
    let (router, stop) = (router.clone(), stop.clone());
    tokio::spawn(async move {
        accept_connection(stream, server, router, limits, stop).await;
        drop(place);
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
        Ok(Err(error)) => debug!(reason:% = error; "TLS handshake failed"),
        Err(_elapsed) => debug!("TLS handshake took too long"),
    }
}

async fn serve_connection(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    router: Router,
    limits: HttpLimits,
    mut stop: watch::Receiver<bool>,
) {
    let (first_request, mut first_requested) = watch::channel(false);
    let service = MapRequest::new(router, move |request: Request<Incoming>| {
        first_request.send_replace(true);
        request
    });
    let service = TowerToHyperService::new(service);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .max_headers(limits.max_headers)
        .serve_connection(TokioIo::new(WriteTimeout::new(stream, limits.write_timeout)), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopping(&mut stop) => {
            // The request of a connection that was just opened may be under way. Without this
            // wait the connection would be closed before its request could be answered.
            tokio::select! {
                result = connection.as_mut() => result,
                () = first_request_seen(&mut first_requested) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    if let Err(error) = result {
        debug!(reason:% = error; "connection ended");
    }
}

/// Waits for the first request of a connection, for a limited time.
async fn first_request_seen(seen: &mut watch::Receiver<bool>) {
    drop(timeout(FIRST_REQUEST_TIMEOUT, seen.wait_for(|seen| *seen)).await);
}

/// Waits until the process stops.
async fn stopping(stop: &mut watch::Receiver<bool>) {
    // A closed channel also means that the process stops.
    drop(stop.wait_for(|stop| *stop).await);
}
