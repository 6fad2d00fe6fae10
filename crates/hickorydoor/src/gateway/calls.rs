//! The way of a request: admission, placement, repeats, end.

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::active_call::ActiveCall;
use crate::gateway::active_call::Attempt;
use crate::gateway::call::Call;
use crate::gateway::call::CallId;
use crate::gateway::cold_share::cold_share;
use crate::gateway::effect::Dispatch;
use crate::gateway::effect::FirstEventFigures;
use crate::gateway::effect::GatewayEffect;
use crate::gateway::event::AttemptOutcome;
use crate::gateway::event::Break;
use crate::gateway::event::NotRun;
use crate::gateway::peer_digest::PromptRead;
use crate::gateway::placement::Choice;
use crate::gateway::placement::Demand;
use crate::gateway::placement::place;
use crate::gateway::prompt_cache::chains;
use crate::gateway::reducer::Gateway;
use crate::gateway::reducer::session_hash;
use crate::gateway::refusal::CallRefusal;
use crate::gateway::refusal::RefusalReason;
use crate::gateway::route::CallKind;
use crate::gateway::upstream::Upstream;
use crate::id::ModelId;
use crate::id::ServiceName;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time for a request without a deadline on a route without a timeout.
const DEFAULT_DEADLINE_MS: DurationMs = DurationMs::from_secs(30);
/// Time to open a connection to an upstream.
const CONNECT_TIMEOUT_MS: DurationMs = DurationMs::new(300);
/// Least time left that is worth an attempt.
const LEAST_ATTEMPT_MS: DurationMs = DurationMs::new(20);
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
/// Pauses of a stream, as a multiple of the longest one that is on time, after which it goes on
/// elsewhere.
const PAUSE_TIMEOUT_PERCENT: u64 = 200;
/// Answer size that is assumed for the cost of distance, in KB.
const ANSWER_KB: f64 = 3.0;
/// Time to come back when no upstream is known to free up earlier.
const RETRY_AFTER_MS: DurationMs = DurationMs::new(400);
/// Part of the objective within which the smallest model has to begin to be tried first.
const SMALL_OBJECTIVE_SHARE: f64 = 0.25;
/// What an answer of the smallest model saves, as a part of the worth of an answer.
const SMALL_ADVANTAGE: f64 = 0.05;
/// Confidence that is always enough.
const MAX_CONFIDENCE: f64 = 95.0;
/// Requests beyond its slots that an upstream is given.
const QUEUE_SHARE: f64 = 0.25;
/// Part of the objective for which a session waits for an upstream of its version.
const FALL_BACK_OBJECTIVES: u64 = 4;
/// A first event this much later than expected counts against a version.
const SLOW_FACTOR: f64 = 2.5;
/// Delay that never counts as slow.
const SLOW_SLACK_MS: f64 = 400.0;

impl Gateway {
    pub(super) fn on_arrived(
        &mut self,
        id: CallId,
        call: Call,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match self.admit(call, now) {
            Ok(active) => {
                self.budgets.entry(active.service.clone()).or_default().on_first(now);
                self.sizes.observe(&active.route.name, &active.call.prompt);
                self.calls.insert(id, active);
                self.waiting.insert(id);
            }
            Err(reason) => {
                let retry_after_ms = (reason.status() == 503).then_some(RETRY_AFTER_MS);
                let refusal = CallRefusal { reason, retry_after_ms };
                effects.push(GatewayEffect::Refuse { call: id, refusal });
            }
        }
    }

    fn admit(&self, call: Call, now: TimeMs) -> Result<ActiveCall, RefusalReason> {
        if self.refuse_from.is_some_and(|from| now >= from) {
            return Err(RefusalReason::Stopping);
        }
        let catalog = self.catalog.as_ref().ok_or(RefusalReason::NoConfiguration)?;
        if !self.freshness.is_within(self.settings.max_configuration_age_ms, now) {
            return Err(RefusalReason::StaleConfiguration);
        }
        let route = catalog.route(&call.host, &call.path).ok_or(RefusalReason::NoRoute)?;
        let account = match (&call.key, route.public || !catalog.has_accounts()) {
            (_, true) => None,
            (Some(key), false) => catalog.account(key),
            (None, false) => None,
        };
        if account.is_none() && !route.public && catalog.has_accounts() {
            return Err(RefusalReason::UnknownKey);
        }
        let hash = xxh3_64(call.client_attempt.as_bytes());
        let service = route.backend(hash).ok_or(RefusalReason::NoRoute)?.clone();
        let limit_ms = match route.timeout_ms.get() {
            0 => DEFAULT_DEADLINE_MS,
            _ => route.timeout_ms,
        };
        let deadline_ms = call.deadline_ms.map_or(limit_ms, |own| own.min(limit_ms));
        let wait_ms = DurationMs::new(route.objective_ms.get() / 2).min(deadline_ms);
        let last_event = call.last_event;
        Ok(ActiveCall {
            route: std::sync::Arc::clone(route),
            account: account.cloned(),
            service,
            arrived_at: now,
            deadline_at: now + deadline_ms,
            wait_until: now + wait_ms,
            attempt: None,
            attempts: 0,
            runs: 0,
            tried: smallvec::SmallVec::new(),
            last_event,
            delivered: false,
            version: None,
            call,
        })
    }

