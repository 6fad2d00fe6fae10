//! Adaptive concurrency limit of one upstream.
//!
//! The limit covers the attempts of all entries. For an engine it starts at the cold limit, grows
//! by one with each first token that meets its target, up to a ceiling derived from the engine's
//! speed, and drops to the cold limit at once when the engine slows down, stops producing output or
//! restarts. For a plain service it starts at the warm limit, drops on an error or a restart, and
//! grows by one with each call that responds in time or succeeds.

use crate::agent::cold_start::ColdStart;
use crate::agent::speed_estimate::interval_growth;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Output has stalled when none arrived for this many expected output intervals.
const STALL_FACTOR: f64 = 5.0;
/// Output does not count as stalled before this time, however short the expected output interval
/// is.
const MIN_STALL_TIMEOUT_MS: DurationMs = DurationMs::new(150);
/// An engine with decoding streams or an overdue first token, but no output for this long, counts
/// as hung: its limit is 1 until it produces output.
const HANG_TIMEOUT_MS: DurationMs = DurationMs::from_secs(1);

/// Concurrency limit of one upstream and the state that adapts it.
#[derive(Clone, Debug)]
pub struct AdmissionLimit {
    cold_limit: u32,
    warm_limit: u32,
    limit: u32,
    cold_start: ColdStart,
    /// Whether the upstream is an engine; plain services have no token intervals.
    is_engine: bool,
    /// When the upstream last produced output or became busy.
    last_output_at_ms: TimeMs,
    /// Expected time between two outputs of the upstream.
    expected_output_interval_ms: f64,
    hung: bool,
}

impl AdmissionLimit {
    /// Creates the limit of an upstream without measurements. An engine starts at `cold_limit`, a
    /// plain service at `warm_limit`; `cold_limit` is capped at `warm_limit`.
    ///
    /// `warm_interval_ms` is the expected token interval of the warm, otherwise idle engine.
    pub fn new(
        cold_limit: u32,
        warm_limit: u32,
        is_engine: bool,
        warm_interval_ms: f64,
        now: TimeMs,
    ) -> Self {
        let cold_limit = cold_limit.min(warm_limit);
        Self {
            cold_limit,
            warm_limit,
            // Plain services have no cold start; their limit drops only on errors.
            limit: if is_engine { cold_limit } else { warm_limit },
            cold_start: ColdStart::new(warm_interval_ms, now),
            is_engine,
            last_output_at_ms: now,
            expected_output_interval_ms: 0.0,
            hung: false,
        }
    }

    /// Maximum number of concurrent attempts; 1 while the engine hangs, as a probe.
    pub const fn limit(&self) -> u32 {
        if self.hung { 1 } else { self.limit }
    }

    /// Whether another attempt may start while `running` attempts are in progress.
    pub const fn admits(&self, running: usize) -> bool {
        running < self.limit() as usize
    }

    /// Resets to the cold limit after the upstream restarted, failed or loaded a version. Also
    /// lowers the limit of a plain service.
    pub const fn restart(&mut self, now: TimeMs) {
        self.limit = self.cold_limit;
        self.cold_start.restart(now);
        self.last_output_at_ms = now;
        self.expected_output_interval_ms = 0.0;
        self.hung = false;
    }

    /// Restarts the output timer when the upstream gets work after being idle, so that the idle
    /// time does not count as a stall.
    pub const fn restart_output_timer(&mut self, now: TimeMs) {
        self.last_output_at_ms = now;
    }

    /// Records that a stream produced `tokens` after a gap of `gap_ms` while `running` attempts
    /// were in progress. Returns whether the limit dropped. Has no effect for plain services.
    pub fn on_output(
        &mut self,
        tokens: u64,
        gap_ms: DurationMs,
        running: usize,
        now: TimeMs,
    ) -> bool {
        if !self.is_engine {
            return false;
        }
        self.hung = false;
        self.last_output_at_ms = now;
        let gap_ms = gap_ms.as_f64();
        let interval_ms = gap_ms / tokens.max(1) as f64;
        self.cold_start
            .observe(interval_ms / interval_growth(running as u32, self.warm_limit), now);
        // The streams of a batch produce output in turn, so some output arrives at least this
        // often.
        let warm_ms = self.cold_start.warm_interval_ms() * tokens.max(1) as f64;
        self.expected_output_interval_ms =
            warm_ms * interval_growth(running as u32, self.warm_limit);
        let above_cold = self.limit > self.cold_limit;
        let slowed_down = above_cold && self.cold_start.has_slowed_down();
        if slowed_down {
            self.drop_to_cold_limit(now);
        }
        slowed_down
    }

    /// Records a first token. Raises the limit by one if the token was on time, at least half of
    /// the limit is in use and an engine is fast enough for more.
    pub fn on_first_token(&mut self, on_time: bool, running: usize, now: TimeMs) {
        self.hung = false;
        self.last_output_at_ms = now;
        let half_used = running * 2 >= self.limit as usize;
        if on_time && half_used && self.limit < self.growth_ceiling() {
            self.limit += 1;
        }
    }

    /// Records the end of a call to a plain service, which raises the limit by one on success and
    /// drops it to the cold limit on failure. Has no effect for engines.
    pub fn on_call_ended(&mut self, succeeded: bool, now: TimeMs) {
        if self.is_engine {
            return;
        }
        if succeeded {
            self.limit = (self.limit + 1).min(self.warm_limit);
        } else {
            self.drop_to_cold_limit(now);
        }
    }

    /// Checks for stalled output while `decoding` streams have had their first token;
    /// `first_token_overdue` says that a first token is overdue. Returns whether the limit dropped.
    /// Has no effect for plain services.
    pub fn on_tick(&mut self, decoding: usize, first_token_overdue: bool, now: TimeMs) -> bool {
        if !self.is_engine {
            return false;
        }
        let silence_ms = now.since(self.last_output_at_ms);
        if decoding == 0 && !first_token_overdue {
            return false;
        }
        let stall_timeout_ms =
            DurationMs::new((self.expected_output_interval_ms * STALL_FACTOR) as u64);
        let stalled = decoding > 0 && silence_ms >= stall_timeout_ms.max(MIN_STALL_TIMEOUT_MS);
        let was_hung = self.hung;
        self.hung |= silence_ms >= HANG_TIMEOUT_MS;
        if (stalled || first_token_overdue) && self.limit > self.cold_limit {
            self.drop_to_cold_limit(now);
            return true;
        }
        self.hung && !was_hung
    }

    /// Highest limit that the engine's current speed justifies.
    fn growth_ceiling(&self) -> u32 {
        if !self.is_engine {
            return self.warm_limit;
        }
        let range = f64::from(self.warm_limit - self.cold_limit);
        self.cold_limit + (range * self.cold_start.warm_fraction()) as u32
    }

    const fn drop_to_cold_limit(&mut self, now: TimeMs) {
        self.limit = self.cold_limit;
        self.cold_start.restart(now);
    }
}
