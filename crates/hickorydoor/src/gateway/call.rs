//! A caller's request as the reducer sees it, without its body.

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::time::DurationMs;

/// Number of a request, unique within one incarnation of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

impl std::fmt::Display for CallId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// A part of a prompt; requests can share parts, which engines cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content: equal parts of different requests have the same id.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Size and parts of the prompt of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Total length of the prompt in tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_answer_tokens: u32,
    /// Parts in order; the last one belongs to this request or its session alone.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl Prompt {
    /// Returns the number of tokens that no other request shares.
    pub fn own_tokens(&self) -> u32 {
        let shared: u32 = self.shared_parts().iter().map(|part| part.tokens).sum();
        self.tokens.saturating_sub(shared)
    }

    /// Returns the parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        match self.parts.split_last() {
            Some((_own, shared)) => shared,
            None => &[],
        }
    }

    /// Returns the ids of the first `limit` shared parts in hexadecimal, separated by commas.
    pub fn shared_part_ids(&self, limit: usize) -> CompactString {
        let parts = self.shared_parts().iter().take(limit);
        let ids: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
        ids.join(",").into()
    }
}

/// A caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Id that the caller gave to this attempt. Its hash selects the backend and, for requests
    /// without a session, the side of a rollout.
    pub client_attempt: CompactString,
    /// Host name in lower case, without a port.
    pub host: CompactString,
    /// Path without the query.
    pub path: CompactString,
    /// API key; `None` if the request has none.
    pub key: Option<CompactString>,
    /// Time that the caller waits for the response; `None` if it states no limit.
    pub deadline_ms: Option<DurationMs>,
    /// Model that the caller requests; `None` where the gateway chooses one.
    pub model: Option<CompactString>,
    /// Prompt; empty for plain services.
    pub prompt: Prompt,
    /// Number of the last stream event that the caller has received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Session that the request belongs to; a session keeps its version during a rollout.
    pub session: Option<CompactString>,
    /// Length of the body in bytes.
    pub body_bytes: u64,
}
