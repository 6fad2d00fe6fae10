//! HTTP server of the stand-ins, with connection faults.
//!
//! The server can be shut down and restarted on the same port, and a handler can close its
//! connection instead of sending a response.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use axum::Router;
use axum::body::Body;
use axum::response::Response;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tower::ServiceExt;

/// Response extension with which a handler closes the connection instead of sending the response.
#[derive(Clone, Copy, Debug)]
pub struct DropConnection;

impl DropConnection {
    /// Builds a response that is not sent: the server closes the connection instead.
    pub fn response() -> Response {
        let mut response = Response::new(Body::empty());
        response.extensions_mut().insert(Self);
        response
    }
}

/// An HTTP server that stops and closes its connections when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    router: Router,
    accept_task: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Serves `router` on `address`; port 0 lets the system choose one.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_at(router: Router, address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let accept_task =
            Mutex::new(Some(tokio::spawn(accept_connections(listener, router.clone()))));
        Ok(Self { address, router, accept_task })
    }

    /// Address of the server; stays the same while it is down.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL of the server, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Closes the port and all connections, or serves again on the same port.
    ///
    /// # Errors
    /// Fails if the port cannot be reopened, for example because another process has taken it.
    pub async fn set_down(&self, is_down: bool) -> io::Result<()> {
        let previous = self.take_accept_task();
        if let Some(task) = previous {
            task.abort();
            // The port is free only after the task has ended. Its result is the cancellation.
            let _cancelled = task.await;
        }
        if !is_down {
            let listener = TcpListener::bind(self.address).await?;
            let task = tokio::spawn(accept_connections(listener, self.router.clone()));
            *self.accept_task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
        }
        Ok(())
    }

    fn take_accept_task(&self) -> Option<JoinHandle<()>> {
        self.accept_task.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(task) = self.take_accept_task() {
            task.abort();
        }
    }
}

/// Accepts and serves connections; aborting this task closes all of them.
async fn accept_connections(listener: TcpListener, router: Router) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, router.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Router) {
    let service = service_fn(move |request: Request<Incoming>| respond(router.clone(), request));
    // Errors are expected, because clients may close their connection at any time.
    let _closed = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn respond(
    router: Router,
    request: Request<Incoming>,
) -> Result<Response, ConnectionDropped> {
    let result: Result<Response, Infallible> = router.oneshot(request.map(Body::new)).await;
    let Ok(response) = result;
    if response.extensions().get::<DropConnection>().is_some() {
        return Err(ConnectionDropped);
    }
    Ok(response)
}

/// Error by which hyper closes the connection without a response.
#[derive(Debug)]
struct ConnectionDropped;

impl fmt::Display for ConnectionDropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in closed this connection without a response")
    }
}

impl std::error::Error for ConnectionDropped {}
