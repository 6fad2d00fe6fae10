//! The pooled HTTP client for upstreams and the platform.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

/// Time to open a connection on the same host or in the same data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// A client that keeps connections open.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client with an empty pool.
pub fn new() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}
