//! Chat completions of the engine stand-in, whole and streamed.

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
use crate::engine_state::Run;
use crate::server::DropConnection;

const BYTES_PER_TOKEN: usize = 4;

/// A request for a completion.
#[derive(Clone, Debug)]
struct Completion {
    version: String,
    prompt: String,
    prompt_tokens: u64,
    max_tokens: Option<u64>,
    stream: bool,
    include_usage: bool,
}

impl Completion {
    fn parse(request: &Value) -> Option<Self> {
        let texts: Vec<String> =
            request.get("messages")?.as_array()?.iter().map(message_text).collect();
        let bytes: usize = texts.iter().map(String::len).sum();
        let max_tokens = ["max_completion_tokens", "max_tokens"]
            .iter()
            .find_map(|field| request.get(field).and_then(Value::as_u64));
        Some(Self {
            version: request.get("model")?.as_str()?.to_owned(),
            prompt: texts.last()?.clone(),
            prompt_tokens: bytes.div_ceil(BYTES_PER_TOKEN) as u64,
            max_tokens,
            stream: request["stream"].as_bool().unwrap_or(false),
            include_usage: request["stream_options"]["include_usage"].as_bool().unwrap_or(false),
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

/// The answer's token at this position. Answers repeat the prompt, so that a test can tell whose
/// answer it received.
fn token(prompt: &str, position: u64) -> String {
    match position {
        0 => prompt.to_owned(),
        _ => format!(" t{position}"),
    }
}

/// An error in the format of the API.
pub fn error(status: StatusCode, code: &str, message: &str) -> Response {
    let body = json!({"error": {"message": message, "type": code, "param": null, "code": code}});
    (status, Json(body)).into_response()
}

pub async fn complete(
    State(shared): State<Arc<EngineShared>>,
    Json(request): Json<Value>,
) -> Response {
    let Some(completion) = Completion::parse(&request) else {
        return error(StatusCode::BAD_REQUEST, "invalid_request_error", "malformed request");
    };
    if !shared.lock().versions.contains(&completion.version) {
        return error(StatusCode::NOT_FOUND, "model_not_found", "the version is not loaded");
    }
    let mut run = Run::start(&shared, &completion.prompt, completion.prompt_tokens).await;
    if run.fails() {
        return error(StatusCode::INTERNAL_SERVER_ERROR, "server_error", "the engine failed");
    }
    let answer_tokens = {
        let tokens = shared.lock().settings.answer_tokens;
        completion.max_tokens.map_or(tokens, |most| most.min(tokens))
    };
    let progress = Progress { completion, run, position: 0, answer_tokens };
    if progress.completion.stream { streamed(progress) } else { whole(progress).await }
}

/// A run and the tokens that it has produced.
#[derive(Debug)]
struct Progress {
    completion: Completion,
    run: Run,
    position: u64,
    answer_tokens: u64,
}

/// The run's connection is to be cut.
#[derive(Clone, Copy, Debug)]
struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in cuts this stream")
    }
}

impl std::error::Error for Cut {}

impl Progress {
    /// Waits for the next token; absent after the last one.
    async fn next_token(&mut self) -> Result<Option<String>, Cut> {
        self.wait_while_hung().await;
        if self.position >= self.answer_tokens {
            return Ok(None);
        }
        let (pause, cut) = {
            let state = self.run.shared().lock();
            let settings = &state.settings;
            let first = self.position == 0;
            let base = if first { settings.first_token_delay } else { settings.token_interval };
            let cut = settings.abort_after_tokens.is_some_and(|limit| self.position >= limit);
            (base.mul_f64(settings.slowdown(state.running)), cut)
        };
        if cut {
            return Err(Cut);
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let text = token(&self.completion.prompt, self.position);
        self.position += 1;
        Ok(Some(text))
    }

    async fn wait_while_hung(&self) {
        let shared = self.run.shared();
        loop {
            let changed = shared.changed.notified();
            if !shared.lock().settings.hang {
                return;
            }
            changed.await;
        }
    }

    fn object(&self, kind: &str, choices: &Value) -> Value {
        json!({
            "id": "chatcmpl-standin",
            "object": kind,
            "created": 0,
            "model": self.completion.version,
            "choices": choices,
        })
    }

    fn chunk(&self, delta: &Value, finish: Option<&str>) -> Value {
        let choices = json!([{"index": 0, "delta": delta, "finish_reason": finish}]);
        self.object("chat.completion.chunk", &choices)
    }

    fn finish_reason(&self) -> &'static str {
        match self.completion.max_tokens {
            Some(most) if most <= self.answer_tokens => "length",
            _ => "stop",
        }
    }
}

async fn whole(mut progress: Progress) -> Response {
    let mut text = String::new();
    loop {
        match progress.next_token().await {
            Ok(Some(token)) => text.push_str(&token),
            Ok(None) => break,
            Err(Cut) => return DropConnection::response(),
        }
    }
    let choices = json!([{
        "index": 0,
        "message": {"role": "assistant", "content": text},
        "finish_reason": progress.finish_reason(),
    }]);
    let mut answer = progress.object("chat.completion", &choices);
    answer["usage"] = progress.completion.usage(progress.position);
    progress.run.finish();
    Json(answer).into_response()
}

/// What a stream sends next.
enum Phase {
    Tokens(Box<Progress>),
    Usage(Box<Progress>),
    Done,
    Over,
}

fn streamed(progress: Progress) -> Response {
    let events = stream::try_unfold(Phase::Tokens(Box::new(progress)), next_event);
    let mut response = Body::from_stream(events).into_response();
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

async fn next_event(phase: Phase) -> Result<Option<(Bytes, Phase)>, Cut> {
    match phase {
        Phase::Tokens(mut progress) => {
            if let Some(token) = progress.next_token().await? {
                let chunk = progress.chunk(&json!({"content": token}), None);
                return Ok(Some((event(&chunk), Phase::Tokens(progress))));
            }
            progress.run.finish();
            let chunk = progress.chunk(&json!({}), Some(progress.finish_reason()));
            let next = if progress.completion.include_usage {
                Phase::Usage(progress)
            } else {
                Phase::Done
            };
            Ok(Some((event(&chunk), next)))
        }
        Phase::Usage(progress) => {
            let mut chunk = progress.object("chat.completion.chunk", &json!([]));
            chunk["usage"] = progress.completion.usage(progress.position);
            Ok(Some((event(&chunk), Phase::Done)))
        }
        Phase::Done => Ok(Some((Bytes::from_static(b"data: [DONE]\n\n"), Phase::Over))),
        Phase::Over => Ok(None),
    }
}

fn event(chunk: &Value) -> Bytes {
    format!("data: {chunk}\n\n").into()
}
