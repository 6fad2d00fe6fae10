//! Dispatch of queued requests: usable upstreams, versions under rollout, and model selection.

use std::collections::BTreeMap;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::active_call::ActiveCall;
use crate::gateway::active_call::Attempt;
use crate::gateway::active_call::VersionTrial;
use crate::gateway::call::CallId;
use crate::gateway::effect::Dispatch;
use crate::gateway::effect::GatewayEffect;
use crate::gateway::estimate_errors::WRONG_FACTOR;
use crate::gateway::peer_digest::Prefill;
use crate::gateway::placement::Choice;
use crate::gateway::placement::Demand;
use crate::gateway::placement::place;
use crate::gateway::prompt_cache::chains;
use crate::gateway::quarantine::Verdict;
use crate::gateway::reducer::Gateway;
use crate::gateway::reducer::session_hash;
use crate::gateway::refusal::CallRefusal;
use crate::gateway::rollout::canary_upstreams;
use crate::gateway::room_sharing::is_within_share;
use crate::gateway::route::CallKind;
use crate::gateway::upstreams::Availability;
use crate::gateway::upstreams::Upstream;
use crate::gateway::upstreams::UpstreamNotice;
use crate::gateway::upstreams::cold_share;
use crate::id::ModelId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::quantity::Share;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Maximum time to connect to an upstream.
const CONNECT_TIMEOUT_MS: DurationMs = DurationMs::new(300);
/// Gap between events, in percent of the route's longest on-time gap, after which a stream is
/// resumed on another upstream.
const EVENT_GAP_TIMEOUT_PERCENT: u64 = 200;
/// Response size that the cost estimate for traffic between data centres assumes, in KB.
const ASSUMED_ANSWER_KB: f64 = 3.0;
/// The smallest model is tried first only if its first event is expected within this share of the
/// objective, which is the longest time to the first event that is on time.
const SMALLEST_MODEL_OBJECTIVE_SHARE: f64 = 0.25;
/// Margin by which the confidence threshold is below the value of the best placement, because the
/// smallest model costs less. A value of 1 is an immediate answer of the largest model at no cost.
const SMALLEST_MODEL_VALUE_MARGIN: f64 = 0.05;
/// Upper bound of the confidence threshold: an answer with this score is always accepted. The
/// score, from 0 to 100, is the confidence that the upstream states for its answer.
const MAX_MIN_CONFIDENCE: f64 = 95.0;
/// Time over which callers are spread that come back after a pause of all upstreams.
const PAUSE_SPREAD_MS: u64 = 500;
/// Longest time over which callers are spread that come back to upstreams with limits.
const MAX_SPREAD_MS: u64 = 4_000;
/// A session that is on the target version of a rollout waits for an upstream of that version for
/// the objective divided by this number, and then falls back to the old version.
const VERSION_WAIT_DIVISOR: u64 = 4;

impl Gateway {
    /// Dispatches queued requests in the order of their queue. A process that was paused dispatches
    /// nothing until it knows what has changed meanwhile.
    pub(super) fn dispatch_waiting(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        if self.waiting.is_empty() || self.freshness.is_resuming(now) {
            return;
        }
        self.update_trial_slots();
        let mut claimed_permits: BTreeMap<ServiceName, usize> = BTreeMap::new();
        for service in self.waiting.services() {
            self.dispatch_service(&service, &mut claimed_permits, now, effects);
        }
    }

