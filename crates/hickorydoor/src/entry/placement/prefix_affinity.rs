//! Records to which agent each prompt prefix was last sent.
//!
//! An engine caches the prefixes that it has processed for a while, so the prefill of the next
//! prompt with the same prefix is faster there. The number of recorded prefixes is bounded; the
//! prefix that was recorded first is evicted first.

use std::collections::HashMap;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::HostId;
use crate::time::TimeMs;

/// Maximum number of recorded prefixes; at about 150 bytes each they take 1.2 MB.
const MAX_PREFIXES: usize = 8_192;

#[derive(Clone, Debug)]
struct LastPlacement {
    agent: HostId,
    at_ms: TimeMs,
}

/// Bounded map from prefix hashes to the agent that each was last sent to.
#[derive(Clone, Debug, Default)]
pub struct PrefixAffinity {
    last_placements: HashMap<u64, LastPlacement>,
    insertion_order: VecDeque<u64>,
}

impl PrefixAffinity {
    /// Records that a request with this prefix was sent to this agent, and evicts the oldest prefix
    /// if there are too many.
    pub fn record(&mut self, prefix: u64, agent: &HostId, now: TimeMs) {
        let placement = LastPlacement { agent: agent.clone(), at_ms: now };
        if self.last_placements.insert(prefix, placement).is_some() {
            return;
        }
        self.insertion_order.push_back(prefix);
        if self.insertion_order.len() > MAX_PREFIXES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.last_placements.remove(&oldest);
        }
    }

    /// Returns the agent to which this prefix was last sent, and when.
    pub fn last_agent(&self, prefix: u64) -> Option<(&HostId, TimeMs)> {
        self.last_placements.get(&prefix).map(|placement| (&placement.agent, placement.at_ms))
    }

    /// Returns the number of recorded prefixes.
    pub fn len(&self) -> usize {
        self.last_placements.len()
    }

    /// Returns whether no prefix is recorded.
    pub fn is_empty(&self) -> bool {
        self.last_placements.is_empty()
    }
}

/// Returns the rendezvous-hashing weight of an agent for a prefix. Every entry computes the same
/// weight, so all entries prefer the same agents for a prefix without coordination.
pub fn rendezvous_weight(prefix: u64, agent: &HostId) -> u64 {
    xxh3_64_with_seed(agent.as_str().as_bytes(), prefix)
}
