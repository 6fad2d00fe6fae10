//! Availability of the rating service, as observed by an entry.

use crate::duration_stats::DurationStats;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Number of consecutive faults after which the service counts as unavailable.
const MAX_CONSECUTIVE_FAULTS: u32 = 3;
/// Interval at which single answers are rated as probes while the service is unavailable.
const PROBE_INTERVAL_MS: DurationMs = DurationMs::from_secs(5);

/// Availability and response times of the rating service.
#[derive(Clone, Debug, Default)]
pub struct RatingHealth {
    consecutive_faults: u32,
    next_probe_at_ms: TimeMs,
    response_time: DurationStats,
}

impl RatingHealth {
    /// Records a rating that arrived `time_ms` after it was requested.
    pub fn on_rating(&mut self, time_ms: DurationMs) {
        self.consecutive_faults = 0;
        self.response_time.add(time_ms);
    }

    /// Records that a requested rating failed or timed out.
    pub fn on_fault(&mut self, now: TimeMs) {
        self.consecutive_faults += 1;
        self.next_probe_at_ms = now + PROBE_INTERVAL_MS;
    }

    /// Returns whether an answer can be rated now. While the service is unavailable, this is true
    /// once per probe interval.
    pub fn is_available(&mut self, now: TimeMs) -> bool {
        if self.consecutive_faults < MAX_CONSECUTIVE_FAULTS {
            return true;
        }
        let probe_due = now >= self.next_probe_at_ms;
        if probe_due {
            self.next_probe_at_ms = now + PROBE_INTERVAL_MS;
        }
        probe_due
    }

    /// Returns the statistics of the service's response times.
    pub const fn response_time(&self) -> &DurationStats {
        &self.response_time
    }
}
