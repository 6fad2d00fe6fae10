//! Chat completions of the engine stand-in, as a single response or as a stream of events.
//!
//! Both forms take their tokens from the same [`Generation`], so that timing and faults are the
//! same.

use std::fmt;
use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde_json::Value;
use serde_json::json;

use crate::engine_state::EngineShared;
use crate::engine_state::Execution;
use crate::server::DropConnection;

/// Ratio by which the number of prompt tokens is estimated.
const BYTES_PER_TOKEN: usize = 4;

/// Parsed body of a chat completion request.
#[derive(Clone, Debug)]
struct CompletionRequest {
    version: String,
    prompt: String,
    prompt_tokens: u64,
    max_tokens: Option<u64>,
    stream: bool,
    include_usage: bool,
}

impl CompletionRequest {
    fn parse(body: &Value) -> Option<Self> {
        let texts: Vec<String> =
            body.get("messages")?.as_array()?.iter().map(message_text).collect();
        let bytes: usize = texts.iter().map(String::len).sum();
        let max_tokens = ["max_completion_tokens", "max_tokens"]
            .iter()
            .find_map(|field| body.get(field).and_then(Value::as_u64));
        Some(Self {
            version: body.get("model")?.as_str()?.to_owned(),
            prompt: texts.last()?.clone(),
            prompt_tokens: bytes.div_ceil(BYTES_PER_TOKEN) as u64,
            max_tokens,
            stream: body["stream"].as_bool().unwrap_or(false),
            include_usage: body["stream_options"]["include_usage"].as_bool().unwrap_or(false),
        })
    }

    fn usage(&self, answer_tokens: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": answer_tokens,
            "total_tokens": self.prompt_tokens + answer_tokens,
        })
    }
}

fn message_text(message: &Value) -> String {
    match &message["content"] {
        Value::String(text) => text.clone(),
        Value::Array(parts) => {
            parts.iter().filter_map(|part| part["text"].as_str()).collect::<Vec<_>>().join("\n")
        }
        _ => String::new(),
    }
}

/// Returns the token at `position` of the answer. The first token repeats the prompt, so that a
/// test can tell which request the answer belongs to.
fn token_text(prompt: &str, position: u64) -> String {
    match position {
        0 => prompt.to_owned(),
        _ => format!(" t{position}"),
    }
}

/// Builds an error response in the format of the API.
pub fn api_error(status: StatusCode, code: &str, message: &str) -> Response {
    let body = json!({"error": {"message": message, "type": code, "param": null, "code": code}});
    (status, Json(body)).into_response()
}

pub async fn create_completion(
    State(shared): State<Arc<EngineShared>>,
    Json(body): Json<Value>,
) -> Response {
    let Some(request) = CompletionRequest::parse(&body) else {
        return api_error(
            StatusCode::BAD_REQUEST,
            "invalid_request_error",
            "model or messages are missing or malformed",
        );
    };
    if !shared.lock().versions.contains(&request.version) {
        return api_error(StatusCode::NOT_FOUND, "model_not_found", "this version is not loaded");
    }
    let mut execution = Execution::start(&shared, &request.prompt, request.prompt_tokens).await;
    if execution.inject_error() {
        return api_error(
            StatusCode::INTERNAL_SERVER_ERROR,
            "server_error",
            "injected engine error",
        );
    }
    let answer_tokens = {
        let tokens = shared.lock().settings.answer_tokens;
        request.max_tokens.map_or(tokens, |limit| limit.min(tokens))
    };
    let generation = Generation { request, execution, position: 0, answer_tokens };
    if generation.request.stream {
        streaming_response(generation)
    } else {
        full_response(generation).await
    }
}

/// Token generation for a request.
#[derive(Debug)]
struct Generation {
    request: CompletionRequest,
    execution: Execution,
    /// Number of tokens produced so far.
    position: u64,
    answer_tokens: u64,
}

/// Error by which the server closes the connection before the response is complete.
#[derive(Clone, Copy, Debug)]
struct StreamAborted;

impl fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in aborted this response")
    }
}

impl std::error::Error for StreamAborted {}

