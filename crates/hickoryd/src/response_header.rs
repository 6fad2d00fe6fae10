//! Names of the response headers that an entry adds.

use http::HeaderName;

/// Version that produced the response.
pub const VERSION: HeaderName = HeaderName::from_static("x-hickorydoor-version");
/// Id of the request, for queries at the operator port.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-hickorydoor-request-id");
/// States whether a rejected request was executed: `not-run`, `run` or `unknown`.
pub const RUN: HeaderName = HeaderName::from_static("x-hickorydoor-run");
/// Set to `true` if the session was moved from its version to another one.
pub const SESSION_MOVED: HeaderName = HeaderName::from_static("x-hickorydoor-session-moved");
