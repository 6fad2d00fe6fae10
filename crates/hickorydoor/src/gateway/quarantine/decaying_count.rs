//! Counters that forget.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time after which an event counts half.
const HALF_LIFE_MS: DurationMs = DurationMs::from_secs(10);

/// Number of recent events, weighted by their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCount {
    value: f64,
    at: Option<TimeMs>,
}

impl DecayingCount {
    /// Counts an event.
    pub fn record(&mut self, now: TimeMs) {
        self.value = self.at(now) + 1.0;
        self.at = Some(now);
    }

    /// Returns the number of recent events.
    pub fn at(&self, now: TimeMs) -> f64 {
        let age_ms = self.at.map_or(0.0, |at| now.since(at).as_f64());
        self.value * (-age_ms / HALF_LIFE_MS.as_f64()).exp2()
    }
}
