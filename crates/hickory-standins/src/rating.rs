//! Stand-in for the service that rates answers.

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

/// A call to rate an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct RatingRequest {
    /// The version that gave the answer.
    pub version: String,
    /// The prompt.
    pub prompt: String,
    /// The answer.
    pub answer: String,
}

#[derive(Debug)]
struct RatingState {
    score: f64,
    scores: BTreeMap<String, f64>,
    delay: Duration,
    outage: bool,
    calls: Vec<RatingRequest>,
}

/// Stand-in for the service that rates answers.
#[derive(Debug)]
pub struct RatingService {
    server: Server,
    state: Arc<Mutex<RatingState>>,
}

impl RatingService {
    /// Starts on a free loopback port; every answer has this score, 0 to 1.
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub async fn start(score: f64) -> io::Result<Self> {
        Self::start_at(score, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts on this address.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_at(score: f64, address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(RatingState {
            score,
            scores: BTreeMap::new(),
            delay: Duration::ZERO,
            outage: false,
            calls: Vec::new(),
        }));
        let router = Router::new().route("/rate", post(rate)).with_state(Arc::clone(&state));
        Ok(Self { server: Server::start_at(router, address).await?, state })
    }

    /// The server behind it.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the score of the answers of every version without a score of its own.
    pub fn set_score(&self, score: f64) {
        lock(&self.state).score = score;
    }

    /// Sets the score of the answers of one version.
    pub fn set_version_score(&self, version: &str, score: f64) {
        lock(&self.state).scores.insert(version.to_owned(), score);
    }

    /// Sets the pause before each answer.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Answers every call with status 503, or serves again.
    pub fn set_outage(&self, outage: bool) {
        lock(&self.state).outage = outage;
    }

    /// Calls that were answered, in order.
    pub fn calls(&self) -> Vec<RatingRequest> {
        lock(&self.state).calls.clone()
    }
}

fn lock(state: &Mutex<RatingState>) -> MutexGuard<'_, RatingState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn rate(
    State(state): State<Arc<Mutex<RatingState>>>,
    Json(call): Json<RatingRequest>,
) -> Response {
    let delay = lock(&state).delay;
    tokio::time::sleep(delay).await;
    let mut state = lock(&state);
    if state.outage {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let score = state.scores.get(&call.version).copied().unwrap_or(state.score);
    state.calls.push(call);
    Json(json!({"score": score})).into_response()
}
