//! Stand-in for a plain service, one that is not a model engine.
//!
//! It accepts any method and path, records the call as executed and returns its sequence number.

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

/// A call that the service has executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// HTTP method as received, such as `POST`.
    pub method: String,
    /// Request path with its query string.
    pub path: String,
    /// Value of the header `idempotency-key`; `None` if it is missing or not visible ASCII.
    pub idempotency_key: Option<String>,
    /// Request body as received.
    pub body: Bytes,
}

#[derive(Debug, Default)]
struct ServiceState {
    calls: Vec<ServiceCall>,
    delay: Duration,
    responses_to_drop: u32,
    calls_to_reject: u32,
}

/// Stand-in for a plain service, which records every call that it executes.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<Mutex<ServiceState>>,
}

impl Service {
    /// Starts on a loopback port chosen by the system.
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts on `address`; port 0 lets the system choose one.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ServiceState::default()));
        let router = Router::new().fallback(handle_call).with_state(Arc::clone(&state));
        Ok(Self { server: Server::start_at(router, address).await?, state })
    }

    /// HTTP server of the stand-in, for its address and for connection faults.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the delay between the execution of a call and its response.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Executes the next `count` calls, but closes their connections without a response.
    pub fn drop_responses(&self, count: u32) {
        lock(&self.state).responses_to_drop = count;
    }

    /// Rejects the next `count` calls with status 503 and does not execute them.
    pub fn reject_calls(&self, count: u32) {
        lock(&self.state).calls_to_reject = count;
    }

    /// Executed calls, in order.
    pub fn calls(&self) -> Vec<ServiceCall> {
        lock(&self.state).calls.clone()
    }

    /// Number of executed calls with this body.
    pub fn execution_count(&self, body: &[u8]) -> usize {
        lock(&self.state).calls.iter().filter(|call| call.body.as_ref() == body).count()
    }
}

fn lock(state: &Mutex<ServiceState>) -> MutexGuard<'_, ServiceState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle_call(
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
    let (call_number, delay, is_dropped) = {
        let mut state = lock(&state);
        if state.calls_to_reject > 0 {
            state.calls_to_reject -= 1;
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        state.calls.push(call);
        let is_dropped = state.responses_to_drop > 0;
        state.responses_to_drop = state.responses_to_drop.saturating_sub(1);
        (state.calls.len(), state.delay, is_dropped)
    };
    tokio::time::sleep(delay).await;
    if is_dropped {
        return DropConnection::response();
    }
    Json(json!({"call": call_number})).into_response()
}
