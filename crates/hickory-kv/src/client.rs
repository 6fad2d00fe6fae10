//! HTTP client for the JSON gateway, with failover between its endpoints.

use std::error::Error;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvOutcome;
use hickorydoor::store::kv_call::KvPair;
use hickorydoor::store::kv_call::KvReply;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

use crate::call_error::CallError;
use crate::client_settings::ClientSettings;
use crate::connector::Connector;
use crate::connector::check_ends;
use crate::reply_wire;
use crate::request_wire;
use crate::request_wire::RangeRequest;
use crate::request_wire::WatchRequest;
use crate::watch::Watch;

// A watch may carry no data for hours. TCP keepalive detects that its host is gone: the first probe
// follows `KEEPALIVE_IDLE` after the last data, and the connection fails after `KEEPALIVE_PROBES`
// unanswered probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEPALIVE_PROBES: u32 = 3;

/// Client for the key-value service.
///
/// Calls go to the current endpoint. After a failed connection attempt, a timeout or a lost
/// response, the next endpoint becomes the current one. Each call uses a connection of its own.
#[derive(Debug)]
pub struct Client {
    http: legacy::Client<Connector, Full<Bytes>>,
    settings: ClientSettings,
    endpoint_index: AtomicUsize,
}

impl Client {
    /// Creates a client, which connects on its first call.
    pub fn new(settings: ClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout_ms.into()));
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        // A late second copy of a response would be taken for the response to the next call on its
        // connection, so connections are not reused.
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(check_ends(connector));
        Self { http, settings, endpoint_index: AtomicUsize::new(0) }
    }

    /// Executes a call. [`KvCall::Watch`] and [`KvCall::Unwatch`] fail with `NotSent`; use
    /// [`Client::watch`] instead.
    pub async fn call(&self, call: KvCall) -> KvOutcome {
        match self.try_call(&call).await {
            Ok(reply) => KvOutcome::Reply(reply),
            Err(error) => KvOutcome::Fault(error.fault()),
        }
    }

    /// Executes a call; unlike [`Client::call`], returns the cause of a failure.
    ///
    /// # Errors
    /// Fails if no endpoint accepts a connection, the service rejects the call, or no valid
    /// response arrives within the call timeout.
    pub async fn try_call(&self, call: &KvCall) -> Result<KvReply, CallError> {
        let (path, body) = request_wire::encode(call).ok_or(CallError::UnsupportedCall)?;
        let response_body = self.round_trip(path, body).await?;
        reply_wire::decode(call, path, &response_body)
    }

    /// Sends a request and reads the whole response within the call timeout. After a timeout or a
    /// lost response, later calls use the next endpoint.
    async fn round_trip(&self, path: &'static str, body: Bytes) -> Result<Bytes, CallError> {
        let transfer = async {
            let response = self.send(path, body).await?;
            let (status, response_body) = self.read_response(response).await?;
            check_status(status, &response_body)?;
            Ok(response_body)
        };
        let time_limit = self.settings.call_timeout_ms.into();
        let result = timeout(time_limit, transfer).await.unwrap_or(Err(CallError::TimedOut));
        if matches!(result, Err(CallError::TimedOut | CallError::ResponseLost { .. })) {
            self.advance_endpoint();
        }
        result
    }

    /// Reads up to `limit` keys with a prefix in key order, starting after the key `after`.
    ///
    /// # Errors
    /// Fails in the same cases as [`Client::try_call`].
    pub async fn list_after(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
    ) -> Result<Vec<KvPair>, CallError> {
        let body = request_wire::to_json(&RangeRequest::prefix_after(prefix, after, limit));
        let response_body = self.round_trip("/v3/kv/range", body).await?;
        reply_wire::decode_range(&response_body)
    }

    /// Watches the keys with a prefix, from the changes of `from_store_revision` on.
    ///
    /// If the watch cannot be started, its first [`Watch::next`] returns `WatchLost`.
    pub async fn watch(&self, prefix: &str, from_store_revision: u64) -> Watch {
        let body = request_wire::to_json(&WatchRequest::new(prefix, from_store_revision));
        let time_limit = self.settings.call_timeout_ms.into();
        let started = timeout(time_limit, self.send("/v3/watch", body)).await;
        match started {
            Ok(Ok(response)) if response.status() == StatusCode::OK => {
                Watch::new(response.into_body(), self.settings.response_limit_bytes)
            }
            _ => {
                self.advance_endpoint();
                Watch::closed()
            }
        }
    }

    /// Sends a request to the current endpoint, or to the next one that accepts a connection.
    async fn send(&self, path: &'static str, body: Bytes) -> Result<Response<Incoming>, CallError> {
        let mut last_error = CallError::UnsupportedCall;
        for _ in 0..self.settings.endpoints.len() {
            let request = build_request(self.endpoint(), path, body.clone());
            match self.http.request(request).await {
                Ok(response) => return check_final(response),
                Err(error) if error.is_connect() => {
                    last_error = CallError::Connect { detail: root_cause(&error) };
                    self.advance_endpoint();
                }
                Err(error) => return Err(CallError::ResponseLost { detail: root_cause(&error) }),
            }
        }
        Err(last_error)
    }

    async fn read_response(
        &self,
        response: Response<Incoming>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let status = response.status();
        let limit_bytes = self.settings.response_limit_bytes;
        let body = Limited::new(response.into_body(), limit_bytes).collect().await;
        match body {
            Ok(body) => Ok((status, body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => {
                Err(CallError::ResponseTooLarge { limit_bytes })
            }
            Err(error) => Err(CallError::ResponseLost { detail: root_cause(error.as_ref()) }),
        }
    }

    fn endpoint(&self) -> &Uri {
        let endpoints = &self.settings.endpoints;
        &endpoints[self.endpoint_index.load(Ordering::Relaxed) % endpoints.len()]
    }

    fn advance_endpoint(&self) {
        self.endpoint_index.fetch_add(1, Ordering::Relaxed);
    }
}

fn build_request(endpoint: &Uri, path: &'static str, body: Bytes) -> Request<Full<Bytes>> {
    let mut parts = endpoint.clone().into_parts();
    parts.path_and_query = Some(http::uri::PathAndQuery::from_static(path));
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    // `ClientSettings` has checked that the endpoint has a scheme and an authority, so this
    // succeeds.
    *request.uri_mut() = Uri::from_parts(parts).unwrap_or_default();
    let json = http::HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    request
}

/// Rejects a status that is no final one of HTTP. The `http` crate accepts 100 to 999.
fn check_final(response: Response<Incoming>) -> Result<Response<Incoming>, CallError> {
    match response.status().as_u16() {
        200..=599 => Ok(response),
        status => Err(CallError::ResponseLost { detail: format_compact!("status {status}") }),
    }
}

fn check_status(status: StatusCode, response_body: &[u8]) -> Result<(), CallError> {
    if status.is_success() {
        return Ok(());
    }
    let detail = reply_wire::decode_error(response_body);
    let status_code = status.as_u16();
    // A request that timed out inside the service may still take effect.
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        return Err(CallError::Rejected { status: status_code, detail });
    }
    Err(CallError::ServiceFailed { status: status_code, detail })
}

fn root_cause(error: &(dyn Error + 'static)) -> CompactString {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string().into()
}
