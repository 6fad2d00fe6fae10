//! HTTP port for callers: reads requests and starts a task for each.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hickorydoor::DurationMs;
use hickorydoor::gateway::call::Call;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::call::Prompt;
use hickorydoor::gateway::call::PromptPart;
use hickorydoor::gateway::refusal::RefusalReason;
use hickorydoor::memory::MemoryBudget;
use hickorydoor::memory::MemoryKind;
use hickorydoor::quantity::ByteCount;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::Version;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use log::warn;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::accept_queue;
use crate::body_collector::CollectError;
use crate::body_collector::collect_within;
use crate::gateway::call_driver::CallDriver;
use crate::gateway::connection::accept;
use crate::gateway::connection_trace::ConnectionEnd;
use crate::gateway::connection_trace::ConnectionTrace;
use crate::gateway::core::Core;
use crate::gateway::header_names::HeaderNames;
use crate::gateway::port_phase::PortPhase;
use crate::gateway::port_phase::reached;
use crate::gateway::read_ahead::ReadAhead;
use crate::gateway::response::refusal_response;
use crate::gateway::response::text_response;
use crate::gateway::response_body::ResponseBody;
use crate::gateway::upstream_request::RequestTemplate;
use crate::lingering_close::LingeringClose;
use crate::memory_hold::MemoryHold;
use crate::memory_pool::MemoryPool;
use crate::write_timeout::WriteTimeout;

/// Maximum time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a connection that is to close has for a request that is under way, and time without a
/// new connection after which the port closes.
const QUIET_TIME: Duration = Duration::from_millis(200);
/// Added to the idle timeout, so that a caller that uses the whole timeout is not disconnected.
const IDLE_TIMEOUT_GRACE: Duration = Duration::from_secs(1);
/// Maximum time that a body waits for memory; a refusal is then sent within [`BODY_TIMEOUT`].
const BODY_WAIT: Duration = Duration::from_secs(9);
/// Maximum time that a connection on which something has arrived waits for memory.
const HEAD_WAIT: Duration = Duration::from_secs(5);
/// Response on a connection for which there is no memory.
const UNREAD_REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";
/// Part of the caller's deadline that is kept for sending a refusal.
const REFUSAL_MARGIN: Duration = Duration::from_millis(300);
/// Memory of a connection on which nothing has arrived.
const CONNECTION_BYTES: usize = 4 << 10;
/// Additional memory from the first byte on: the buffers of hyper and the tasks of a request.
const ACTIVE_CONNECTION_BYTES: usize = 28 << 10;
/// Time without a read after which a caller that keeps others waiting is disconnected.
const WRITE_STALL_TIME: Duration = Duration::from_secs(3);
/// Minimum size of the read buffer of a connection.
const MIN_READ_BUFFER_BYTES: usize = 16 << 10;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Accepts callers until the port is closed and no more connections arrive, or until its end. All
/// connections are counted when this returns.
pub async fn serve(
    listener: TcpListener,
    core: Rc<Core>,
    names: Rc<HeaderNames>,
    mut phase: watch::Receiver<PortPhase>,
) {
    let connection_phase = phase.clone();
    let start = |stream, hold| {
        let count = core.count_connection();
        let (core, names) = (Rc::clone(&core), Rc::clone(&names));
        let connection = serve_connection(stream, hold, core, names, connection_phase.clone());
        spawn_local(async move {
            connection.await;
            drop(count);
        });
    };
    loop {
        tokio::select! {
            (stream, hold) = accept_admitted(&listener, core.memory()) => start(stream, hold),
            () = reached(&mut phase, PortPhase::Closed) => break,
        }
    }
    loop {
        let accepted = tokio::select! {
            accepted = timeout(QUIET_TIME, accept(&listener)) => accepted,
            () = reached(&mut phase, PortPhase::Ended) => break,
        };
        let Ok((stream, _peer)) = accepted else {
            break;
        };
        // Not limited: the system has accepted these, and they must be answered.
        start(stream, connection_hold(core.memory()));
    }
    for stream in accept_queue::close(listener) {
        start(stream, connection_hold(core.memory()));
    }
}

/// Creates the pool of the memory that is held for callers.
pub fn caller_memory(total_bytes: ByteCount, max_connections: u32) -> MemoryPool {
    let connections_bytes = u64::from(max_connections) * CONNECTION_BYTES as u64;
    let budget = MemoryBudget::new(total_bytes);
    MemoryPool::new(budget.with_connection_limit(ByteCount::new(connections_bytes)))
}

fn connection_hold(memory: &MemoryPool) -> MemoryHold {
    memory.hold(MemoryKind::Connection).paced()
}

