//! Model of the prompt cache of an engine, derived from the prompts that gateways sent to it.
//!
//! An engine caches a part for one model and together with all parts before it, so an entry is
//! keyed by a hash over the model and the chain of parts. The least recently used entries are
//! evicted when the engine's memory is full.

use std::collections::HashMap;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::call::Prompt;
use crate::id::ModelId;
use crate::time::TimeMs;

/// Share of the engine's memory available to cached parts; running requests use the rest.
const CACHE_MEMORY_SHARE: f64 = 0.7;
/// Maximum number of cached parts of an engine, however small they are and whatever its memory is.
const MAX_PARTS: usize = 4_096;

/// The last part of a chain of prompt parts, for one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainPart {
    /// Hash of the model and all parts up to this one.
    pub chain: u64,
    /// Length of the last part in tokens.
    pub tokens: u32,
}

/// Returns the chains of the shared parts of a prompt, from its start.
pub fn chains(model: &ModelId, prompt: &Prompt) -> SmallVec<[ChainPart; 4]> {
    let mut chain = xxh3_64(model.as_str().as_bytes());
    let extend = |part: &crate::gateway::call::PromptPart| {
        chain = xxh3_64_with_seed(&part.id.to_le_bytes(), chain);
        ChainPart { chain, tokens: part.tokens }
    };
    prompt.shared_parts().iter().map(extend).collect()
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used_at: TimeMs,
}

/// Prompt parts that one engine has cached.
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    parts: HashMap<u64, CachedPart>,
    tokens: u64,
}

impl PromptCache {
    /// Records that the engine prefills these parts and `own_tokens` that no other request shares.
    /// `memory_tokens` is the total memory of the engine; 0 means unknown.
    pub fn record(
        &mut self,
        parts: &[ChainPart],
        own_tokens: u32,
        memory_tokens: u64,
        now: TimeMs,
    ) {
        for part in parts {
            self.insert(part.chain, part.tokens, now);
        }
        if own_tokens > 0 {
            // The request's own tokens occupy memory until they are evicted but are never looked
            // up.
            let own_chain = xxh3_64_with_seed(&now.get().to_le_bytes(), u64::from(own_tokens));
            self.insert(own_chain, own_tokens, now);
        }
        let limit = (memory_tokens as f64 * CACHE_MEMORY_SHARE) as u64;
        while self.parts.len() > MAX_PARTS || (limit > 0 && self.tokens > limit) {
            self.evict_oldest();
        }
    }

    /// Returns the number of cached parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of tokens at the start of the prompt that need no prefill.
    pub fn cached_tokens(&self, parts: &[ChainPart]) -> u32 {
        let cached = parts.iter().take_while(|part| self.parts.contains_key(&part.chain));
        cached.map(|part| part.tokens).sum()
    }

    fn insert(&mut self, chain: u64, tokens: u32, used_at: TimeMs) {
        let known = self.parts.insert(chain, CachedPart { tokens, used_at });
        if known.is_none() {
            self.tokens += u64::from(tokens);
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, cached)| cached.used_at);
        let Some((chain, tokens)) = oldest.map(|(chain, cached)| (*chain, cached.tokens)) else {
            self.tokens = 0;
            return;
        };
        self.parts.remove(&chain);
        self.tokens -= u64::from(tokens);
    }
}
