//! Which prompt parts an engine keeps, as far as this gateway knows from its own sends.

use crate::gateway::call::Prompt;
use crate::id::ModelId;
use crate::recent_map::RecentMap;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Parts that are remembered for each engine.
const CAPACITY: usize = 512;
/// Time after which a part is taken as evicted.
const KEPT_MS: DurationMs = DurationMs::from_secs(60);

/// Parts that were sent to one engine.
#[derive(Clone, Debug)]
pub struct PromptCache {
    parts: RecentMap<u64, TimeMs>,
}

impl Default for PromptCache {
    fn default() -> Self {
        Self { parts: RecentMap::new(CAPACITY) }
    }
}

impl PromptCache {
    /// Notes that the engine has read this prompt with this model.
    pub fn note(&mut self, model: &ModelId, prompt: &Prompt, now: TimeMs) {
        let mut chain = seed(model);
        for part in prompt.shared_parts() {
            chain = extend(chain, part.id);
            self.parts.insert(chain, now);
        }
    }

    /// Tokens at the start of the prompt that the engine does not have to read.
    pub fn kept_tokens(&self, model: &ModelId, prompt: &Prompt, now: TimeMs) -> u32 {
        let mut chain = seed(model);
        let mut kept = 0;
        for part in prompt.shared_parts() {
            chain = extend(chain, part.id);
            match self.parts.peek(chain) {
                Some(at) if now.since(*at) < KEPT_MS => kept += part.tokens,
                _ => break,
            }
        }
        kept
    }
}

/// Hash that names the chain of shared parts of a prompt for one model.
pub fn chain_hash(model: &ModelId, prompt: &Prompt) -> u64 {
    prompt.shared_parts().iter().fold(seed(model), |chain, part| extend(chain, part.id))
}

fn seed(model: &ModelId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(model.as_str().as_bytes())
}

fn extend(chain: u64, part: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&part.to_le_bytes(), chain)
}
