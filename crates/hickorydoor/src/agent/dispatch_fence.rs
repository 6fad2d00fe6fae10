//! Duplicate suppression for dispatches, so that no attempt runs twice.
//!
//! A dispatch may arrive late or twice, or after a cancel or resume that was sent on a newer
//! connection. The fence keeps the state of each attempt until the entry reports its request as
//! settled. It has no expiry time, so it stays exact even if a process is paused for minutes.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Serial;

/// Why a dispatch of an attempt must not be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceState {
    /// The attempt was refused or cancelled before it was forwarded, and must not run any more.
    NotRun,
    /// The attempt was forwarded to the upstream or answered from a claim, or its request is
    /// settled.
    Forwarded,
    /// The attempt belongs to an entry incarnation that was replaced or whose ledger is closed.
    IncarnationClosed,
}

/// Attempts of one entry incarnation. Requests below the watermark are settled.
#[derive(Clone, Debug, Default)]
struct IncarnationFence {
    settled_below: Serial,
    states: BTreeMap<(Serial, u32), FenceState>,
    closed: bool,
}

/// State of all known attempts, by entry incarnation.
#[derive(Clone, Debug, Default)]
pub struct DispatchFence {
    incarnations: HashMap<HostId, BTreeMap<Incarnation, IncarnationFence>>,
    newest_incarnations: HashMap<HostId, Incarnation>,
}

impl DispatchFence {
    /// State of an attempt; `None` if it is new and may be admitted.
    pub fn state(&self, attempt: &AttemptId) -> Option<FenceState> {
        let request = &attempt.request;
        let fence = self
            .incarnations
            .get(&request.entry)
            .and_then(|incarnations| incarnations.get(&request.incarnation));
        let known = fence.and_then(|fence| {
            let state = fence.states.get(&(request.serial, attempt.ordinal)).copied();
            state.or((request.serial < fence.settled_below).then_some(FenceState::Forwarded))
        });
        let newest = self.newest_incarnations.get(&request.entry).copied().unwrap_or_default();
        let is_over = request.incarnation < newest || fence.is_some_and(|fence| fence.closed);
        known.or(is_over.then_some(FenceState::IncarnationClosed))
    }

    /// Records the state of an attempt, replacing an earlier one.
    pub fn record(&mut self, attempt: &AttemptId, state: FenceState) {
        let request = &attempt.request;
        let fence = self.fence_mut(&request.entry, request.incarnation);
        fence.states.insert((request.serial, attempt.ordinal), state);
    }

    /// Drops the attempts of requests below `below`, which are settled and count as forwarded from
    /// now on. A lower watermark than the current one has no effect.
    pub fn settle_below(&mut self, entry: &HostId, incarnation: Incarnation, below: Serial) {
        let fence = self.fence_mut(entry, incarnation);
        if below > fence.settled_below {
            fence.settled_below = below;
            fence.states = fence.states.split_off(&(below, 0));
        }
    }

    /// Fences off all new attempts of an incarnation, because its ledger is closed.
    pub fn close_incarnation(&mut self, entry: &HostId, incarnation: Incarnation) {
        self.fence_mut(entry, incarnation).closed = true;
    }

    /// Records a new incarnation of an entry and fences off all older ones.
    pub fn start_incarnation(&mut self, entry: &HostId, incarnation: Incarnation) {
        let newest = self.newest_incarnations.entry(entry.clone()).or_default();
        *newest = incarnation.max(*newest);
        let newest = *newest;
        if let Some(incarnations) = self.incarnations.get_mut(entry) {
            incarnations.retain(|incarnation, _| *incarnation >= newest);
        }
    }

    /// Number of attempts whose state is kept individually.
    pub fn len(&self) -> usize {
        self.incarnations.values().flat_map(BTreeMap::values).map(|fence| fence.states.len()).sum()
    }

    /// Whether the state of no attempt is kept individually; watermarks may still exist.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn fence_mut(&mut self, entry: &HostId, incarnation: Incarnation) -> &mut IncarnationFence {
        self.incarnations.entry(entry.clone()).or_default().entry(incarnation).or_default()
    }
}
