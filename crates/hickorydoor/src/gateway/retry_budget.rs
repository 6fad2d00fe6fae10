//! Budget of requests that may be sent to a second upstream.
//!
//! The bound holds for all gateways together over a sliding window. Each gateway stays below a
//! fraction of the ratio, applied to its own requests, plus its part of the fixed allowance, so
//! that the sum stays within the bound without messages between gateways.

use std::collections::VecDeque;

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Share of the ratio that a gateway uses; the rest covers sliding windows that are not aligned.
const RATIO_SHARE: f64 = 0.92;
/// Share of the ratio up to which optional retries are allowed; the rest is left for failures.
const OPTIONAL_RATIO_SHARE: f64 = 0.75;
/// Share of the fixed allowance that all gateways together use.
const EXTRA_SHARE: f64 = 0.6;

/// Bound on retries over a sliding window, for all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition.
    pub extra: f64,
    /// Length of the sliding window.
    pub window_ms: DurationMs,
}

/// First attempts and retries of one service in the current window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    first_attempts: VecDeque<TimeMs>,
    retries: VecDeque<TimeMs>,
}

impl RetryBudget {
    /// Records a first attempt, which raises the number of allowed retries.
    pub fn record_first_attempt(&mut self, bound: &RetryBound, now: TimeMs) {
        drop_older(&mut self.first_attempts, bound.window_ms, now);
        self.first_attempts.push_back(now);
    }

    /// Returns the number of attempts that are remembered.
    pub fn len(&self) -> usize {
        self.first_attempts.len() + self.retries.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a retry from the budget; returns `false` if none is left. `gateways` is the number of
    /// gateways that share the bound.
    pub fn try_spend(&mut self, bound: &RetryBound, gateways: usize, now: TimeMs) -> bool {
        if !self.can_spend(bound, gateways, now) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns whether a retry is left.
    pub fn can_spend(&mut self, bound: &RetryBound, gateways: usize, now: TimeMs) -> bool {
        self.has_budget(bound, RATIO_SHARE, gateways, now)
    }

    /// Returns whether a retry is left for optional use, with some kept in reserve for failures.
    pub fn can_spend_optional(&mut self, bound: &RetryBound, gateways: usize, now: TimeMs) -> bool {
        self.has_budget(bound, OPTIONAL_RATIO_SHARE, gateways, now)
    }

    fn has_budget(
        &mut self,
        bound: &RetryBound,
        ratio_share: f64,
        gateways: usize,
        now: TimeMs,
    ) -> bool {
        drop_older(&mut self.first_attempts, bound.window_ms, now);
        drop_older(&mut self.retries, bound.window_ms, now);
        let share = bound.extra * EXTRA_SHARE / gateways.max(1) as f64;
        let allowed = bound.ratio * ratio_share * self.first_attempts.len() as f64 + share;
        (self.retries.len() + 1) as f64 <= allowed
    }
}

fn drop_older(times: &mut VecDeque<TimeMs>, window_ms: DurationMs, now: TimeMs) {
    while times.front().is_some_and(|time| now.since(*time) > window_ms) {
        times.pop_front();
    }
}
