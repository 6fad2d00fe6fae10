//! Which prompt parts an engine keeps, as far as the gateways know from their sends.
//!
//! A part is kept together with all parts before it and for one model, so it is named by a hash
//! over the model and the chain of parts. The least recently used parts yield when the engine's
//! memory is full.

use std::collections::HashMap;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::call::Prompt;
use crate::id::ModelId;
use crate::time::TimeMs;

/// Share of the engine's memory that kept parts may take; running requests take the rest.
const MEMORY_SHARE: f64 = 0.7;

/// A chain of prompt parts for one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainPart {
    /// Hash of the model and the parts up to this one.
    pub chain: u64,
    /// Tokens of the last part.
    pub tokens: u32,
}

/// The shared parts of a prompt as chains.
pub fn chains(model: &ModelId, prompt: &Prompt) -> SmallVec<[ChainPart; 4]> {
    let mut chain = xxh3_64(model.as_str().as_bytes());
    let extend = |part: &crate::gateway::call::PromptPart| {
        chain = xxh3_64_with_seed(&part.id.to_le_bytes(), chain);
        ChainPart { chain, tokens: part.tokens }
    };
    prompt.shared_parts().iter().map(extend).collect()
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used_at: TimeMs,
}

/// Parts that one engine keeps.
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    parts: HashMap<u64, Kept>,
    tokens: u64,
}

impl PromptCache {
    /// Notes that the engine reads these parts, and `own_tokens` that no other request shares.
    /// `memory_tokens` is its whole memory; 0 means that it is not known.
    pub fn note(&mut self, parts: &[ChainPart], own_tokens: u32, memory_tokens: u64, now: TimeMs) {
        for part in parts {
            self.insert(part.chain, part.tokens, now);
        }
        if own_tokens > 0 {
            // The own part of a request takes memory until it yields; no request asks for it.
            let name = xxh3_64_with_seed(&now.get().to_le_bytes(), u64::from(own_tokens));
            self.insert(name, own_tokens, now);
        }
        let limit = (memory_tokens as f64 * MEMORY_SHARE) as u64;
        while limit > 0 && self.tokens > limit {
            self.evict_oldest();
        }
    }

    /// Tokens at the start of the prompt that the engine does not have to read.
    pub fn kept_tokens(&self, parts: &[ChainPart]) -> u32 {
        let kept = parts.iter().take_while(|part| self.parts.contains_key(&part.chain));
        kept.map(|part| part.tokens).sum()
    }

    fn insert(&mut self, chain: u64, tokens: u32, used_at: TimeMs) {
        let known = self.parts.insert(chain, Kept { tokens, used_at });
        if known.is_none() {
            self.tokens += u64::from(tokens);
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, kept)| kept.used_at);
        let Some((chain, tokens)) = oldest.map(|(chain, kept)| (*chain, kept.tokens)) else {
            self.tokens = 0;
            return;
        };
        self.parts.remove(&chain);
        self.tokens -= u64::from(tokens);
    }
}
