//! Whether an upstream fails too often to be used.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Weight of a new outcome.
const GAIN: f64 = 0.2;
/// Share of failures at which an upstream is left out.
const LIMIT: f64 = 0.45;
/// Failures in a row after which an upstream is left out.
const LIMIT_IN_ROW: u32 = 2;
/// First time for which an upstream is left out; doubled with each failed trial.
const FIRST_PAUSE_MS: u64 = 1_000;
/// Longest time for which an upstream is left out.
const LONGEST_PAUSE_MS: u64 = 8_000;

/// Recent outcomes of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureScore {
    share: f64,
    in_row: u32,
    pauses: u32,
    paused_until: Option<TimeMs>,
}

impl FailureScore {
    /// Takes in a good outcome.
    pub fn succeed(&mut self) {
        self.share -= GAIN * self.share;
        self.in_row = 0;
        if self.share < LIMIT {
            self.pauses = 0;
            self.paused_until = None;
        }
    }

    /// Takes in a failure.
    pub fn fail(&mut self, now: TimeMs) {
        self.share += GAIN * (1.0 - self.share);
        self.in_row += 1;
        if self.in_row >= LIMIT_IN_ROW || self.share >= LIMIT {
            let pause_ms = (FIRST_PAUSE_MS << self.pauses.min(8)).min(LONGEST_PAUSE_MS);
            self.paused_until = Some(now + DurationMs::new(pause_ms));
            self.pauses += 1;
        }
    }

    /// Takes in an error that the upstream answered itself, which alone does not leave it out.
    pub fn note_error(&mut self) {
        self.share += GAIN / 2.0 * (1.0 - self.share);
        self.in_row = 0;
    }

    /// Whether the upstream is left out now.
    pub fn is_paused(&self, now: TimeMs) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Whether the upstream was left out and has not succeeded since.
    pub const fn is_on_trial(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Share of recent failures.
    pub const fn share(&self) -> f64 {
        self.share
    }
}