    /// Sends what waits, the most urgent and oldest first.
    pub(super) fn dispatch_waiting(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        if self.waiting.is_empty() {
            return;
        }
        let mut order: Vec<(u8, CallId)> = Vec::with_capacity(self.waiting.len());
        for id in &self.waiting {
            if let Some(active) = self.calls.get(id) {
                order.push((active.priority(), *id));
            }
        }
        order.sort_unstable();
        for (_, id) in order {
            if let Some(dispatch) = self.try_dispatch(id, now) {
                self.waiting.remove(&id);
                let dispatch = Box::new(dispatch);
                effects.push(GatewayEffect::Dispatch { call: id, dispatch });
            }
        }
    }

    fn try_dispatch(&mut self, id: CallId, now: TimeMs) -> Option<Dispatch> {
        let Plan { choice, min_confidence } = self.choose(id, now)?;
        let active = self.calls.get_mut(&id)?;
        let upstream = self.pool.get_mut(&choice.upstream)?;
        let memory_tokens = self.catalog.as_ref().map_or(0, |catalog| {
            catalog.service(&active.service).map_or(0, |spec| spec.memory_tokens)
        });
        let backlog_ms = upstream.backlog_ms();
        let in_flight = upstream.total_in_flight();
        upstream.on_send(now);
        upstream.reading_ms += choice.reading_ms;
        if let Some(model) = &choice.model {
            let prompt = &active.call.prompt;
            let parts = chains(model, prompt);
            upstream.cache.note(&parts, prompt.own_tokens(), memory_tokens, now);
            let upstream = choice.upstream.clone();
            self.reads.push_back((now, PromptRead { upstream, parts: parts.into_vec() }));
        }
        let registration = upstream.registration.clone();
        active.attempts += 1;
        active.tried.push(choice.upstream.clone());
        active.version.get_or_insert_with(|| registration.version.clone());
        active.attempt = Some(Attempt {
            upstream: choice.upstream.clone(),
            started_unix_ms: registration.started_unix_ms,
            version: registration.version.clone(),
            model: choice.model.clone(),
            sent_at: now,
            reading_ms: choice.reading_ms,
            unread_tokens: choice.unread_tokens,
            backlog_ms,
            in_flight,
            expected_ms: choice.expected_ms,
            slow: false,
            begun: false,
            abandoned: false,
        });
        let remaining_ms = active.remaining_ms(now);
        let pause_ms = match active.route.pause_ms.get() {
            0 => remaining_ms,
            ms => DurationMs::new(ms * PAUSE_TIMEOUT_PERCENT / 100),
        };
        let chooses_model = !active.route.models.is_empty();
        let dispatch = Dispatch {
            attempt: active.attempts,
            upstream: choice.upstream,
            address: registration.address,
            customer: active.account.as_ref().map(|account| account.customer.clone()),
            model: choice.model.filter(|_| chooses_model),
            fetch_from: choice.fetch_from,
            priority: active.priority(),
            remaining_ms,
            upstream_deadline_ms: remaining_ms,
            connect_timeout_ms: CONNECT_TIMEOUT_MS.min(remaining_ms),
            pause_timeout_ms: pause_ms,
            min_confidence,
            last_event: active.last_event,
            streaming: active.route.kind == CallKind::Streaming,
            expected_ms: DurationMs::new(choice.expected_ms as u64),
            version: registration.version.clone(),
        };
        let used_until = active.deadline_at;
        let session = active.call.session.clone();
        if let Some(session) = session {
            self.remember_session(&session, &registration.version, used_until);
        }
        Some(dispatch)
    }

