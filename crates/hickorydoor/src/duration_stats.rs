//! Moving average and deviation of a duration.

use crate::time::DurationMs;

/// Weight of the newest sample.
const WEIGHT: f64 = 0.05;
/// Share of the times above the average.
const HALF: f64 = 0.5;
/// Average and mean absolute deviation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DurationStats {
    mean_ms: Option<f64>,
    deviation_ms: f64,
}

impl DurationStats {
    /// Takes in a sample.
    pub fn add(&mut self, sample_ms: DurationMs) {
        let sample = sample_ms.as_f64();
        let Some(mean) = &mut self.mean_ms else {
            self.mean_ms = Some(sample);
            return;
        };
        let error = sample - *mean;
        *mean += WEIGHT * error;
        self.deviation_ms += WEIGHT * (error.abs() - self.deviation_ms);
    }

    /// The average, zero without samples.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms.unwrap_or_default()
    }

    /// The average of the same time followed by another, independent one.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            mean_ms: Some(self.mean_ms() + other.mean_ms()),
            deviation_ms: self.deviation_ms.hypot(other.deviation_ms),
        }
    }

    /// Time that is exceeded with at most this probability, for exponential tails.
    pub fn upper_bound_ms(&self, probability: f64) -> f64 {
        let deviations = (HALF / probability).ln().max(0.0);
        self.mean_ms() + deviations * self.deviation_ms
    }
}
