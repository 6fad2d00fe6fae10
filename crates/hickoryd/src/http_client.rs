//! HTTP client with a connection pool, for calls to upstreams and the platform.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

/// Maximum time to connect to a server, which is on the same host or in the same data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// HTTP client that reuses connections.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client with an empty pool.
pub fn new() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}
