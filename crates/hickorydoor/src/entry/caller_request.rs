//! Requests as the HTTP front of an entry hands them to the reducer.

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

/// A chat completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatRequest {
    /// Model or cascade as the caller named it.
    pub model: CompactString,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the caller asked for usage in the stream.
    pub include_usage: bool,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Largest number of answer tokens, if the caller set one.
    pub max_tokens: Option<Tokens>,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
    /// The JSON body as sent.
    pub body: Bytes,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRequest {
    /// The service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query below the service's root.
    pub path: CompactString,
    /// Content type of the body.
    pub content_type: Option<CompactString>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The body.
    pub body: Bytes,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestPayload {
    /// A chat completion.
    Chat(ChatRequest),
    /// A call to a plain service.
    Service(ServiceRequest),
}

/// A request that arrived at an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// The HTTP exchange that waits for the answer.
    pub caller: CallerId,
    /// Digest of the API key.
    pub key: KeyDigest,
    /// The caller's session.
    pub session: Option<SessionId>,
    /// The class that the caller asked for.
    pub class: Class,
    /// The caller's deadline; the configured default if absent.
    pub deadline_ms: Option<DurationMs>,
    /// What is asked for.
    pub payload: RequestPayload,
}
