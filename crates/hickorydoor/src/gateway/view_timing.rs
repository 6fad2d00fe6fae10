//! When a gateway learns the changes in the store in another way, so that each change is known in
//! time whatever becomes of the gateways it learns from.
//!
//! All times are ages of the view: the time since the store was asked last, by this gateway or by
//! the one that it follows. A change that the view lacks was acknowledged later than that, so a
//! gateway that asks the store itself at a certain age knows each change at this age at the latest,
//! whenever the failure was noticed and however many gateways were tried. The worst case is the sum
//! of [`ViewTiming::store_after_ms`] and one call to the store.

use crate::gateway::view_role::FollowerPlace;
use crate::time::DurationMs;

/// Interval between two polls of the store, relative to the bound.
const POLL_INTERVAL_RATIO: f64 = 0.4;
/// Maximum interval between two polls. Only few gateways poll, and the others learn the changes from
/// them, so a short interval costs little.
const MAX_POLL_INTERVAL_MS: DurationMs = DurationMs::new(800);
/// Time for the answer of the store and its way to a follower.
const SYNC_MARGIN_MS: u64 = 200;
/// Age at which a reserve asks the store, relative to the bound.
const RESERVE_RATIO: f64 = 0.65;
/// Age at which the other followers look for another source. The reserves are in sync again by then.
const LEAVE_RATIO: f64 = 0.7;
/// Age at which followers that have found no other source begin to ask the store.
const STORE_RATIO: f64 = 0.8;
/// Time over which these calls are spread, relative to the bound.
const STORE_SPREAD_RATIO: f64 = 0.05;

/// Ages of the view at which a gateway acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewTiming {
    /// Time after its acknowledgement by which a change has to be known.
    pub bound_ms: DurationMs,
}

impl ViewTiming {
    /// Returns the minimum time between the starts of two polls of the store.
    pub fn poll_interval_ms(self) -> DurationMs {
        self.share(POLL_INTERVAL_RATIO).min(MAX_POLL_INTERVAL_MS)
    }

    /// Returns how long a poll waits for changes. With the time until the next poll, it is shorter
    /// than the age at which a reserve asks the store.
    pub fn poll_wait_ms(self) -> DurationMs {
        let interval_ms = self.poll_interval_ms();
        let longest_ms = self.share(RESERVE_RATIO).saturating_sub(interval_ms);
        interval_ms.min(longest_ms.saturating_sub(DurationMs::new(SYNC_MARGIN_MS)))
    }

    /// Returns how long a gateway that has just asked the store may take to be followed by this one:
    /// it has to know as much, so it needs its next poll.
    pub fn catch_up_ms(self) -> DurationMs {
        self.poll_interval_ms() + DurationMs::new(SYNC_MARGIN_MS)
    }

    /// Returns the age at which a follower no longer relies on its source.
    pub fn leave_after_ms(self, place: FollowerPlace) -> DurationMs {
        self.share(if place.is_reserve() { RESERVE_RATIO } else { LEAVE_RATIO })
    }

    /// Returns the age at which a follower asks the store itself.
    pub fn store_after_ms(self, place: FollowerPlace) -> DurationMs {
        if place.is_reserve() {
            return self.leave_after_ms(place);
        }
        self.share(STORE_RATIO + STORE_SPREAD_RATIO * place.share())
    }

    fn share(self, ratio: f64) -> DurationMs {
        DurationMs::new((self.bound_ms.as_f64() * ratio) as u64)
    }
}
