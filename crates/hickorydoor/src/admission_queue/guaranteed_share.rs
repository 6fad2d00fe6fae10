//! The share of the served cost that a rank gets while more urgent ranks wait.
//!
//! A rank that waits earns credit with each served request and pays for its own ones. It is served
//! early when its credit covers its next request, or when it has waited for 2 s without a request
//! served and has any credit; it then pays with what it earns later. Over time it therefore gets
//! its share, to within the cost of one request, and no more at the expense of others.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Guaranteed share of a rank, in thousandths of the served cost.
const SHARE_PER_MILLE: i64 = 50;
/// Thousandths in the whole.
const PER_MILLE: i64 = 1_000;
/// Time over which a rank gets its share.
const SHARE_WINDOW_MS: DurationMs = DurationMs::from_secs(2);

/// Account of what one rank is owed.
#[derive(Clone, Debug, Default)]
pub(super) struct GuaranteedShare {
    /// Credit in thousandths of a ms of engine time; negative if the rank got more than its share.
    credit: i64,
    /// When the last request of the rank was served, or else when the rank began to wait.
    unserved_since: TimeMs,
    /// When the last request of the rank left the queue.
    empty_since: TimeMs,
    /// Bound of the credit: the part that was earned within one to two windows.
    recent: [i64; 2],
    window_start: TimeMs,
}

impl GuaranteedShare {
    /// Records that the rank has a waiting request again. Credit is lost after a window without any.
    pub fn start(&mut self, now: TimeMs) {
        if self.has_lapsed(now) {
            *self = Self { unserved_since: now, window_start: now, ..Self::default() };
        }
    }

    /// Records that the last waiting request of the rank has left the queue.
    pub const fn stop(&mut self, now: TimeMs) {
        self.empty_since = now;
    }

    /// Returns whether nothing is owed to a rank without waiting requests.
    pub fn has_lapsed(&self, now: TimeMs) -> bool {
        now.since(self.empty_since) >= SHARE_WINDOW_MS
    }

    /// Records a served request of another rank.
    pub fn earn(&mut self, cost_ms: u64, next_cost_ms: u64, now: TimeMs) {
        if now.since(self.window_start) >= SHARE_WINDOW_MS {
            self.recent = [0, self.recent[0]];
            self.window_start = now;
        }
        let earned = cost_ms.cast_signed() * SHARE_PER_MILLE;
        self.recent[0] += earned;
        let most = self.recent[0] + self.recent[1];
        self.credit = (self.credit + earned).min(most.max(price(next_cost_ms)));
    }

    /// Records a served request of the rank. One that took no more urgent request's place leaves a
    /// debt of its own price at most.
    pub fn pay(&mut self, cost_ms: u64, now: TimeMs) {
        let price = price(cost_ms);
        self.credit = (self.credit - price).max(-price);
        self.unserved_since = now;
    }

    /// Returns whether the next request of the rank is to be served before more urgent ones.
    pub fn is_owed(&self, next_cost_ms: u64, now: TimeMs) -> bool {
        let has_waited = now.since(self.unserved_since) >= SHARE_WINDOW_MS;
        self.credit >= price(next_cost_ms) || (has_waited && self.credit > 0)
    }
}

/// Returns what a request of a rank costs it: its cost without the part that the rank earns by it.
const fn price(cost_ms: u64) -> i64 {
    cost_ms.cast_signed() * (PER_MILLE - SHARE_PER_MILLE)
}

/// Returns the cost of a less urgent rank that may be served beside this cost.
pub(super) const fn earned_beside_ms(cost_ms: u64) -> u64 {
    cost_ms * SHARE_PER_MILLE.cast_unsigned() / (PER_MILLE - SHARE_PER_MILLE).cast_unsigned()
}