    fn choose(&mut self, id: CallId, now: TimeMs) -> Option<Plan> {
        let active = self.calls.get(&id)?;
        if active.remaining_ms(now) < LEAST_ATTEMPT_MS {
            return None;
        }
        let service = active.service.clone();
        self.refresh_cold_room(&service, now);
        let may_try_small = self.may_try_small(id, now);
        let active = self.calls.get(&id)?;
        let wanted = self.wanted_version(active, now);
        let usable = |upstream: &&Upstream| self.is_usable(active, upstream, now);
        let matches = |upstream: &&Upstream| {
            wanted.as_ref().is_none_or(|version| version.matches(&upstream.registration.version))
        };
        let all: Vec<&Upstream> = self.pool.iter().filter(usable).collect();
        let mut candidates: Vec<&Upstream> = all.iter().copied().filter(|u| matches(u)).collect();
        if candidates.is_empty() && wanted.as_ref().is_some_and(|version| version.may_fall_back) {
            candidates = all;
        }
        let fresh: Vec<&Upstream> = candidates
            .iter()
            .copied()
            .filter(|upstream| !active.tried.contains(&upstream.registration.upstream))
            .collect();
        if !fresh.is_empty() {
            candidates = fresh;
        }
        let healthy: Vec<&Upstream> = candidates
            .iter()
            .copied()
            .filter(|upstream| !upstream.failures.is_paused(now))
            .filter(|upstream| !upstream.failures.is_on_trial() || upstream.in_flight == 0)
            .collect();
        if !healthy.is_empty() {
            candidates = healthy;
        }
        let models = self.models_of(active);
        let demand = Demand {
            prompt: &active.call.prompt,
            weight: self.sizes.weight(&active.route.name, &active.call.prompt),
            worth: self.sizes.mean(&active.route.name) * self.settings.costs.worth_per_token,
            models: &models,
            objective_ms: self.objective_left_ms(active, now),
            transfer_ms_per_token: self.transfer_ms_per_token(&active.service),
            size_kb: active.call.body_bytes as f64 / 1_024.0 + ANSWER_KB,
            data_centre: &self.settings.data_centre,
        };
        let choice = place(&demand, &candidates, &self.model_table, &self.settings.costs)?;
        if !may_try_small {
            return Some(Plan { choice, min_confidence: None });
        }
        let demand = Demand { models: &models[..1], ..demand };
        let small = place(&demand, &candidates, &self.model_table, &self.settings.costs)?;
        Some(plan_cascade(choice, small, demand.objective_ms))
    }

    /// Whether the smallest model may be tried first: the first attempt of a stream whose models
    /// the gateway chooses, while repeats are left.
    fn may_try_small(&mut self, id: CallId, now: TimeMs) -> bool {
        let count = self.gateway_count();
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let budget = self.budgets.entry(active.service.clone()).or_default();
        active.attempts == 0
            && active.last_event.is_none()
            && active.route.models.len() > 1
            && active.route.max_attempts > 1
            && active.route.is_repeatable()
            && budget.has_spare(&self.settings.repeats, count, now)
    }