impl Generation {
    /// Waits for the next token; `None` after the last one.
    async fn next_token(&mut self) -> Result<Option<String>, StreamAborted> {
        self.wait_while_hung().await;
        if self.position >= self.answer_tokens {
            return Ok(None);
        }
        let (delay, is_aborted) = {
            let state = self.execution.shared().lock();
            let settings = &state.settings;
            let is_first = self.position == 0;
            let base_delay =
                if is_first { settings.first_token_delay } else { settings.token_interval };
            let is_aborted =
                settings.abort_after_tokens.is_some_and(|limit| self.position >= limit);
            (base_delay.mul_f64(settings.slowdown(state.running)), is_aborted)
        };
        if is_aborted {
            return Err(StreamAborted);
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let text = token_text(&self.request.prompt, self.position);
        self.position += 1;
        Ok(Some(text))
    }

    async fn wait_while_hung(&self) {
        let shared = self.execution.shared();
        loop {
            let state_changed = shared.state_changed.notified();
            if !shared.lock().settings.hang {
                return;
            }
            state_changed.await;
        }
    }

    fn completion_object(&self, object_type: &str, choices: &Value) -> Value {
        json!({
            "id": "chatcmpl-standin",
            "object": object_type,
            "created": 0,
            "model": self.request.version,
            "choices": choices,
        })
    }

    fn chunk(&self, delta: &Value, finish_reason: Option<&str>) -> Value {
        let choices = json!([{"index": 0, "delta": delta, "finish_reason": finish_reason}]);
        self.completion_object("chat.completion.chunk", &choices)
    }

    fn finish_reason(&self) -> &'static str {
        match self.request.max_tokens {
            Some(limit) if limit <= self.answer_tokens => "length",
            _ => "stop",
        }
    }
}

async fn full_response(mut generation: Generation) -> Response {
    let mut text = String::new();
    loop {
        match generation.next_token().await {
            Ok(Some(token)) => text.push_str(&token),
            Ok(None) => break,
            Err(StreamAborted) => return DropConnection::response(),
        }
    }
    let choices = json!([{
        "index": 0,
        "message": {"role": "assistant", "content": text},
        "finish_reason": generation.finish_reason(),
    }]);
    let mut answer = generation.completion_object("chat.completion", &choices);
    answer["usage"] = generation.request.usage(generation.position);
    generation.execution.mark_completed();
    Json(answer).into_response()
}

/// What the event stream sends next.
enum StreamPhase {
    Tokens(Box<Generation>),
    Usage(Box<Generation>),
    Terminator,
    Ended,
}

fn streaming_response(generation: Generation) -> Response {
    let events = stream::try_unfold(StreamPhase::Tokens(Box::new(generation)), next_event);
    let mut response = Body::from_stream(events).into_response();
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

async fn next_event(phase: StreamPhase) -> Result<Option<(Bytes, StreamPhase)>, StreamAborted> {
    match phase {
        StreamPhase::Tokens(mut generation) => {
            if let Some(token) = generation.next_token().await? {
                let chunk = generation.chunk(&json!({"content": token}), None);
                return Ok(Some((sse_event(&chunk), StreamPhase::Tokens(generation))));
            }
            generation.execution.mark_completed();
            let chunk = generation.chunk(&json!({}), Some(generation.finish_reason()));
            let next = if generation.request.include_usage {
                StreamPhase::Usage(generation)
            } else {
                StreamPhase::Terminator
            };
            Ok(Some((sse_event(&chunk), next)))
        }
        StreamPhase::Usage(generation) => {
            let mut chunk = generation.completion_object("chat.completion.chunk", &json!([]));
            chunk["usage"] = generation.request.usage(generation.position);
            Ok(Some((sse_event(&chunk), StreamPhase::Terminator)))
        }
        StreamPhase::Terminator => {
            Ok(Some((Bytes::from_static(b"data: [DONE]\n\n"), StreamPhase::Ended)))
        }
        StreamPhase::Ended => Ok(None),
    }
}

fn sse_event(chunk: &Value) -> Bytes {
    format!("data: {chunk}\n\n").into()
}
