//! HTTP client for calls to the platform's services.
//!
//! Connections are not reused: a late second copy of a response would be taken for the response to
//! the next request on its connection.

use std::time::Duration;

use bytes::Bytes;
use hickory_kv::Connector;
use hickory_kv::check_ends;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Maximum time to connect to a server, which is in the same data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP client that opens a connection for each call.
pub type HttpClient = Client<Connector, Full<Bytes>>;

/// Creates a client.
pub fn new() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(check_ends(connector))
}