    /// Counts which cold upstreams of a service have room for one more request.
    fn refresh_cold_room(&mut self, service: &ServiceName, now: TimeMs) {
        let per_s = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(service))
            .map_or(0.0, |spec| spec.cold_per_s * self.settings.cold_share);
        let gateways = self.gateways().to_vec();
        let own = self.settings.host.clone();
        for upstream in self.pool.of_service_mut(service) {
            if !upstream.is_cold(now) {
                upstream.cold_room = true;
                continue;
            }
            let share = match per_s > 0.0 {
                true => cold_share(&upstream.registration.upstream, &own, &gateways, per_s),
                false => usize::MAX,
            };
            upstream.cold_room = upstream.has_cold_room(share, now);
        }
    }

    fn is_usable(&self, active: &ActiveCall, upstream: &Upstream, now: TimeMs) -> bool {
        let registration = &upstream.registration;
        let regions = &active.route.regions;
        let in_region = regions.is_empty()
            || registration.region.as_ref().is_some_and(|region| regions.contains(region));
        let rollout = self.rollouts.get(&active.service);
        let allowed = rollout.is_none_or(|rollout| rollout.allows(&registration.version));
        let slots = f64::from(registration.slots.max(1));
        let room = f64::from(upstream.total_in_flight()) < slots * (1.0 + QUEUE_SHARE);
        registration.service == active.service
            && !registration.draining
            && !self.closed_data_centres.contains(&registration.data_centre)
            && in_region
            && allowed
            && room
            && (!upstream.is_cold(now) || upstream.cold_room)
    }

    fn transfer_ms_per_token(&self, service: &ServiceName) -> f64 {
        let spec = self.catalog.as_ref().and_then(|catalog| catalog.service(service));
        spec.map_or(0.0, |spec| spec.transfer_ms_per_token)
    }

    fn models_of(&self, active: &ActiveCall) -> Vec<ModelId> {
        if !active.route.models.is_empty() {
            return active.route.models.clone();
        }
        let asked = active.call.model.as_ref();
        let asked = asked.and_then(|model| ModelId::try_from(model.clone()).ok());
        asked.into_iter().collect()
    }

    fn objective_left_ms(&self, active: &ActiveCall, now: TimeMs) -> f64 {
        let waited_ms = now.since(active.arrived_at).as_f64();
        (active.route.objective_ms.as_f64() - waited_ms).max(1.0)
    }

    fn wanted_version(&self, active: &ActiveCall, now: TimeMs) -> Option<WantedVersion> {
        let rollout = self.rollouts.get(&active.service)?;
        let target = rollout.order().target.clone();
        let Some(session) = &active.call.session else {
            let hash = xxh3_64(active.call.client_attempt.as_bytes());
            let on_target = rollout.target_share().contains_hash(hash);
            return Some(WantedVersion { target, on_target, may_fall_back: on_target });
        };
        let hash = session_hash(session);
        let known = self.sessions.get(session);
        let known = known.filter(|(_, until)| now.since(*until) <= self.settings.session_ms);
        let mut on_target = rollout.target_share().contains_hash(hash);
        if rollout.keeps_sessions() {
            match known {
                Some((version, _)) => on_target &= *version == target,
                None => on_target &= !rollout.is_kept_by_peer(hash, now),
            }
        }
        let was_on_target = known.is_some_and(|(version, _)| *version == target);
        let patience_ms = active.route.objective_ms.get() / FALL_BACK_OBJECTIVES;
        let is_patient = was_on_target && now.since(active.arrived_at).get() < patience_ms;
        // Without an upstream of the new version the old one serves, never the other way round.
        Some(WantedVersion { target, on_target, may_fall_back: on_target && !is_patient })
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
        let Some(attempt) = active.attempt.as_ref().filter(|a| !a.begun && !a.abandoned) else {
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
        attempt.begun = true;
        let took_ms = now.since(attempt.sent_at).as_f64();
        attempt.slow = took_ms > attempt.expected_ms * SLOW_FACTOR + SLOW_SLACK_MS;
        let figures = FirstEventFigures {
            route: active.route.name.clone(),
            customer: active.account.as_ref().map(|account| account.customer.clone()),
            since_arrival_ms: now.since(active.arrived_at),
            since_dispatch_ms: now.since(attempt.sent_at),
            expected_ms: DurationMs::new(attempt.expected_ms as u64),
            backlog_ms: DurationMs::new(attempt.backlog_ms as u64),
            unread_tokens: attempt.unread_tokens as u32,
            prompt_tokens: active.call.prompt.tokens,
            in_flight: attempt.in_flight,
        };
        effects.push(GatewayEffect::FirstEvent { call: id, figures: Box::new(figures) });
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
            self.model_table.observe(model, attempt.unread_tokens, took_ms);
        }
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
            AttemptOutcome::Served => self.finish(id, GatewayEffect::Deliver { call: id }, effects),
            AttemptOutcome::Weak => {
                if !self.repeat(id, now) {
                    self.give_up(id, RefusalReason::OutcomeUnknown, now, effects);
                }
            }
            AttemptOutcome::Failed { status } => {
                let permanent = (400..500).contains(&status);
                let begun = active.delivered;
                if permanent || !self.repeat(id, now) {
                    // A failure cannot follow the part of an answer that the caller has.
                    let effect = match begun {
                        true => GatewayEffect::Abort { call: id },
                        false => GatewayEffect::Deliver { call: id },
                    };
                    self.finish(id, effect, effects);
                }
            }
            AttemptOutcome::NotRun(reason) => {
                if !self.retry_not_run(id, reason, now) {
                    self.give_up(id, RefusalReason::NoUpstream, now, effects);
                }
            }
            AttemptOutcome::Unknown(Break::TimedOut) => {
                self.give_up(id, RefusalReason::TimedOutRunning, now, effects);
            }
            AttemptOutcome::Unknown(_) => {
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
            active.is_some_and(|active| {
                now >= active.wait_until || active.remaining_ms(now) < LEAST_ATTEMPT_MS
            })
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
            Some(AttemptOutcome::Served | AttemptOutcome::Weak) => (false, false),
            Some(AttemptOutcome::Failed { status }) => (status >= 500, false),
            Some(AttemptOutcome::Unknown(Break::Closed | Break::Garbled)) => (true, false),
            Some(AttemptOutcome::Unknown(Break::Silent | Break::TimedOut)) => (false, true),
        };
        if let Some(rollout) = self.rollouts.get_mut(&service) {
            rollout.count(&attempt.version, failed, attempt.slow || silent);
        }
    }

    fn may_repeat(&mut self, id: CallId, now: TimeMs) -> bool {
        let count = self.gateway_count();
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let bound = &self.settings.repeats;
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
            && active.remaining_ms(now) >= LEAST_ATTEMPT_MS;
        let budget = self.budgets.entry(active.service.clone()).or_default();
        if !allowed || !budget.spend(&self.settings.repeats, count, now) {
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
        if active.attempts >= limit || active.remaining_ms(now) < LEAST_ATTEMPT_MS {
            return false;
        }
        let budget = self.budgets.entry(active.service.clone()).or_default();
        let arrived = reason != NotRun::Unreachable;
        if arrived && !budget.spend(&self.settings.repeats, count, now) {
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
            self.finish(id, GatewayEffect::Abort { call: id }, effects);
            return;
        }
        let reason = match (reason.status() == 503, active.runs > 0) {
            (true, true) if active.remaining_ms(now) < LEAST_ATTEMPT_MS => {
                RefusalReason::TimedOutRunning
            }
            (true, true) => RefusalReason::OutcomeUnknown,
            _ => reason,
        };
        let retry_after_ms = (reason.status() == 503).then_some(RETRY_AFTER_MS);
        let refusal = CallRefusal { reason, retry_after_ms };
        self.finish(id, GatewayEffect::Refuse { call: id, refusal }, effects);
    }

    fn finish(&mut self, id: CallId, effect: GatewayEffect, effects: &mut Vec<GatewayEffect>) {
        self.waiting.remove(&id);
        self.calls.remove(&id);
        effects.push(effect);
    }
}

