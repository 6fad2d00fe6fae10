//! Turns an answer of the reducer into an HTTP response.

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
use crate::response_body::ResponseBody;
use crate::response_header;

/// Whole answers up to this size are sent with their length; longer ones are passed on in chunks.
const MAX_COLLECTED_BYTES: usize = 8 << 20;

/// How the caller wants its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamOptions {
    /// As server-sent events.
    pub stream: bool,
    /// With usage in the stream.
    pub include_usage: bool,
}

/// What became of a whole answer.
enum Collected {
    Whole(Bytes),
    Cut(Refusal),
    TooLong(Vec<Bytes>),
}

/// The response for an answer whose head has arrived.
pub async fn build_response(
    head: ResponseHead,
    mut pieces: mpsc::UnboundedReceiver<BodyEvent>,
    mut guard: CallerGuard,
    wish: StreamOptions,
) -> Response {
    if head.stream {
        let body = ResponseBody::new(Vec::new(), pieces, guard, true);
        return with_head(&head, Body::new(body));
    }
    match collect(&mut pieces, &guard).await {
        Collected::Whole(answer) => {
            guard.end();
            whole_response(&head, answer, wish)
        }
        Collected::Cut(refusal) => {
            guard.end();
            refusal_response(Some(&head.request), &refusal)
        }
        Collected::TooLong(first) => {
            with_head(&head, Body::new(ResponseBody::new(first, pieces, guard, false)))
        }
    }
}

/// Answers of cascades are judged before they are released, so they arrive whole even when the
/// caller asked for a stream.
fn whole_response(head: &ResponseHead, answer: Bytes, wish: StreamOptions) -> Response {
    let events = (wish.stream && head.status == StatusCode::OK)
        .then(|| completion_to_stream(&answer, wish.include_usage))
        .flatten();
    let Some(events) = events else {
        return with_head(head, Body::from(answer));
    };
    let mut response = with_head(head, Body::from(events));
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, event_stream);
    response
}

async fn collect(
    pieces: &mut mpsc::UnboundedReceiver<BodyEvent>,
    guard: &CallerGuard,
) -> Collected {
    let mut collected: Vec<Bytes> = Vec::new();
    let mut length = 0;
    while let Some(piece) = pieces.recv().await {
        match piece {
            BodyEvent::Data(data) => {
                guard.read(data.len());
                length += data.len();
                collected.push(data);
            }
            BodyEvent::End => return Collected::Whole(join(collected)),
            BodyEvent::Cut(refusal) => return Collected::Cut(refusal),
        }
        if length > MAX_COLLECTED_BYTES {
            break;
        }
    }
    Collected::TooLong(collected)
}

fn join(mut pieces: Vec<Bytes>) -> Bytes {
    match pieces.len() {
        1 => pieces.remove(0),
        _ => pieces.concat().into(),
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
