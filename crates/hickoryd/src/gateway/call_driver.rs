//! Task of one request: runs its attempts and responds to the caller, as the reducer directs, until
//! the request has ended.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::effect::Dispatch;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::NotRun;
use hickorydoor::gateway::event::ResponseFault;
use hickorydoor::gateway::quarantine::PROVEN_AFTER_MS;
use hickorydoor::memory::MemoryKind;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::body_collector::CollectError;
use crate::body_collector::collect_within;
use crate::event_splitter::EventSplitter;
use crate::event_splitter::event_id;
use crate::event_splitter::is_progress;
use crate::gateway::core::Core;
use crate::gateway::core::Directive;
use crate::gateway::header_names::HeaderNames;
use crate::gateway::response::UpstreamResponse;
use crate::gateway::response::forwarded_response;
use crate::gateway::response::refusal_response;
use crate::gateway::response_body::ResponseBody;
use crate::gateway::response_body::StreamPiece;
use crate::gateway::stream_pace::StreamPace;
use crate::gateway::upstream_request::OpenResponse;
use crate::gateway::upstream_request::RequestTemplate;
use crate::gateway::upstream_request::send;

/// Maximum size of a response that is not a stream.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Maximum number of events buffered for a slow caller. While the buffer is full, nothing more is
/// read from the upstream.
const MAX_BUFFERED_EVENTS: usize = 64;

/// Length of an event up to which it takes no memory of the pool while it is buffered.
const MAX_FREE_EVENT_BYTES: usize = 4 << 10;

/// Task of one request.
#[derive(Debug)]
pub struct CallDriver {
    core: Rc<Core>,
    call: CallId,
    names: Rc<HeaderNames>,
    template: RequestTemplate,
    reply: Option<oneshot::Sender<Response<ResponseBody>>>,
    /// Stream to the caller; `None` before its first event and after its end.
    events: Option<mpsc::Sender<StreamPiece>>,
    /// Reserved place for the end of the stream, so that it is sent without waiting for a slow caller.
    end: Option<mpsc::OwnedPermit<StreamPiece>>,
    /// Complete response of the last attempt, until the reducer decides whether to deliver it.
    buffered: Option<UpstreamResponse>,
    /// Number of the last event that the caller has received.
    last_event: Option<u64>,
    /// What the head of the stream to the caller says; `None` before its first event.
    stream_kind: Option<StreamKind>,
}

/// What the head of a stream says. A response that goes on with the stream says the same.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StreamKind {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl StreamKind {
    fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        Self { status, content_type: headers.get(CONTENT_TYPE).cloned() }
    }
}

impl CallDriver {
    /// Creates the driver of a request. The response is sent through `reply`; `last_event` is the
    /// number of the last event that the client has received, if it resumes a stream.
    pub fn new(
        core: Rc<Core>,
        call: CallId,
        names: Rc<HeaderNames>,
        template: RequestTemplate,
        last_event: Option<u64>,
        reply: oneshot::Sender<Response<ResponseBody>>,
    ) -> Self {
        let reply = Some(reply);
        Self {
            core,
            call,
            names,
            template,
            reply,
            events: None,
            end: None,
            buffered: None,
            last_event,
            stream_kind: None,
        }
    }

    /// Runs until the request has ended or the caller has disconnected.
    pub async fn run(mut self, mut directives: mpsc::UnboundedReceiver<Directive>) {
        loop {
            let directive = tokio::select! {
                directive = directives.recv() => directive,
                () = disconnected(self.events.as_ref()) => return self.core.cancel_call(self.call),
            };
            let Some(directive) = directive else {
                return;
            };
            match directive {
                Directive::Dispatch(dispatch) => {
                    let attempt = self.run_attempt(&dispatch, &mut directives);
                    let Some(outcome) = attempt.await else {
                        self.core.cancel_call(self.call);
                        return;
                    };
                    let delivered = self.events.is_some();
                    self.core.end_attempt(self.call, outcome, self.last_event, delivered);
                }
                // The attempt ended before the directive arrived.
                Directive::Abandon => {}
                Directive::Refuse(refusal) => return self.respond(refusal_response(&refusal)),
                Directive::Deliver => {
                    if let Some(response) = self.buffered.take() {
                        self.respond(response.into_response());
                    }
                    return;
                }
                // The stream to the caller is broken off, as it ends without its end.
                Directive::Abort => return,
            }
        }
    }

