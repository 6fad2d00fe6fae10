//! What follows on an attempt: repeats, answers, refusals.

use crate::gateway::active_call::ActiveCall;
use crate::gateway::active_call::Attempt;
use crate::gateway::call::CallId;
use crate::gateway::effect::CallStats;
use crate::gateway::effect::FirstEventStats;
use crate::gateway::effect::GatewayEffect;
use crate::gateway::event::AttemptOutcome;
use crate::gateway::event::NotRun;
use crate::gateway::event::ResponseFault;
use crate::gateway::reducer::Gateway;
use crate::gateway::refusal::RefusalReason;
use crate::gateway::route::CallKind;
use crate::gateway::upstream::Upstream;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time for which an upstream that accepted no connection counts as cold.
const SUSPECT_MS: DurationMs = DurationMs::new(2_000);
/// Attempts that did not run, besides those that the route allows to run.
const MAX_REFUSED_ATTEMPTS: u32 = 4;
/// Least time that a stream which may go on elsewhere is given for its first event.
const LEAST_PATIENCE_MS: f64 = 900.0;
/// The same for plain services, as a multiple of the objective.
const PLAIN_PATIENCE_OBJECTIVES: f64 = 2.0;
/// The same as a multiple of the expected time.
const SILENCE_FACTOR: f64 = 1.5;
/// Silence of an engine after which it is taken as dead, as a multiple of the expected time.
const DEAD_FACTOR: f64 = 2.0;
/// Least silence of an engine after which it is taken as dead.
const LEAST_DEAD_MS: f64 = 1_300.0;
/// Events from which on the pace of a stream is judged.
const LEAST_PACED_EVENTS: u64 = 4;
/// Events this much slower than usual count against a version.
const SLOW_PACE_FACTOR: f64 = 2.5;
/// Time between events that never counts as slow.
const SLOW_PACE_SLACK_MS: f64 = 30.0;
/// A first event this much later than expected counts against a version.
const SLOW_FACTOR: f64 = 1.7;
/// Delay that never counts as slow.
const SLOW_SLACK_MS: f64 = 60.0;

impl Gateway {
    pub(super) fn on_first_event(
        &mut self,
        id: CallId,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let priority = active.priority();
        let Some(attempt) = &mut active.attempt else {
            return;
        };
        attempt.begun_at = Some(now);
        let took_ms = now.since(attempt.sent_at).as_f64();
        attempt.slow = is_slow(attempt, now);
        let stats = FirstEventStats {
            route: active.route.name.clone(),
            customer: active.account.as_ref().map(|account| account.customer.clone()),
            since_arrival_ms: now.since(active.arrived_at),
            since_dispatch_ms: now.since(attempt.sent_at),
            expected_ms: DurationMs::new(attempt.expected_ms as u64),
            backlog_ms: DurationMs::new(attempt.backlog_ms as u64),
            uncached_tokens: attempt.uncached_tokens as u32,
            prompt_tokens: active.call.prompt.tokens,
            in_flight: attempt.in_flight,
        };
        effects.push(GatewayEffect::FirstEvent { call: id, stats: Box::new(stats) });
        let reading_ms = std::mem::take(&mut attempt.reading_ms);
        if let Some(upstream) = self.pool.get_mut(&attempt.upstream)
            && upstream.registration.started_unix_ms == attempt.started_unix_ms
        {
            upstream.reading_ms = (upstream.reading_ms - reading_ms).max(0.0);
            upstream.on_answer(priority, attempt.sent_at, now);
        }
        if let Some(model) = &attempt.model
            && attempt.backlog_ms < reading_ms / 4.0
        {
            self.model_table.observe(model, attempt.uncached_tokens, took_ms);
        }
    }

