//! HTTP port for operators and the probes of the platform.
//!
//! `/health` and `/ready` need no key, as the probes of the platform have none. All other resources
//! need an operator key, which is distinct from the keys of customers.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::Path;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware::Next;
use axum::middleware::from_fn_with_state;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use hickorydoor::KeyDigest;
use hickorydoor::id::RequestId;
use http::StatusCode;
use serde::Serialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::api_error::ApiError;
use crate::api_error::json_response;
use crate::operator_query::OperatorQuery;
use crate::request_header::key_digest;

/// The process is reported as stuck if the task that owns the reducer does not reply for this long.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP port for operators and the probes of the platform.
#[derive(Debug)]
pub struct OperatorPort {
    keys: Vec<KeyDigest>,
    queries: mpsc::Sender<OperatorQuery>,
}

impl OperatorPort {
    /// Creates a port that accepts these operator keys.
    pub const fn new(keys: Vec<KeyDigest>, queries: mpsc::Sender<OperatorQuery>) -> Self {
        Self { keys, queries }
    }

    pub fn router(self: Arc<Self>) -> Router {
        let authenticated = Router::new()
            .route("/status", get(status))
            .route("/histograms", get(histograms))
            .route("/requests/{*id}", get(request))
            .route_layer(from_fn_with_state(Arc::clone(&self), check_key));
        Router::new()
            .route("/health", get(health))
            .route("/ready", get(ready))
            .merge(authenticated)
            .fallback(async || ApiError::UnknownPath)
            .with_state(self)
    }

    /// Sends a query. Returns `None` if there is no reply in time.
    async fn query<T>(
        &self,
        build_query: impl FnOnce(oneshot::Sender<T>) -> OperatorQuery,
    ) -> Option<T> {
        let (reply_sender, reply) = oneshot::channel();
        let exchange = async {
            self.queries.send(build_query(reply_sender)).await.ok()?;
            reply.await.ok()
        };
        timeout(REPLY_TIMEOUT, exchange).await.ok().flatten()
    }
}

async fn check_key(
    State(port): State<Arc<OperatorPort>>,
    request: Request,
    next: Next,
) -> Response {
    let digest = key_digest(request.headers());
    let known = digest.is_some_and(|digest| port.keys.iter().any(|key| key.matches(&digest)));
    if known {
        return next.run(request).await;
    }
    ApiError::UnknownKey.into_response()
}

async fn health(State(port): State<Arc<OperatorPort>>) -> Response {
    match port.query(OperatorQuery::Status).await {
        Some(_) => json_response(StatusCode::OK, &json!({ "health": "ok" })),
        None => stuck_response(),
    }
}

async fn ready(State(port): State<Arc<OperatorPort>>) -> Response {
    match port.query(OperatorQuery::Status).await {
        Some(status) if status.ready => json_response(StatusCode::OK, &json!({ "ready": true })),
        Some(_) => json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "ready": false })),
        None => stuck_response(),
    }
}

async fn status(State(port): State<Arc<OperatorPort>>) -> Response {
    reply_response(port.query(OperatorQuery::Status).await)
}

async fn histograms(State(port): State<Arc<OperatorPort>>) -> Response {
    reply_response(port.query(OperatorQuery::Timings).await)
}

async fn request(State(port): State<Arc<OperatorPort>>, Path(id): Path<String>) -> Response {
    let Ok(request) = id.parse::<RequestId>() else {
        return ApiError::UnknownPath.into_response();
    };
    let steps = port.query(|reply| OperatorQuery::Request { request, reply }).await;
    match steps {
        Some(steps) if steps.is_empty() => ApiError::UnknownPath.into_response(),
        steps => reply_response(steps),
    }
}

fn reply_response<T: Serialize>(reply: Option<T>) -> Response {
    let Some(body) = reply.and_then(|reply| serde_json::to_value(reply).ok()) else {
        return stuck_response();
    };
    json_response(StatusCode::OK, &body)
}

fn stuck_response() -> Response {
    json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "health": "stuck" }))
}