    fn respond(&mut self, response: Response<ResponseBody>) {
        if let Some(reply) = self.reply.take() {
            // Sending fails only if the caller has disconnected; the response is then discarded.
            drop(reply.send(response));
        }
    }

    /// Runs one attempt; returns `None` if the caller has disconnected.
    async fn run_attempt(
        &mut self,
        dispatch: &Dispatch,
        directives: &mut mpsc::UnboundedReceiver<Directive>,
    ) -> Option<AttemptOutcome> {
        self.buffered = None;
        let Some(left_ms) = dispatch.time_left(self.core.now()) else {
            return Some(AttemptOutcome::NotRun(NotRun::Expired));
        };
        let deadline = Instant::now() + Duration::from(left_ms);
        let limits = AttemptLimits { deadline, pause_timeout: dispatch.pause_timeout_ms.into() };
        let events = self.events.clone();
        let outcome = tokio::select! {
            outcome = self.exchange(dispatch, &limits) => outcome,
            () = disconnected(events.as_ref()) => return None,
            () = abandoned(directives) => fault(ResponseFault::Silent),
        };
        let late = Instant::now().checked_duration_since(deadline);
        match outcome {
            ExchangeOutcome::CallerGone => None,
            ExchangeOutcome::Ended(AttemptOutcome::Unknown(ResponseFault::Silent))
                if let Some(late) = late =>
            {
                self.core.metrics.record_deadline_delay(late);
                Some(AttemptOutcome::Unknown(ResponseFault::TimedOut))
            }
            ExchangeOutcome::Ended(outcome) => Some(outcome),
        }
    }

    async fn exchange(&mut self, dispatch: &Dispatch, limits: &AttemptLimits) -> ExchangeOutcome {
        let names = Rc::clone(&self.names);
        let (notice, sent) = send(&self.template, dispatch, &names, limits.deadline).await;
        if !notice.is_empty() || self.core.is_limited(self.call) {
            self.core.apply(GatewayEvent::UpstreamNoticed { call: self.call, notice });
        }
        let open = match sent {
            Ok(open) => open,
            Err(outcome) => return ExchangeOutcome::Ended(outcome),
        };
        let is_stream = dispatch.streaming && open.response.status().is_success();
        if is_stream {
            if is_low_confidence(&open, dispatch, &names) {
                return ExchangeOutcome::Ended(AttemptOutcome::Weak);
            }
            return self.relay(open, limits).await;
        }
        ExchangeOutcome::Ended(self.collect(dispatch, open, limits).await)
    }

    /// Reads and buffers a complete response.
    async fn collect(
        &mut self,
        dispatch: &Dispatch,
        open: OpenResponse,
        limits: &AttemptLimits,
    ) -> AttemptOutcome {
        let OpenResponse { response, connection: _connection } = open;
        let (parts, body) = response.into_parts();
        let within = limits.deadline.saturating_duration_since(Instant::now());
        let memory = self.core.memory();
        let collected =
            collect_within(body, MAX_RESPONSE_BYTES, memory, MemoryKind::Response, within);
        let collected = timeout_at(limits.deadline, collected);
        let body = match collected.await {
            Err(_elapsed) => return AttemptOutcome::Unknown(ResponseFault::Silent),
            Ok(Err(CollectError::Broken)) => return AttemptOutcome::Unknown(ResponseFault::Closed),
            Ok(Err(error @ (CollectError::TooLong | CollectError::NoMemory))) => {
                warn!(upstream:% = dispatch.upstream, reason:% = error; "response is given up");
                return AttemptOutcome::Unknown(ResponseFault::Garbled);
            }
            Ok(Ok(body)) => body,
        };
        let status = parts.status;
        self.buffered = Some(UpstreamResponse { status, headers: parts.headers, body });
        if status.is_success() {
            AttemptOutcome::Served
        } else {
            AttemptOutcome::Failed { status: status.as_u16() }
        }
    }

