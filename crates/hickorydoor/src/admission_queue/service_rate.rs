//! Moving average of the rate at which requests are served.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Weight of the newest interval in the moving average.
const NEWEST_RATE_WEIGHT: f64 = 0.3;
/// Minimum interval over which served requests are counted.
const RATE_INTERVAL_MS: DurationMs = DurationMs::new(500);

/// Rate at which requests are served.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceRate {
    served_count: u32,
    rate_per_s: f64,
    interval_start_ms: TimeMs,
}

impl ServiceRate {
    /// Returns the rate in requests per second.
    pub const fn per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Counts a served request.
    pub fn record(&mut self, now: TimeMs) {
        self.served_count += 1;
        self.update(now);
    }

    /// Averages over the interval up to now, if it is long enough.
    pub fn update(&mut self, now: TimeMs) {
        let elapsed_ms = now.since(self.interval_start_ms);
        if elapsed_ms < RATE_INTERVAL_MS {
            return;
        }
        let rate_per_s = f64::from(self.served_count) * 1_000.0 / elapsed_ms.as_f64();
        self.rate_per_s += NEWEST_RATE_WEIGHT * (rate_per_s - self.rate_per_s);
        self.served_count = 0;
        self.interval_start_ms = now;
    }
}
