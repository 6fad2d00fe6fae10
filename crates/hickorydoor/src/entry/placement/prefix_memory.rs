//! Which agents got which prefix lately.
//!
//! An engine that read a prefix keeps it for a while, so the next prompt with it is read faster
//! there. The memory is bounded: the oldest prefixes are forgotten first.

use std::collections::HashMap;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::HostId;
use crate::time::TimeMs;

/// Prefixes remembered; at about 150 bytes each they take 1.2 MB.
const MAX_PREFIXES: usize = 8_192;

#[derive(Clone, Debug)]
struct Placed {
    agent: HostId,
    at_ms: TimeMs,
}

/// The newest agent of each prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixMemory {
    placed: HashMap<u64, Placed>,
    order: VecDeque<u64>,
}

impl PrefixMemory {
    /// Remembers that this agent got this prefix.
    pub fn remember(&mut self, prefix: u64, agent: &HostId, now: TimeMs) {
        let placed = Placed { agent: agent.clone(), at_ms: now };
        if self.placed.insert(prefix, placed).is_some() {
            return;
        }
        self.order.push_back(prefix);
        if self.order.len() > MAX_PREFIXES
            && let Some(oldest) = self.order.pop_front()
        {
            self.placed.remove(&oldest);
        }
    }

    /// The agent that got this prefix last, and when.
    pub fn agent_of(&self, prefix: u64) -> Option<(&HostId, TimeMs)> {
        self.placed.get(&prefix).map(|placed| (&placed.agent, placed.at_ms))
    }

    /// Prefixes remembered.
    pub fn len(&self) -> usize {
        self.placed.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty()
    }
}

/// Weight of an agent for a prefix: every entry that knows the agent computes the same weight, so
/// entries send a prefix to the same agent without telling each other (rendezvous hashing).
pub fn home_weight(prefix: u64, agent: &HostId) -> u64 {
    xxh3_64_with_seed(agent.as_str().as_bytes(), prefix)
}