    fn dispatch_service(
        &mut self,
        service: &ServiceName,
        claimed_permits: &mut BTreeMap<ServiceName, usize>,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let mut has_free_slot = self.has_free_slot(service);
        for turn in self.turns(service, now) {
            let id = turn.key;
            if !self.has_turn(service, &turn, now) {
                continue;
            }
            let verdict = self.calls.get(&id).map(|active| self.verdict(active, now));
            let purpose = match verdict {
                Some(Verdict::Allowed) => Purpose::Service,
                Some(Verdict::Trial) => Purpose::Trial,
                Some(Verdict::Refused { retry_after_ms }) => {
                    let refusal = CallRefusal::quarantined(retry_after_ms);
                    self.refuse_or_abort(id, refusal, now, effects);
                    continue;
                }
                Some(Verdict::Held) => match self.engine_to_check(id, now) {
                    Some(engine) => Purpose::Check(engine),
                    None => continue,
                },
                None => continue,
            };
            let attempted = if has_free_slot {
                self.try_dispatch(id, &purpose, now, effects)
            } else {
                Attempted::NotPlaced
            };
            match attempted {
                Attempted::Sent(dispatch) => {
                    let early = self.early_turn(service, &turn, now).filter(|_| turn.is_early);
                    self.waiting.serve(service, id, now);
                    effects.push(GatewayEffect::Dispatch { call: id, dispatch });
                    let sent_early = |turn| GatewayEffect::SentEarly { call: id, turn };
                    effects.extend(early.map(Box::new).map(sent_early));
                    has_free_slot = self.has_free_slot(service);
                }
                Attempted::AwaitsPermit => {}
                Attempted::NotPlaced if matches!(purpose, Purpose::Check(_)) => {}
                // It is tried again in its usual place.
                Attempted::NotPlaced if turn.is_early => {}
                Attempted::NotPlaced => {
                    self.hold_or_refuse(id, claimed_permits, now, effects);
                }
            }
        }
    }

    /// Chooses an upstream for a request and sends it, if the upstream takes it now.
    fn try_dispatch(
        &mut self,
        id: CallId,
        purpose: &Purpose,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) -> Attempted {
        loop {
            let Some(plan) = self.choose(id, purpose, now) else {
                return Attempted::NotPlaced;
            };
            if *purpose == Purpose::Service && !self.starts_in_time(id, &plan.choice, now) {
                return Attempted::NotPlaced;
            }
            let upstream = self.pool.get(&plan.choice.upstream);
            match upstream.map(|upstream| upstream.room.availability(now)) {
                Some(Availability::Now) => {
                    let dispatch = self.dispatch(id, plan, now).map(Box::new);
                    return dispatch.map_or(Attempted::NotPlaced, Attempted::Sent);
                }
                Some(Availability::WithPermit) => {
                    let at_once_ms = DurationMs::new(0);
                    if !self.request_permit(&plan.choice.upstream, at_once_ms, now, effects) {
                        return Attempted::AwaitsPermit;
                    }
                }
                Some(Availability::PermitRequested) => return Attempted::AwaitsPermit,
                _ => return Attempted::NotPlaced,
            }
        }
    }

