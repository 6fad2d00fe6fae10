//! One that holds memory of a budget.

use super::kind::MemoryKind;
use super::size_class::SizeClass;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time without progress after which a holder gives way to those that wait.
const MAX_STALL_MS: DurationMs = DurationMs::new(3_000);

/// Number of a holder, unique in a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub(super) u64);

/// Position of a request among those that wait.
pub(super) type QueuePosition = (SizeClass, MemoryKind, u64);

/// What a budget knows about a holder.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub kind: MemoryKind,
    pub held_bytes: u64,
    /// When the holder last moved enough bytes; `None` if it needs to make no progress.
    pub progressed_at: Option<TimeMs>,
    pub waiting: Option<Waiting>,
    pub is_evicted: bool,
}

impl Holder {
    /// Returns whether the holder is to give way, and has not been told yet.
    pub fn is_stalled(&self, now: TimeMs) -> bool {
        let is_late = self.progressed_at.is_some_and(|at| now.since(at) >= MAX_STALL_MS);
        is_late && self.held_bytes > 0 && self.waiting.is_none() && !self.is_evicted
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub position: QueuePosition,
    pub bytes: u64,
    pub deadline: TimeMs,
}
