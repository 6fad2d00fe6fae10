//! One call to the upstream beside an agent.

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
use crate::http_client::HttpClient;
use crate::model_body;
use crate::read_allowance::ReadAllowance;

const EVENT_STREAM: &str = "text/event-stream";
const JSON: &str = "application/json";
/// The reducer ends attempts at their deadline; the call itself gives up this much later in case
/// that the cancellation is lost.
const GRACE: Duration = Duration::from_secs(1);
/// Answers up to this size are searched for the engine's usage report.
const MAX_PARSED_BYTES: usize = 8 << 20;

/// A call to the upstream that is about to start.
#[derive(Debug)]
pub struct UpstreamCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// What to call.
    pub call: Call,
    /// When to give up.
    pub time_limit: Duration,
    /// Bytes that may be read.
    pub allowance: Arc<ReadAllowance>,
    /// Root of the upstream, without a slash at the end.
    pub base_uri: CompactString,
    /// The client.
    pub client: HttpClient,
    /// Takes the events.
    pub events: mpsc::Sender<AgentInput>,
}

impl UpstreamCall {
    /// Makes the call and reports its events.
    pub async fn run(self) {
        let limit = self.time_limit + GRACE;
        let result = timeout(limit, self.exchange()).await;
        let event = match result {
            Ok(Ok(usage)) => AgentEvent::UpstreamEnded { attempt: self.attempt.clone(), usage },
            Ok(Err(fault)) => self.failed(fault),
            Err(_elapsed) => self.failed(UpstreamFault::ConnectionLost),
        };
        self.report(event).await;
    }

    fn failed(&self, fault: UpstreamFault) -> AgentEvent {
        AgentEvent::UpstreamFailed { attempt: self.attempt.clone(), fault }
    }

    async fn report(&self, event: AgentEvent) {
        // The channel only closes when the process ends.
        drop(self.events.send(AgentInput::Event(Box::new(event))).await);
    }

    async fn exchange(&self) -> Result<Option<Usage>, UpstreamFault> {
        let request = self.request().ok_or(UpstreamFault::NotSent)?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { UpstreamFault::NotSent } else { UpstreamFault::ConnectionLost }
        })?;
        let status = response.status();
        if status.is_server_error() {
            return Err(UpstreamFault::ServerError);
        }
        if matches!(self.call, Call::Model(_)) && is_refusal(status) {
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
            Call::Model(_) => self.read_whole(response.into_body(), true).await,
            Call::Service(_) => self.read_whole(response.into_body(), false).await,
        }
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
        match &self.call {
            Call::Model(call) => model_request(&self.base_uri, call),
            Call::Service(call) => service_request(&self.base_uri, call),
        }
    }

    async fn chunk(&self, data: Bytes, tokens: Tokens) {
        if data.is_empty() {
            return;
        }
        self.allowance.spend(data.len());
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
            self.allowance.wait().await;
            let Some(data) = next_data(&mut body).await? else {
                break;
            };
            splitter.push(&data);
            loop {
                self.allowance.wait().await;
                let piece = self.next_piece(call, &mut splitter)?;
                usage = piece.usage.or(usage);
                done |= piece.done;
                let exhausted = piece.exhausted;
                self.chunk(piece.data, piece.tokens).await;
                if exhausted {
                    break;
                }
            }
        }
        // An answer without its end mark is cut; it must not look complete.
        if done && splitter.partial().trim_ascii().is_empty() {
            Ok(usage)
        } else {
            Err(UpstreamFault::ConnectionLost)
        }
    }

    /// Joins whole events until the allowance is used up.
    fn next_piece(
        &self,
        call: &ModelCall,
        splitter: &mut EventSplitter,
    ) -> Result<Piece, UpstreamFault> {
        let left_bytes = self.allowance.left_bytes();
        let mut piece = Piece::default();
        let mut events: Vec<Bytes> = Vec::new();
        let mut length = 0;
        while length < left_bytes {
            let next = splitter.next_event().map_err(|_error| UpstreamFault::ConnectionLost)?;
            let Some(event) = next else {
                piece.exhausted = true;
                break;
            };
            let content = parse_chat_event(&event);
            piece.usage = content.usage.or(piece.usage);
            piece.done |= content.done;
            if content.usage_only && !call.include_usage {
                continue;
            }
            piece.tokens += content.tokens;
            length += event.len();
            events.push(event);
        }
        piece.data = join(events);
        Ok(piece)
    }

    async fn read_whole(
        &self,
        mut body: Incoming,
        has_usage: bool,
    ) -> Result<Option<Usage>, UpstreamFault> {
        let mut seen = Vec::new();
        loop {
            self.allowance.wait().await;
            let Some(mut data) = next_data(&mut body).await? else {
                break;
            };
            if has_usage && seen.len() + data.len() <= MAX_PARSED_BYTES {
                seen.extend_from_slice(&data);
            }
            while !data.is_empty() {
                self.allowance.wait().await;
                let length = data.len().min(self.allowance.left_bytes());
                self.chunk(data.split_to(length), Tokens::default()).await;
            }
        }
        Ok(has_usage.then(|| response_usage(&seen)).flatten())
    }
}

/// Whole events that fit into the allowance.
#[derive(Debug, Default)]
struct Piece {
    data: Bytes,
    tokens: Tokens,
    usage: Option<Usage>,
    done: bool,
    exhausted: bool,
}

/// Whether the engine refused to run a request that another engine may run: the version is not
/// loaded any more, or the engine is full.
fn is_refusal(status: StatusCode) -> bool {
    matches!(status, StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS)
}

fn join(mut events: Vec<Bytes>) -> Bytes {
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