    fn dispatch(&mut self, id: CallId, plan: Plan, now: TimeMs) -> Option<Dispatch> {
        let Plan { choice, min_confidence } = plan;
        let active = self.calls.get(&id)?;
        let tried_parts = self.suspected_parts(active);
        let memory_tokens = self.spec(&active.service).map_or(0, |spec| spec.memory_tokens);
        let expected_start_ms = self.expected_start(active, &choice).expected_ms;
        let (service, rank) = (active.service.clone(), active.urgency());
        self.record_sent_work(&service, rank, choice.prefill_ms, now);
        let active = self.calls.get_mut(&id)?;
        let upstream = self.pool.get_mut(&choice.upstream)?;
        let was_cold = upstream.is_cold(now);
        let backlog_ms = upstream.backlog_ms();
        let in_flight = upstream.total_in_flight();
        let limit = upstream.room.limit();
        if limit.is_some() {
            upstream.room.permits.take(now);
        }
        upstream.record_dispatch(now);
        upstream.share.take(rank);
        upstream.prefill_ms += choice.prefill_ms;
        upstream.prefill_by_rank.add(rank, choice.prefill_ms);
        let registration = upstream.registration.clone();
        if let Some(model) = &choice.model {
            let prompt = &active.call.prompt;
            let parts = chains(model, prompt);
            upstream.cache.record(&parts, prompt.own_tokens(), memory_tokens, now);
            let upstream = choice.upstream.clone();
            self.recent_prefills.record(Prefill { upstream, parts: parts.into_vec() }, now);
        }
        let rollout = self.rollouts.get_mut(&active.service);
        let compares_times =
            !was_cold && rollout.as_ref().is_some_and(|rollout| rollout.compares_times());
        if let Some(rollout) = rollout {
            rollout.record_sent(&registration.version);
        }
        active.attempts += 1;
        active.attempted_upstreams.push(choice.upstream.clone());
        active.attempt = Some(Attempt {
            upstream: choice.upstream.clone(),
            started_unix_ms: registration.started_unix_ms,
            version: registration.version.clone(),
            model: choice.model.clone(),
            sent_at: now,
            prefill_ms: choice.prefill_ms,
            uncached_tokens: choice.uncached_tokens,
            backlog_ms,
            has_fetched: choice.fetch_from.is_some(),
            in_flight,
            expected_ms: choice.expected_ms,
            expected_start_ms,
            overdue_ms: expected_start_ms * WRONG_FACTOR,
            trial: VersionTrial { compares_times, is_counted: false },
            first_event_at: None,
            stalled: false,
            cancelled: None,
            proven: false,
            tried_parts,
        });
        let remaining_ms = active.remaining_ms(now);
        let pause_ms = match active.route.pause_ms.get() {
            0 => remaining_ms,
            ms => DurationMs::new(ms * EVENT_GAP_TIMEOUT_PERCENT / 100),
        };
        let chooses_model = !active.route.models.is_empty();
        let dispatch = Dispatch {
            attempt: active.attempts,
            upstream: choice.upstream,
            address: registration.address,
            customer: active.account.as_ref().map(|account| account.customer.clone()),
            model: choice.model.filter(|_| chooses_model),
            fetch_from: choice.fetch_from,
            priority: active.urgency(),
            claim: self.route_claims.claim(&active.route.name),
            deadline_at: active.deadline_at,
            remaining_ms,
            connect_timeout_ms: CONNECT_TIMEOUT_MS.min(remaining_ms),
            pause_timeout_ms: pause_ms,
            min_confidence,
            last_event: active.last_event,
            streaming: active.route.kind == CallKind::Streaming,
            expected_ms: DurationMs::new(choice.expected_ms as u64),
            version: registration.version.clone(),
            limit,
        };
        let used_until = active.deadline_at;
        let session = active.call.session.clone();
        if let Some(session) = session {
            self.record_session(&session, &registration.version, used_until);
        }
        Some(dispatch)
    }

