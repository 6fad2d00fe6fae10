//! The agent's admission limit.
//!
//! The limit is counted across all entries. It starts at the cold limit, grows by one with each
//! first token in time as far as the engine's speed shows that it is warm, and falls to the cold
//! limit at once when the speed falls away, output stops, or the engine restarts.

use crate::agent::cold_start::ColdStart;
use crate::agent::speed_estimate::interval_growth;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Output that is late by this factor counts as stopped.
const STALL_FACTOR: f64 = 5.0;
/// Shortest time without output that counts as stopped.
const MIN_STALL_MS: DurationMs = DurationMs::new(150);
/// An engine without any output for this long gets no new work until it produces some.
const HANG_MS: DurationMs = DurationMs::from_secs(1);

/// Admission limit of one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    cold_limit: u32,
    warm_limit: u32,
    limit: u32,
    cold_start: ColdStart,
    /// Whether token intervals show the speed; plain services have none.
    engine: bool,
    /// When the upstream produced output last or became idle.
    output_at_ms: TimeMs,
    /// Expected time until the next output.
    output_interval_ms: f64,
    hung: bool,
}

impl Admission {
    /// The limit of an upstream about which nothing is known yet; engines count as cold.
    pub fn new(
        cold_limit: u32,
        warm_limit: u32,
        engine: bool,
        warm_interval_ms: f64,
        now: TimeMs,
    ) -> Self {
        let cold_limit = cold_limit.min(warm_limit);
        Self {
            cold_limit,
            warm_limit,
            // Plain services have no cold start; their limit falls on errors only.
            limit: if engine { cold_limit } else { warm_limit },
            cold_start: ColdStart::new(warm_interval_ms, now),
            engine,
            output_at_ms: now,
            output_interval_ms: 0.0,
            hung: false,
        }
    }

    /// Attempts that may run at the same time now.
    pub const fn limit(&self) -> u32 {
        if self.hung { 1 } else { self.limit }
    }

    /// Whether one more attempt may run beside `running` others.
    pub const fn admits(&self, running: usize) -> bool {
        running < self.limit() as usize
    }

    /// The upstream restarted or loaded a version.
    pub const fn restart(&mut self, now: TimeMs) {
        self.limit = self.cold_limit;
        self.cold_start.restart(now);
        self.output_at_ms = now;
        self.output_interval_ms = 0.0;
        self.hung = false;
    }

    /// The upstream became idle or busy; silence before this moment means nothing.
    pub const fn start_silence(&mut self, now: TimeMs) {
        self.output_at_ms = now;
    }

    /// A stream produced `tokens` after `gap_ms`, beside `running` attempts. Returns whether the
    /// limit collapsed.
    pub fn on_output(
        &mut self,
        tokens: u64,
        gap_ms: DurationMs,
        running: usize,
        now: TimeMs,
    ) -> bool {
        if !self.engine {
            return false;
        }
        self.hung = false;
        self.output_at_ms = now;
        let gap_ms = gap_ms.as_f64();
        let interval_ms = gap_ms / tokens.max(1) as f64;
        self.cold_start
            .observe(interval_ms / interval_growth(running as u32, self.warm_limit), now);
        // The streams of a batch take turns, so one of them produces output at least this often.
        let warm_ms = self.cold_start.warm_interval_ms() * tokens.max(1) as f64;
        self.output_interval_ms = warm_ms * interval_growth(running as u32, self.warm_limit);
        let above = self.limit > self.cold_limit;
        let collapsed = above && self.cold_start.has_collapsed();
        if collapsed {
            self.collapse(now);
        }
        collapsed
    }

    /// A first token came. Grows the limit if it came in time and the engine bears more.
    pub fn on_first_token(&mut self, in_time: bool, running: usize, now: TimeMs) {
        self.hung = false;
        self.output_at_ms = now;
        let used = running * 2 >= self.limit as usize;
        if in_time && used && self.limit < self.ceiling() {
            self.limit += 1;
        }
    }

    /// A call to a plain service ended well or badly.
    pub fn on_call_ended(&mut self, well: bool, now: TimeMs) {
        if self.engine {
            return;
        }
        if well {
            self.limit = (self.limit + 1).min(self.warm_limit);
        } else {
            self.collapse(now);
        }
    }

    /// Judges the silence of an upstream with `decoding` streams. Returns whether the limit
    /// collapsed.
    pub fn on_tick(&mut self, decoding: usize, waiting_too_long: bool, now: TimeMs) -> bool {
        if !self.engine {
            return false;
        }
        let silence_ms = now.since(self.output_at_ms);
        if decoding == 0 && !waiting_too_long {
            return false;
        }
        let late_ms = DurationMs::new((self.output_interval_ms * STALL_FACTOR) as u64);
        let stalled = decoding > 0 && silence_ms >= late_ms.max(MIN_STALL_MS);
        let was_hung = self.hung;
        self.hung |= silence_ms >= HANG_MS;
        if (stalled || waiting_too_long) && self.limit > self.cold_limit {
            self.collapse(now);
            return true;
        }
        self.hung && !was_hung
    }

    /// The limit up to which the engine's speed lets it grow.
    fn ceiling(&self) -> u32 {
        if !self.engine {
            return self.warm_limit;
        }
        let range = f64::from(self.warm_limit - self.cold_limit);
        self.cold_limit + (range * self.cold_start.warmth()) as u32
    }

    const fn collapse(&mut self, now: TimeMs) {
        self.limit = self.cold_limit;
        self.cold_start.restart(now);
    }
}
