//! A caller's request as the reducer sees it, without its body.

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::time::DurationMs;

/// Number of a caller's request within one incarnation of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

impl std::fmt::Display for CallId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// A part of a prompt; requests share parts, and engines cache them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What the prompt of a request is made of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to read.
    pub tokens: u32,
    /// Tokens to generate at most.
    pub max_answer_tokens: u32,
    /// Parts in order; the last one belongs to the request or its session alone.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl Prompt {
    /// Tokens that no other request shares.
    pub fn own_tokens(&self) -> u32 {
        let shared: u32 = self.shared_parts().iter().map(|part| part.tokens).sum();
        self.tokens.saturating_sub(shared)
    }

    /// Parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        match self.parts.split_last() {
            Some((_own, shared)) => shared,
            None => &[],
        }
    }
}

/// A caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Id that the client gave this attempt.
    pub client_attempt: CompactString,
    /// Host name in lower case, without a port.
    pub host: CompactString,
    /// Path without the query.
    pub path: CompactString,
    /// API key.
    pub key: Option<CompactString>,
    /// How long the client waits.
    pub deadline_ms: Option<DurationMs>,
    /// Model that the client asks for; `None` where the gateway chooses one.
    pub model: Option<CompactString>,
    /// The prompt; empty for plain services.
    pub prompt: Prompt,
    /// Last event of a stream that the client has.
    pub last_event: Option<u64>,
    /// Session that the request belongs to.
    pub session: Option<CompactString>,
    /// Length of the body in bytes.
    pub body_bytes: u64,
}
