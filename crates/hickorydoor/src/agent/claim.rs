//! Claims of idempotency keys as they are stored.

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

/// Largest response body that a claim holds.
pub const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// A response that retries receive again.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: CompactString,
    /// The body in base64.
    pub body_base64: String,
}

impl StoredResponse {
    /// A response to store, or `None` if its body is too large.
    pub fn new(status: u16, content_type: CompactString, body: &[u8]) -> Option<Self> {
        let fits = body.len() <= MAX_RESPONSE_BYTES;
        fits.then(|| Self { status, content_type, body_base64: STANDARD.encode(body) })
    }

    /// The body; empty if the stored text is damaged.
    pub fn body(&self) -> Bytes {
        STANDARD.decode(&self.body_base64).unwrap_or_default().into()
    }
}

/// A claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that holds the claim.
    pub attempt: CompactString,
    /// The agent that holds the claim.
    pub agent: HostId,
    /// The incarnation of that agent.
    pub incarnation: Incarnation,
    /// Digest of the claimed request.
    pub request_digest: CompactString,
    /// When the claim was made, on the agent's clock.
    pub claimed_at_ms: TimeMs,
    /// The response, once known.
    pub response: Option<StoredResponse>,
}

impl Claim {
    /// Whether both claims belong to the same attempt at the same incarnation of an agent.
    pub fn is_same_holder(&self, other: &Self) -> bool {
        self.attempt == other.attempt
            && self.agent == other.agent
            && self.incarnation == other.incarnation
    }

    /// Whether this claim belongs to an earlier attempt of the same request.
    pub fn precedes(&self, attempt: &AttemptId) -> bool {
        let holder: Option<AttemptId> = self.attempt.parse().ok();
        holder.is_some_and(|holder| {
            holder.request == attempt.request && holder.ordinal < attempt.ordinal
        })
    }

    /// The stored form.
    pub fn encode(&self) -> Bytes {
        // Serialising plain structs with string keys cannot fail.
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Digest that tells two requests with the same key apart.
pub fn request_digest(call: &ServiceCall) -> CompactString {
    let content_type = call.content_type.as_deref().unwrap_or_default();
    hex_digest(&[call.method.as_bytes(), call.path.as_bytes(), content_type.as_bytes(), &call.body])
}

/// Digest of a key; keys of different customers never meet.
pub fn key_digest(customer: &CustomerId, key: &IdempotencyKey) -> CompactString {
    hex_digest(&[customer.as_str().as_bytes(), key.as_str().as_bytes()])
}

fn hex_digest(parts: &[&[u8]]) -> CompactString {
    let mut hasher = Sha256::new();
    for part in parts {
        // The length keeps the boundary between two parts.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest.iter().map(|byte| compact_str::format_compact!("{byte:02x}")).collect()
}
