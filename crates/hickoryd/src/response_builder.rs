//! Converts a response of the entry reducer into an HTTP response.

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use hickorydoor::Refusal;
use hickorydoor::entry::effect::ResponseHead;
use http::HeaderValue;
use http::StatusCode;
use http::header::CACHE_CONTROL;
use http::header::CONTENT_TYPE;
use tokio::sync::mpsc;

use crate::api_error::refusal_response;
use crate::caller_guard::CallerGuard;
use crate::caller_response::BodyEvent;
use crate::completion_stream::completion_to_stream;
use crate::response_body::EntryResponseBody;
use crate::response_header;

/// A body that is not streamed is buffered up to this size and sent with a content length. A longer
/// one is sent with chunked encoding.
const MAX_COLLECTED_BYTES: usize = 8 << 20;

/// How the caller wants to receive the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamOptions {
    /// Set if the response is to be streamed as server-sent events.
    pub stream: bool,
    /// Set if the stream is to end with an event that reports the token usage.
    pub include_usage: bool,
}

/// Outcome of buffering a body.
enum Collected {
    Complete(Bytes),
    Aborted(Refusal),
    TooLong(Vec<Bytes>),
}

/// Builds the HTTP response after its head has arrived from the reducer.
pub async fn build_response(
    head: ResponseHead,
    mut events: mpsc::UnboundedReceiver<BodyEvent>,
    mut guard: CallerGuard,
    options: StreamOptions,
) -> Response {
    if head.stream {
        let body = EntryResponseBody::new(Vec::new(), events, guard, true);
        return with_head(&head, Body::new(body));
    }
    match collect(&mut events, &guard).await {
        Collected::Complete(body) => {
            guard.disarm();
            complete_response(&head, body, options)
        }
        Collected::Aborted(refusal) => {
            guard.disarm();
            refusal_response(Some(&head.request), &refusal)
        }
        Collected::TooLong(buffered) => {
            with_head(&head, Body::new(EntryResponseBody::new(buffered, events, guard, false)))
        }
    }
}

/// Builds the response for a complete body. A cascade rates an answer before releasing it, so its
/// body is complete even if the caller requested a stream; it is then converted into events.
fn complete_response(head: &ResponseHead, body: Bytes, options: StreamOptions) -> Response {
    let events = (options.stream && head.status == StatusCode::OK)
        .then(|| completion_to_stream(&body, options.include_usage))
        .flatten();
    let Some(events) = events else {
        return with_head(head, Body::from(body));
    };
    let mut response = with_head(head, Body::from(events));
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, event_stream);
    response
}

async fn collect(
    events: &mut mpsc::UnboundedReceiver<BodyEvent>,
    guard: &CallerGuard,
) -> Collected {
    let mut collected: Vec<Bytes> = Vec::new();
    let mut length = 0;
    while let Some(event) = events.recv().await {
        match event {
            BodyEvent::Data(data) => {
                guard.report_read(data.len());
                length += data.len();
                collected.push(data);
            }
            BodyEvent::End => return Collected::Complete(concat(collected)),
            BodyEvent::Abort(refusal) => return Collected::Aborted(refusal),
        }
        if length > MAX_COLLECTED_BYTES {
            break;
        }
    }
    Collected::TooLong(collected)
}

fn concat(mut chunks: Vec<Bytes>) -> Bytes {
    match chunks.len() {
        1 => chunks.remove(0),
        _ => chunks.concat().into(),
    }
}

fn with_head(head: &ResponseHead, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::try_from(head.content_type.as_str()) {
        headers.insert(CONTENT_TYPE, content_type);
    }
    if head.stream {
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    }
    if let Ok(request) = HeaderValue::try_from(head.request.to_string()) {
        headers.insert(response_header::REQUEST_ID, request);
    }
    let version = head.version.as_ref().map(|version| HeaderValue::try_from(version.as_str()));
    if let Some(Ok(version)) = version {
        headers.insert(response_header::VERSION, version);
    }
    if head.session_moved {
        headers.insert(response_header::SESSION_MOVED, HeaderValue::from_static("true"));
    }
    response
}
