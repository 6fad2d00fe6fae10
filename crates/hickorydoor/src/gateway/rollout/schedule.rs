//! When the steps of a rollout are due.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time between the completion and the deadline: the operator reads the outcome now and then, and
/// another gateway may have to write it.
const COMPLETION_MARGIN_MS: DurationMs = DurationMs::new(500);
/// Part of the duration for which all requests go to the new version before the old one is stopped,
/// so that the old one finishes what it has begun.
const FULL_PART: f64 = 0.02;
/// Bounds of the same, in ms.
const FULL_RANGE_MS: (f64, f64) = (200.0, 30_000.0);
/// The least of the same for a version that has not carried its later load before, in ms.
const UNTESTED_LOAD_FULL_MS: f64 = 600.0;
/// Part of the duration after which the share of the new version is widened. Sessions must not move
/// before.
const WIDENED_AFTER_PART: f64 = 0.5;
/// Uncertainty of the time of the order.
const ORDER_UNCERTAINTY_MS: DurationMs = DurationMs::new(300);

/// The times of a rollout that was ordered at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// When the rollout was ordered.
    pub ordered_at: TimeMs,
    /// Time from the order to the deadline.
    pub duration_ms: DurationMs,
    /// Whether the upstreams of the new version carry about their later load before all requests
    /// move to them.
    pub is_load_tested: bool,
}

impl Schedule {
    /// Returns when the share of the new version is widened.
    pub fn widened_at(&self) -> TimeMs {
        self.after_part(WIDENED_AFTER_PART) + ORDER_UNCERTAINTY_MS
    }

    /// Returns when all requests move to the new version.
    pub fn full_at(&self) -> TimeMs {
        (self.completed_at() - self.full_ms()).max(self.widened_at())
    }

    /// Returns the time from the order to the move of all requests.
    pub fn time_to_full(&self) -> DurationMs {
        self.full_at().since(self.ordered_at)
    }

    /// Returns how long all requests go to the new version before the old one is stopped.
    pub fn full_ms(&self) -> DurationMs {
        let (mut min_ms, max_ms) = FULL_RANGE_MS;
        if !self.is_load_tested {
            min_ms = UNTESTED_LOAD_FULL_MS;
        }
        DurationMs::new((self.duration_ms.as_f64() * FULL_PART).clamp(min_ms, max_ms) as u64)
    }

    /// Returns when the rollout is completed.
    pub fn completed_at(&self) -> TimeMs {
        self.deadline() - COMPLETION_MARGIN_MS
    }

    /// Returns the deadline of the order.
    pub fn deadline(&self) -> TimeMs {
        self.ordered_at + self.duration_ms
    }

    /// Returns when a version that is neither known to be sound nor known to be at fault is judged
    /// by the little that is known.
    pub fn judged_at(&self) -> TimeMs {
        self.deadline() + self.duration_ms
    }

    fn after_part(&self, part: f64) -> TimeMs {
        self.ordered_at + DurationMs::new((self.duration_ms.as_f64() * part) as u64)
    }
}
