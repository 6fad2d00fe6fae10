//! Stored form of claims of idempotency keys.
//!
//! A claim is a key in the key-value service that records which attempt may run a keyed call and,
//! once it has run, its response.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::id::AttemptId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::IdempotencyKey;
use crate::id::Incarnation;
use crate::message::ServiceCall;
use crate::time::TimeMs;

/// Size limit of a stored response body, before base64 encoding. The outcome of a call with a
/// larger body is unknown to retries.
pub const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// Response of a claimed call, which is replayed to retries.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status that the upstream returned.
    pub status: u16,
    /// Content type that the upstream returned; empty if it sent no response head.
    pub content_type: CompactString,
    /// Response body in standard base64 with padding.
    pub body_base64: String,
}

impl StoredResponse {
    /// Builds a response to store, or returns `None` if `body` exceeds [`MAX_RESPONSE_BYTES`].
    pub fn new(status: u16, content_type: CompactString, body: &[u8]) -> Option<Self> {
        let fits = body.len() <= MAX_RESPONSE_BYTES;
        fits.then(|| Self { status, content_type, body_base64: STANDARD.encode(body) })
    }

    /// Decoded body; empty if the stored base64 is invalid.
    pub fn body(&self) -> Bytes {
        STANDARD.decode(&self.body_base64).unwrap_or_default().into()
    }
}

/// Claim of an idempotency key by one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// Attempt that holds the claim, in the text form of an [`AttemptId`].
    pub attempt: CompactString,
    /// Host of the agent that made the claim.
    pub agent: HostId,
    /// Incarnation of that agent. A restarted agent does not hold the claims of its predecessor.
    pub incarnation: Incarnation,
    /// [`request_digest`] of the claimed call, which detects a key that is reused for another call.
    pub request_digest: CompactString,
    /// When the claim was made, on the clock of the agent.
    pub claimed_at_ms: TimeMs,
    /// `None` until the call has ended with a response that fits.
    pub response: Option<StoredResponse>,
}

impl Claim {
    /// Whether both claims belong to the same attempt at the same incarnation of an agent.
    pub fn is_same_holder(&self, other: &Self) -> bool {
        self.attempt == other.attempt
            && self.agent == other.agent
            && self.incarnation == other.incarnation
    }

    /// Whether this claim belongs to an earlier attempt of the same request. `false` if the stored
    /// attempt id cannot be parsed.
    pub fn precedes(&self, attempt: &AttemptId) -> bool {
        let holder: Option<AttemptId> = self.attempt.parse().ok();
        holder.is_some_and(|holder| {
            holder.request == attempt.request && holder.ordinal < attempt.ordinal
        })
    }

    /// Encodes the claim as JSON.
    pub fn encode(&self) -> Bytes {
        // Serialising a plain struct with string keys cannot fail.
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Digest of everything in a call that must be equal for two calls to be the same request: method,
/// path, content type and body.
pub fn request_digest(call: &ServiceCall) -> CompactString {
    let content_type = call.content_type.as_deref().unwrap_or_default();
    hex_digest(&[call.method.as_bytes(), call.path.as_bytes(), content_type.as_bytes(), &call.body])
}

/// Digest under which a key is stored. It includes the customer, so equal keys of different
/// customers do not collide.
pub fn key_digest(customer: &CustomerId, key: &IdempotencyKey) -> CompactString {
    hex_digest(&[customer.as_str().as_bytes(), key.as_str().as_bytes()])
}

fn hex_digest(parts: &[&[u8]]) -> CompactString {
    let mut hasher = Sha256::new();
    for part in parts {
        // The length prefix keeps the boundaries between parts unambiguous.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest.iter().map(|byte| compact_str::format_compact!("{byte:02x}")).collect()
}
