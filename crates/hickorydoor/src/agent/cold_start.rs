//! How warm an engine is, judged by its speed.
//!
//! A cold engine is slow. The ratio of the speed it has shown to the speed it shows now gives the
//! part of its warm limit that it can bear; `docs/cold-start.md` has the figures.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Weight of the newest token interval in the moving average.
const NEWEST_WEIGHT: f64 = 0.1;
/// Relative speed at which an engine bears nothing above its cold limit.
const COLD_SPEED: f64 = 0.5;
/// An engine whose speed falls below this share of what it has shown has lost its warmth.
const COLLAPSE_SPEED: f64 = 0.5;
/// An engine that has not become faster for this long has shown its warm speed.
const PLATEAU_MS: DurationMs = DurationMs::from_secs(60);
/// Smallest relative gain that counts as becoming faster.
const GAIN: f64 = 0.95;

/// Speed of an engine relative to what it has shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Token interval of the idle engine when warm.
    warm_interval_ms: f64,
    /// Moving average of the same, now; 0 before the first sample.
    interval_ms: f64,
    best_interval_ms: f64,
    best_at_ms: TimeMs,
}

impl ColdStart {
    /// A cold engine whose warm token interval, without other work, is about `warm_interval_ms`.
    pub const fn new(warm_interval_ms: f64, now: TimeMs) -> Self {
        Self { warm_interval_ms, interval_ms: 0.0, best_interval_ms: f64::MAX, best_at_ms: now }
    }

    /// Forgets the current speed; what the engine has shown stays the measure.
    pub const fn restart(&mut self, now: TimeMs) {
        self.interval_ms = 0.0;
        self.best_interval_ms = f64::MAX;
        self.best_at_ms = now;
    }

    /// Takes over a token interval, scaled to an engine without other work.
    pub fn observe(&mut self, interval_ms: f64, now: TimeMs) {
        if self.interval_ms <= 0.0 {
            self.interval_ms = interval_ms;
        } else {
            self.interval_ms += NEWEST_WEIGHT * (interval_ms - self.interval_ms);
        }
        if self.interval_ms < self.best_interval_ms * GAIN {
            self.best_interval_ms = self.interval_ms;
            self.best_at_ms = now;
        } else if now >= self.best_at_ms + PLATEAU_MS {
            self.warm_interval_ms = self.best_interval_ms;
            self.best_at_ms = now;
        }
    }

    /// Token interval of a warm engine without other work.
    pub const fn warm_interval_ms(&self) -> f64 {
        self.warm_interval_ms
    }

    /// Speed relative to a warm engine; 0 while nothing is known.
    pub fn relative_speed(&self) -> f64 {
        if self.interval_ms <= 0.0 {
            return 0.0;
        }
        (self.warm_interval_ms / self.interval_ms).min(1.0)
    }

    /// The part of the way from the cold to the warm limit that the engine can bear.
    pub fn warmth(&self) -> f64 {
        ((self.relative_speed() - COLD_SPEED) / (1.0 - COLD_SPEED)).clamp(0.0, 1.0)
    }

    /// Whether the engine is much slower than it has shown.
    pub fn has_collapsed(&self) -> bool {
        self.interval_ms > 0.0 && self.relative_speed() < COLLAPSE_SPEED
    }
}
