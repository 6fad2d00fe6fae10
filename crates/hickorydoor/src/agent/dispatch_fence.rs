//! What an agent remembers of attempts so that none runs twice.
//!
//! A dispatch may arrive late or twice, and a cancel or resume may overtake it on a newer
//! connection. The fence remembers each attempt until the entry says that its request is settled,
//! so the memory needs no time limit and is exact even if a process is paused for minutes.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Serial;

/// What is known about an attempt that is not running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It was not passed on and must not be.
    NotRun,
    /// It was passed on, or its request is over.
    PassedOn,
    /// It belongs to an incarnation that is over.
    Closed,
}

/// Attempts of one entry incarnation.
#[derive(Clone, Debug, Default)]
struct IncarnationFence {
    below: Serial,
    seen: BTreeMap<(Serial, u32), Seen>,
    closed: bool,
}

/// Attempts seen, by entry incarnation.
#[derive(Clone, Debug, Default)]
pub struct DispatchFence {
    incarnations: HashMap<HostId, BTreeMap<Incarnation, IncarnationFence>>,
    newest: HashMap<HostId, Incarnation>,
}

impl DispatchFence {
    /// What is known about an attempt; `None` if it was never seen.
    pub fn seen(&self, attempt: &AttemptId) -> Option<Seen> {
        let request = &attempt.request;
        let fence = self
            .incarnations
            .get(&request.entry)
            .and_then(|incarnations| incarnations.get(&request.incarnation));
        let known = fence.and_then(|fence| {
            let seen = fence.seen.get(&(request.serial, attempt.ordinal)).copied();
            seen.or((request.serial < fence.below).then_some(Seen::PassedOn))
        });
        let newest = self.newest.get(&request.entry).copied().unwrap_or_default();
        let over = request.incarnation < newest || fence.is_some_and(|fence| fence.closed);
        known.or(over.then_some(Seen::Closed))
    }

    /// Remembers an attempt.
    pub fn note(&mut self, attempt: &AttemptId, seen: Seen) {
        let request = &attempt.request;
        let fence = self.fence_mut(&request.entry, request.incarnation);
        fence.seen.insert((request.serial, attempt.ordinal), seen);
    }

    /// Forgets the requests below `below`, which are over.
    pub fn settle_below(&mut self, entry: &HostId, incarnation: Incarnation, below: Serial) {
        let fence = self.fence_mut(entry, incarnation);
        if below > fence.below {
            fence.below = below;
            fence.seen = fence.seen.split_off(&(below, 0));
        }
    }

    /// Refuses new attempts of an incarnation from now on.
    pub fn close(&mut self, entry: &HostId, incarnation: Incarnation) {
        self.fence_mut(entry, incarnation).closed = true;
    }

    /// Notes the newest incarnation of an entry; older ones are over.
    pub fn start(&mut self, entry: &HostId, incarnation: Incarnation) {
        let newest = self.newest.entry(entry.clone()).or_default();
        *newest = incarnation.max(*newest);
        let newest = *newest;
        if let Some(incarnations) = self.incarnations.get_mut(entry) {
            incarnations.retain(|incarnation, _| *incarnation >= newest);
        }
    }

    /// Attempts remembered.
    pub fn len(&self) -> usize {
        self.incarnations.values().flat_map(BTreeMap::values).map(|fence| fence.seen.len()).sum()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn fence_mut(&mut self, entry: &HostId, incarnation: Incarnation) -> &mut IncarnationFence {
        self.incarnations.entry(entry.clone()).or_default().entry(incarnation).or_default()
    }
}
