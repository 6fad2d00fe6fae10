//! Stand-in for the service that rates answers.
//!
//! `POST /rate` returns a configured score, whatever the answer says.

use std::collections::BTreeMap;
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
use axum::routing::post;
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;

use crate::server::Server;

/// Request to rate an answer, as received on `POST /rate`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct RatingRequest {
    /// Model version that produced the answer.
    pub version: String,
    /// Text of the prompt to which the answer responds.
    pub prompt: String,
    /// Text of the answer to rate.
    pub answer: String,
}

#[derive(Debug)]
struct RatingState {
    default_score: f64,
    version_scores: BTreeMap<String, f64>,
    delay: Duration,
    is_unavailable: bool,
    calls: Vec<RatingRequest>,
}

/// Stand-in for the service that rates answers, which records every request that it rates.
#[derive(Debug)]
pub struct RatingService {
    server: Server,
    state: Arc<Mutex<RatingState>>,
}

impl RatingService {
    /// Starts on a loopback port chosen by the system; it gives every answer `default_score`, from
    /// 0 (bad) to 1 (good).
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub async fn start(default_score: f64) -> io::Result<Self> {
        Self::start_at(default_score, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts on `address`; port 0 lets the system choose one.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_at(default_score: f64, address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(RatingState {
            default_score,
            version_scores: BTreeMap::new(),
            delay: Duration::ZERO,
            is_unavailable: false,
            calls: Vec::new(),
        }));
        let router =
            Router::new().route("/rate", post(handle_rating)).with_state(Arc::clone(&state));
        Ok(Self { server: Server::start_at(router, address).await?, state })
    }

    /// HTTP server of the stand-in, for its address and for connection faults.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the score of versions for which `set_version_score` was not called.
    pub fn set_score(&self, default_score: f64) {
        lock(&self.state).default_score = default_score;
    }

    /// Sets the score of all later answers of one version.
    pub fn set_version_score(&self, version: &str, score: f64) {
        lock(&self.state).version_scores.insert(version.to_owned(), score);
    }

    /// Sets the delay before each response.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Starts or ends an outage, in which every request fails with status 503.
    pub fn set_outage(&self, is_unavailable: bool) {
        lock(&self.state).is_unavailable = is_unavailable;
    }

    /// Requests that were rated, in order; those that failed in an outage are left out.
    pub fn calls(&self) -> Vec<RatingRequest> {
        lock(&self.state).calls.clone()
    }
}

fn lock(state: &Mutex<RatingState>) -> MutexGuard<'_, RatingState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle_rating(
    State(state): State<Arc<Mutex<RatingState>>>,
    Json(request): Json<RatingRequest>,
) -> Response {
    let delay = lock(&state).delay;
    tokio::time::sleep(delay).await;
    let mut state = lock(&state);
    if state.is_unavailable {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let score = state.version_scores.get(&request.version).copied().unwrap_or(state.default_score);
    state.calls.push(request);
    Json(json!({"score": score})).into_response()
}