    /// Forwards a stream to the caller, event by event.
    async fn relay(&mut self, open: OpenResponse, limits: &AttemptLimits) -> ExchangeOutcome {
        let OpenResponse { response: upstream, connection: _connection } = open;
        let (parts, mut body) = upstream.into_parts();
        if !self.continues(&StreamKind::of(parts.status, &parts.headers)) {
            return fault(ResponseFault::Garbled);
        }
        let is_framed = is_framed(&parts.headers);
        let mut splitter = EventSplitter::default();
        let mut head = Some((parts.status, parts.headers));
        let mut read_deadline = limits.deadline;
        // When the next progress is to be reported; `None` before the first event and after that.
        let mut report_progress_at = None;
        let mut pace = StreamPace::default();
        loop {
            let read = tokio::select! {
                read = next_bytes(&mut body, read_deadline.min(limits.deadline)) => read,
                () = disconnected(self.events.as_ref()) => return ExchangeOutcome::CallerGone,
            };
            match read {
                Ok(Some(bytes)) => splitter.push(&bytes),
                Ok(None) if !splitter.partial().is_empty() => return fault(ResponseFault::Closed),
                Ok(None) if head.is_some() && !(is_framed && self.is_resumed()) => {
                    return fault(ResponseFault::Closed);
                }
                Ok(None) => {
                    if let Some((status, headers)) = head.take() {
                        self.start_stream(status, headers);
                    }
                    if let Some(gap_us) = pace.end() {
                        self.core.apply(GatewayEvent::StreamPaced { call: self.call, gap_us });
                    }
                    self.end_stream();
                    return ExchangeOutcome::Ended(AttemptOutcome::Served);
                }
                Err(ResponseFault::Silent) if Instant::now() < limits.deadline => {
                    self.core.apply(GatewayEvent::Stalled { call: self.call });
                    read_deadline = Instant::now() + limits.pause_timeout;
                    continue;
                }
                Err(reason) => return fault(reason),
            }
            loop {
                let event = match splitter.next_event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(_too_long) => return fault(ResponseFault::Garbled),
                };
                let id = event_id(&event);
                if !self.is_next(id, &event) {
                    return fault(ResponseFault::Garbled);
                }
                if let Some((status, headers)) = head.take() {
                    self.start_stream(status, headers);
                    report_progress_at = Some(Instant::now() + Duration::from(PROVEN_AFTER_MS));
                }
                let has_progressed = is_progress(&event);
                if has_progressed && let Some(gap_us) = pace.add_event(Instant::now()) {
                    self.core.apply(GatewayEvent::StreamPaced { call: self.call, gap_us });
                }
                match timeout_at(limits.deadline, self.forward(event, id, limits.deadline)).await {
                    Ok(Forwarded::Sent) => {}
                    Ok(Forwarded::CallerGone) => return ExchangeOutcome::CallerGone,
                    Ok(Forwarded::NoMemory) => {
                        warn!(reason:% = CollectError::NoMemory; "response is given up");
                        return fault(ResponseFault::Garbled);
                    }
                    // The caller does not read.
                    Err(_elapsed) => return fault(ResponseFault::TimedOut),
                }
                if has_progressed {
                    let now = Instant::now();
                    read_deadline = now + limits.pause_timeout;
                    if report_progress_at.take_if(|at| now >= *at).is_some() {
                        self.core.apply(GatewayEvent::Progressed { call: self.call });
                    }
                }
            }
        }
    }

    /// Returns whether a response may go on with the stream that the caller has begun to receive.
    /// Without numbers of events it cannot be known where it goes on.
    fn continues(&self, kind: &StreamKind) -> bool {
        let known = self.stream_kind.as_ref();
        known.is_none_or(|known| known == kind && self.last_event.is_some())
    }

    /// Returns whether the caller has received a part of the stream, from this response or before its
    /// request, so that nothing may be left of it.
    const fn is_resumed(&self) -> bool {
        self.events.is_some() || self.last_event.is_some()
    }

    /// Returns whether an event directly follows the last one that the caller has received. Once
    /// events have numbers, only comments come without.
    fn is_next(&self, id: Option<u64>, event: &[u8]) -> bool {
        match (id, self.last_event) {
            (Some(id), Some(last)) => id == last + 1,
            (None, Some(_)) => !is_progress(event),
            (_, None) => true,
        }
    }

    /// Reports the first event, and sends the head of the response unless an earlier attempt did.
    fn start_stream(&mut self, status: StatusCode, headers: HeaderMap) {
        self.stream_kind.get_or_insert_with(|| StreamKind::of(status, &headers));
        self.core.apply(GatewayEvent::FirstEvent { call: self.call });
        if self.events.is_some() {
            // A resumed stream: the caller has received the head from an earlier attempt.
            return;
        }
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS + 1);
        self.end = sender.clone().try_reserve_owned().ok();
        self.events = Some(sender);
        self.respond(forwarded_response(status, headers, ResponseBody::Stream(receiver)));
    }

    /// Completes the stream to the caller.
    fn end_stream(&mut self) {
        self.events = None;
        if let Some(end) = self.end.take() {
            end.send(StreamPiece::End);
        }
    }

    /// Sends an event to the caller. A large one waits for memory.
    async fn forward(&mut self, mut event: Bytes, id: Option<u64>, deadline: Instant) -> Forwarded {
        if event.len() > MAX_FREE_EVENT_BYTES {
            let mut hold = self.core.memory().hold(MemoryKind::Response);
            let within = deadline.saturating_duration_since(Instant::now());
            if !hold.take(event.len(), within).await {
                return Forwarded::NoMemory;
            }
            event = hold.attach(event);
        }
        let Some(events) = &self.events else {
            return Forwarded::CallerGone;
        };
        if events.send(StreamPiece::Event(event)).await.is_err() {
            return Forwarded::CallerGone;
        }
        if id.is_some() {
            self.last_event = id;
        }
        Forwarded::Sent
    }
}

