//! Parsed requests that the HTTP front end of the daemon passes to the entry.

use bytes::Bytes;
use compact_str::CompactString;

use crate::class::Class;
use crate::id::CallerId;
use crate::id::IdempotencyKey;
use crate::id::ServiceName;
use crate::id::SessionId;
use crate::key_digest::KeyDigest;
use crate::quantity::Tokens;
use crate::time::DurationMs;

/// A chat completion request, with the fields that the entry needs besides the body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatRequest {
    /// Name of a model or cascade, as sent by the caller.
    pub model: CompactString,
    /// Whether the caller requested server-sent events instead of one JSON response.
    pub stream: bool,
    /// Whether the stream must end with the token usage.
    pub include_usage: bool,
    /// Estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum length of the answer; `None` if the caller set no maximum.
    pub max_tokens: Option<Tokens>,
    /// Hash of the prompt's prefix, used to reuse cached prefixes; 0 if there is none.
    pub prefix_hash: u64,
    /// The unmodified JSON body.
    pub body: Bytes,
}

/// A request to a plain service, which is not a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRequest {
    /// Name of the service, taken from the request path.
    pub service: ServiceName,
    /// HTTP method, which decides whether the request may be retried.
    pub method: CompactString,
    /// Path and query below the service's root.
    pub path: CompactString,
    /// Value of the `content-type` header, if present.
    pub content_type: Option<CompactString>,
    /// The caller's idempotency key, with which agents detect duplicates.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The unmodified request body.
    pub body: Bytes,
}

/// The part of a request that depends on the kind of upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestPayload {
    /// A chat completion by a model or cascade.
    Chat(ChatRequest),
    /// A request to a plain service.
    Service(ServiceRequest),
}

/// A request that arrived at an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Identifies the HTTP exchange that waits for the response.
    pub caller: CallerId,
    /// Digest of the API key.
    pub key: KeyDigest,
    /// Session that keeps the caller on one model version, if the caller named one.
    pub session: Option<SessionId>,
    /// Class that decides the default deadline and the order in queues.
    pub class: Class,
    /// Time from the arrival to the deadline; the configured default applies if `None`.
    pub deadline_ms: Option<DurationMs>,
    /// What to run.
    pub payload: RequestPayload,
}
