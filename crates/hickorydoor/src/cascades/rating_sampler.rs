//! Bounds the answers that are rated outside cascades.

use crate::time::TimeMs;

/// Seconds of sampling that may be saved up for bursts.
const BURST_S: f64 = 2.0;
/// Share of the saved samples that is kept for canaries.
const RESERVED: f64 = 0.5;

/// Token bucket of rating calls.
#[derive(Clone, Debug)]
pub struct RatingSampler {
    rate_per_s: f64,
    available: f64,
    filled_at_ms: TimeMs,
}

impl RatingSampler {
    /// A full bucket for this many ratings a second.
    pub const fn new(rate_per_s: f64, now: TimeMs) -> Self {
        Self { rate_per_s, available: rate_per_s * BURST_S, filled_at_ms: now }
    }

    /// Takes a sample if the rate allows it. Other versions leave half of the bucket to canaries.
    pub fn try_acquire(&mut self, is_canary: bool, now: TimeMs) -> bool {
        let capacity = self.rate_per_s * BURST_S;
        let passed_s = now.since(self.filled_at_ms).as_f64() / 1000.0;
        self.available = (self.available + passed_s * self.rate_per_s).min(capacity);
        self.filled_at_ms = now;
        let reserve = if is_canary { 0.0 } else { capacity * RESERVED };
        let granted = self.available >= reserve + 1.0;
        self.available -= f64::from(u8::from(granted));
        granted
    }
}