/// What became of an event for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Forwarded {
    Sent,
    CallerGone,
    NoMemory,
}

/// Time limits of an attempt.
#[derive(Debug)]
struct AttemptLimits {
    deadline: Instant,
    /// Gap between events of a stream after which it is reported as stalled.
    pause_timeout: Duration,
}

/// Result of an exchange with an upstream.
#[derive(Debug)]
enum ExchangeOutcome {
    Ended(AttemptOutcome),
    CallerGone,
}

/// Returns whether the confidence score of a response is below the minimum. A response without a
/// score is accepted.
fn is_low_confidence(open: &OpenResponse, dispatch: &Dispatch, names: &HeaderNames) -> bool {
    let confidence = open.response.headers().get(&names.confidence);
    let confidence = confidence.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    match (confidence, dispatch.min_confidence) {
        (Some(confidence), Some(minimum)) => confidence < f64::from(minimum),
        _ => false,
    }
}

/// Returns whether the end of a response is marked. Otherwise it ends with its connection, so that a
/// response without any event may have been broken off.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

const fn fault(reason: ResponseFault) -> ExchangeOutcome {
    ExchangeOutcome::Ended(AttemptOutcome::Unknown(reason))
}

/// Waits for the directive to cancel the attempt, the only one that is sent during an attempt.
/// Never returns once the channel is closed.
async fn abandoned(directives: &mut mpsc::UnboundedReceiver<Directive>) {
    while let Some(directive) = directives.recv().await {
        if matches!(directive, Directive::Abandon) {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Waits until the caller closes the stream; never returns before a stream has started.
async fn disconnected(events: Option<&mpsc::Sender<StreamPiece>>) {
    match events {
        Some(events) => events.closed().await,
        None => std::future::pending().await,
    }
}

async fn next_bytes(
    body: &mut Incoming,
    deadline: Instant,
) -> Result<Option<Bytes>, ResponseFault> {
    loop {
        match timeout_at(deadline, body.frame()).await {
            Err(_elapsed) => return Err(ResponseFault::Silent),
            Ok(None) => return Ok(None),
            Ok(Some(Err(_error))) => return Err(ResponseFault::Closed),
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
        }
    }
}
