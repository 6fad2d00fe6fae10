//! Answers to callers.

use bytes::Bytes;
use hickorydoor::gateway::refusal::CallRefusal;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;

use crate::gateway::answer_body::AnswerBody;

/// A whole answer of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl UpstreamAnswer {
    /// The answer for the caller.
    pub fn into_response(self) -> Response<AnswerBody> {
        response(self.status, self.headers, AnswerBody::Whole(Full::new(self.body)))
    }
}

/// An answer with the end-to-end headers of an upstream.
pub fn response(
    status: StatusCode,
    mut headers: HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    remove_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// An answer without an upstream.
pub fn refusal_response(refusal: &CallRefusal) -> Response<AnswerBody> {
    let body = format!("{{\"error\":\"{}\"}}", refusal.reason);
    let mut response = plain(refusal.reason.status(), body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = format!("{:.3}", retry_after_ms.as_f64() / 1_000.0);
        if let Ok(value) = HeaderValue::try_from(seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// An answer with a short text.
pub fn plain(status: u16, text: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Full::new(text.into())));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Removes the headers that concern one connection only.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let listed = value.to_str().unwrap_or_default().split(',');
        named.extend(listed.filter_map(|name| name.trim().parse::<header::HeaderName>().ok()));
    }
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
