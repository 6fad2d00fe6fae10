//! Limits that other gateways have to learn.

use std::collections::VecDeque;

use crate::gateway::rate_limits::AgedLimit;
use crate::id::UpstreamId;

/// Number of digests that tell a limit, in case one is lost.
const DIGESTS: u32 = 2;
/// Maximum number of limits in a digest.
const MAX_LIMITS: usize = 64;

/// A limit of an upstream as a digest tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct DigestLimit {
    /// Upstream that named or dropped the limit.
    pub upstream: UpstreamId,
    /// Start of the upstream process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// What the upstream said, and when.
    pub limit: AgedLimit,
}

/// Upstreams whose limit this gateway has learned from an answer a moment ago.
#[derive(Clone, Debug, Default)]
pub struct LimitNews {
    pending: VecDeque<(UpstreamId, u32)>,
}

impl LimitNews {
    /// Adds an upstream whose limit has changed.
    pub fn add(&mut self, upstream: UpstreamId) {
        self.pending.retain(|(known, _)| *known != upstream);
        self.pending.push_back((upstream, DIGESTS));
    }

    /// Returns the upstreams to tell of in the next digest.
    pub fn take_next(&mut self) -> Vec<UpstreamId> {
        let count = self.pending.len().min(MAX_LIMITS);
        let told: Vec<(UpstreamId, u32)> = self.pending.drain(..count).collect();
        let again = told.iter().filter(|(_, left)| *left > 1);
        self.pending.extend(again.map(|(upstream, left)| (upstream.clone(), left - 1)));
        told.into_iter().map(|(upstream, _)| upstream).collect()
    }
}