    /// Chooses upstream and model for a queued request; `None` keeps it queued.
    ///
    /// Candidates are the usable upstreams of the preferred version, or of any version if there are
    /// none and the request may fall back. Upstreams to which the request has not been sent yet are
    /// preferred, among them those in data centres that can be reached, and among those that remain
    /// the healthy ones. A preference that leaves no candidate is dropped. The trial of a suspected
    /// prompt part runs on an upstream with the least load, so that few other requests are cut off
    /// if it ends.
    fn choose(&mut self, id: CallId, purpose: &Purpose, now: TimeMs) -> Option<Plan> {
        let active = self.calls.get(&id)?;
        if !active.has_time(now) {
            return None;
        }
        let service = active.service.clone();
        self.refresh_cold_capacity(&service, now);
        let may_try_smallest = self.may_try_smallest(id, now);
        let active = self.calls.get(&id)?;
        let preferred = self.preferred_version(active, now);
        let spec = self.spec(&service);
        let max_connections = spec.and_then(|spec| spec.max_connections);
        let usable = |upstream: &&Upstream| {
            max_connections.is_none_or(|limit| upstream.total_in_flight() < limit.get())
                && self.is_usable(active, upstream, now)
        };
        let matches = |upstream: &&Upstream| {
            preferred.as_ref().is_none_or(|version| version.matches(&upstream.registration.version))
        };
        let all: Vec<&Upstream> = self.pool.iter().filter(usable).collect();
        let mut candidates: Vec<&Upstream> = all.iter().copied().filter(|u| matches(u)).collect();
        if candidates.is_empty() && preferred.as_ref().is_some_and(|version| version.may_fall_back)
        {
            candidates = all;
        }
        if preferred.as_ref().is_some_and(|version| version.on_target) {
            self.concentrate_canary_load(&active.service, &mut candidates);
        }
        if let Purpose::Check(engine) = purpose {
            candidates.retain(|upstream| upstream.registration.upstream == *engine);
        }
        let staying: Vec<&Upstream> =
            candidates.iter().copied().filter(|upstream| !upstream.room.is_leaving(now)).collect();
        if !staying.is_empty() {
            candidates = staying;
        }
        let unattempted: Vec<&Upstream> = candidates
            .iter()
            .copied()
            .filter(|upstream| {
                !active.attempted_upstreams.contains(&upstream.registration.upstream)
            })
            .collect();
        if !unattempted.is_empty() {
            candidates = unattempted;
        }
        let reachable: Vec<&Upstream> = candidates
            .iter()
            .copied()
            .filter(|upstream| !self.reach.is_avoided(&upstream.registration.data_centre, now))
            .collect();
        if !reachable.is_empty() {
            candidates = reachable;
        }
        let healthy: Vec<&Upstream> = candidates
            .iter()
            .copied()
            .filter(|upstream| !upstream.failures.is_ejected(now))
            .filter(|upstream| !upstream.failures.is_on_probation() || upstream.in_flight == 0)
            .collect();
        if !healthy.is_empty() {
            candidates = healthy;
        }
        if matches!(purpose, Purpose::Trial) {
            let least = candidates.iter().map(|upstream| upstream.total_in_flight()).min();
            candidates.retain(|upstream| Some(upstream.total_in_flight()) == least);
        }
        let models = models_of(active);
        let demand = Demand {
            prompt: &active.call.prompt,
            weight: self.sizes.weight(&active.route.name, &active.call.prompt),
            mean_value: self.sizes.mean(&active.route.name) * self.settings.costs.value_per_token,
            claim: self.route_claims.claim(&active.route.name),
            models: &models,
            objective_ms: remaining_objective_ms(active, now) * self.slow_start_factor(active, now),
            transfer_ms_per_token: spec.map_or(0.0, |spec| spec.transfer_ms_per_token),
            size_kb: active.call.body_bytes as f64 / 1_024.0 + ASSUMED_ANSWER_KB,
            data_centre: &self.settings.data_centre,
        };
        let choice = place(&demand, &candidates, &self.model_table, &self.settings.costs)?;
        if !may_try_smallest {
            return Some(Plan { choice, min_confidence: None });
        }
        let demand = Demand { models: &models[..1], ..demand };
        let smallest = place(&demand, &candidates, &self.model_table, &self.settings.costs)?;
        Some(plan_cascade(choice, smallest, demand.objective_ms))
    }

    /// Limits the candidates of the target version of a rollout, while it gets only a share of the
    /// traffic, to about the same share of its upstreams. Each of them then carries about the load that it will have after
    /// the rollout, so that its times can be compared with those of the old version.
    fn concentrate_canary_load(&self, service: &ServiceName, candidates: &mut Vec<&Upstream>) {
        let Some(rollout) = self.rollouts.get(service) else {
            return;
        };
        let share = rollout.target_share();
        if share == Share::ONE {
            return;
        }
        let target = &rollout.order().target;
        let of_target = |upstream: &Upstream| {
            upstream.registration.service == *service && upstream.registration.version == *target
        };
        let count = self.pool.iter().filter(|upstream| of_target(upstream)).count();
        let target_count = canary_upstreams(share, count);
        candidates.sort_by_key(|upstream| {
            let id = upstream.registration.upstream.as_str();
            xxh3_64_with_seed(id.as_bytes(), rollout.order().position.revision)
        });
        let mut kept = 0;
        candidates.retain(|upstream| {
            kept += usize::from(of_target(upstream));
            !of_target(upstream) || kept <= target_count
        });
    }

    /// Returns whether the smallest model may be tried first. This holds for the first attempt on a
    /// retryable route with several models, unless it resumes a stream, while the retry budget
    /// allows optional retries. The retry after a low-confidence answer is optional, since the
    /// request could have been sent to a larger model at once.
    fn may_try_smallest(&mut self, id: CallId, now: TimeMs) -> bool {
        let count = self.gateway_count();
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let budget = self.retry_budgets.entry(active.service.clone()).or_default();
        active.attempts == 0
            && active.last_event.is_none()
            && active.route.models.len() > 1
            && active.route.max_attempts > 1
            && active.route.is_retryable()
            && budget.can_spend_optional(&self.settings.retries, count, now)
    }

