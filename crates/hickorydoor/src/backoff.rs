//! Growing pauses between attempts at a failing service.

use rand::Rng;
use rand::RngExt;

use crate::time::DurationMs;

/// First pause.
const FIRST_MS: u64 = 500;
/// Longest pause; short enough that bills are stored soon after an outage.
const LONGEST_MS: u64 = 30_000;

/// Doubles the pause with each failure and spreads it by a random factor, so that a fleet does not
/// return to a recovered service at the same moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Notes a failure and returns the pause before the next attempt.
    pub fn fail<R: Rng>(&mut self, rng: &mut R) -> DurationMs {
        let base_ms = FIRST_MS.saturating_mul(1 << self.failures.min(10)).min(LONGEST_MS);
        self.failures += 1;
        DurationMs::new(rng.random_range(base_ms / 2..=base_ms))
    }

    /// Notes a success.
    pub const fn succeed(&mut self) {
        self.failures = 0;
    }
}