    /// Breaks off attempts whose upstream is silent, if they may run elsewhere.
    pub(super) fn abandon_silent(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            if self.is_silent(id, now) && self.may_repeat(id, now) {
                if let Some(attempt) = self.calls.get_mut(&id).and_then(|c| c.attempt.as_mut()) {
                    attempt.abandoned = true;
                }
                effects.push(GatewayEffect::Abandon { call: id });
            }
        }
    }

    /// Whether the attempt of a request looks lost: later ones have their answer, or the engine
    /// has answered nothing since.
    fn is_silent(&self, id: CallId, now: TimeMs) -> bool {
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let Some(attempt) =
            active.attempt.as_ref().filter(|a| a.begun_at.is_none() && !a.abandoned)
        else {
            return false;
        };
        let waited_ms = now.since(attempt.sent_at).as_f64();
        if waited_ms < patience_ms(active, attempt) {
            return false;
        }
        if active.route.kind != CallKind::Streaming {
            return true;
        }
        let Some(upstream) = self.pool.get(&attempt.upstream) else {
            return true;
        };
        if upstream.failures.is_on_trial() {
            return true;
        }
        // Prompts that others sent at the same moment are read first.
        let others_ms = (upstream.backlog_ms() - attempt.reading_ms).max(0.0);
        let dead_ms = (attempt.expected_ms * DEAD_FACTOR).max(LEAST_DEAD_MS) + others_ms;
        let is_dead =
            upstream.answered_at.is_none_or(|at| at < attempt.sent_at) && waited_ms > dead_ms;
        upstream.has_overtaken(active.priority(), attempt.sent_at) || is_dead
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        id: CallId,
        outcome: AttemptOutcome,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.release(id, Some(outcome), now);
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        if !matches!(outcome, AttemptOutcome::NotRun(_)) {
            active.runs += 1;
        }
        match outcome {
            AttemptOutcome::Served => {
                self.finish(id, GatewayEffect::Deliver { call: id }, now, effects);
            }
            AttemptOutcome::Failed { status } => {
                let permanent = (400..500).contains(&status);
                let begun = active.delivered;
                if permanent || !self.repeat(id, now) {
                    // A failure cannot follow the part of an answer that the caller has.
                    let effect = if begun {
                        GatewayEffect::Abort { call: id }
                    } else {
                        GatewayEffect::Deliver { call: id }
                    };
                    self.finish(id, effect, now, effects);
                }
            }
            AttemptOutcome::NotRun(reason) => {
                if !self.retry_not_run(id, reason, now) {
                    self.give_up(id, RefusalReason::NoUpstream, now, effects);
                }
            }
            AttemptOutcome::Unknown(ResponseFault::TimedOut) => {
                self.give_up(id, RefusalReason::TimedOutRunning, now, effects);
            }
            AttemptOutcome::Weak | AttemptOutcome::Unknown(_) => {
                if !self.repeat(id, now) {
                    self.give_up(id, RefusalReason::OutcomeUnknown, now, effects);
                }
            }
        }
    }

    pub(super) fn on_caller_gone(&mut self, id: CallId, now: TimeMs) {
        self.release(id, None, now);
        self.waiting.remove(&id);
        self.calls.remove(&id);
    }

    /// Gives up on requests whose time is over.
    pub(super) fn expire_calls(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        let over = |id: &CallId| {
            let active = self.calls.get(id);
            active.is_some_and(|active| now >= active.wait_until || !active.has_time(now))
        };
        let expired: Vec<CallId> = self.waiting.iter().copied().filter(over).collect();
        for id in expired {
            self.give_up(id, RefusalReason::TimedOutWaiting, now, effects);
        }
    }

    /// Ends the attempt under way.
    fn release(&mut self, id: CallId, outcome: Option<AttemptOutcome>, now: TimeMs) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = active.attempt.take() else {
            return;
        };
        let service = active.service.clone();
        let last_event = active.last_event;
        let session = active.call.session.clone();
        if let Some(session) = session {
            self.remember_session(&session, &attempt.version, now);
        }
        if let Some(upstream) = self.pool.get_mut(&attempt.upstream)
            && upstream.registration.started_unix_ms == attempt.started_unix_ms
        {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            upstream.reading_ms = (upstream.reading_ms - attempt.reading_ms).max(0.0);
            note_outcome(upstream, outcome, now);
        }
        let (failed, silent) = match outcome {
            None | Some(AttemptOutcome::NotRun(_)) => return,
            Some(AttemptOutcome::Served) => (false, self.has_slow_pace(&attempt, last_event, now)),
            Some(AttemptOutcome::Weak) => (false, is_slow(&attempt, now)),
            Some(AttemptOutcome::Failed { status }) => (status >= 500, false),
            Some(AttemptOutcome::Unknown(ResponseFault::Closed | ResponseFault::Garbled)) => {
                (true, false)
            }
            Some(AttemptOutcome::Unknown(ResponseFault::Silent | ResponseFault::TimedOut)) => {
                (false, true)
            }
        };
        if let Some(rollout) = self.rollouts.get_mut(&service) {
            rollout.count(&attempt.version, failed, attempt.slow || silent);
        }
    }

    /// Whether the events of a stream that has ended came much slower than is usual.
    fn has_slow_pace(&mut self, attempt: &Attempt, last_event: Option<u64>, now: TimeMs) -> bool {
        let (Some(model), Some(begun_at)) = (&attempt.model, attempt.begun_at) else {
            return false;
        };
        let events = last_event.unwrap_or_default().saturating_sub(attempt.events_before);
        if events < LEAST_PACED_EVENTS {
            return false;
        }
        let event_ms = now.since(begun_at).as_f64() / (events - 1) as f64;
        let usual_ms = self.model_table.observe_pace(model, event_ms);
        event_ms > usual_ms * SLOW_PACE_FACTOR + SLOW_PACE_SLACK_MS
    }

    fn may_repeat(&mut self, id: CallId, now: TimeMs) -> bool {
        let count = self.gateway_count();
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let bound = &self.settings.retries;
        let budget = self.budgets.entry(active.service.clone()).or_default();
        active.route.is_repeatable()
            && active.runs + 1 < active.route.max_attempts
            && budget.can_spend(bound, count, now)
    }

    /// Puts a request that may have run back into the queue, if that is allowed.
    fn repeat(&mut self, id: CallId, now: TimeMs) -> bool {
        let count = self.gateway_count();
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let allowed = active.route.is_repeatable()
            && active.runs < active.route.max_attempts
            && active.has_time(now);
        let budget = self.budgets.entry(active.service.clone()).or_default();
        if !allowed || !budget.spend(&self.settings.retries, count, now) {
            return false;
        }
        self.requeue(id, now);
        true
    }

    fn retry_not_run(&mut self, id: CallId, reason: NotRun, now: TimeMs) -> bool {
        let count = self.gateway_count();
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let limit = active.route.max_attempts + MAX_REFUSED_ATTEMPTS;
        if active.attempts >= limit || !active.has_time(now) {
            return false;
        }
        let budget = self.budgets.entry(active.service.clone()).or_default();
        let arrived = reason != NotRun::Unreachable;
        if arrived && !budget.spend(&self.settings.retries, count, now) {
            return false;
        }
        self.requeue(id, now);
        true
    }

    fn requeue(&mut self, id: CallId, now: TimeMs) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let wait_ms = DurationMs::new(active.route.objective_ms.get() / 2);
        let wait_until = (now + wait_ms).min(active.deadline_at);
        active.wait_until = active.wait_until.max(wait_until);
        self.waiting.insert(id);
    }

    fn give_up(
        &mut self,
        id: CallId,
        reason: RefusalReason,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(active) = self.calls.get(&id) else {
            return;
        };
        if active.delivered {
            self.finish(id, GatewayEffect::Abort { call: id }, now, effects);
            return;
        }
        let reason = match (reason.status() == 503, active.runs > 0) {
            (true, true) if !active.has_time(now) => RefusalReason::TimedOutRunning,
            (true, true) => RefusalReason::OutcomeUnknown,
            _ => reason,
        };
        let refuse = GatewayEffect::Refuse { call: id, refusal: reason.into() };
        self.finish(id, refuse, now, effects);
    }

    fn finish(
        &mut self,
        id: CallId,
        effect: GatewayEffect,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.waiting.remove(&id);
        if let Some(active) = self.calls.remove(&id) {
            let stats = CallStats {
                route: active.route.name.clone(),
                customer: active.account.as_ref().map(|account| account.customer.clone()),
                took_ms: now.since(active.arrived_at),
            };
            effects.push(GatewayEffect::Ended { stats: Box::new(stats) });
        }
        effects.push(effect);
    }
}

