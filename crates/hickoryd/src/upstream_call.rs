//! HTTP call from an agent to its upstream.
//!
//! The call runs in a task of its own. It reads no more of the response than flow control allows and
//! reports chunks of whole server-sent events to the reducer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hickorydoor::AgentEvent;
use hickorydoor::agent::event::UpstreamFault;
use hickorydoor::billing::usage::Usage;
use hickorydoor::id::AttemptId;
use hickorydoor::message::Call;
use hickorydoor::message::ModelCall;
use hickorydoor::message::ServiceCall;
use hickorydoor::quantity::Tokens;
use hickorydoor::status_promise::StatusPromise;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::ACCEPT;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::agent_input::AgentInput;
use crate::chat_event::parse_chat_event;
use crate::chat_event::response_usage;
use crate::event_splitter::EventSplitter;
use crate::flow_control::FlowControlWindow;
use crate::model_body;
use crate::upstream_connection;
use crate::upstream_connection::RequestError;
use crate::upstream_notice::LEAVING;
use crate::upstream_notice::LIMIT;
use crate::upstream_notice::read_notice;

const EVENT_STREAM: &str = "text/event-stream";
const JSON: &str = "application/json";
/// The reducer cancels an attempt at its deadline. The call itself times out this much later, in case
/// the cancellation is lost.
const TIMEOUT_GRACE: Duration = Duration::from_secs(1);
/// Maximum size of a response without streaming in which the usage report of the engine is parsed.
const MAX_PARSED_BYTES: usize = 8 << 20;

/// Call to the upstream that has not started yet.
#[derive(Debug)]
pub struct UpstreamCall {
    /// Attempt that the reported events refer to.
    pub attempt: AttemptId,
    /// Request to send.
    pub call: Call,
    /// Time left until the deadline of the request.
    pub timeout: Duration,
    /// Response bytes that may be read.
    pub window: Arc<FlowControlWindow>,
    /// Root of the upstream, without a trailing slash.
    pub base_uri: CompactString,
    /// Receives the events of the call.
    pub events: mpsc::Sender<AgentInput>,
}

impl UpstreamCall {
    /// Sends the request and reports events until the response has ended or failed.
    pub async fn run(self) {
        let limit = self.timeout + TIMEOUT_GRACE;
        let result = timeout(limit, self.exchange()).await;
        let event = match result {
            Ok(Ok(usage)) => AgentEvent::UpstreamEnded { attempt: self.attempt.clone(), usage },
            Ok(Err(fault)) => self.failure_event(fault),
            Err(_elapsed) => self.failure_event(UpstreamFault::ConnectionLost),
        };
        self.report(event).await;
    }

    fn failure_event(&self, fault: UpstreamFault) -> AgentEvent {
        AgentEvent::UpstreamFailed { attempt: self.attempt.clone(), fault }
    }

    async fn report(&self, event: AgentEvent) {
        // The channel only closes when the process ends.
        drop(self.events.send(AgentInput::Event(Box::new(event))).await);
    }

    async fn exchange(&self) -> Result<Option<Usage>, UpstreamFault> {
        let request = self.request().ok_or(UpstreamFault::NotSent)?;
        let (response, _connection) =
            upstream_connection::request(request).await.map_err(|error| match error {
                RequestError::Address | RequestError::Connect(_) => UpstreamFault::NotSent,
                RequestError::NoResponse(_) => UpstreamFault::ConnectionLost,
            })?;
        let status = response.status();
        let notice = read_notice(status, response.headers(), &LEAVING, &LIMIT);
        self.report(AgentEvent::UpstreamNoticed(notice)).await;
        if status.is_server_error() || is_misleading(&self.call, status) {
            return Err(UpstreamFault::ServerError);
        }
        if matches!(self.call, Call::Model(_)) && is_rejection(status) {
            return Err(UpstreamFault::NotSent);
        }
        let content_type = content_type(&response);
        let streams = status.is_success() && content_type.starts_with(EVENT_STREAM);
        let started = AgentEvent::UpstreamStarted {
            attempt: self.attempt.clone(),
            status: status.as_u16(),
            content_type,
        };
        self.report(started).await;
        match &self.call {
            Call::Model(call) if streams => self.read_stream(call, response.into_body()).await,
            Call::Model(_) => self.read_complete(response.into_body(), true).await,
            Call::Service(_) => self.read_complete(response.into_body(), false).await,
        }
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
        match &self.call {
            Call::Model(call) => model_request(&self.base_uri, call),
            Call::Service(call) => service_request(&self.base_uri, call),
        }
    }

    async fn report_chunk(&self, data: Bytes, tokens: Tokens) {
        if data.is_empty() {
            return;
        }
        self.window.consume(data.len());
        let attempt = self.attempt.clone();
        self.report(AgentEvent::UpstreamChunk { attempt, tokens, data }).await;
    }

