//! Which other gateways this one hears of.
//!
//! A gateway that is present in the store may have been lost, suspended or cut off a moment ago. What
//! it would have to say comes at least in its digests, whose interval grows with their number.

use std::collections::HashMap;

use crate::id::HostId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Shortest silence after which a gateway counts as not heard of.
const MIN_SILENCE_MS: u64 = 1_000;
/// Additional silence for each gateway: four intervals of digests in a large fleet.
const SILENCE_MS_PER_GATEWAY: u64 = 24;

/// When the other gateways were last heard of.
#[derive(Clone, Debug, Default)]
pub struct PeerContact {
    heard_at: HashMap<HostId, TimeMs>,
}

impl PeerContact {
    /// Records a message of another gateway.
    pub fn record(&mut self, host: &HostId, now: TimeMs) {
        match self.heard_at.get_mut(host) {
            Some(heard_at) => *heard_at = now,
            None => drop(self.heard_at.insert(host.clone(), now)),
        }
    }

    /// Returns whether a gateway is heard of, where there are `gateways` of them.
    pub fn is_heard(&self, host: &HostId, gateways: usize, now: TimeMs) -> bool {
        let silence_ms = MIN_SILENCE_MS.max(SILENCE_MS_PER_GATEWAY * gateways as u64);
        let heard_at = self.heard_at.get(host);
        heard_at.is_some_and(|at| now.since(*at) <= DurationMs::new(silence_ms))
    }

    /// Returns the number of gateways.
    pub fn len(&self) -> usize {
        self.heard_at.len()
    }

    /// Forgets gateways that are not present any more.
    pub fn retain(&mut self, present: &[HostId]) {
        self.heard_at.retain(|host, _| present.contains(host));
    }
}