/// Time after which an attempt without a sign of an answer is looked at.
fn patience_ms(active: &ActiveCall, attempt: &Attempt) -> f64 {
    if active.route.kind != CallKind::Streaming {
        return active.route.objective_ms.as_f64() * PLAIN_PATIENCE_OBJECTIVES;
    }
    (attempt.expected_ms * SILENCE_FACTOR).max(LEAST_PATIENCE_MS)
}

/// Whether the first event of an attempt, if it comes now, comes much later than expected.
fn is_slow(attempt: &Attempt, now: TimeMs) -> bool {
    let took_ms = now.since(attempt.sent_at).as_f64();
    took_ms > attempt.expected_ms * SLOW_FACTOR + SLOW_SLACK_MS
}

fn note_outcome(upstream: &mut Upstream, outcome: Option<AttemptOutcome>, now: TimeMs) {
    match outcome {
        None
        | Some(
            AttemptOutcome::Unknown(ResponseFault::TimedOut)
            | AttemptOutcome::NotRun(NotRun::OtherInstance),
        ) => {}
        Some(AttemptOutcome::Served | AttemptOutcome::Weak) => upstream.failures.succeed(),
        Some(AttemptOutcome::Failed { status }) if status < 500 => upstream.failures.succeed(),
        // A failure that the upstream itself answers says less than one that breaks.
        Some(AttemptOutcome::Failed { .. }) => upstream.failures.note_error(),
        Some(AttemptOutcome::NotRun(NotRun::Refused) | AttemptOutcome::Unknown(_)) => {
            upstream.failures.fail(now);
        }
        Some(AttemptOutcome::NotRun(NotRun::Unreachable)) => {
            upstream.failures.fail(now);
            // It may come back cold before its registration says so.
            upstream.suspect(SUSPECT_MS, now);
        }
    }
}
