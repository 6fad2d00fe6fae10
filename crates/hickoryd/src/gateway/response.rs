//! Responses to callers.

use bytes::Bytes;
use hickorydoor::gateway::refusal::CallRefusal;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;

use crate::gateway::response_body::ResponseBody;

/// A complete response of an upstream, held until the reducer decides whether to deliver it.
#[derive(Clone, Debug)]
pub struct UpstreamResponse {
    pub status: StatusCode,
    /// Headers as received, including hop-by-hop headers.
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl UpstreamResponse {
    /// Converts into the response for the caller.
    pub fn into_response(self) -> Response<ResponseBody> {
        forwarded_response(self.status, self.headers, ResponseBody::Whole(Full::new(self.body)))
    }
}

/// Builds a response with the end-to-end headers of an upstream; hyper sets the body length.
pub fn forwarded_response(
    status: StatusCode,
    mut headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Builds the response to a request that the gateway rejects, with a `retry-after` header in
/// seconds if the refusal has a retry hint.
pub fn refusal_response(refusal: &CallRefusal) -> Response<ResponseBody> {
    let body = format!("{{\"error\":\"{}\"}}", refusal.reason);
    let mut response = text_response(refusal.reason.status(), body);
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

/// Builds a plain-text response; an invalid status code becomes 500.
pub fn text_response(status: u16, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(Full::new(text.into())));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Removes the hop-by-hop headers, including those that the `connection` header lists.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let mut listed_names = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let listed = value.to_str().unwrap_or_default().split(',');
        listed_names
            .extend(listed.filter_map(|name| name.trim().parse::<header::HeaderName>().ok()));
    }
    for name in listed_names {
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
