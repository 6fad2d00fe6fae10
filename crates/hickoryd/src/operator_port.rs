//! The operators' HTTP port.
//!
//! `/health` and `/ready` are open to the platform's probes. Everything else needs one of the
//! operators' own keys.

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

/// A reducer's task that does not answer for this long is stuck.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The operators' HTTP port.
#[derive(Debug)]
pub struct OperatorPort {
    keys: Vec<KeyDigest>,
    questions: mpsc::Sender<OperatorQuery>,
}

impl OperatorPort {
    /// A port for these keys.
    pub const fn new(keys: Vec<KeyDigest>, questions: mpsc::Sender<OperatorQuery>) -> Self {
        Self { keys, questions }
    }

    /// The routes of the port.
    pub fn router(self: Arc<Self>) -> Router {
        let guarded = Router::new()
            .route("/status", get(status))
            .route("/histograms", get(histograms))
            .route("/requests/{*id}", get(request))
            .route_layer(from_fn_with_state(Arc::clone(&self), check_key));
        Router::new()
            .route("/health", get(health))
            .route("/ready", get(ready))
            .merge(guarded)
            .fallback(async || ApiError::UnknownPath)
            .with_state(self)
    }

    async fn ask<T>(
        &self,
        question: impl FnOnce(oneshot::Sender<T>) -> OperatorQuery,
    ) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        let exchange = async {
            self.questions.send(question(answer)).await.ok()?;
            answered.await.ok()
        };
        timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten()
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
    match port.ask(OperatorQuery::Status).await {
        Some(_) => json_response(StatusCode::OK, &json!({ "health": "ok" })),
        None => stuck(),
    }
}

async fn ready(State(port): State<Arc<OperatorPort>>) -> Response {
    match port.ask(OperatorQuery::Status).await {
        Some(status) if status.ready => json_response(StatusCode::OK, &json!({ "ready": true })),
        Some(_) => json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "ready": false })),
        None => stuck(),
    }
}

async fn status(State(port): State<Arc<OperatorPort>>) -> Response {
    answer(port.ask(OperatorQuery::Status).await)
}

async fn histograms(State(port): State<Arc<OperatorPort>>) -> Response {
    answer(port.ask(OperatorQuery::Timings).await)
}

async fn request(State(port): State<Arc<OperatorPort>>, Path(id): Path<String>) -> Response {
    let Ok(request) = id.parse::<RequestId>() else {
        return ApiError::UnknownPath.into_response();
    };
    let notes = port.ask(|answer| OperatorQuery::Request { request, answer }).await;
    match notes {
        Some(notes) if notes.is_empty() => ApiError::UnknownPath.into_response(),
        notes => answer(notes),
    }
}

fn answer<T: Serialize>(answer: Option<T>) -> Response {
    let Some(body) = answer.and_then(|answer| serde_json::to_value(answer).ok()) else {
        return stuck();
    };
    json_response(StatusCode::OK, &body)
}

fn stuck() -> Response {
    json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "health": "stuck" }))
}
