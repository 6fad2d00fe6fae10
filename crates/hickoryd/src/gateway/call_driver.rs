//! The task of one request: carries out the directives of the reducer until it is answered.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::effect::Dispatch;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::ResponseFault;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::event_splitter::EventSplitter;
use crate::event_splitter::event_id;
use crate::gateway::answer::UpstreamAnswer;
use crate::gateway::answer::refusal_response;
use crate::gateway::answer::response;
use crate::gateway::answer_body::AnswerBody;
use crate::gateway::core::Core;
use crate::gateway::core::Directive;
use crate::gateway::header_names::HeaderNames;
use crate::gateway::upstream_request::OpenAnswer;
use crate::gateway::upstream_request::RequestTemplate;
use crate::gateway::upstream_request::send;
use crate::response_body::ResponseTruncated;

/// Longest answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Events that wait for a slow caller.
const MAX_WAITING_EVENTS: usize = 64;

/// The task of one request.
#[derive(Debug)]
pub struct CallDriver {
    core: Rc<Core>,
    call: CallId,
    names: Rc<HeaderNames>,
    template: RequestTemplate,
    reply: Option<oneshot::Sender<Response<AnswerBody>>>,
    events: Option<mpsc::Sender<Result<Bytes, ResponseTruncated>>>,
    answer: Option<UpstreamAnswer>,
    last_event: Option<u64>,
}

impl CallDriver {
    /// A driver that answers through `reply`.
    pub fn new(
        core: Rc<Core>,
        call: CallId,
        names: Rc<HeaderNames>,
        template: RequestTemplate,
        last_event: Option<u64>,
        reply: oneshot::Sender<Response<AnswerBody>>,
    ) -> Self {
        let reply = Some(reply);
        Self { core, call, names, template, reply, events: None, answer: None, last_event }
    }

    /// Runs until the request is answered or the caller has left.
    pub async fn run(mut self, mut directives: mpsc::UnboundedReceiver<Directive>) {
        loop {
            let directive = tokio::select! {
                directive = directives.recv() => directive,
                () = closed(self.events.as_ref()) => return self.core.close(self.call),
            };
            let Some(directive) = directive else {
                return;
            };
            match directive {
                Directive::Dispatch(dispatch) => {
                    let attempt = self.attempt(&dispatch, &mut directives);
                    let Some(outcome) = attempt.await else {
                        self.core.close(self.call);
                        return;
                    };
                    let delivered = self.events.is_some();
                    self.core.end_attempt(self.call, outcome, self.last_event, delivered);
                }
                // The attempt has ended meanwhile.
                Directive::Abandon => {}
                Directive::Refuse(refusal) => return self.answer(refusal_response(&refusal)),
                Directive::Deliver => {
                    if let Some(answer) = self.answer.take() {
                        self.answer(answer.into_response());
                    }
                    return self.break_off().await;
                }
                Directive::Abort => return self.break_off().await,
            }
        }
    }

    fn answer(&mut self, response: Response<AnswerBody>) {
        if let Some(reply) = self.reply.take() {
            // A caller that has left needs no answer.
            drop(reply.send(response));
        }
    }

    /// Breaks off a stream that has not ended.
    async fn break_off(&mut self) {
        if let Some(events) = self.events.take() {
            drop(events.send(Err(ResponseTruncated)).await);
        }
    }

    /// Runs one attempt; `None` if the caller has left.
    async fn attempt(
        &mut self,
        dispatch: &Dispatch,
        directives: &mut mpsc::UnboundedReceiver<Directive>,
    ) -> Option<AttemptOutcome> {
        self.answer = None;
        let now = Instant::now();
        let over = now + Duration::from(dispatch.remaining_ms);
        let limits = Limits { over, pause: dispatch.pause_timeout_ms.into() };
        let events = self.events.clone();
        let outcome = tokio::select! {
            outcome = self.exchange(dispatch, &limits) => outcome,
            () = closed(events.as_ref()) => return None,
            () = abandoned(directives) => broken(ResponseFault::Silent),
        };
        match outcome {
            Exchange::CallerGone => None,
            Exchange::Ended(AttemptOutcome::Unknown(ResponseFault::Silent))
                if Instant::now() >= over =>
            {
                Some(AttemptOutcome::Unknown(ResponseFault::TimedOut))
            }
            Exchange::Ended(outcome) => Some(outcome),
        }
    }

    async fn exchange(&mut self, dispatch: &Dispatch, limits: &Limits) -> Exchange {
        let names = Rc::clone(&self.names);
        let open = match send(&self.template, dispatch, &names, limits.over).await {
            Ok(open) => open,
            Err(outcome) => return Exchange::Ended(outcome),
        };
        let is_stream = dispatch.streaming && open.response.status().is_success();
        if is_stream {
            if is_weak(&open, dispatch, &names) {
                return Exchange::Ended(AttemptOutcome::Weak);
            }
            return self.relay(open, limits).await;
        }
        Exchange::Ended(self.collect(open, limits).await)
    }

