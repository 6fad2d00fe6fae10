//! How often digests are sent and acted on, by the number of gateways.
//!
//! The digests that a gateway receives grow with their number, and so does what is done for each.
//! Intervals that grow as well bound both: what a digest says is recorded at once, while evidence is
//! assessed and queued requests are tried again at intervals, at the latest with the next tick.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Number of gateways for each millisecond between two digests that are acted on at once.
const GATEWAYS_PER_MS: u64 = 4;
/// Regular time between two digests of a gateway, for each one that receives them.
const REGULAR_MS_PER_PEER: u64 = 6;
/// Minimum time between two digests of a gateway if the others have to learn something soon.
const MIN_URGENT_MS: u64 = 20;
/// The same for each gateway that receives them.
const URGENT_MS_PER_PEER: u64 = 2;

/// When a digest was last acted on at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct DigestPace {
    acted_at: Option<TimeMs>,
}

impl DigestPace {
    /// Returns whether a digest is acted on at once, where there are `gateways` in all.
    pub fn may_act(&mut self, gateways: usize, now: TimeMs) -> bool {
        let spacing_ms = DurationMs::new(gateways as u64 / GATEWAYS_PER_MS);
        let may_act = self.acted_at.is_none_or(|at| now.since(at) >= spacing_ms);
        if may_act {
            self.acted_at = Some(now);
        }
        may_act
    }
}

/// Returns the regular time between two digests of a gateway to `peers` others.
pub fn regular_interval_ms(configured_ms: DurationMs, peers: usize) -> DurationMs {
    configured_ms.max(DurationMs::new(REGULAR_MS_PER_PEER * peers as u64))
}

/// Returns the minimum time between two digests of a gateway to `peers` others if they have to learn
/// something soon.
pub fn urgent_interval_ms(peers: usize) -> DurationMs {
    DurationMs::new((URGENT_MS_PER_PEER * peers as u64).max(MIN_URGENT_MS))
}
