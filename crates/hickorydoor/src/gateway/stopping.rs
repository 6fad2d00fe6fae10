//! Planned stop of a gateway: what it still takes, and what it answers at the end.

use crate::gateway::active_call::ActiveCall;
use crate::gateway::active_call::Cancellation;
use crate::gateway::call::CallId;
use crate::gateway::effect::GatewayEffect;
use crate::gateway::reducer::Gateway;
use crate::gateway::stop::Stop;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time at the end of the grace in which requests are answered that have not ended.
pub const LAST_ANSWERS_MS: DurationMs = DurationMs::new(300);

impl Gateway {
    pub(super) fn on_stop(&mut self, now: TimeMs) {
        let grace_ms = self.settings.stop_timeout_ms.saturating_sub(LAST_ANSWERS_MS);
        // Callers keep sending requests until the platform has seen that the gateway is not ready.
        self.stop.get_or_insert(Stop {
            refuse_from: now + self.settings.stop_notice_ms,
            answer_at: now + grace_ms,
        });
    }

    /// Returns whether a new request can usually be answered before the process ends.
    pub(super) fn can_finish(&self, active: &ActiveCall, now: TimeMs) -> bool {
        let Some(stop) = self.stop else {
            return true;
        };
        let remaining_ms = active.remaining_ms(now);
        let usual_ms = self.route_durations.longest_usual_ms(&active.route.name);
        now < stop.refuse_from
            && usual_ms.map_or(remaining_ms, |usual_ms| usual_ms.min(remaining_ms))
                <= stop.answer_at.since(now)
    }

    /// Ends the requests that are still open shortly before the process does, so that their callers
    /// are answered.
    pub(super) fn end_calls_of_stop(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        if self.stop.is_none_or(|stop| now < stop.answer_at) {
            return;
        }
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            let Some(active) = self.calls.get_mut(&id) else {
                continue;
            };
            active.deadline_at = active.deadline_at.min(now);
            if let Some(attempt) =
                active.attempt.as_mut().filter(|attempt| attempt.cancelled.is_none())
            {
                attempt.cancelled = Some(Cancellation::Stop);
                effects.push(GatewayEffect::Abandon { call: id });
            }
        }
    }
}
