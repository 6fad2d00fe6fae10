//! Stand-in for a model engine.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use http::HeaderMap;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::engine_completion;
use crate::engine_completion::error;
use crate::engine_settings::EngineSettings;
use crate::engine_state::EngineCounts;
use crate::engine_state::EngineShared;
use crate::server::Server;

const FENCING_HEADER: &str = "x-fencing-number";

/// Stand-in for a model engine with an OpenAI-style API, load reports and orders.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Arc<EngineShared>,
}

impl Engine {
    /// Starts on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        Self::start_at(settings, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts on this address.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_at(settings: EngineSettings, address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(EngineShared::new(settings));
        let router = Router::new()
            .route("/v1/chat/completions", post(engine_completion::complete))
            .route("/v1/models", get(models))
            .route("/load", get(load))
            .route("/orders", post(order))
            .with_state(Arc::clone(&shared));
        Ok(Self { server: Server::start_at(router, address).await?, shared })
    }

    /// The server behind it.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the settings. Loaded versions change by orders only.
    pub fn update(&self, change: impl FnOnce(&mut EngineSettings)) {
        change(&mut self.shared.lock().settings);
        self.shared.changed.notify_waiters();
    }

    /// What it has done.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().counts
    }

    /// How often a request with this text as its last message was run.
    pub fn execution_count(&self, prompt: &str) -> u64 {
        self.shared.lock().runs.get(prompt).copied().unwrap_or(0)
    }

    /// Requests that run now.
    pub fn running(&self) -> usize {
        self.shared.lock().running
    }

    /// Versions that are loaded, in order.
    pub fn versions(&self) -> Vec<String> {
        self.shared.lock().versions.iter().cloned().collect()
    }
}

type SharedState = State<Arc<EngineShared>>;

async fn models(State(shared): SharedState) -> Json<Value> {
    let state = shared.lock();
    let model = |id: &String| json!({"id": id, "object": "model", "owned_by": "standin"});
    let data: Vec<Value> = state.versions.iter().map(model).collect();
    Json(json!({"object": "list", "data": data}))
}

async fn load(State(shared): SharedState) -> Json<Value> {
    let state = shared.lock();
    let slowdown = state.settings.slowdown(state.running);
    let token_interval = state.settings.token_interval.mul_f64(slowdown);
    Json(json!({
        "running": state.running,
        "queued": state.queued,
        "queued_prompt_tokens": state.queued_prompt_tokens,
        "prefill_tokens_per_s": state.settings.prefill_tokens_per_s / slowdown,
        "token_interval_ms": token_interval.as_secs_f64() * 1000.0,
        "versions": state.versions,
    }))
}

async fn order(
    State(shared): SharedState,
    headers: HeaderMap,
    Json(request): Json<Value>,
) -> Response {
    let number = headers.get(FENCING_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
    if let Err(refusal) = check_fencing(&shared, number) {
        return refusal;
    }
    let version = |field: &str| request[field].as_str().map(str::to_owned);
    match (version("load"), version("unload")) {
        (Some(version), None) => {
            let load_time = shared.lock().settings.load_time;
            tokio::time::sleep(load_time).await;
            shared.lock().versions.insert(version);
        }
        (None, Some(version)) => {
            shared.lock().versions.remove(&version);
        }
        _ => return error(StatusCode::BAD_REQUEST, "invalid_order", "one of load and unload"),
    }
    shared.lock().counts.orders += 1;
    Json(json!({})).into_response()
}

#[expect(clippy::result_large_err, reason = "responses are built once per refused order")]
fn check_fencing(shared: &EngineShared, number: Option<u64>) -> Result<(), Response> {
    let mut state = shared.lock();
    if !state.settings.checks_fencing {
        return Ok(());
    }
    let Some(number) = number else {
        return Err(error(StatusCode::BAD_REQUEST, "missing_fencing_number", FENCING_HEADER));
    };
    if number < state.highest_fencing_number {
        state.counts.stale_orders += 1;
        return Err(error(StatusCode::CONFLICT, "stale_fencing_number", "a newer order was seen"));
    }
    state.highest_fencing_number = number;
    Ok(())
}