    /// Updates which cold upstreams of a service have capacity for one more request. A cold
    /// upstream is not yet warmed up and has capacity for a bounded request rate only, which the
    /// gateways divide among themselves.
    fn refresh_cold_capacity(&mut self, service: &ServiceName, now: TimeMs) {
        let cold_per_s = self.spec(service).map_or(0.0, |spec| spec.cold_per_s);
        let per_s = cold_per_s * self.settings.cold_limit_factor;
        for upstream in self.pool.of_service_mut(service) {
            if !upstream.is_cold(now) {
                upstream.has_cold_capacity = true;
                continue;
            }
            let id = &upstream.registration.upstream;
            let share = if per_s > 0.0 {
                cold_share(id, &self.settings.host, &self.gateways, per_s)
            } else {
                usize::MAX
            };
            upstream.has_cold_capacity = upstream.can_send_while_cold(share, now);
        }
    }

    /// Returns whether a request can be sent to an upstream that it has not been sent to yet.
    pub(super) fn has_alternative(&self, id: CallId, now: TimeMs) -> bool {
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        self.pool.iter().any(|upstream| {
            !active.attempted_upstreams.contains(&upstream.registration.upstream)
                && !upstream.failures.is_ejected(now)
                && self.has_room(active, upstream, now)
        })
    }

    fn is_usable(&self, active: &ActiveCall, upstream: &Upstream, now: TimeMs) -> bool {
        self.has_room(active, upstream, now) && is_within_share(active, upstream, now)
    }

    /// Returns whether an upstream takes a request now, whichever gateway sends it.
    pub(super) fn has_room(&self, active: &ActiveCall, upstream: &Upstream, now: TimeMs) -> bool {
        let has_capacity = upstream.total_in_flight() < upstream.capacity();
        self.is_eligible(active, upstream)
            && has_capacity
            && (!upstream.is_cold(now) || upstream.has_cold_capacity)
            && upstream.room.availability(now).is_candidate()
    }

    /// Returns whether an upstream can run a request at all, whatever its load.
    pub(super) fn is_eligible(&self, active: &ActiveCall, upstream: &Upstream) -> bool {
        let registration = &upstream.registration;
        let regions = &active.route.regions;
        let in_region = regions.is_empty()
            || registration.region.as_ref().is_some_and(|region| regions.contains(region));
        let rollout = self.rollouts.get(&active.service);
        let is_allowed = rollout.is_none_or(|rollout| rollout.allows(&registration.version));
        registration.service == active.service
            && !registration.draining
            && !self.closed_data_centres.contains_key(&registration.data_centre)
            && in_region
            && is_allowed
    }

    /// Keeps a request that could not be placed in the queue if there may be room for it in time,
    /// and rejects it at once if all upstreams have said that there is none.
    ///
    /// `claimed_permits` counts the permits that more urgent requests of the service wait for.
    fn hold_or_refuse(
        &mut self,
        id: CallId,
        claimed_permits: &mut BTreeMap<ServiceName, usize>,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        loop {
            let Some(active) = self.calls.get(&id) else {
                return;
            };
            let Some(room) = self.room(active, now) else {
                return;
            };
            let claimed = claimed_permits.entry(active.service.clone()).or_default();
            if *claimed < room.awaited_permits {
                *claimed += 1;
                return;
            }
            let Some(upstream) = room.reservable else {
                let refusal = room.refusal(&active.call.client_attempt);
                return self.refuse_or_abort(id, refusal, now, effects);
            };
            let max_wait_ms = active.wait_until.since(now);
            // A permit that this gateway issues itself is granted or denied at once.
            if !self.request_permit(&upstream, max_wait_ms, now, effects) {
                *claimed += 1;
                return;
            }
        }
    }

