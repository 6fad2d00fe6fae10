//! Availability of the rating service as an entry sees it.

use crate::duration_stats::DurationStats;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Faults in a row after which the service counts as unavailable.
const MAX_FAULTS: u32 = 3;
/// Time after which one answer is judged again while the service is unavailable.
const PROBE_MS: DurationMs = DurationMs::from_secs(5);

/// What is known about the rating service.
#[derive(Clone, Debug, Default)]
pub struct RatingHealth {
    faults: u32,
    probe_at_ms: TimeMs,
    response_time: DurationStats,
}

impl RatingHealth {
    /// Takes in a rating that came after `time_ms`.
    pub fn on_rating(&mut self, time_ms: DurationMs) {
        self.faults = 0;
        self.response_time.add(time_ms);
    }

    /// Takes in the absence of a rating.
    pub fn on_fault(&mut self, now: TimeMs) {
        self.faults += 1;
        self.probe_at_ms = now + PROBE_MS;
    }

    /// Whether answers can be judged now. While the service is unavailable, one probe is let
    /// through at a time.
    pub fn is_available(&mut self, now: TimeMs) -> bool {
        if self.faults < MAX_FAULTS {
            return true;
        }
        let probes = now >= self.probe_at_ms;
        if probes {
            self.probe_at_ms = now + PROBE_MS;
        }
        probes
    }

    /// Time that a rating takes.
    pub const fn response_time(&self) -> &DurationStats {
        &self.response_time
    }
}