/// An attempt that is about to be made.
#[derive(Clone, Debug)]
struct Plan {
    choice: Choice,
    min_confidence: Option<u8>,
}

/// Tries the smallest model first if it answers early. Its answer is kept if the model is about
/// as sure of it as the best other choice is worth, so fewer answers are dropped under load.
fn plan_cascade(choice: Choice, small: Choice, objective_ms: f64) -> Plan {
    let is_early = small.expected_ms <= objective_ms * SMALL_OBJECTIVE_SHARE;
    if choice.model == small.model || !is_early {
        return Plan { choice, min_confidence: None };
    }
    let least = ((choice.value - SMALL_ADVANTAGE) * 100.0).clamp(0.0, MAX_CONFIDENCE);
    Plan { choice: small, min_confidence: Some(least as u8) }
}

/// The version that a request is to run on while a rollout is known.
#[derive(Clone, Debug)]
struct WantedVersion {
    target: CompactString,
    on_target: bool,
    may_fall_back: bool,
}

impl WantedVersion {
    fn matches(&self, version: &str) -> bool {
        (version == self.target) == self.on_target
    }
}

/// Time after which an attempt without a sign of an answer is looked at.
fn patience_ms(active: &ActiveCall, attempt: &Attempt) -> f64 {
    if active.route.kind != CallKind::Streaming {
        return active.route.objective_ms.as_f64() * PLAIN_PATIENCE_OBJECTIVES;
    }
    (attempt.expected_ms * SILENCE_FACTOR).max(LEAST_PATIENCE_MS)
}

fn note_outcome(upstream: &mut Upstream, outcome: Option<AttemptOutcome>, now: TimeMs) {
    match outcome {
        None | Some(AttemptOutcome::Unknown(Break::TimedOut)) => {}
        Some(AttemptOutcome::Served | AttemptOutcome::Weak) => upstream.failures.succeed(),
        Some(AttemptOutcome::Failed { status }) if status < 500 => upstream.failures.succeed(),
        // A failure that the upstream itself answers says less than one that breaks.
        Some(AttemptOutcome::Failed { .. }) => upstream.failures.note_error(),
        Some(AttemptOutcome::NotRun(NotRun::OtherInstance)) => {}
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