    /// Returns when there is room for a request, if all upstreams that could run it have said that
    /// there is none now; `None` otherwise.
    fn room(&self, active: &ActiveCall, now: TimeMs) -> Option<Room> {
        let mut awaited_permits = 0;
        let mut earliest: Option<TimeMs> = None;
        let mut reservable: Option<(TimeMs, &UpstreamId)> = None;
        let mut is_limited = false;
        let eligible = self.pool.iter().filter(|upstream| self.is_eligible(active, upstream));
        for upstream in eligible {
            let at = match upstream.room.availability(now) {
                Availability::Never => continue,
                Availability::Now | Availability::WithPermit | Availability::PermitRequested => {
                    return None;
                }
                Availability::AfterPause(at) => at,
                Availability::AfterPermit(at) => {
                    is_limited = true;
                    awaited_permits += upstream.room.permits.awaited();
                    if upstream.room.permits.can_reserve(active.wait_until, now)
                        && reservable.is_none_or(|(known, _)| at < known)
                    {
                        reservable = Some((at, &upstream.registration.upstream));
                    }
                    at
                }
            };
            earliest = Some(earliest.map_or(at, |known| known.min(at)));
        }
        Some(Room {
            after_ms: earliest?.since(now),
            awaited_permits,
            reservable: reservable.map(|(_, upstream)| upstream.clone()),
            is_limited,
        })
    }

    /// Records what an answer says of its upstream, unless that has started again since.
    pub(super) fn on_upstream_noticed(
        &mut self,
        id: CallId,
        notice: UpstreamNotice,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(attempt) = self.calls.get(&id).and_then(|active| active.attempt.as_ref()) else {
            return;
        };
        let id = attempt.upstream.clone();
        let started_unix_ms = attempt.started_unix_ms;
        if let Some(room) = self.pool.room_mut(&id, started_unix_ms) {
            let was_leaving = room.has_said_it_leaves();
            room.record_notice(notice, now);
            self.room_log.notice(&id, &self.settings.host, now);
            if room.has_said_it_leaves() && !was_leaving {
                self.upstream_news.add(id.clone());
                effects.push(GatewayEffect::SendDigest);
            }
        }
        if let Some(statement) = notice.limit.statement(now) {
            let own = self.settings.host.clone();
            self.learn_limit(&id, started_unix_ms, statement, &own, now, effects);
        }
    }

    /// Returns whether the upstream to which a request was sent has a limit in force, so that an
    /// answer without one says something too.
    pub fn is_limited(&self, id: CallId) -> bool {
        let attempt = self.calls.get(&id).and_then(|active| active.attempt.as_ref());
        let upstream = attempt.and_then(|attempt| self.pool.get(&attempt.upstream));
        upstream.is_some_and(|upstream| upstream.room.limit().is_some())
    }

    /// Returns which versions a request may run on if it may not run on all; `None` otherwise.
    pub(super) fn version_filter(
        &self,
        active: &ActiveCall,
        now: TimeMs,
    ) -> Option<impl Fn(&str) -> bool> {
        let preferred = self.preferred_version(active, now)?;
        (!preferred.may_fall_back).then_some(move |version: &str| preferred.matches(version))
    }

    fn preferred_version(&self, active: &ActiveCall, now: TimeMs) -> Option<PreferredVersion> {
        let rollout = self.rollouts.get(&active.service)?;
        let target = rollout.order().target.clone();
        let Some(session) = &active.call.session else {
            let hash = xxh3_64(active.call.client_attempt.as_bytes());
            // A request that failed on the new version is repeated on the old one.
            let failure = active.unexplained_failure.as_ref();
            let has_failed = failure.is_some_and(|failure| failure.version == target);
            let on_target = rollout.unbound_share().contains_hash(hash)
                && rollout.may_start_on_target()
                && !has_failed;
            let may_fall_back = on_target || has_failed;
            return Some(PreferredVersion { target, on_target, may_fall_back });
        };
        let hash = session_hash(session);
        let known = self.sessions.get(session);
        let known = known.filter(|(_, until)| now.since(*until) <= self.settings.session_ms);
        let mut on_target = rollout.target_share().contains_hash(hash);
        // Sessions keep their version until the full phase: one that started on the old version, at
        // this or another gateway, stays there even if it is in the canary share.
        if rollout.pins_sessions() {
            match known {
                Some((version, _)) => on_target &= *version == target,
                None => on_target &= !rollout.is_pinned_by_peer(hash, now),
            }
        }
        let was_on_target = known.is_some_and(|(version, _)| *version == target);
        on_target &= was_on_target || rollout.may_start_on_target();
        let version_wait_ms = active.route.objective_ms.get() / VERSION_WAIT_DIVISOR;
        let waits_for_target =
            was_on_target && now.since(active.arrived_at).get() < version_wait_ms;
        // Requests for the target version fall back to the old one, never the other way round.
        Some(PreferredVersion { target, on_target, may_fall_back: on_target && !waits_for_target })
    }
}

