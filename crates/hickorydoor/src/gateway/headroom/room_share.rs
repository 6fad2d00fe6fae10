//! Part of one upstream's free slots that this gateway may use.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::HostId;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time for which a slot stays free before the first gateway may use it without a share: a digest
/// about it, the use of it, and a digest about that.
const MIN_LEND_MS: u64 = 150;
/// Time over which gateways differ in when they use such a slot. With the time to the next tick, none
/// stays free for longer than 300 ms.
const LEND_SPREAD_MS: u64 = 100;
/// A request that waits for a short time uses such a slot after this part of its wait, so that it is
/// not refused beside a free slot.
const WAIT_DIVISOR: u64 = 2;
/// Longest time between two looks at an upstream within one observation.
const MAX_LOOK_GAP_MS: DurationMs = DurationMs::new(120);

/// Slots for requests of a rank or a more urgent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Least urgent rank that may use them.
    pub rank: u8,
    /// Number of slots.
    pub slots: u32,
}

/// Slots by rank.
pub type Grants = SmallVec<[Grant; 2]>;

/// Observation of slots that stay free.
#[derive(Clone, Copy, Debug)]
struct FreeSpan {
    since: TimeMs,
    looked_at: TimeMs,
    /// Free slots at the last look; fewer at the next one have been used.
    free: u32,
}

/// Part of the room of an upstream.
#[derive(Clone, Debug, Default)]
pub struct RoomShare {
    /// `None` while the upstream is not scarce, so that the share is not limited.
    grants: Option<Grants>,
    free_span: Option<FreeSpan>,
    /// When this gateway may use a slot that stays free.
    lend_ms: DurationMs,
}

impl RoomShare {
    /// Removes the limit, as there is enough room.
    pub fn lift(&mut self) {
        *self = Self::default();
    }

    /// Sets the slots that may be used now, of `free` ones in all.
    pub fn set(
        &mut self,
        grants: Grants,
        free: u32,
        own: &HostId,
        upstream: &UpstreamId,
        now: TimeMs,
    ) {
        let seed = xxh3_64(upstream.as_str().as_bytes());
        let hash = xxh3_64_with_seed(own.as_str().as_bytes(), seed);
        self.lend_ms = DurationMs::new(MIN_LEND_MS + hash % LEND_SPREAD_MS);
        self.observe(free, now);
        self.grants = Some(grants);
    }

    /// Returns whether a request of this rank may be sent, which waits for `wait_ms` in all.
    pub fn allows(&self, rank: u8, wait_ms: DurationMs, now: TimeMs) -> bool {
        let Some(grants) = &self.grants else {
            return true;
        };
        let has_grant = grants.iter().any(|grant| grant.rank >= rank && grant.slots > 0);
        has_grant || self.is_lent(wait_ms, now)
    }

    fn is_lent(&self, wait_ms: DurationMs, now: TimeMs) -> bool {
        let longest_ms = MIN_LEND_MS + LEND_SPREAD_MS;
        let short_wait_ms = wait_ms.get() / WAIT_DIVISOR * self.lend_ms.get() / longest_ms;
        let after_ms = self.lend_ms.min(DurationMs::new(short_wait_ms));
        self.free_span.is_some_and(|span| now.since(span.since) >= after_ms)
    }

    /// Records that a request of this rank is sent.
    pub fn take(&mut self, rank: u8) {
        self.free_span = None;
        let usable = self.grants.iter_mut().flatten();
        let usable = usable.filter(|grant| grant.rank >= rank && grant.slots > 0);
        if let Some(grant) = usable.min_by_key(|grant| grant.rank) {
            grant.slots -= 1;
        }
    }

    /// Records since when slots have been free of which none has been used.
    fn observe(&mut self, free: u32, now: TimeMs) {
        let known = self.free_span.filter(|span| now.since(span.looked_at) <= MAX_LOOK_GAP_MS);
        let known = known.filter(|span| free >= span.free);
        let since = known.map_or(now, |span| span.since);
        self.free_span = (free > 0).then_some(FreeSpan { since, looked_at: now, free });
    }
}
