//! Sends one attempt to an upstream, on a connection of its own.
//!
//! The connection is opened for the attempt and closed after its response. So a late response to an
//! earlier request cannot be mistaken for the response to this one, and closing the connection
//! cancels the work at the upstream.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use hickorydoor::gateway::effect::Dispatch;
use hickorydoor::gateway::effect::MIN_ATTEMPT_MS;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::NotRun;
use hickorydoor::gateway::event::ResponseFault;
use hickorydoor::gateway::upstreams::UpstreamNotice;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use log::debug;
use log::info;
use log::warn;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::gateway::connection::ConnectionGuard;
use crate::gateway::connection::client_handshake;
use crate::gateway::header_names::HeaderNames;
use crate::gateway::response::remove_hop_by_hop_headers;
use crate::upstream_notice::read_notice;

/// The part of a caller's request that is forwarded in every attempt.
#[derive(Clone, Debug)]
pub struct RequestTemplate {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    client_attempt: Option<HeaderValue>,
}

/// A response of an upstream whose body is still to be read; dropping it closes the connection.
#[derive(Debug)]
pub struct OpenResponse {
    /// Head of the response, with its body.
    pub response: Response<Incoming>,
    /// Keeps the connection open while the body is read.
    pub connection: ConnectionGuard,
}

impl RequestTemplate {
    /// Copies a request without hop-by-hop headers and headers that only the gateway sets or reads.
    pub fn new(parts: &http::request::Parts, body: Bytes, names: &HeaderNames) -> Self {
        let client_attempt = parts.headers.get(&names.client_attempt).cloned();
        let mut headers = parts.headers.clone();
        remove_hop_by_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        for name in [
            &names.key,
            &names.customer,
            &names.expected_upstream,
            &names.priority,
            &names.deadline_ms,
            &names.last_event,
            &names.fetch_from,
        ] {
            headers.remove(name);
        }
        for name in &names.reserved {
            headers.remove(name);
        }
        let target = parts.uri.path_and_query().cloned();
        let uri = target.map_or_else(|| parts.uri.clone(), Uri::from);
        Self { method: parts.method.clone(), uri, headers, body, client_attempt }
    }

    fn build_request(
        &self,
        dispatch: &Dispatch,
        left: Duration,
        names: &HeaderNames,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let mut set = |name: &http::HeaderName, value: String| match HeaderValue::try_from(value) {
            Ok(value) => {
                headers.insert(name.clone(), value);
            }
            Err(error) => debug!(header:% = name, reason:% = error; "invalid header omitted"),
        };
        set(&names.deadline_ms, left.as_millis().to_string());
        set(&names.expected_upstream, dispatch.upstream.to_string());
        if let Some(customer) = &dispatch.customer {
            set(&names.customer, customer.to_string());
        }
        if let Some(model) = &dispatch.model {
            set(&names.model, model.to_string());
        }
        if let Some(source) = &dispatch.fetch_from {
            set(&names.fetch_from, source.to_string());
        }
        if dispatch.streaming {
            set(&names.priority, dispatch.priority.min(9).to_string());
        }
        if let Some(last_event) = dispatch.last_event {
            set(&names.last_event, last_event.to_string());
        }
        *request.headers_mut() = headers;
        request
    }

    /// Returns whether a response echoes the client's id of this request. A refusal without it may
    /// have been written for another one.
    fn is_named_by(&self, headers: &HeaderMap, names: &HeaderNames) -> bool {
        headers.get(&names.client_attempt) == self.client_attempt.as_ref()
    }

    /// Returns whether a response echoes the client's id of this request, or no id at all.
    fn matches_response(&self, headers: &HeaderMap, names: &HeaderNames) -> bool {
        let echoed = headers.get(&names.client_attempt);
        echoed.is_none() || echoed == self.client_attempt.as_ref()
    }
}

