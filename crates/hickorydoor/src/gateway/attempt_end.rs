//! First events and ends of attempts: retries, delivery of responses, and rejections.

use crate::gateway::active_call::ActiveCall;
use crate::gateway::active_call::Attempt;
use crate::gateway::active_call::Cancellation;
use crate::gateway::call::CallId;
use crate::gateway::effect::CallStats;
use crate::gateway::effect::FirstEventStats;
use crate::gateway::effect::GatewayEffect;
use crate::gateway::estimate_errors::is_wrong;
use crate::gateway::event::AttemptOutcome;
use crate::gateway::event::NotRun;
use crate::gateway::event::ResponseFault;
use crate::gateway::first_event_model::EngineLoad;
use crate::gateway::reducer::Gateway;
use crate::gateway::refusal::CallRefusal;
use crate::gateway::refusal::RefusalReason;
use crate::gateway::rollout::RolloutOutcome;
use crate::gateway::route::CallKind;
use crate::gateway::upstreams::Upstream;
use crate::status_promise::StatusPromise;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long an upstream is treated as cold after it accepted no connection.
const UNREACHABLE_COLD_MS: DurationMs = DurationMs::new(2_000);
/// Attempts allowed beyond the route's limit when earlier attempts did not execute.
const MAX_UNEXECUTED_ATTEMPTS: u32 = 4;
/// Minimum silence timeout of a stream that can be resumed on another upstream, in ms.
const MIN_SILENCE_TIMEOUT_MS: f64 = 900.0;
/// Silence timeout of plain services, as a multiple of the route's objective.
const PLAIN_TIMEOUT_OBJECTIVES: f64 = 2.0;
/// Silence timeout of streams, as a multiple of the expected time to the first event.
const SILENCE_TIMEOUT_FACTOR: f64 = 1.5;
/// Time without any response after which an engine is considered dead, as a multiple of the
/// expected time to the first event.
const DEAD_ENGINE_TIMEOUT_FACTOR: f64 = 2.0;
/// Factor on that time if the engine responds to other gateways.
const LIVE_ENGINE_PATIENCE_FACTOR: f64 = 1.5;
/// Minimum time without any response after which an engine is considered dead, in ms.
const MIN_DEAD_ENGINE_TIMEOUT_MS: f64 = 1_300.0;
/// First events that exceed the expected time by this factor count as late.
const SLOW_FIRST_EVENT_FACTOR: f64 = 1.7;
/// Margin on the scaled expected time before a first event counts as late.
const SLOW_FIRST_EVENT_SLACK_MS: f64 = 60.0;

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
        let priority = active.urgency();
        let Some(attempt) = &mut active.attempt else {
            return;
        };
        attempt.first_event_at = Some(now);
        let took_ms = now.since(attempt.sent_at).as_f64();
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
            is_estimate_wrong: is_wrong(attempt.expected_start_ms, took_ms),
        };
        effects.push(GatewayEffect::FirstEvent { call: id, stats: Box::new(stats) });
        let prefill_ms = std::mem::take(&mut attempt.prefill_ms);
        let load =
            EngineLoad { prefill_ms, backlog_ms: attempt.backlog_ms, in_flight: attempt.in_flight };
        if attempt.model.is_some() && !attempt.has_fetched {
            self.model_table.observe_load(&load, took_ms);
        }
        if let Some(upstream) = self.pool.get_mut(&attempt.upstream)
            && upstream.registration.started_unix_ms == attempt.started_unix_ms
        {
            upstream.prefill_ms = (upstream.prefill_ms - prefill_ms).max(0.0);
            upstream.prefill_by_rank.remove(priority, prefill_ms);
            upstream.record_first_event(priority, attempt.sent_at, now);
            self.quarantine.record_response(&attempt.upstream, now);
        }
        if let Some(model) = &attempt.model
            && attempt.backlog_ms < prefill_ms / 4.0
        {
            self.model_table.observe_first_event(model, attempt.uncached_tokens, took_ms);
        }
        self.record_start(id, prefill_ms, took_ms, now);
        self.record_started_answer(id, now);
    }

    /// Cancels attempts whose upstream is unresponsive, if the request can be retried elsewhere.
    pub(super) fn abandon_unresponsive(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            if self.is_unresponsive(id, now) {
                self.abandon_if_retryable(id, now, effects);
            }
        }
    }

    /// Resumes a stalled stream on another upstream. If that is not possible, the stream goes on,
    /// since a slow answer is better than none.
    pub(super) fn on_stalled(&mut self, id: CallId, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        if let Some(attempt) = self.calls.get_mut(&id).and_then(|active| active.attempt.as_mut()) {
            attempt.stalled = true;
        }
        self.abandon_if_retryable(id, now, effects);
    }

    fn abandon_if_retryable(&mut self, id: CallId, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        if !self.can_retry(id, now) || !self.has_alternative(id, now) {
            return;
        }
        let attempt = self.calls.get_mut(&id).and_then(|active| active.attempt.as_mut());
        if let Some(attempt) = attempt.filter(|attempt| attempt.cancelled.is_none()) {
            attempt.cancelled = Some(Cancellation::Unresponsive);
            effects.push(GatewayEffect::Abandon { call: id });
        }
    }

    /// Returns whether an attempt has exceeded its silence timeout and its upstream is
    /// unresponsive.
    ///
    /// An engine counts as unresponsive if it has started the response to a request that was sent
    /// later, if it has started no response within the dead-engine timeout after the attempt was sent,
    /// which is longer if it has started one to another gateway, if it is on probation, or if it is no
    /// longer registered. Plain services need no further sign.
    fn is_unresponsive(&self, id: CallId, now: TimeMs) -> bool {
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let Some(attempt) =
            active.attempt.as_ref().filter(|a| a.first_event_at.is_none() && a.cancelled.is_none())
        else {
            return false;
        };
        let waited_ms = now.since(attempt.sent_at).as_f64();
        if waited_ms < silence_timeout_ms(active, attempt) {
            return false;
        }
        if active.route.kind != CallKind::Streaming {
            return true;
        }
        let Some(upstream) = self.pool.get(&attempt.upstream) else {
            return true;
        };
        if upstream.failures.is_on_probation() {
            return true;
        }
        // Prompts that other requests sent at the same time are prefilled first.
        let other_prefill_ms = (upstream.backlog_ms() - attempt.prefill_ms).max(0.0);
        let dead_timeout_ms = (attempt.expected_ms * DEAD_ENGINE_TIMEOUT_FACTOR)
            .max(MIN_DEAD_ENGINE_TIMEOUT_MS)
            + other_prefill_ms;
        let has_started_since = |at: Option<TimeMs>| at.is_some_and(|at| at >= attempt.sent_at);
        // An engine that answers other gateways lives, and may still start this request soon.
        let patience = if has_started_since(upstream.last_response_at_peers) {
            LIVE_ENGINE_PATIENCE_FACTOR
        } else {
            1.0
        };
        let is_dead =
            !has_started_since(upstream.last_response_at) && waited_ms > dead_timeout_ms * patience;
        upstream.is_overtaken(active.urgency(), attempt.sent_at) || is_dead
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        id: CallId,
        outcome: AttemptOutcome,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.end_attempt(id, Some(outcome), now);
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        if !matches!(outcome, AttemptOutcome::NotRun(_)) {
            active.executed_attempts += 1;
        }
        match outcome {
            AttemptOutcome::Served => {
                self.finish(id, GatewayEffect::Deliver { call: id }, now, effects);
            }
            AttemptOutcome::Failed { status } => self.on_failed(id, status, now, effects),
            AttemptOutcome::NotRun(NotRun::Expired) => {
                self.refuse_or_abort(id, RefusalReason::TimedOutWaiting, now, effects);
            }
            AttemptOutcome::NotRun(reason) => {
                if !self.retry_not_run(id, reason, now) {
                    self.refuse_or_abort(id, RefusalReason::NoUpstream, now, effects);
                }
            }
            AttemptOutcome::Unknown(ResponseFault::TimedOut) => {
                self.refuse_or_abort(id, RefusalReason::TimedOutRunning, now, effects);
            }
            AttemptOutcome::Weak | AttemptOutcome::Unknown(_) => {
                if !self.retry(id, now) {
                    self.refuse_or_abort(id, RefusalReason::OutcomeUnknown, now, effects);
                }
            }
        }
    }

    /// Repeats a request whose upstream has answered with an error, or delivers that answer.
    ///
    /// The request has run. A status that says otherwise to the caller is not delivered if the
    /// request must not run again.
    fn on_failed(
        &mut self,
        id: CallId,
        status: u16,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_permanent = (400..500).contains(&status) && !is_failure_of_upstream(status);
        if !is_permanent && self.retry(id, now) {
            return;
        }
        let Some(active) = self.calls.get(&id) else {
            return;
        };
        let is_misleading =
            StatusPromise::of(status) == StatusPromise::NotRun && !active.route.is_retryable();
        if is_misleading {
            return self.refuse_or_abort(id, RefusalReason::OutcomeUnknown, now, effects);
        }
        // An error response cannot follow a partial response that the caller already has.
        let effect = if active.delivered {
            GatewayEffect::Abort { call: id }
        } else {
            GatewayEffect::Deliver { call: id }
        };
        self.finish(id, effect, now, effects);
    }

    pub(super) fn on_caller_gone(&mut self, id: CallId, now: TimeMs) {
        self.end_attempt(id, None, now);
        self.waiting.remove(id);
        self.remove_call(id);
    }

    /// Rejects queued requests whose wait time or deadline has passed.
    pub(super) fn expire_calls(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        for id in self.waiting.expire(now) {
            self.refuse_or_abort(id, RefusalReason::TimedOutWaiting, now, effects);
        }
    }

    /// Ends the current attempt and records its outcome for the upstream and the rollout.
    fn end_attempt(&mut self, id: CallId, outcome: Option<AttemptOutcome>, now: TimeMs) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = active.attempt.take() else {
            return;
        };
        let service = active.service.clone();
        let rank = active.urgency();
        let session = active.call.session.clone();
        let parts = active.shared_parts();
        if let Some(session) = session {
            self.record_session(&session, &attempt.version, now);
        }
        let is_withdrawn = attempt.cancelled.is_some_and(|why| why != Cancellation::Unresponsive)
            && matches!(outcome, Some(AttemptOutcome::Unknown(ResponseFault::Silent)));
        let outcome = outcome.filter(|_| !is_withdrawn);
        self.record_ended_work(&service, now);
        self.record_end_under_parts(&service, &attempt, &parts, outcome, now);
        if let Some(upstream) = self.pool.get(&attempt.upstream) {
            let data_centre = &upstream.registration.data_centre;
            match outcome {
                Some(AttemptOutcome::NotRun(NotRun::Unreachable)) => {
                    self.reach.record_unreachable(data_centre, &attempt.upstream, now);
                }
                None
                | Some(AttemptOutcome::Unknown(_) | AttemptOutcome::NotRun(NotRun::Expired)) => {}
                Some(_responded) => self.reach.record_reached(data_centre),
            }
        }
        if let Some(upstream) = self.pool.get_mut(&attempt.upstream)
            && upstream.registration.started_unix_ms == attempt.started_unix_ms
        {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            upstream.prefill_ms = (upstream.prefill_ms - attempt.prefill_ms).max(0.0);
            upstream.prefill_by_rank.remove(rank, attempt.prefill_ms);
            record_outcome(upstream, &attempt, outcome, now);
            let has_responded = matches!(
                outcome,
                Some(
                    AttemptOutcome::Served
                        | AttemptOutcome::Weak
                        | AttemptOutcome::Failed { .. }
                        | AttemptOutcome::NotRun(NotRun::Refused)
                )
            );
            if has_responded {
                upstream.last_alive_at = Some(now);
            }
        }
        let Some(outcome) = outcome else {
            return;
        };
        self.record_rollout_outcome(id, &attempt, outcome, now);
    }

    pub(super) fn can_retry(&mut self, id: CallId, now: TimeMs) -> bool {
        let count = self.gateway_count();
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let bound = &self.settings.retries;
        let budget = self.retry_budgets.entry(active.service.clone()).or_default();
        active.route.is_retryable()
            && active.executed_attempts + 1 < active.route.max_attempts
            && budget.can_spend(bound, count, now)
    }

    /// Requeues a request that may have executed, if its route and the retry budget allow it.
    fn retry(&mut self, id: CallId, now: TimeMs) -> bool {
        let count = self.gateway_count();
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let is_allowed = active.route.is_retryable()
            && !self.quarantine.is_quarantined(&active.service, &active.shared_parts())
            && active.executed_attempts < active.route.max_attempts
            && active.has_time(now);
        let budget = self.retry_budgets.entry(active.service.clone()).or_default();
        if !is_allowed || !budget.try_spend(&self.settings.retries, count, now) {
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
        let limit = active.route.max_attempts + MAX_UNEXECUTED_ATTEMPTS;
        if active.attempts >= limit || !active.has_time(now) {
            return false;
        }
        let budget = self.retry_budgets.entry(active.service.clone()).or_default();
        let reached_upstream = reason != NotRun::Unreachable;
        if reached_upstream && !budget.try_spend(&self.settings.retries, count, now) {
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
        self.enqueue(id);
    }

    pub(super) fn refuse_or_abort(
        &mut self,
        id: CallId,
        refusal: impl Into<CallRefusal>,
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
        let refusal = refusal.into();
        let promise = StatusPromise::of(refusal.reason.status());
        let refusal = match (promise, active.executed_attempts > 0) {
            (StatusPromise::NotRun, true) if !active.has_time(now) => {
                RefusalReason::TimedOutRunning.into()
            }
            (StatusPromise::NotRun, true) => RefusalReason::OutcomeUnknown.into(),
            _ => refusal,
        };
        let refuse = GatewayEffect::Refuse { call: id, refusal };
        self.finish(id, refuse, now, effects);
    }

    /// Removes a request that has ended. A failure that was to be repeated and was not counts
    /// against the version.
    fn remove_call(&mut self, id: CallId) -> Option<ActiveCall> {
        let active = self.calls.remove(&id)?;
        if let Some(failure) = &active.unexplained_failure {
            self.record_outcome(
                &active.service,
                &active.route.name,
                failure,
                RolloutOutcome::Failed,
            );
        }
        Some(active)
    }

    fn finish(
        &mut self,
        id: CallId,
        effect: GatewayEffect,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.waiting.remove(id);
        if let Some(active) = self.remove_call(id) {
            if matches!(effect, GatewayEffect::Deliver { .. }) {
                self.route_durations.observe(&active.route.name, now.since(active.arrived_at));
            }
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

/// Returns the time without a first event after which the upstream of an attempt is checked.
fn silence_timeout_ms(active: &ActiveCall, attempt: &Attempt) -> f64 {
    if active.route.kind != CallKind::Streaming {
        return active.route.objective_ms.as_f64() * PLAIN_TIMEOUT_OBJECTIVES;
    }
    (attempt.expected_ms * SILENCE_TIMEOUT_FACTOR).max(MIN_SILENCE_TIMEOUT_MS)
}

/// Returns whether the first event of an attempt is much later than expected at `now`.
fn is_first_event_late(attempt: &Attempt, now: TimeMs) -> bool {
    let took_ms = now.since(attempt.sent_at).as_f64();
    took_ms > attempt.expected_ms * SLOW_FIRST_EVENT_FACTOR + SLOW_FIRST_EVENT_SLACK_MS
}

/// Returns whether an error response says that the upstream has failed, and not that the request is
/// wrong. A request that has run was not turned away, so a status that promises that it was is a
/// failure too.
pub(super) fn is_failure_of_upstream(status: u16) -> bool {
    status >= 500 || StatusPromise::of(status) == StatusPromise::NotRun
}

fn record_outcome(
    upstream: &mut Upstream,
    attempt: &Attempt,
    outcome: Option<AttemptOutcome>,
    now: TimeMs,
) {
    match outcome {
        None | Some(AttemptOutcome::NotRun(NotRun::OtherInstance | NotRun::Expired)) => {}
        // It has said how much it takes, so it is no sign of a broken upstream.
        Some(AttemptOutcome::NotRun(NotRun::Refused)) if upstream.room.states_room(now) => {}
        // The deadline of a request may be short, and the upstream only busy.
        Some(AttemptOutcome::Unknown(ResponseFault::TimedOut)) => {
            if attempt.first_event_at.is_none() && is_first_event_late(attempt, now) {
                upstream.failures.on_error();
            }
        }
        Some(AttemptOutcome::Served | AttemptOutcome::Weak) => upstream.failures.on_success(),
        Some(AttemptOutcome::Failed { status }) if !is_failure_of_upstream(status) => {
            upstream.failures.on_success();
        }
        // An error response is weaker evidence of a broken upstream than a failed connection.
        Some(AttemptOutcome::Failed { .. }) => upstream.failures.on_error(),
        Some(AttemptOutcome::NotRun(NotRun::Refused) | AttemptOutcome::Unknown(_)) => {
            upstream.failures.on_failure(now);
        }
        Some(AttemptOutcome::NotRun(NotRun::Unreachable)) => {
            upstream.failures.on_failure(now);
            // The upstream may restart cold before its registration says so.
            upstream.mark_cold(UNREACHABLE_COLD_MS, now);
        }
    }
}
