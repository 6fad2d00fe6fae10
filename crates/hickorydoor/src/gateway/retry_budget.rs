//! How many requests may be sent to a second upstream.
//!
//! The bound holds for all gateways together over a sliding window. Each gateway stays below a
//! fraction of the ratio of its own requests plus its part of the fixed allowance, so the sum
//! stays inside without messages between them.

use std::collections::VecDeque;

use crate::time::DurationMs;
use crate::time::TimeMs;

/// The share of the ratio that one gateway uses; the rest covers windows that move apart.
const RATIO_SHARE: f64 = 0.92;
/// The share of the ratio that is used for repeats that are not needed.
const SPARE_SHARE: f64 = 0.75;
/// The share of the fixed allowance that all gateways use together.
const EXTRA_SHARE: f64 = 0.6;

/// Bound on repeats over a window, for all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub extra: f64,
    /// Length of the window.
    pub window_ms: DurationMs,
}

/// Requests and repeats of one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    firsts: VecDeque<TimeMs>,
    repeats: VecDeque<TimeMs>,
}

impl RetryBudget {
    /// Counts a request that is sent for the first time.
    pub fn on_first(&mut self, now: TimeMs) {
        self.firsts.push_back(now);
    }

    /// Takes a repeat from the budget, which `gateways` share; returns whether there was one.
    pub fn spend(&mut self, bound: &RetryBound, gateways: usize, now: TimeMs) -> bool {
        if !self.can_spend(bound, gateways, now) {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Whether a repeat is left.
    pub fn can_spend(&mut self, bound: &RetryBound, gateways: usize, now: TimeMs) -> bool {
        self.has_left(bound, RATIO_SHARE, gateways, now)
    }

    /// Whether a repeat is left that is not needed, so that failures find some later.
    pub fn has_spare(&mut self, bound: &RetryBound, gateways: usize, now: TimeMs) -> bool {
        self.has_left(bound, SPARE_SHARE, gateways, now)
    }

    fn has_left(
        &mut self,
        bound: &RetryBound,
        ratio_share: f64,
        gateways: usize,
        now: TimeMs,
    ) -> bool {
        drop_older(&mut self.firsts, bound.window_ms, now);
        drop_older(&mut self.repeats, bound.window_ms, now);
        let share = bound.extra * EXTRA_SHARE / gateways.max(1) as f64;
        let allowed = bound.ratio * ratio_share * self.firsts.len() as f64 + share;
        (self.repeats.len() + 1) as f64 <= allowed
    }
}

fn drop_older(times: &mut VecDeque<TimeMs>, window_ms: DurationMs, now: TimeMs) {
    while times.front().is_some_and(|time| now.since(*time) > window_ms) {
        times.pop_front();
    }
}
