//! Estimates from an engine's token interval how far it has warmed up.
//!
//! A cold engine is slower than a warm one. The ratio of its current speed to its warm speed
//! determines how far between the cold and the warm limit its admission limit may grow. The
//! measurements behind this are in `docs/cold-start.md`.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Weight of a new token interval in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Relative speed at or below which an engine has no capacity above its cold limit.
const COLD_SPEED_RATIO: f64 = 0.5;
/// Relative speed below which an engine is no longer warm.
const SLOWDOWN_SPEED_RATIO: f64 = 0.5;
/// When the token interval has not improved for this long, the best one becomes the new warm
/// interval.
const PLATEAU_MS: DurationMs = DurationMs::from_secs(60);
/// A token interval counts as an improvement if it is shorter than this fraction of the best one.
const IMPROVEMENT_FACTOR: f64 = 0.95;

/// Current speed of an engine relative to its warm speed.
///
/// All intervals are scaled to an engine that runs a single stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Token interval of the warm engine.
    warm_interval_ms: f64,
    /// Moving average of the token interval; 0 before the first sample.
    interval_ms: f64,
    best_interval_ms: f64,
    best_at_ms: TimeMs,
}

impl ColdStart {
    /// Creates the state of a cold engine with an expected warm token interval of
    /// `warm_interval_ms`. Observations replace the expected interval over time.
    pub const fn new(warm_interval_ms: f64, now: TimeMs) -> Self {
        Self { warm_interval_ms, interval_ms: 0.0, best_interval_ms: f64::MAX, best_at_ms: now }
    }

    /// Discards the current and the best interval. The warm interval is kept as the reference.
    pub const fn restart(&mut self, now: TimeMs) {
        self.interval_ms = 0.0;
        self.best_interval_ms = f64::MAX;
        self.best_at_ms = now;
    }

    /// Updates the estimate from a token interval, which the caller has scaled to a single stream.
    pub fn observe(&mut self, interval_ms: f64, now: TimeMs) {
        if self.interval_ms <= 0.0 {
            self.interval_ms = interval_ms;
        } else {
            self.interval_ms += SAMPLE_WEIGHT * (interval_ms - self.interval_ms);
        }
        if self.interval_ms < self.best_interval_ms * IMPROVEMENT_FACTOR {
            self.best_interval_ms = self.interval_ms;
            self.best_at_ms = now;
        } else if now >= self.best_at_ms + PLATEAU_MS {
            self.warm_interval_ms = self.best_interval_ms;
            self.best_at_ms = now;
        }
    }

    /// Token interval of the warm engine: the configured one until the engine's own speed has
    /// stopped improving.
    pub const fn warm_interval_ms(&self) -> f64 {
        self.warm_interval_ms
    }

    /// Speed relative to the warm engine, between 0 and 1; 0 before the first sample.
    pub fn relative_speed(&self) -> f64 {
        if self.interval_ms <= 0.0 {
            return 0.0;
        }
        (self.warm_interval_ms / self.interval_ms).min(1.0)
    }

    /// Fraction of the range between cold and warm limit that the engine has capacity for, between
    /// 0 and 1.
    pub fn warm_fraction(&self) -> f64 {
        ((self.relative_speed() - COLD_SPEED_RATIO) / (1.0 - COLD_SPEED_RATIO)).clamp(0.0, 1.0)
    }

    /// Whether the engine is so much slower than its warm speed that it must count as cold. `false`
    /// before the first sample.
    pub fn has_slowed_down(&self) -> bool {
        self.interval_ms > 0.0 && self.relative_speed() < SLOWDOWN_SPEED_RATIO
    }
}
