//! Ejection of upstreams that fail too often (outlier detection).

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Weight of a new outcome in the moving average.
const GAIN: f64 = 0.2;
/// Average share of failures at which an upstream is ejected.
const MAX_FAILURE_SHARE: f64 = 0.45;
/// Number of consecutive failures at which an upstream is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// First ejection time; doubled with each further ejection until the upstream has recovered.
const BASE_EJECTION_MS: u64 = 1_000;
/// Maximum ejection time.
const MAX_EJECTION_MS: u64 = 8_000;

/// Moving average of recent outcomes of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureScore {
    share: f64,
    consecutive: u32,
    ejections: u32,
    ejected_until: Option<TimeMs>,
}

impl FailureScore {
    /// Records a success. It ends the probation once the average share of failures is low enough.
    pub fn on_success(&mut self) {
        self.share -= GAIN * self.share;
        self.consecutive = 0;
        if self.share < MAX_FAILURE_SHARE {
            self.ejections = 0;
            self.ejected_until = None;
        }
    }

    /// Records a failure and ejects the upstream if it fails too often.
    pub fn on_failure(&mut self, now: TimeMs) {
        self.share += GAIN * (1.0 - self.share);
        self.consecutive += 1;
        if self.consecutive >= MAX_CONSECUTIVE_FAILURES || self.share >= MAX_FAILURE_SHARE {
            let ejection_ms = (BASE_EJECTION_MS << self.ejections.min(8)).min(MAX_EJECTION_MS);
            self.ejected_until = Some(now + DurationMs::new(ejection_ms));
            self.ejections += 1;
        }
    }

    /// Records an error response. It counts half as much as a failure and does not eject the
    /// upstream.
    pub fn on_error(&mut self) {
        self.share += GAIN / 2.0 * (1.0 - self.share);
        self.consecutive = 0;
    }

    /// Returns whether the upstream is currently ejected.
    pub fn is_ejected(&self, now: TimeMs) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the upstream was ejected and has not recovered since.
    pub const fn is_on_probation(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns the moving average of the share of failures, from 0 to 1.
    pub const fn share(&self) -> f64 {
        self.share
    }
}
