//! Growing pauses between attempts at a failing service.

use rand::Rng;
use rand::RngExt;

use crate::time::DurationMs;

/// First pause.
const FIRST_MS: u64 = 500;
/// Longest pause of calls that every agent makes. 12,000 agents that return to a recovered service
/// spread their calls over this time.
const LONGEST_MS: DurationMs = DurationMs::from_secs(30);
/// Longest pause of calls whose delay callers or bills feel. Only entries and the agents of plain
/// services make them: 560 entries call about 150 times a second during an outage.
const LONGEST_URGENT_MS: DurationMs = DurationMs::from_secs(5);

/// Doubles the pause with each failure and spreads it by a random factor, so that a fleet does not
/// return to a recovered service at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
    longest_ms: DurationMs,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { failures: 0, longest_ms: LONGEST_MS }
    }
}

impl Backoff {
    /// Short pauses, for calls whose delay is felt and that few processes make.
    pub const fn urgent() -> Self {
        Self { failures: 0, longest_ms: LONGEST_URGENT_MS }
    }

    /// Notes a failure and returns the pause before the next attempt.
    pub fn record_failure<R: Rng>(&mut self, rng: &mut R) -> DurationMs {
        let doubled_ms = FIRST_MS.saturating_mul(1 << self.failures.min(10));
        let base_ms = doubled_ms.min(self.longest_ms.get());
        self.failures += 1;
        DurationMs::new(rng.random_range(base_ms / 2..=base_ms))
    }

    /// Notes a success.
    pub const fn record_success(&mut self) {
        self.failures = 0;
    }
}
