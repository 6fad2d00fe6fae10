//! Requests as the queue sees them.

use std::num::NonZeroU32;

use crate::admission_queue::rank::Rank;
use crate::id::CustomerId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// A request in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest<K> {
    /// Identifies the request; unique in the queue.
    pub key: K,
    /// Urgency of the request.
    pub rank: Rank,
    /// Customer whose share the request uses; requests without one share a common share.
    pub customer: Option<CustomerId>,
    /// Share of the customer relative to the others.
    pub weight: NonZeroU32,
    /// Engine time that the request takes; 0 counts as 1.
    pub cost_ms: DurationMs,
    /// When the request expires if it still waits.
    pub latest_start_at: TimeMs,
    /// When the request arrived.
    pub arrived_at: TimeMs,
}

impl<K> QueuedRequest<K> {
    /// Returns the cost, which is at least 1 ms.
    pub(super) fn cost(&self) -> u64 {
        self.cost_ms.get().max(1)
    }
}

/// A place in the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn<K> {
    /// Request whose turn it is.
    pub key: K,
    /// Rank of the request.
    pub rank: Rank,
    /// Whether the request precedes waiting requests of more urgent ranks, because its rank has
    /// received less than its guaranteed share.
    pub is_early: bool,
}
