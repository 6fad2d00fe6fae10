//! Errors that the HTTP API returns without passing the request to the reducer.

use std::fmt;

use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;
use hickorydoor::Refusal;
use hickorydoor::id::RequestId;
use hickorydoor::refusal::RefusalReason;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http::header::WWW_AUTHENTICATE;
use serde_json::Value;

use crate::chat_body::ChatBodyError;
use crate::error_body::error_body;
use crate::error_body::error_json;
use crate::error_body::error_type;
use crate::response_header;

/// Reason why the HTTP API rejects a request. No such request was executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiError {
    /// No bearer key was sent, or no customer or operator has this key.
    UnknownKey,
    /// The body is not a chat completion.
    InvalidBody(ChatBodyError),
    /// The body exceeds the limit of the configuration.
    BodyTooLong {
        /// Largest allowed size.
        limit_bytes: usize,
    },
    /// The body was not received completely before the timeout, or the connection failed.
    BodyIncomplete,
    /// The value of a header is invalid.
    InvalidHeader {
        /// Name of the header.
        name: &'static str,
        /// Allowed values, worded to follow "must be".
        allowed: &'static str,
    },
    /// The caller speaks HTTP/1.0, in which it could not tell a truncated response from a complete
    /// one.
    UnsupportedVersion,
    /// No resource has this path.
    UnknownPath,
    /// The resource does not support this method.
    MethodNotAllowed,
    /// The limit of concurrent requests of this host is reached.
    Overloaded,
    /// This host has not received a configuration yet.
    NotConfigured,
}

impl ApiError {
    const fn status(&self) -> StatusCode {
        match self {
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::InvalidBody(_) | Self::InvalidHeader { .. } => StatusCode::BAD_REQUEST,
            Self::BodyTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Self::UnsupportedVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::Overloaded | Self::NotConfigured => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    const fn code(&self) -> &'static str {
        match self {
            Self::UnknownKey => RefusalReason::UnknownKey.code(),
            Self::InvalidBody(_) => "invalid_body",
            Self::BodyTooLong { .. } => "body_too_long",
            Self::BodyIncomplete => "body_incomplete",
            Self::InvalidHeader { .. } => "invalid_header",
            Self::UnsupportedVersion => "unsupported_version",
            Self::UnknownPath => "unknown_path",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::Overloaded => "overloaded",
            Self::NotConfigured => "not_configured",
        }
    }

    const fn param(&self) -> Option<&'static str> {
        match self {
            Self::InvalidBody(error) => error.param(),
            Self::InvalidHeader { name, .. } => Some(name),
            _ => None,
        }
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownKey => RefusalReason::UnknownKey.fmt(f),
            Self::InvalidBody(error) => error.fmt(f),
            Self::BodyTooLong { limit_bytes } => {
                write!(f, "the body is longer than {limit_bytes} bytes")
            }
            Self::BodyIncomplete => f.write_str("the body did not arrive completely"),
            Self::InvalidHeader { name, allowed } => {
                write!(f, "the header {name} must be {allowed}")
            }
            Self::UnsupportedVersion => f.write_str("HTTP/1.1 is required"),
            Self::UnknownPath => f.write_str("there is no resource with this path"),
            Self::MethodNotAllowed => f.write_str("this path does not take this method"),
            Self::Overloaded => f.write_str("too many requests are open at this host"),
            Self::NotConfigured => f.write_str("this host has no configuration yet"),
        }
    }
}

impl std::error::Error for ApiError {}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let status = self.status();
        let body =
            error_json(&self.to_string(), error_type(status.as_u16()), self.param(), self.code());
        let mut response = json_response(status, &body);
        let headers = response.headers_mut();
        headers.insert(response_header::RUN, HeaderValue::from_static("not-run"));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        if status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}

pub fn json_response(status: StatusCode, body: &Value) -> Response {
    let mut response = Response::new(Body::from(body.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds the response to a request that the reducer rejected.
pub fn refusal_response(request: Option<&RequestId>, refusal: &Refusal) -> Response {
    let status = StatusCode::from_u16(refusal.reason.status());
    let status = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = json_response(status, &error_body(refusal));
    let headers = response.headers_mut();
    if let Ok(run) = HeaderValue::try_from(refusal.run.to_string()) {
        headers.insert(response_header::RUN, run);
    }
    if let Some(Ok(request)) = request.map(|id| HeaderValue::try_from(id.to_string())) {
        headers.insert(response_header::REQUEST_ID, request);
    }
    if let Some(wait_ms) = refusal.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(wait_ms.get().div_ceil(1000).max(1)));
    }
    response
}
