//! An HTTP server on a loopback port that can go down and drop connections.

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

/// Marks a response that is not sent; the connection is closed in its place.
#[derive(Clone, Copy, Debug)]
pub struct DropConnection;

impl DropConnection {
    /// A response that closes the connection without an answer.
    pub fn response() -> Response {
        let mut response = Response::new(Body::empty());
        response.extensions_mut().insert(Self);
        response
    }
}

/// An HTTP server that ends when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    router: Router,
    running: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Serves on this address.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_at(router: Router, address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let running = Mutex::new(Some(tokio::spawn(accept(listener, router.clone()))));
        Ok(Self { address, router, running })
    }

    /// The address that it serves on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Refuses connections and closes the open ones, or serves again.
    ///
    /// # Errors
    /// Fails if the port cannot be opened again.
    pub async fn set_down(&self, down: bool) -> io::Result<()> {
        let previous = self.take_running();
        if let Some(task) = previous {
            task.abort();
            // The port is free once the task has ended; its result is the cancellation.
            let _cancelled = task.await;
        }
        if !down {
            let listener = TcpListener::bind(self.address).await?;
            let task = tokio::spawn(accept(listener, self.router.clone()));
            *self.running.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
        }
        Ok(())
    }

    fn take_running(&self) -> Option<JoinHandle<()>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(task) = self.take_running() {
            task.abort();
        }
    }
}

/// Accepts connections; aborting this task closes all of them.
async fn accept(listener: TcpListener, router: Router) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, router.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, router: Router) {
    let service = service_fn(move |request: Request<Incoming>| answer(router.clone(), request));
    // Clients may close their connection at any time, so a failure here is expected.
    let _closed = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(router: Router, request: Request<Incoming>) -> Result<Response, Dropped> {
    let result: Result<Response, Infallible> = router.oneshot(request.map(Body::new)).await;
    let Ok(response) = result;
    if response.extensions().get::<DropConnection>().is_some() {
        return Err(Dropped);
    }
    Ok(response)
}

/// Tells hyper to close the connection.
#[derive(Debug)]
struct Dropped;

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in drops this connection")
    }
}

impl std::error::Error for Dropped {}
