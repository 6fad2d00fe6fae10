//! Rate limit for answers that are rated outside cascades.

use crate::time::TimeMs;

/// Capacity of the bucket, in seconds of the sampling rate.
const BURST_S: f64 = 2.0;
/// Share of the capacity that only canaries may use.
const CANARY_RESERVE: f64 = 0.5;

/// Token bucket for rating calls.
#[derive(Clone, Debug)]
pub struct RatingSampler {
    rate_per_s: f64,
    available: f64,
    refilled_at_ms: TimeMs,
}

impl RatingSampler {
    /// Creates a full bucket that allows `rate_per_s` ratings per second.
    pub const fn new(rate_per_s: f64, now: TimeMs) -> Self {
        Self { rate_per_s, available: rate_per_s * BURST_S, refilled_at_ms: now }
    }

    /// Returns whether an answer may be rated now, and if so, consumes one token. Versions other
    /// than canaries leave half of the bucket to the canaries.
    pub fn try_acquire(&mut self, is_canary: bool, now: TimeMs) -> bool {
        let capacity = self.rate_per_s * BURST_S;
        let elapsed_s = now.since(self.refilled_at_ms).as_f64() / 1000.0;
        self.available = (self.available + elapsed_s * self.rate_per_s).min(capacity);
        self.refilled_at_ms = now;
        let reserve = if is_canary { 0.0 } else { capacity * CANARY_RESERVE };
        let granted = self.available >= reserve + 1.0;
        self.available -= f64::from(u8::from(granted));
        granted
    }
}