    /// Reads a whole answer.
    async fn collect(&mut self, open: OpenAnswer, limits: &Limits) -> AttemptOutcome {
        let OpenAnswer { response, connection: _connection } = open;
        let (parts, body) = response.into_parts();
        let collected = timeout_at(limits.over, Limited::new(body, MAX_ANSWER_BYTES).collect());
        let body = match collected.await {
            Err(_elapsed) => return AttemptOutcome::Unknown(ResponseFault::Silent),
            Ok(Err(_error)) => return AttemptOutcome::Unknown(ResponseFault::Closed),
            Ok(Ok(body)) => body.to_bytes(),
        };
        let status = parts.status;
        self.answer = Some(UpstreamAnswer { status, headers: parts.headers, body });
        if status.is_success() {
            AttemptOutcome::Served
        } else {
            AttemptOutcome::Failed { status: status.as_u16() }
        }
    }

    /// Passes on a stream, event by event.
    async fn relay(&mut self, open: OpenAnswer, limits: &Limits) -> Exchange {
        let OpenAnswer { response: upstream, connection: _connection } = open;
        let (parts, mut body) = upstream.into_parts();
        let mut splitter = EventSplitter::default();
        let mut head = Some((parts.status, parts.headers));
        let mut until = limits.over;
        loop {
            let read = tokio::select! {
                read = next_bytes(&mut body, until.min(limits.over)) => read,
                () = closed(self.events.as_ref()) => return Exchange::CallerGone,
            };
            match read {
                Ok(Some(bytes)) => splitter.push(&bytes),
                Ok(None) if !splitter.partial().is_empty() => return broken(ResponseFault::Closed),
                Ok(None) if head.is_some() && self.events.is_none() => {
                    return broken(ResponseFault::Closed);
                }
                Ok(None) => {
                    self.events = None;
                    return Exchange::Ended(AttemptOutcome::Served);
                }
                Err(reason) => return broken(reason),
            }
            loop {
                let event = match splitter.next_event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(_too_long) => return broken(ResponseFault::Garbled),
                };
                let id = event_id(&event);
                if !self.is_next(id) {
                    return broken(ResponseFault::Garbled);
                }
                if let Some((status, headers)) = head.take() {
                    self.start_stream(status, headers);
                }
                if !self.pass_on(event, id).await {
                    return Exchange::CallerGone;
                }
                until = Instant::now() + limits.pause;
            }
        }
    }

    /// Whether an event follows the last one that the caller has.
    fn is_next(&self, id: Option<u64>) -> bool {
        match (id, self.last_event) {
            (Some(id), Some(last)) => id == last + 1,
            _ => true,
        }
    }

    /// Sends the head of the answer before its first event.
    fn start_stream(&mut self, status: http::StatusCode, headers: http::HeaderMap) {
        self.core.apply(GatewayEvent::FirstEvent { call: self.call });
        if self.events.is_some() {
            // The caller has the head of the first upstream already.
            return;
        }
        let (sender, receiver) = mpsc::channel(MAX_WAITING_EVENTS);
        self.events = Some(sender);
        self.answer(response(status, headers, AnswerBody::Stream(receiver)));
    }

    async fn pass_on(&mut self, event: Bytes, id: Option<u64>) -> bool {
        let Some(events) = &self.events else {
            return false;
        };
        if events.send(Ok(event)).await.is_err() {
            return false;
        }
        if id.is_some() {
            self.last_event = id;
        }
        true
    }
}

/// When an attempt gives up.
#[derive(Debug)]
struct Limits {
    over: Instant,
    pause: Duration,
}

/// How an exchange with an upstream ended.
#[derive(Debug)]
enum Exchange {
    Ended(AttemptOutcome),
    CallerGone,
}

/// Whether the model thinks too little of its answer.
fn is_weak(open: &OpenAnswer, dispatch: &Dispatch, names: &HeaderNames) -> bool {
    let confidence = open.response.headers().get(&names.confidence);
    let confidence = confidence.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    match (confidence, dispatch.min_confidence) {
        (Some(confidence), Some(least)) => confidence < f64::from(least),
        _ => false,
    }
}

const fn broken(reason: ResponseFault) -> Exchange {
    Exchange::Ended(AttemptOutcome::Unknown(reason))
}

/// Waits for the directive to break off the attempt, the only one that comes during an attempt.
async fn abandoned(directives: &mut mpsc::UnboundedReceiver<Directive>) {
    while let Some(directive) = directives.recv().await {
        if matches!(directive, Directive::Abandon) {
            return;
        }
    }
    std::future::pending::<()>().await;
}

async fn closed(events: Option<&mpsc::Sender<Result<Bytes, ResponseTruncated>>>) {
    match events {
        Some(events) => events.closed().await,
        None => std::future::pending().await,
    }
}

async fn next_bytes(body: &mut Incoming, until: Instant) -> Result<Option<Bytes>, ResponseFault> {
    loop {
        match timeout_at(until, body.frame()).await {
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