/// Why a queued request is sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Purpose {
    /// Nothing keeps it from an upstream.
    Service,
    /// It is the only one with a suspected prompt part.
    Trial,
    /// It shows whether this engine has ended.
    Check(UpstreamId),
}

/// What became of a queued request.
#[derive(Debug)]
enum Attempted {
    /// It is sent.
    Sent(Box<Dispatch>),
    /// A permit was requested for it a moment ago.
    AwaitsPermit,
    /// No upstream takes it now.
    NotPlaced,
}

/// When there is room for a request that no upstream takes now.
#[derive(Debug)]
struct Room {
    /// Time until an upstream takes a request again.
    after_ms: DurationMs,
    /// Permits that become valid soon, or were requested.
    awaited_permits: usize,
    /// Upstream of which a permit may be requested that becomes valid in time.
    reservable: Option<UpstreamId>,
    /// Whether any upstream has a limit.
    is_limited: bool,
}

impl Room {
    /// Refuses a request at once. Callers that come back at different times don't meet the
    /// upstreams all at once; within limits there is room for few of them at a time.
    fn refusal(&self, client_attempt: &str) -> CallRefusal {
        let hash = xxh3_64(client_attempt.as_bytes());
        if self.is_limited {
            let spread_ms = self.after_ms.get().clamp(PAUSE_SPREAD_MS, MAX_SPREAD_MS);
            CallRefusal::limited(self.after_ms + DurationMs::new(hash % spread_ms))
        } else {
            CallRefusal::paused(self.after_ms + DurationMs::new(hash % PAUSE_SPREAD_MS))
        }
    }
}

/// A placement and the confidence score below which its answer is discarded; `None` accepts any
/// answer.
#[derive(Clone, Debug)]
struct Plan {
    choice: Choice,
    min_confidence: Option<u8>,
}

/// Tries the smallest model first if its answer is expected early. The confidence threshold is
/// derived from the value of the best placement. That value decreases as the load grows, so fewer
/// answers are discarded under load.
fn plan_cascade(choice: Choice, smallest: Choice, objective_ms: f64) -> Plan {
    let is_early = smallest.expected_ms <= objective_ms * SMALLEST_MODEL_OBJECTIVE_SHARE;
    if choice.model == smallest.model || !is_early {
        return Plan { choice, min_confidence: None };
    }
    let min_confidence =
        ((choice.value - SMALLEST_MODEL_VALUE_MARGIN) * 100.0).clamp(0.0, MAX_MIN_CONFIDENCE);
    Plan { choice: smallest, min_confidence: Some(min_confidence as u8) }
}

/// Version on which a request should run during a rollout.
#[derive(Clone, Debug)]
struct PreferredVersion {
    target: CompactString,
    on_target: bool,
    may_fall_back: bool,
}

impl PreferredVersion {
    fn matches(&self, version: &str) -> bool {
        (version == self.target) == self.on_target
    }
}

fn models_of(active: &ActiveCall) -> Vec<ModelId> {
    if !active.route.models.is_empty() {
        return active.route.models.clone();
    }
    let requested = active.call.model.as_ref();
    let requested = requested.and_then(|model| ModelId::try_from(model.clone()).ok());
    requested.into_iter().collect()
}

fn remaining_objective_ms(active: &ActiveCall, now: TimeMs) -> f64 {
    let waited_ms = now.since(active.arrived_at).as_f64();
    (active.route.objective_ms.as_f64() - waited_ms).max(1.0)
}
