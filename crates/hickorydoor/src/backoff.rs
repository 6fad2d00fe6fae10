//! Exponential backoff with jitter for calls to a failing service.

use rand::Rng;
use rand::RngExt;

use crate::time::DurationMs;

const INITIAL_DELAY_MS: u64 = 500;
/// Upper bound for calls that every agent makes. When the service recovers, 12,000 agents spread
/// their calls over this time.
const MAX_DELAY_MS: DurationMs = DurationMs::from_secs(30);
/// Upper bound for calls whose delay affects callers or bills. Only entries and the agents of plain
/// services make such calls: 560 entries make about 150 calls a second during an outage.
const MAX_URGENT_DELAY_MS: DurationMs = DurationMs::from_secs(5);

/// Delay between calls that doubles with each consecutive failure, up to a maximum. Random jitter
/// keeps the processes of a fleet from calling a recovered service all at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    consecutive_failures: u32,
    max_delay_ms: DurationMs,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { consecutive_failures: 0, max_delay_ms: MAX_DELAY_MS }
    }
}

impl Backoff {
    /// Returns a backoff of at most 5 s, for calls whose delay affects callers or bills and that
    /// few processes make. The default is at most 30 s.
    pub const fn urgent() -> Self {
        Self { consecutive_failures: 0, max_delay_ms: MAX_URGENT_DELAY_MS }
    }

    /// Records a failed call and returns the delay before the next one: a random value between half
    /// of the current delay and all of it.
    pub fn record_failure<R: Rng>(&mut self, rng: &mut R) -> DurationMs {
        let doubled_ms = INITIAL_DELAY_MS.saturating_mul(1 << self.consecutive_failures.min(10));
        let base_ms = doubled_ms.min(self.max_delay_ms.get());
        self.consecutive_failures += 1;
        DurationMs::new(rng.random_range(base_ms / 2..=base_ms))
    }

    /// Records a successful call, so that the next failure starts again from the shortest delay.
    pub const fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }
}
