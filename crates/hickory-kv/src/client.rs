//! The client.

use std::error::Error;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
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
use crate::reply_wire;
use crate::request_wire;
use crate::request_wire::RangeRequest;
use crate::request_wire::WatchRequest;
use crate::watch::Watch;

// A watch may be silent for hours, so probes of the connection detect a host that is gone.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEPALIVE_PROBES: u32 = 3;

/// Client for the key-value service; clones of its reference share pooled connections.
#[derive(Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    settings: ClientSettings,
    preferred: AtomicUsize,
}

impl Client {
    /// A client that connects on its first call.
    pub fn new(settings: ClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout_ms.into()));
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { http, settings, preferred: AtomicUsize::new(0) }
    }

    /// Carries out a call. [`KvCall::Watch`] and [`KvCall::Unwatch`] yield `NotSent`; see
    /// [`Client::watch`].
    pub async fn call(&self, call: KvCall) -> KvOutcome {
        match self.try_call(&call).await {
            Ok(reply) => KvOutcome::Reply(reply),
            Err(error) => KvOutcome::Fault(error.fault()),
        }
    }

    /// Carries out a call and keeps the cause of a failure.
    ///
    /// # Errors
    /// Fails if no endpoint accepts the call, refuses it or its answer is lost.
    pub async fn try_call(&self, call: &KvCall) -> Result<KvReply, CallError> {
        let (path, body) = request_wire::encode(call).ok_or(CallError::NotACall)?;
        let answer = self.exchange(path, body).await?;
        reply_wire::decode(call, path, &answer)
    }

    /// Sends a request and reads its whole answer within the time limit.
    async fn exchange(&self, path: &'static str, body: Bytes) -> Result<Bytes, CallError> {
        let whole = async {
            let response = self.send(path, body).await?;
            let (status, answer) = self.read_whole(response).await?;
            check_status(status, &answer)?;
            Ok(answer)
        };
        let limit = self.settings.call_timeout_ms.into();
        let result = timeout(limit, whole).await.unwrap_or(Err(CallError::TimedOut));
        if matches!(result, Err(CallError::TimedOut | CallError::AnswerLost { .. })) {
            self.prefer_next();
        }
        result
    }

    /// Reads up to `limit` keys with a prefix that come after `after`, in key order.
    ///
    /// # Errors
    /// Fails if no endpoint accepts the call, refuses it or its answer is lost.
    pub async fn list_after(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
    ) -> Result<Vec<KvPair>, CallError> {
        let body = request_wire::body(&RangeRequest::after(prefix, after, limit));
        let answer = self.exchange("/v3/kv/range", body).await?;
        reply_wire::decode_range(&answer)
    }

    /// Watches the keys with a prefix from a store revision on.
    ///
    /// A failure to start is reported by the watch itself, as its end.
    pub async fn watch(&self, prefix: &str, from_store_revision: u64) -> Watch {
        let body = request_wire::body(&WatchRequest::new(prefix, from_store_revision));
        let limit = self.settings.call_timeout_ms.into();
        let started = timeout(limit, self.send("/v3/watch", body)).await;
        match started {
            Ok(Ok(response)) if response.status() == StatusCode::OK => {
                Watch::new(response.into_body(), self.settings.response_limit_bytes)
            }
            _ => {
                self.prefer_next();
                Watch::lost()
            }
        }
    }

    /// Sends a request to the preferred endpoint, or to the next one that accepts a connection.
    async fn send(&self, path: &'static str, body: Bytes) -> Result<Response<Incoming>, CallError> {
        let mut last = CallError::NotACall;
        for _ in 0..self.settings.endpoints.len() {
            let request = request(self.endpoint(), path, body.clone());
            match self.http.request(request).await {
                Ok(response) => return Ok(response),
                Err(error) if error.is_connect() => {
                    last = CallError::Connect { detail: root_cause(&error) };
                    self.prefer_next();
                }
                Err(error) => return Err(CallError::AnswerLost { detail: root_cause(&error) }),
            }
        }
        Err(last)
    }

    async fn read_whole(
        &self,
        response: Response<Incoming>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let status = response.status();
        let limit_bytes = self.settings.response_limit_bytes;
        let body = Limited::new(response.into_body(), limit_bytes).collect().await;
        match body {
            Ok(body) => Ok((status, body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => {
                Err(CallError::AnswerTooLarge { limit_bytes })
            }
            Err(error) => Err(CallError::AnswerLost { detail: root_cause(error.as_ref()) }),
        }
    }

    fn endpoint(&self) -> &Uri {
        let endpoints = &self.settings.endpoints;
        &endpoints[self.preferred.load(Ordering::Relaxed) % endpoints.len()]
    }

    fn prefer_next(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }
}

fn request(endpoint: &Uri, path: &'static str, body: Bytes) -> Request<Full<Bytes>> {
    let mut parts = endpoint.clone().into_parts();
    parts.path_and_query = Some(http::uri::PathAndQuery::from_static(path));
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    // The endpoint was checked to have a scheme and an authority, so the parts fit together.
    *request.uri_mut() = Uri::from_parts(parts).unwrap_or_default();
    let json = http::HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    request
}

fn check_status(status: StatusCode, answer: &[u8]) -> Result<(), CallError> {
    if status.is_success() {
        return Ok(());
    }
    let detail = reply_wire::decode_error(answer);
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