/// Waits for memory and then for the next connection. Meanwhile connections that have long been idle
/// give way, and new ones wait in the queue of the system.
async fn accept_admitted(listener: &TcpListener, memory: &MemoryPool) -> (TcpStream, MemoryHold) {
    let mut hold = connection_hold(memory);
    while !hold.take(CONNECTION_BYTES, Duration::MAX).await {}
    let (stream, _peer) = accept(listener).await;
    (stream, hold)
}

/// Serves a connection, without any buffers before its first bytes have arrived.
async fn serve_connection(
    stream: TcpStream,
    hold: MemoryHold,
    core: Rc<Core>,
    names: Rc<HeaderNames>,
    phase: watch::Receiver<PortPhase>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(reason:% = error; "cannot set TCP_NODELAY; small writes may be delayed");
    }
    let idle_timeout = Duration::from(core.limits().idle_timeout_ms) + IDLE_TIMEOUT_GRACE;
    let mut active = core.memory().hold(MemoryKind::ActiveConnection).paced();
    hold.progress();
    let begun = async {
        tokio::select! {
            biased;
            readable = stream.readable() => readable.is_ok(),
            () = hold.evicted() => {
                matches!(timeout(QUIET_TIME, stream.readable()).await, Ok(Ok(())))
            }
        }
    };
    if timeout(idle_timeout, begun).await != Ok(true) {
        core.metrics.record_connection_end(ConnectionEnd::Idle.as_str());
        return;
    }
    hold.rest();
    if active.take(ACTIVE_CONNECTION_BYTES, HEAD_WAIT).await {
        active.progress();
        Box::pin(serve_requests(stream, active, core, names, phase)).await;
    } else {
        core.metrics.record_connection_end(ConnectionEnd::Refused.as_str());
        refuse_unread(stream).await;
    }
}

/// Rejects the request on a connection for which there is no memory, without reading it.
async fn refuse_unread(stream: TcpStream) {
    let mut stream = LingeringClose::new(stream);
    let refused = async {
        stream.write_all(UNREAD_REFUSAL).await?;
        stream.shutdown().await
    };
    if let Err(error) = refused.await {
        debug!(reason:% = error; "caller connection closed before its refusal");
    }
}

