//! Stand-in for a model engine: model list, load report and orders.
//!
//! Chat completions are in `engine_completion`. An order loads or unloads a version. It carries a
//! fencing number, so that the engine can reject orders of an agent that has lost its lease.

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
use crate::engine_completion::api_error;
use crate::engine_settings::EngineSettings;
use crate::engine_state::EngineCounts;
use crate::engine_state::EngineShared;
use crate::server::Server;

const FENCING_HEADER: &str = "x-fencing-number";

/// Stand-in for a model engine with an OpenAI-compatible API, load reports and orders.
///
/// It generates no text: every answer is the prompt followed by numbered tokens.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Arc<EngineShared>,
}

impl Engine {
    /// Starts on a loopback port chosen by the system.
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        Self::start_at(settings, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts on `address`; port 0 lets the system choose one.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_at(settings: EngineSettings, address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(EngineShared::new(settings));
        let router = Router::new()
            .route("/v1/chat/completions", post(engine_completion::create_completion))
            .route("/v1/models", get(list_models))
            .route("/load", get(report_load))
            .route("/orders", post(handle_order))
            .with_state(Arc::clone(&shared));
        Ok(Self { server: Server::start_at(router, address).await?, shared })
    }

    /// HTTP server of the stand-in, for its address and for connection faults.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the settings. Token times and stream faults apply to executions in progress from
    /// their next token on.
    ///
    /// `EngineSettings::versions` has no effect here: after the start, only orders load or unload
    /// versions.
    pub fn update(&self, change: impl FnOnce(&mut EngineSettings)) {
        change(&mut self.shared.lock().settings);
        self.shared.state_changed.notify_waiters();
    }

    /// Counters since the start of the engine.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().counts
    }

    /// Number of executions that started for requests whose last message is `prompt`.
    pub fn execution_count(&self, prompt: &str) -> u64 {
        self.shared.lock().execution_counts.get(prompt).copied().unwrap_or(0)
    }

    /// Number of requests that hold a slot now.
    pub fn running(&self) -> usize {
        self.shared.lock().running
    }

    /// Loaded versions, sorted by name.
    pub fn versions(&self) -> Vec<String> {
        self.shared.lock().versions.iter().cloned().collect()
    }
}

type SharedState = State<Arc<EngineShared>>;

async fn list_models(State(shared): SharedState) -> Json<Value> {
    let state = shared.lock();
    let model = |id: &String| json!({"id": id, "object": "model", "owned_by": "standin"});
    let data: Vec<Value> = state.versions.iter().map(model).collect();
    Json(json!({"object": "list", "data": data}))
}

async fn report_load(State(shared): SharedState) -> Json<Value> {
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

async fn handle_order(
    State(shared): SharedState,
    headers: HeaderMap,
    Json(request): Json<Value>,
) -> Response {
    let fencing_number =
        headers.get(FENCING_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
    if let Err(rejection) = check_fencing(&shared, fencing_number) {
        return rejection;
    }
    let version_field = |field: &str| request[field].as_str().map(str::to_owned);
    match (version_field("load"), version_field("unload")) {
        (Some(version), None) => {
            let load_time = shared.lock().settings.load_time;
            tokio::time::sleep(load_time).await;
            shared.lock().versions.insert(version);
        }
        (None, Some(version)) => {
            shared.lock().versions.remove(&version);
        }
        _ => return api_error(StatusCode::BAD_REQUEST, "invalid_order", "expected load or unload"),
    }
    shared.lock().counts.orders += 1;
    Json(json!({})).into_response()
}

#[expect(clippy::result_large_err, reason = "responses are built once per rejected order")]
fn check_fencing(shared: &EngineShared, fencing_number: Option<u64>) -> Result<(), Response> {
    let mut state = shared.lock();
    if !state.settings.checks_fencing {
        return Ok(());
    }
    let Some(fencing_number) = fencing_number else {
        return Err(api_error(StatusCode::BAD_REQUEST, "missing_fencing_number", FENCING_HEADER));
    };
    if fencing_number < state.highest_fencing_number {
        state.counts.stale_orders += 1;
        return Err(api_error(
            StatusCode::CONFLICT,
            "stale_fencing_number",
            "an order with a higher fencing number was received",
        ));
    }
    state.highest_fencing_number = fencing_number;
    Ok(())
}
