//! Decides who may hold how much memory.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::counts::MemoryCounts;
use super::decision::MemoryDecision;
use super::holder::Holder;
use super::holder::HolderId;
use super::holder::QueuePosition;
use super::holder::Waiting;
use super::kind::MemoryKind;
use super::size_class::SizeClass;
use crate::quantity::ByteCount;
use crate::time::TimeMs;

/// Smallest part of the total that is evicted at once, so that many that come one after the other need
/// not each wait for an eviction.
const EVICTED_PART: u64 = 32;
/// A connection on which something has arrived has memory of both kinds, and releases it at once.
const BOTH_OF_A_CONNECTION: (MemoryKind, MemoryKind) =
    (MemoryKind::Connection, MemoryKind::ActiveConnection);

/// Memory that is held for others, and who waits for it.
///
/// Requests that were granted later, were refused, or holders that give way are reported by
/// [`take_decisions`](Self::take_decisions).
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    total_bytes: u64,
    max_connection_bytes: u64,
    used_bytes: [u64; MemoryKind::ALL.len()],
    /// What large holders have of that.
    large_bytes: u64,
    holders: HashMap<HolderId, Holder>,
    next_holder: u64,
    /// Holders that wait, in the order in which they are served.
    queue: BTreeMap<QueuePosition, HolderId>,
    next_position: u64,
    decisions: Vec<MemoryDecision>,
    counts: [MemoryCounts; MemoryKind::ALL.len()],
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(total_bytes: ByteCount) -> Self {
        Self {
            total_bytes: total_bytes.get(),
            max_connection_bytes: total_bytes.get() / 8 * 3,
            used_bytes: [0; MemoryKind::ALL.len()],
            large_bytes: 0,
            holders: HashMap::new(),
            next_holder: 0,
            queue: BTreeMap::new(),
            next_position: 0,
            decisions: Vec::new(),
            counts: Default::default(),
        }
    }

    /// Has connections use at most this much, and three eighths of the total.
    #[must_use]
    pub fn with_connection_limit(mut self, bytes: ByteCount) -> Self {
        self.max_connection_bytes = self.max_connection_bytes.min(bytes.get());
        self
    }

    /// Adds a holder of nothing.
    pub fn add(&mut self, kind: MemoryKind) -> HolderId {
        let id = HolderId(self.next_holder);
        self.next_holder += 1;
        let holder =
            Holder { kind, held_bytes: 0, progressed_at: None, waiting: None, is_evicted: false };
        self.holders.insert(id, holder);
        id
    }

    /// Asks for more bytes. Returns whether they are granted at once; otherwise the holder waits for
    /// a decision, and asks for nothing else meanwhile. A request that can never be granted, or
    /// a body behind many others, is refused at the next [`expire`](Self::expire).
    pub fn ask(&mut self, id: HolderId, bytes: ByteCount, deadline: TimeMs) -> bool {
        let bytes = bytes.get();
        let Some(holder) = self.holders.get(&id).filter(|holder| holder.waiting.is_none()) else {
            return false;
        };
        let (kind, size_bytes) = (holder.kind, holder.held_bytes.saturating_add(bytes));
        let class = SizeClass::of(ByteCount::new(size_bytes));
        let goes_first = kind == MemoryKind::ActiveConnection;
        if (goes_first || self.first_waiting(class, kind).is_none())
            && self.fits(kind, size_bytes, bytes)
        {
            self.grant(id, bytes);
            return true;
        }
        let is_ungrantable = size_bytes > self.limit_bytes(kind, class)
            || kind == MemoryKind::RequestBody && self.is_queue_full(class, bytes);
        let deadline = if is_ungrantable { TimeMs::new(0) } else { deadline };
        self.counts[kind.index()].waited += 1;
        let order = if goes_first { u64::MAX - self.next_position } else { self.next_position };
        let position = (class, kind, order);
        self.next_position += 1;
        self.queue.insert(position, id);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.waiting = Some(Waiting { position, bytes, deadline });
        }
        false
    }

    /// Gives a part of the memory of a holder back.
    pub fn release(&mut self, id: HolderId, bytes: ByteCount) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let released_bytes = bytes.get().min(holder.held_bytes);
        let (held_bytes, kind) = (holder.held_bytes, holder.kind);
        holder.held_bytes -= released_bytes;
        self.count(kind, held_bytes, held_bytes - released_bytes);
        self.serve_queue();
    }

    /// Removes a holder with all its memory, and its request if it waits.
    pub fn remove(&mut self, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        self.count(holder.kind, holder.held_bytes, 0);
        if let Some(waiting) = holder.waiting {
            self.queue.remove(&waiting.position);
        }
        self.serve_queue();
    }

    /// Records that a holder has moved bytes, and has to go on with that until it rests.
    pub fn progress(&mut self, id: HolderId, now: TimeMs) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progressed_at = Some(now);
        }
    }

    /// Records that the next progress is not up to the holder.
    pub fn rest(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progressed_at = None;
        }
    }

    /// Refuses the requests whose deadline has come. If others still wait, evicts the holders that
    /// have made no progress.
    pub fn expire(&mut self, now: TimeMs) {
        let is_due = |id: &HolderId| {
            let waiting = self.holders.get(id).and_then(|holder| holder.waiting);
            waiting.is_some_and(|waiting| waiting.deadline <= now)
        };
        let due: Vec<HolderId> = self.queue.values().copied().filter(is_due).collect();
        for id in due {
            if let Some(holder) = self.holders.get(&id) {
                self.counts[holder.kind.index()].refused += 1;
            }
            self.leave_queue(id);
            self.decisions.push(MemoryDecision::Refused(id));
        }
        self.serve_queue();
        if self.is_contended() {
            self.evict_stalled(now);
        }
    }

    /// Returns the decisions since the last call, in their order.
    pub fn take_decisions(&mut self) -> Vec<MemoryDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns whether a holder waits.
    pub fn is_contended(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns the number of holders that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the bytes that holders of a kind have.
    pub const fn used_bytes(&self, kind: MemoryKind) -> ByteCount {
        ByteCount::new(self.used_bytes[kind.index()])
    }

    /// Returns how often holders of a kind had to wait or to give way since the start.
    pub const fn counts(&self, kind: MemoryKind) -> MemoryCounts {
        self.counts[kind.index()]
    }

    /// Returns the most that may be held.
    pub const fn total_bytes(&self) -> ByteCount {
        ByteCount::new(self.total_bytes)
    }

    /// Returns the most that may be used, by this kind alone or by all, once a request is granted.
    const fn limit_bytes(&self, kind: MemoryKind, class: SizeClass) -> u64 {
        match kind {
            MemoryKind::Connection => self.max_connection_bytes,
            MemoryKind::ActiveConnection => self.total_bytes / 2,
            // So that responses find room beside request bodies, and the other way round.
            MemoryKind::RequestBody | MemoryKind::Response => match class {
                SizeClass::Large => self.total_bytes / 2,
                SizeClass::Tiny | SizeClass::Small => class.usable_bytes(self.total_bytes),
            },
        }
    }

    /// Returns whether a holder may get `bytes` and then have `size_bytes`.
    fn fits(&self, kind: MemoryKind, size_bytes: u64, bytes: u64) -> bool {
        let class = SizeClass::of(ByteCount::new(size_bytes));
        let all_bytes: u64 = self.used_bytes.iter().sum();
        let of_kind_bytes = self.used_bytes[kind.index()];
        let usable_bytes = match (kind, class) {
            // Responses end what has begun, so they may use what connections leave.
            (MemoryKind::Response, SizeClass::Large) => {
                let large_bytes = self.large_bytes - large_bytes(size_bytes - bytes) + size_bytes;
                if large_bytes > class.usable_bytes(self.total_bytes) {
                    return false;
                }
                self.total_bytes
            }
            _ => class.usable_bytes(self.total_bytes),
        };
        all_bytes.saturating_add(bytes) <= usable_bytes
            && of_kind_bytes.saturating_add(bytes) <= self.limit_bytes(kind, class)
    }

    /// Returns whether so many request bodies of a class wait that one more would wait too long.
    fn is_queue_full(&self, class: SizeClass, bytes: u64) -> bool {
        let kind = MemoryKind::RequestBody;
        let line = self.queue.range((class, kind, 0)..=(class, kind, u64::MAX));
        let waiting = line.filter_map(|(_, id)| self.holders.get(id)?.waiting);
        let waiting_bytes: u64 = waiting.map(|waiting| waiting.bytes).sum();
        waiting_bytes > 0 && waiting_bytes.saturating_add(bytes) > self.total_bytes / 4
    }

    fn grant(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let (held_bytes, kind) = (holder.held_bytes, holder.kind);
            holder.held_bytes += bytes;
            self.count(kind, held_bytes, held_bytes + bytes);
        }
    }

    /// Counts that a holder has `after` bytes, and had `before`.
    fn count(&mut self, kind: MemoryKind, before: u64, after: u64) {
        let used_bytes = &mut self.used_bytes[kind.index()];
        *used_bytes = *used_bytes - before + after;
        self.large_bytes = self.large_bytes - large_bytes(before) + large_bytes(after);
    }

    fn leave_queue(&mut self, id: HolderId) -> Option<Waiting> {
        let waiting = self.holders.get_mut(&id)?.waiting.take()?;
        self.queue.remove(&waiting.position);
        Some(waiting)
    }

    /// Grants requests in their order, of each class and kind until the first that does not fit.
    fn serve_queue(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        for class in SizeClass::ALL {
            // Responses first, since they end what has begun.
            for kind in MemoryKind::ALL.into_iter().rev() {
                self.serve(class, kind);
            }
        }
    }

    fn serve(&mut self, class: SizeClass, kind: MemoryKind) {
        while let Some(id) = self.first_waiting(class, kind) {
            if !self.can_be_granted(id) {
                return;
            }
            if let Some(waiting) = self.leave_queue(id) {
                self.grant(id, waiting.bytes);
                self.decisions.push(MemoryDecision::Granted(id));
            }
        }
    }

    fn first_waiting(&self, class: SizeClass, kind: MemoryKind) -> Option<HolderId> {
        let mut of_class = self.queue.range((class, kind, 0)..=(class, kind, u64::MAX));
        of_class.next().map(|(_, id)| *id)
    }

    fn can_be_granted(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_some_and(|holder| {
            holder.waiting.is_some_and(|waiting| {
                self.fits(holder.kind, holder.held_bytes + waiting.bytes, waiting.bytes)
            })
        })
    }

    /// Evicts those without progress, the oldest first, until all that wait would fit, and some that
    /// come next.
    fn evict_stalled(&mut self, now: TimeMs) {
        let wanted_bytes = self.waiting_bytes().max(self.total_bytes / EVICTED_PART);
        let mut missing_bytes = wanted_bytes.saturating_sub(self.evicted_bytes());
        let mut stalled: Vec<(TimeMs, HolderId)> = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_stalled(now) && self.has_use_of(holder.kind))
            .filter_map(|(id, holder)| holder.progressed_at.map(|at| (at, *id)))
            .collect();
        stalled.sort_unstable();
        for (_, id) in stalled {
            let Some(holder) = self.holders.get_mut(&id).filter(|_| missing_bytes > 0) else {
                return;
            };
            missing_bytes = missing_bytes.saturating_sub(holder.held_bytes);
            holder.is_evicted = true;
            self.counts[holder.kind.index()].evicted += 1;
            self.decisions.push(MemoryDecision::Evicted(id));
        }
    }

    fn waiting_bytes(&self) -> u64 {
        self.holders.values().filter_map(|holder| holder.waiting).map(|waiting| waiting.bytes).sum()
    }

    fn evicted_bytes(&self) -> u64 {
        // One that rests has gone on and will keep its memory for long.
        let is_released_soon =
            |holder: &&Holder| holder.is_evicted && holder.progressed_at.is_some();
        let evicted = self.holders.values().filter(is_released_soon);
        evicted.map(|holder| holder.held_bytes).sum()
    }

    /// Returns whether memory of this kind helps a request that waits.
    fn has_use_of(&self, released: MemoryKind) -> bool {
        SizeClass::ALL.into_iter().any(|class| {
            MemoryKind::ALL.into_iter().any(|kind| {
                let first = self.first_waiting(class, kind);
                let waiting = first.and_then(|id| self.holders.get(&id)?.waiting);
                waiting.is_some_and(|waiting| {
                    let of_kind_bytes = self.used_bytes[kind.index()] + waiting.bytes;
                    kind == released
                        || (kind, released) == BOTH_OF_A_CONNECTION
                        || of_kind_bytes <= self.limit_bytes(kind, class)
                })
            })
        })
    }
}

/// Returns what a holder of `bytes` counts among the large ones.
fn large_bytes(bytes: u64) -> u64 {
    if SizeClass::of(ByteCount::new(bytes)) == SizeClass::Large { bytes } else { 0 }
}