async fn serve_requests(
    stream: TcpStream,
    hold: MemoryHold,
    core: Rc<Core>,
    names: Rc<HeaderNames>,
    mut phase: watch::Receiver<PortPhase>,
) {
    let limits = core.limits();
    let trace = core.trace_connection(hold);
    let stream = WriteTimeout::new(stream, WRITE_STALL_TIME).while_contended(core.memory().clone());
    let stream = LingeringClose::new(ReadAhead::new(stream, Rc::clone(&trace)));
    let service = service_fn(|request: Request<Incoming>| {
        let (core, names, trace) = (Rc::clone(&core), Rc::clone(&names), Rc::clone(&trace));
        let attempt = header_text(request.headers(), &names.client_attempt);
        trace.begin_request(attempt.unwrap_or_default());
        let has_no_body = request.method() == Method::HEAD;
        async move {
            let response = handle(request, core, names).await;
            if has_no_body {
                trace.end_request();
            }
            Ok::<_, Infallible>(response.map(|body| body.traced(trace)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(limits.idle_timeout_ms) + IDLE_TIMEOUT_GRACE)
        .max_buf_size((limits.head_bytes.get() as usize).max(MIN_READ_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        tokio::select! {
            () = trace.evicted() => true,
            () = reached(&mut phase, PortPhase::Closing) => false,
        }
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        is_evicted = closing => {
            // A request may have arrived that was not read yet; it is answered, which closes the
            // connection.
            match timeout(QUIET_TIME, connection.as_mut()).await {
                Ok(result) => result,
                // Only a part of a head has arrived.
                Err(_elapsed) if is_evicted && trace.requests() == 0 => Ok(()),
                Err(_elapsed) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    report_end(&core, &trace, &result);
}

/// Counts the end of a caller's connection, and logs it if a request has no whole response.
fn report_end(core: &Core, trace: &ConnectionTrace, result: &hyper::Result<()>) {
    let end = trace.end(result);
    core.metrics.record_connection_end(end.as_str());
    let reason = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
    let open_ms = core.now().since(trace.first_byte_at).get();
    if end == ConnectionEnd::Unanswered {
        warn!(
            connection = trace.number, request = trace.unanswered().unwrap_or_default().as_str(),
            requests = trace.requests(), open_ms = open_ms, stopping = core.is_stopping(),
            reason = reason.as_str();
            "caller connection ended in a request"
        );
    } else {
        debug!(
            connection = trace.number, end = end.as_str(), requests = trace.requests(),
            open_ms = open_ms, reason = reason.as_str();
            "caller connection ended"
        );
    }
}

async fn handle(
    request: Request<Incoming>,
    core: Rc<Core>,
    names: Rc<HeaderNames>,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    if parts.version < Version::HTTP_11 {
        // Without chunks, the caller could not tell a truncated response from a complete one.
        return text_response(505, "HTTP/1.1 is required".to_owned());
    }
    let limit_bytes = core.limits().body_bytes.get() as usize;
    let deadline = header_number(&parts.headers, &names.deadline_ms).map(Duration::from_millis);
    let within = deadline.map_or(BODY_WAIT, |at| at.saturating_sub(REFUSAL_MARGIN).min(BODY_WAIT));
    let body = collect_within(body, limit_bytes, core.memory(), MemoryKind::RequestBody, within);
    let read = tokio::select! {
        read = timeout(BODY_TIMEOUT, body) => Some(read),
        () = core.last_answers_due() => None,
    };
    let Some(read) = read else {
        return with_close_header(refusal_response(&RefusalReason::Stopping.into()));
    };
    let response = match read {
        Err(_elapsed) => text_response(408, "the request body took too long".to_owned()),
        Ok(Err(CollectError::TooLong)) => {
            text_response(413, "the request body is too long".to_owned())
        }
        Ok(Err(CollectError::NoMemory)) => {
            core.metrics.record_call(RefusalReason::NoMemory.code());
            return with_close_header(refusal_response(&RefusalReason::NoMemory.into()));
        }
        Ok(Err(CollectError::Broken)) => {
            text_response(400, "the request body is not complete".to_owned())
        }
        Ok(Ok(body)) => run_call(parts, body, &core, names).await,
    };
    if core.is_stopping() { with_close_header(response) } else { response }
}

/// Says in a response that its connection is closed after it.
fn with_close_header(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

async fn run_call(
    parts: Parts,
    body: Bytes,
    core: &Rc<Core>,
    names: Rc<HeaderNames>,
) -> Response<ResponseBody> {
    let call = parse_call(&parts, body.len() as u64, &names);
    let template = RequestTemplate::new(&parts, body, &names);
    let last_event = call.last_event;
    let (reply, response) = oneshot::channel();
    let (id, directives) = core.start_call(call);
    let driver = CallDriver::new(Rc::clone(core), id, names, template, last_event, reply);
    let task = spawn_local(driver.run(directives));
    let mut guard =
        CallTaskGuard { core: Rc::clone(core), call: id, task: Some(task.abort_handle()) };
    let response = response.await;
    guard.task = None;
    response.unwrap_or_else(|_closed| text_response(502, "the request was not answered".to_owned()))
}

/// Aborts the task of a request whose caller disconnects before the response starts.
#[derive(Debug)]
struct CallTaskGuard {
    core: Rc<Core>,
    call: CallId,
    task: Option<AbortHandle>,
}

impl Drop for CallTaskGuard {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            self.core.cancel_call(self.call);
        }
    }
}

fn parse_call(parts: &Parts, body_bytes: u64, names: &HeaderNames) -> Call {
    let headers = &parts.headers;
    let authority = parts.uri.host().or_else(|| header_text(headers, &header::HOST));
    let host = authority.unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    let model = header_text(headers, &names.model).filter(|model| *model != "*");
    Call {
        client_attempt: header_text(headers, &names.client_attempt).unwrap_or_default().into(),
        host: host.to_ascii_lowercase().into(),
        path: parts.uri.path().into(),
        key: header_text(headers, &names.key).map(CompactString::from),
        deadline_ms: header_number(headers, &names.deadline_ms).map(DurationMs::new),
        model: model.map(CompactString::from),
        prompt: parse_prompt(headers, names),
        last_event: header_number(headers, &names.last_event),
        session: header_text(headers, &names.session).map(CompactString::from),
        body_bytes,
    }
}

fn parse_prompt(headers: &HeaderMap, names: &HeaderNames) -> Prompt {
    let counts = header_text(headers, &names.tokens).unwrap_or_default();
    let mut counts = counts.split(',').map(|count| count.trim().parse().unwrap_or_default());
    let parts = header_text(headers, &names.prompt_parts).unwrap_or_default();
    let parse_part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    Prompt {
        tokens: counts.next().unwrap_or_default(),
        max_answer_tokens: counts.next().unwrap_or_default(),
        parts: parts.split(',').filter_map(parse_part).collect(),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.trim().parse().ok()
}
