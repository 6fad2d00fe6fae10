//! Shortage of room for one rank, as seen from requests that were sent and do not start.
//!
//! The backlog of the engines does not say how much more urgent work will arrive, which is served
//! first. That the requests of a rank have waited for a considerable part of their objective shows
//! it. From then on, as many of them are sent as start within the objective at the rate at which
//! they do start.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Share of the objective after which a request without a first event counts as delayed.
const DELAYED_OBJECTIVE_SHARE: f64 = 0.5;
/// Number of delayed requests below which there is no shortage; a single one says something of its
/// engine only.
const MIN_DELAYED: u32 = 2;
/// Share of the unstarted requests that are delayed in a shortage.
const MIN_DELAYED_SHARE: f64 = 0.25;
/// How long a shortage is assumed to last without further signs of it.
const SHORTAGE_MS: DurationMs = DurationMs::from_secs(5);
/// Requests that are sent although none of the rank starts, so that the end of a shortage is seen.
const MAX_PROBES: u32 = 2;

/// Requests of one rank at one service that have no first event yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankShortage {
    unstarted: u32,
    delayed: u32,
    work_ms: f64,
    seen_at: Option<TimeMs>,
}

impl RankShortage {
    /// Starts a new count of the unstarted requests.
    pub fn begin_count(&mut self) {
        let seen_at = self.seen_at;
        *self = Self { seen_at, ..Self::default() };
    }

    /// Counts a request that has waited for its first event for `waited_ms`.
    pub fn count(&mut self, work_ms: f64, waited_ms: f64, objective_ms: f64) {
        self.unstarted += 1;
        self.work_ms += work_ms;
        self.delayed += u32::from(waited_ms > objective_ms * DELAYED_OBJECTIVE_SHARE);
    }

    /// Records whether the count shows a shortage.
    pub fn end_count(&mut self, now: TimeMs) {
        let min_delayed = f64::from(self.unstarted) * MIN_DELAYED_SHARE;
        if self.delayed >= MIN_DELAYED && f64::from(self.delayed) >= min_delayed {
            self.seen_at = Some(now);
        }
    }

    /// Returns the expected time to the first event of one more request with this work, in ms, if
    /// `finished` of the rank's work finishes per ms; `None` unless there is a shortage.
    pub fn expected_ms(&self, work_ms: f64, finished: f64, now: TimeMs) -> Option<f64> {
        let seen_at = self.seen_at?;
        if now.since(seen_at) > SHORTAGE_MS || self.unstarted < MAX_PROBES {
            return None;
        }
        Some((self.work_ms + work_ms) / finished)
    }
}
