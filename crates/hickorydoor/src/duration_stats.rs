//! Exponentially weighted mean and mean absolute deviation of a duration.

use crate::time::DurationMs;

/// Weight of the newest sample.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Assumed probability that a sample lies above the mean.
const ABOVE_MEAN: f64 = 0.5;

/// Exponentially weighted mean and mean absolute deviation of a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DurationStats {
    mean_ms: Option<f64>,
    deviation_ms: f64,
}

impl DurationStats {
    /// Updates the statistics from one sample.
    pub fn add(&mut self, sample_ms: DurationMs) {
        let sample = sample_ms.as_f64();
        let Some(mean) = &mut self.mean_ms else {
            self.mean_ms = Some(sample);
            return;
        };
        let error = sample - *mean;
        *mean += SAMPLE_WEIGHT * error;
        self.deviation_ms += SAMPLE_WEIGHT * (error.abs() - self.deviation_ms);
    }

    /// Returns the mean in milliseconds, or zero without samples.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms.unwrap_or_default()
    }

    /// Returns the statistics of the sum of this duration and another, independent one.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            mean_ms: Some(self.mean_ms() + other.mean_ms()),
            deviation_ms: self.deviation_ms.hypot(other.deviation_ms),
        }
    }

    /// Returns the duration in milliseconds that is exceeded with at most the given probability,
    /// assuming an exponential tail.
    pub fn upper_bound_ms(&self, probability: f64) -> f64 {
        let deviations = (ABOVE_MEAN / probability).ln().max(0.0);
        self.mean_ms() + deviations * self.deviation_ms
    }
}
