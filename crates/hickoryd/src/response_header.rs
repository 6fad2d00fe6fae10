//! Names of the response headers of this project.

use http::HeaderName;

/// The version that answered.
pub const VERSION: HeaderName = HeaderName::from_static("x-hickorydoor-version");
/// The request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-hickorydoor-request-id");
/// Whether a refused request was run.
pub const RUN: HeaderName = HeaderName::from_static("x-hickorydoor-run");
/// Set when a session had to leave its version.
pub const SESSION_MOVED: HeaderName = HeaderName::from_static("x-hickorydoor-session-moved");
