//! Feeds upstream timings and failures into the agent's admission limit.

use crate::agent::Agent;
use crate::class::Class;
use crate::quantity::Tokens;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// An interactive attempt whose first token takes this many times the target indicates that the
/// engine is overloaded or hangs.
const OVERDUE_FIRST_TOKEN_FACTOR: u64 = 4;

impl Agent {
    /// Treats the upstream as cold after a restart, a failure or a change of its loaded versions.
    pub(crate) fn reset_admission(&mut self, now: TimeMs) {
        let limit_before = self.admission.limit();
        self.admission.restart(now);
        self.speed.reset();
        if self.admission.limit() < limit_before {
            self.send_reports_now(now);
        }
    }

    pub(crate) fn record_first_token(&mut self, first_token_ms: DurationMs, now: TimeMs) {
        let target_ms = self.config.current().defaults.first_token_target_ms;
        let running = self.running();
        self.admission.on_first_token(first_token_ms <= target_ms, running, now);
    }

    pub(crate) fn record_output(&mut self, tokens: Tokens, gap_ms: DurationMs, now: TimeMs) {
        let running = self.running();
        if self.admission.on_output(tokens.get(), gap_ms, running, now) {
            self.send_reports_now(now);
        }
    }

    pub(crate) fn tick_admission(&mut self, now: TimeMs) {
        let target_ms = self.config.current().defaults.first_token_target_ms;
        let overdue_ms = DurationMs::new(target_ms.get() * OVERDUE_FIRST_TOKEN_FACTOR);
        let mut decoding = 0;
        let mut first_token_overdue = false;
        for state in self.attempts.values().filter(|state| !state.is_over()) {
            let wait_ms = now.since(state.admitted_at_ms);
            let is_decoding = state.first_token_at_ms.is_some();
            decoding += usize::from(is_decoding);
            first_token_overdue |=
                !is_decoding && state.class == Class::Interactive && wait_ms >= overdue_ms;
        }
        if self.admission.on_tick(decoding, first_token_overdue, now) {
            self.speed.reset();
            self.send_reports_now(now);
        }
    }
}
