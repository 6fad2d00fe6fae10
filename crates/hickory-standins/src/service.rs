//! Stand-in for a plain service.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Uri;
use serde_json::json;

use crate::server::DropConnection;
use crate::server::Server;

/// A call that a plain service has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// The header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Bytes,
}

#[derive(Debug, Default)]
struct ServiceState {
    calls: Vec<ServiceCall>,
    delay: Duration,
    answers_to_lose: u32,
    calls_to_refuse: u32,
}

/// Stand-in for a plain service, which records every call that it runs.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<Mutex<ServiceState>>,
}

impl Service {
    /// Starts on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts on this address.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ServiceState::default()));
        let router = Router::new().fallback(run).with_state(Arc::clone(&state));
        Ok(Self { server: Server::start_at(router, address).await?, state })
    }

    /// The server behind it.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the pause between running a call and answering it.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Loses the answers to the next `count` calls after they were run.
    pub fn drop_responses(&self, count: u32) {
        lock(&self.state).answers_to_lose = count;
    }

    /// Refuses the next `count` calls with status 503 and does not run them.
    pub fn reject_calls(&self, count: u32) {
        lock(&self.state).calls_to_refuse = count;
    }

    /// Calls that were run, in order.
    pub fn calls(&self) -> Vec<ServiceCall> {
        lock(&self.state).calls.clone()
    }

    /// How often a call with this body was run.
    pub fn execution_count(&self, body: &[u8]) -> usize {
        lock(&self.state).calls.iter().filter(|call| call.body.as_ref() == body).count()
    }
}

fn lock(state: &Mutex<ServiceState>) -> MutexGuard<'_, ServiceState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run(
    State(state): State<Arc<Mutex<ServiceState>>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let key = headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    let call = ServiceCall {
        method: method.to_string(),
        path: uri.path_and_query().map_or_else(String::new, ToString::to_string),
        idempotency_key: key.map(str::to_owned),
        body,
    };
    let (number, delay, lost) = {
        let mut state = lock(&state);
        if state.calls_to_refuse > 0 {
            state.calls_to_refuse -= 1;
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        state.calls.push(call);
        let lost = state.answers_to_lose > 0;
        state.answers_to_lose = state.answers_to_lose.saturating_sub(1);
        (state.calls.len(), state.delay, lost)
    };
    tokio::time::sleep(delay).await;
    if lost {
        return DropConnection::response();
    }
    Json(json!({"call": number})).into_response()
}