/// Sends a request and waits until `deadline` for the head of the response. Returns what the response
/// says of its upstream too.
///
/// # Errors
/// Fails with the outcome of the attempt if no response arrives that may be forwarded.
pub async fn send(
    template: &RequestTemplate,
    dispatch: &Dispatch,
    names: &HeaderNames,
    deadline: Instant,
) -> (UpstreamNotice, Result<OpenResponse, AttemptOutcome>) {
    match open(template, dispatch, names, deadline).await {
        Ok(open) => {
            let notice = notice_of(template, &open.response, names);
            let checked = check_head(template, &open.response, names).map(|()| open);
            (notice, checked)
        }
        Err(outcome) => (UpstreamNotice::default(), Err(outcome)),
    }
}

/// Reads what a response says of its upstream. One that belongs to another request or to another
/// instance at the address says nothing.
fn notice_of(
    template: &RequestTemplate,
    response: &Response<Incoming>,
    names: &HeaderNames,
) -> UpstreamNotice {
    let headers = response.headers();
    let status = response.status();
    if !template.matches_response(headers, names) || is_of_other_instance(response, names) {
        return UpstreamNotice::default();
    }
    read_notice(status, headers, &names.leaving, &names.limit)
}

/// Returns whether another instance at the address has rejected the request. A signed response without
/// the statement that the request was not run is one of the upstream itself, whatever its status.
fn is_of_other_instance(response: &Response<Incoming>, names: &HeaderNames) -> bool {
    let headers = response.headers();
    response.status() == StatusCode::MISDIRECTED_REQUEST
        && (headers.contains_key(&names.not_run) || !headers.contains_key(&names.signature))
}

async fn open(
    template: &RequestTemplate,
    dispatch: &Dispatch,
    names: &HeaderNames,
    deadline: Instant,
) -> Result<OpenResponse, AttemptOutcome> {
    let unreachable = AttemptOutcome::NotRun(NotRun::Unreachable);
    let connect_timeout = Duration::from(dispatch.connect_timeout_ms);
    let connected = timeout(connect_timeout, TcpStream::connect(dispatch.address)).await;
    let connected = connected.unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into()));
    let stream = connected.map_err(|error| {
        info!(upstream:% = dispatch.upstream, reason:% = error; "cannot connect to the upstream");
        unreachable
    })?;
    let Ok((sender, connection)) = client_handshake(stream).await else {
        return Err(unreachable);
    };
    // Opening the connection takes time, and so does waiting for the processor.
    let left = deadline.saturating_duration_since(Instant::now());
    if left < Duration::from(MIN_ATTEMPT_MS) {
        return Err(AttemptOutcome::NotRun(NotRun::Expired));
    }
    let sent = sender.send(template.build_request(dispatch, left, names));
    let response = match timeout_at(deadline, sent).await {
        Err(_elapsed) => return Err(AttemptOutcome::Unknown(ResponseFault::Silent)),
        Ok(Err(error)) if error.is_garbled() => {
            info!(upstream:% = dispatch.upstream, reason:% = error; "invalid response of the upstream");
            return Err(AttemptOutcome::Unknown(ResponseFault::Garbled));
        }
        Ok(Err(_error)) => return Err(AttemptOutcome::Unknown(ResponseFault::Closed)),
        Ok(Ok(response)) => response,
    };
    Ok(OpenResponse { response, connection })
}

fn check_head(
    template: &RequestTemplate,
    response: &Response<Incoming>,
    names: &HeaderNames,
) -> Result<(), AttemptOutcome> {
    let headers = response.headers();
    if !template.matches_response(headers, names) {
        return Err(AttemptOutcome::Unknown(ResponseFault::Garbled));
    }
    let refusal = if is_of_other_instance(response, names) {
        Some(NotRun::OtherInstance)
    } else {
        headers.contains_key(&names.not_run).then_some(NotRun::Refused)
    };
    if let Some(refusal) = refusal {
        if template.is_named_by(headers, names) {
            return Err(AttemptOutcome::NotRun(refusal));
        }
        warn!(status = response.status().as_u16(); "refusal names no request; it promises nothing");
        return Err(AttemptOutcome::Unknown(ResponseFault::Garbled));
    }
    let is_signed = headers.contains_key(&names.signature);
    if !is_signed || headers.contains_key(header::CONTENT_ENCODING) {
        return Err(AttemptOutcome::Unknown(ResponseFault::Garbled));
    }
    Ok(())
}
