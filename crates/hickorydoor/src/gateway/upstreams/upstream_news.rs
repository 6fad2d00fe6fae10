//! What upstreams have said to this gateway and the other gateways have to learn.

use std::collections::VecDeque;

use crate::gateway::rate_limits::AgedLimit;
use crate::id::UpstreamId;

/// Number of digests that tell of an upstream, in case one is lost.
const DIGESTS: u32 = 2;
/// Maximum number of upstreams that a digest tells of.
const MAX_UPSTREAMS: usize = 64;

/// What an upstream has said to one gateway, as its digest tells the others.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerNotice {
    /// Upstream that has said it.
    pub upstream: UpstreamId,
    /// Start of the upstream process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// What it has said about its limit; `None` if it has never named one.
    pub limit: Option<AgedLimit>,
}

/// Maximum number of upstreams that are still to be told of.
const MAX_PENDING: usize = 1_024;

/// Upstreams of which this gateway has learned something from an answer a moment ago.
#[derive(Clone, Debug, Default)]
pub struct UpstreamNews {
    pending: VecDeque<(UpstreamId, u32)>,
}

impl UpstreamNews {
    /// Adds an upstream that has said something new.
    pub fn add(&mut self, upstream: UpstreamId) {
        self.pending.retain(|(known, _)| *known != upstream);
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((upstream, DIGESTS));
    }

    /// Returns the number of upstreams that are still to be told of.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the upstreams that the next digest tells of.
    pub fn take_next(&mut self) -> Vec<UpstreamId> {
        let count = self.pending.len().min(MAX_UPSTREAMS);
        let told: Vec<(UpstreamId, u32)> = self.pending.drain(..count).collect();
        let again = told.iter().filter(|(_, left)| *left > 1);
        self.pending.extend(again.map(|(upstream, left)| (upstream.clone(), left - 1)));
        told.into_iter().map(|(upstream, _)| upstream).collect()
    }
}