    async fn read_stream(
        &self,
        call: &ModelCall,
        mut body: Incoming,
    ) -> Result<Option<Usage>, UpstreamFault> {
        let mut splitter = EventSplitter::default();
        let mut usage = None;
        let mut done = false;
        loop {
            self.window.wait_available().await;
            let Some(data) = next_data(&mut body).await? else {
                break;
            };
            splitter.push(&data);
            loop {
                self.window.wait_available().await;
                let batch = self.next_batch(call, &mut splitter)?;
                usage = batch.usage.or(usage);
                done |= batch.done;
                let exhausted = batch.exhausted;
                self.report_chunk(batch.data, batch.tokens).await;
                if exhausted {
                    break;
                }
            }
        }
        // A stream without its end marker was truncated and must not look complete to the caller.
        if done && splitter.partial().trim_ascii().is_empty() {
            Ok(usage)
        } else {
            Err(UpstreamFault::ConnectionLost)
        }
    }

    /// Collects whole events until the window is used up or the next event is incomplete.
    fn next_batch(
        &self,
        call: &ModelCall,
        splitter: &mut EventSplitter,
    ) -> Result<EventBatch, UpstreamFault> {
        let available_bytes = self.window.available_bytes();
        let mut batch = EventBatch::default();
        let mut events: Vec<Bytes> = Vec::new();
        let mut length = 0;
        while length < available_bytes {
            let next = splitter.next_event().map_err(|_error| UpstreamFault::ConnectionLost)?;
            let Some(event) = next else {
                batch.exhausted = true;
                break;
            };
            let content = parse_chat_event(&event);
            batch.usage = content.usage.or(batch.usage);
            batch.done |= content.done;
            if content.usage_only && !call.include_usage {
                continue;
            }
            batch.tokens += content.tokens;
            length += event.len();
            events.push(event);
        }
        batch.data = concat(events);
        Ok(batch)
    }

    async fn read_complete(
        &self,
        mut body: Incoming,
        has_usage: bool,
    ) -> Result<Option<Usage>, UpstreamFault> {
        let mut collected = Vec::new();
        loop {
            self.window.wait_available().await;
            let Some(mut data) = next_data(&mut body).await? else {
                break;
            };
            if has_usage && collected.len() + data.len() <= MAX_PARSED_BYTES {
                collected.extend_from_slice(&data);
            }
            while !data.is_empty() {
                self.window.wait_available().await;
                let length = data.len().min(self.window.available_bytes());
                self.report_chunk(data.split_to(length), Tokens::default()).await;
            }
        }
        Ok(has_usage.then(|| response_usage(&collected)).flatten())
    }
}

/// Whole events that are reported as one chunk.
#[derive(Debug, Default)]
struct EventBatch {
    data: Bytes,
    tokens: Tokens,
    usage: Option<Usage>,
    /// Set once the end marker of the stream was read.
    done: bool,
    /// Set if more data must be read for the next event.
    exhausted: bool,
}

/// Returns true if the engine rejected a request that another engine may accept, because the version
/// is no longer loaded or the engine is full.
fn is_rejection(status: StatusCode) -> bool {
    matches!(status, StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS)
}

/// Returns true if callers would conclude from the status that a call did not run which has run and
/// must not be repeated.
fn is_misleading(call: &Call, status: StatusCode) -> bool {
    matches!(call, Call::Service(call) if !call.repeatable)
        && StatusPromise::of(status.as_u16()) == StatusPromise::NotRun
}

fn concat(mut events: Vec<Bytes>) -> Bytes {
    match events.len() {
        1 => events.remove(0),
        _ => events.concat().into(),
    }
}

async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, UpstreamFault> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| UpstreamFault::ConnectionLost)?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

fn content_type(response: &Response<Incoming>) -> CompactString {
    let value = response.headers().get(CONTENT_TYPE);
    value.and_then(|value| value.to_str().ok()).unwrap_or("application/octet-stream").into()
}

fn model_request(base_uri: &str, call: &ModelCall) -> Option<Request<Full<Bytes>>> {
    let body = model_body::rewrite(call).ok()?;
    let accept = if call.stream { EVENT_STREAM } else { JSON };
    Request::post(format!("{base_uri}/v1/chat/completions"))
        .header(CONTENT_TYPE, JSON)
        .header(ACCEPT, accept)
        .body(Full::new(body))
        .ok()
}

fn service_request(base_uri: &str, call: &ServiceCall) -> Option<Request<Full<Bytes>>> {
    let slash = if call.path.starts_with('/') { "" } else { "/" };
    let uri = format!("{base_uri}{slash}{}", call.path);
    let mut request = Request::builder().method(call.method.as_str()).uri(uri);
    if let Some(content_type) = &call.content_type {
        request = request.header(CONTENT_TYPE, content_type.as_str());
    }
    if let Some(key) = &call.idempotency_key {
        request = request.header("idempotency-key", key.as_str());
    }
    request.body(Full::new(call.body.clone())).ok()
}
