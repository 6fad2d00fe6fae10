//! How an agent feeds its admission limit with evidence.

use crate::agent::Agent;
use crate::class::Class;
use crate::quantity::Tokens;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// An interactive attempt that waits this many times the target for its first token shows that
/// the engine is overloaded or hangs.
const LATE_FIRST_TOKEN_FACTOR: u64 = 4;

impl Agent {
    /// The upstream restarted, failed or loaded a version: it is cold.
    pub(crate) fn restart_admission(&mut self, now: TimeMs) {
        let before = self.admission.limit();
        self.admission.restart(now);
        self.speed.reset();
        if self.admission.limit() < before {
            self.report_now(now);
        }
    }

    pub(crate) fn admit_more_after(&mut self, first_token_ms: DurationMs, now: TimeMs) {
        let target_ms = self.config.current().defaults.first_token_target_ms;
        let running = self.running();
        self.admission.on_first_token(first_token_ms <= target_ms, running, now);
    }

    pub(crate) fn judge_output(&mut self, tokens: Tokens, gap_ms: DurationMs, now: TimeMs) {
        let running = self.running();
        if self.admission.on_output(tokens.get(), gap_ms, running, now) {
            self.report_now(now);
        }
    }

    pub(crate) fn tick_admission(&mut self, now: TimeMs) {
        let target_ms = self.config.current().defaults.first_token_target_ms;
        let late_ms = DurationMs::new(target_ms.get() * LATE_FIRST_TOKEN_FACTOR);
        let mut decoding = 0;
        let mut late = false;
        for state in self.attempts.values().filter(|state| !state.is_over()) {
            let wait_ms = now.since(state.admitted_at_ms);
            let decodes = state.first_token_at_ms.is_some();
            decoding += usize::from(decodes);
            late |= !decodes && state.class == Class::Interactive && wait_ms >= late_ms;
        }
        if self.admission.on_tick(decoding, late, now) {
            self.speed.reset();
            self.report_now(now);
        }
    }
}
