//! Whether requests start in time: collects what is known, and refuses those that cannot.
//!
//! Only requests of streaming routes with models are refused for lack of room, and only if they
//! were never sent, do not resume a stream, and could run on any version of their service.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::active_call::ActiveCall;
use crate::gateway::call::CallId;
use crate::gateway::effect::GatewayEffect;
use crate::gateway::estimate_errors::WRONG_FACTOR;
use crate::gateway::estimate_errors::is_relevant;
use crate::gateway::placement::Choice;
use crate::gateway::quarantine::Verdict;
use crate::gateway::rank_work::RankWork;
use crate::gateway::reducer::Gateway;
use crate::gateway::refusal::CallRefusal;
use crate::gateway::refusal::RoomEstimate;
use crate::gateway::route::CallKind;
use crate::gateway::start_estimate::StartDecision;
use crate::gateway::start_estimate::StartInputs;
use crate::gateway::start_estimate::decide;
use crate::gateway::start_record::StartRecord;
use crate::gateway::upstreams::Upstream;
use crate::id::ServiceName;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Why a queued request was not sent to the upstream that placement chose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LateStart {
    /// Expected time to the first event, in ms.
    pub expected_ms: f64,
    /// Queued prefill time at the upstream that is as urgent or more, in ms.
    pub backlog_ms: f64,
    decision: StartDecision,
}

/// Expected start at the upstream that placement chose, before the correction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ExpectedStart {
    /// Expected time to the first event, in ms.
    pub expected_ms: f64,
    /// Queued prefill time at the upstream that is as urgent or more, in ms.
    pub backlog_ms: f64,
}

impl Gateway {
    /// Returns whether a request is sent now. If it is not, its expected start is kept for
    /// [`Gateway::refuse_late_starts`].
    pub(super) fn starts_in_time(&mut self, id: CallId, choice: &Choice, now: TimeMs) -> bool {
        if !self.settings.load_control.refuses_late_starts {
            return true;
        }
        let Some(active) = self.calls.get(&id).filter(|active| is_refusable(active)) else {
            return true;
        };
        let start = self.expected_start(active, choice);
        let Some(mut inputs) = self.inputs_at_upstream(active, choice, start, now) else {
            return true;
        };
        if decide(&inputs, now) == StartDecision::Send || self.is_bound_to_version(active, now) {
            return true;
        }
        inputs.shrinkage = self.shrinkage(&active.service);
        let late_start = LateStart {
            expected_ms: inputs.likely_ms(),
            backlog_ms: start.backlog_ms,
            decision: decide(&inputs, now),
        };
        if let Some(active) = self.calls.get_mut(&id) {
            active.late_start = Some(late_start);
        }
        false
    }

    /// Returns what is known about the start at the chosen upstream; `None` if it says nothing
    /// against sending the request.
    fn inputs_at_upstream(
        &self,
        active: &ActiveCall,
        choice: &Choice,
        start: ExpectedStart,
        now: TimeMs,
    ) -> Option<StartInputs> {
        let rank = active.urgency();
        let record = self.starts.get(&active.service)?;
        let is_relevant = is_relevant(start.expected_ms, active.route.objective_ms.as_f64());
        let correction = record.errors(rank, now).correction(now).filter(|_| is_relevant);
        let shortage_ms = record.shortage_ms(rank, choice.prefill_ms, now);
        (correction.is_some() || shortage_ms.is_some()).then(|| StartInputs {
            expected_ms: Some(start.expected_ms),
            correction,
            shortage_ms,
            ..self.start_inputs(active, now)
        })
    }

    /// Returns by how much the expected time at the upstreams of a service falls per ms, in ms.
    fn shrinkage(&self, service: &ServiceName) -> f64 {
        let upstreams = self.pool.iter().filter(|known| known.registration.service == *service);
        let upstreams = upstreams.count().max(1) as f64;
        let known = self.starts.get(service).filter(|record| record.rate.is_known());
        known.map_or(0.0, |known| known.rate.surplus() * self.fleet_factor(service) / upstreams)
    }

    /// Returns the expected start of a request at the upstream that placement chose. Engines admit
    /// by rank, so that less urgent work does not delay it. That more urgent work which arrives
    /// later does is part of the measured error of its rank.
    pub(super) fn expected_start(&self, active: &ActiveCall, choice: &Choice) -> ExpectedStart {
        let rank = active.urgency();
        let Some(upstream) = self.pool.get(&choice.upstream) else {
            return ExpectedStart { expected_ms: choice.expected_ms, backlog_ms: 0.0 };
        };
        let peer_ms = upstream.peer_load.prefill_ms;
        let backlog_ms =
            upstream.prefill_by_rank.as_urgent(rank) + peer_ms * self.peer_share(active, rank);
        let backlog_ms = backlog_ms.min(upstream.backlog_ms());
        let less_urgent_ms = upstream.backlog_ms() - backlog_ms;
        let expected_ms = choice.expected_ms - self.model_table.delay_ms(less_urgent_ms);
        ExpectedStart { expected_ms, backlog_ms }
    }

    /// Returns the factor on the time that is left for the first event by which placement takes into
    /// account that engines are slower than the estimates say; 1 unless requests are refused for
    /// lack of room.
    pub(super) fn slow_start_factor(&self, active: &ActiveCall, now: TimeMs) -> f64 {
        if !self.settings.load_control.refuses_late_starts {
            return 1.0;
        }
        let record = self.starts.get(&active.service).filter(|record| record.rate.is_short());
        let correction =
            record.and_then(|record| record.errors(active.urgency(), now).correction(now));
        correction.map_or(1.0, |known| known.min(1.0))
    }

    /// Refuses the queued requests that can't start in time any more.
    pub(super) fn refuse_late_starts(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        let is_off = !self.settings.load_control.refuses_late_starts;
        if is_off || self.waiting.is_empty() || self.freshness.is_resuming(now) {
            return;
        }
        let mut ahead = self.queued_by_rank();
        let ids: Vec<CallId> = self.waiting.keys().collect();
        for id in ids {
            let Some(active) = self.calls.get_mut(&id) else {
                continue;
            };
            let late_start = active.late_start.take();
            let rank = active.urgency();
            let Some(active) = self.calls.get(&id) else {
                continue;
            };
            let queue = ahead.entry(active.service.clone()).or_default();
            let work_ahead_ms = queue.before(rank);
            queue.pass(rank);
            if !is_refusable(active) || !matches!(self.verdict(active, now), Verdict::Allowed) {
                continue;
            }
            let Some(refusal) = self.refusal(active, late_start, work_ahead_ms, now) else {
                continue;
            };
            queue.drop_passed(rank);
            let service = active.service.clone();
            self.start_record(&service, now).rate.record_refused(rank, now);
            self.refuse_or_abort(id, refusal, now, effects);
        }
    }

    /// Returns the refusal of a queued request; `None` if it may still start in time.
    fn refusal(
        &self,
        active: &ActiveCall,
        late_start: Option<LateStart>,
        requests_ahead: u32,
        now: TimeMs,
    ) -> Option<CallRefusal> {
        let mut inputs = self.start_inputs(active, now);
        let record = self.starts.get(&active.service)?;
        inputs.work_ahead_ms = f64::from(requests_ahead + 1) * record.rate.mean_work_ms();
        let decision = match late_start {
            Some(late_start) => late_start.decision,
            None => decide(&inputs, now),
        };
        let StartDecision::Refuse(retry_after_ms) = decision else {
            return None;
        };
        if late_start.is_none() && !self.is_full(active, now) {
            return None;
        }
        let expected_ms = late_start.map_or_else(
            || inputs.usual_ms + inputs.work_ahead_ms / inputs.served.unwrap_or(1.0),
            |late_start| late_start.expected_ms,
        );
        let estimate = RoomEstimate {
            expected_ms: DurationMs::new(expected_ms.min(inputs.deadline_left_ms) as u64),
            objective_ms: active.route.objective_ms,
            backlog_ms: DurationMs::new(late_start.map_or(0.0, |late| late.backlog_ms) as u64),
            work_ahead_ms: DurationMs::new(inputs.work_ahead_ms as u64),
            rank: active.urgency(),
            on_arrival: now == active.arrived_at,
        };
        Some(CallRefusal::no_room_in_time(retry_after_ms, estimate))
    }

    /// Returns what is known about the start of a request that no upstream takes now.
    fn start_inputs(&self, active: &ActiveCall, now: TimeMs) -> StartInputs {
        let rank = active.urgency();
        let record = self.starts.get(&active.service);
        let known = record.filter(|record| record.rate.is_known());
        let waited_ms = now.since(active.arrived_at).as_f64();
        StartInputs {
            expected_ms: None,
            shortage_ms: None,
            usual_ms: record
                .and_then(|record| record.errors(rank, now).usual_ms(now))
                .unwrap_or(0.0),
            work_ahead_ms: 0.0,
            served: known.map(|known| {
                let left_share = 1.0 - known.rate.more_urgent_share(rank);
                known.rate.ended_per_ms() * known.rate.mean_work_ms() * left_share
            }),
            shrinkage: 0.0,
            correction: None,
            objective_left_ms: (active.route.objective_ms.as_f64() - waited_ms).max(0.0),
            wait_left_ms: active.wait_until.since(now).as_f64(),
            deadline_left_ms: active.remaining_ms(now).as_f64(),
            is_new: now == active.arrived_at,
            more_urgent_ranks: record.map_or(0, |record| record.more_urgent_ranks(rank)),
            hash: xxh3_64(active.call.client_attempt.as_bytes()),
        }
    }

    /// Returns the queued work of all gateways at a service relative to that of this gateway. Work
    /// that waits equally long finishes at rates in the same proportion.
    fn fleet_factor(&self, service: &ServiceName) -> f64 {
        let (own_ms, all_ms) = self
            .pool
            .iter()
            .filter(|upstream| upstream.registration.service == *service)
            .fold((0.0, 0.0), |(own_ms, all_ms), upstream| {
                (own_ms + upstream.prefill_ms, all_ms + upstream.backlog_ms())
            });
        if own_ms > 0.0 { all_ms / own_ms } else { self.gateway_count() as f64 }
    }

    /// Returns the share of the other gateways' backlog that is as urgent as `rank` or more. Their
    /// digests do not say; gateways get the same mix of requests, so it is taken to be the same as
    /// in this gateway's backlog, or in what it has sent if it has none.
    fn peer_share(&self, active: &ActiveCall, rank: u8) -> f64 {
        let of_service =
            self.pool.iter().filter(|known| known.registration.service == active.service);
        let (as_urgent_ms, total_ms) = of_service.fold((0.0, 0.0), |(as_urgent, total), known| {
            let work: &RankWork = &known.prefill_by_rank;
            (as_urgent + work.as_urgent(rank), total + work.total())
        });
        if total_ms >= 1.0 {
            return as_urgent_ms / total_ms;
        }
        self.starts.get(&active.service).map_or(1.0, |record| record.rate.as_urgent_share(rank))
    }

    /// Returns whether a request waits for lack of room alone: an upstream could run it, but none
    /// takes it now, and none has a limit, whose permits say when there is room.
    fn is_full(&self, active: &ActiveCall, now: TimeMs) -> bool {
        let mut has_running = false;
        for upstream in self.pool.iter().filter(|upstream| self.is_eligible(active, upstream)) {
            if upstream.room.limit().is_some() || self.has_room(active, upstream, now) {
                return false;
            }
            has_running |= !upstream.is_cold(now) && !upstream.failures.is_ejected(now);
        }
        has_running && !self.is_bound_to_version(active, now)
    }

    /// Returns whether a rollout or a session keeps a request from some upstreams of its service.
    fn is_bound_to_version(&self, active: &ActiveCall, now: TimeMs) -> bool {
        let excludes = |upstream: &Upstream| {
            upstream.registration.service == active.service && !upstream.registration.draining
        };
        let Some(matches) = self.version_filter(active, now) else {
            return false;
        };
        self.pool.iter().any(|known| excludes(known) && !matches(&known.registration.version))
    }

    /// Counts the queued requests by service and rank.
    fn queued_by_rank(&self) -> BTreeMap<ServiceName, QueuedRanks> {
        let mut queued: BTreeMap<ServiceName, QueuedRanks> = BTreeMap::new();
        for active in self.waiting.keys().filter_map(|id| self.calls.get(&id)) {
            let ranks = queued.entry(active.service.clone()).or_default();
            ranks.ranks.entry(active.urgency()).or_default().0 += 1;
        }
        queued
    }

    /// Records that an attempt is sent.
    pub(super) fn record_sent_work(
        &mut self,
        service: &ServiceName,
        rank: u8,
        work_ms: f64,
        now: TimeMs,
    ) {
        let record = self.start_record(service, now);
        record.rate.record_sent(rank, work_ms, now);
        record.shortage_mut(rank).count(work_ms, 0.0, f64::MAX);
    }

    /// Records the first event of an attempt.
    pub(super) fn record_start(&mut self, id: CallId, work_ms: f64, took_ms: f64, now: TimeMs) {
        let Some(active) = self.calls.get(&id) else {
            return;
        };
        let Some(attempt) = &active.attempt else {
            return;
        };
        let expected_ms = attempt.expected_start_ms;
        let (rank, objective_ms) = (active.urgency(), active.route.objective_ms.as_f64());
        let service = active.service.clone();

        let record = self.start_record(&service, now);
        record.rate.record_finished(rank, work_ms, now);
        record.observe(id, rank, expected_ms, took_ms, objective_ms, now);
    }

    /// Records attempts that have waited for much longer than expected, before their first event
    /// says by how much, and counts those of each rank that have not started.
    pub(super) fn record_unstarted(&mut self, now: TimeMs) {
        for shortage in self.starts.values_mut().flat_map(StartRecord::shortages_mut) {
            shortage.begin_count();
        }
        for (id, active) in &mut self.calls {
            let rank = active.urgency();
            let Some(attempt) = active.attempt.as_mut().filter(|a| a.first_event_at.is_none())
            else {
                continue;
            };
            let Some(record) = self.starts.get_mut(&active.service) else {
                continue;
            };
            let waited_ms = now.since(attempt.sent_at).as_f64();
            let objective_ms = active.route.objective_ms.as_f64();
            record.shortage_mut(rank).count(attempt.prefill_ms, waited_ms, objective_ms);
            if waited_ms > attempt.overdue_ms {
                attempt.overdue_ms = waited_ms * WRONG_FACTOR;
                let expected_ms = attempt.expected_start_ms;
                record.observe(*id, rank, expected_ms, waited_ms, objective_ms, now);
            }
        }
        for shortage in self.starts.values_mut().flat_map(StartRecord::shortages_mut) {
            shortage.end_count(now);
        }
    }

    /// Records that an attempt has ended.
    pub(super) fn record_ended_work(&mut self, service: &ServiceName, now: TimeMs) {
        self.start_record(service, now).rate.record_ended(now);
    }

    fn start_record(&mut self, service: &ServiceName, now: TimeMs) -> &mut StartRecord {
        self.starts.entry(service.clone()).or_insert_with(|| StartRecord::new(now))
    }
}

/// Queued requests of a service by rank: all of them, and those before the current one.
#[derive(Debug, Default)]
struct QueuedRanks {
    ranks: BTreeMap<u8, (u32, u32)>,
}

impl QueuedRanks {
    /// Returns the number of requests that are served before the current one of `rank`.
    fn before(&self, rank: u8) -> u32 {
        let more_urgent: u32 = self.ranks.range(..rank).map(|(_, (all, _))| all).sum();
        more_urgent + self.ranks.get(&rank).map_or(0, |(_, before)| *before)
    }

    /// Counts the current request as one before the next.
    fn pass(&mut self, rank: u8) {
        self.ranks.entry(rank).or_default().1 += 1;
    }

    /// Takes away the request that was counted last, since it is refused.
    fn drop_passed(&mut self, rank: u8) {
        let (all, before) = self.ranks.entry(rank).or_default();
        *all = all.saturating_sub(1);
        *before = before.saturating_sub(1);
    }
}

/// Returns whether a request may be refused for lack of room.
fn is_refusable(active: &ActiveCall) -> bool {
    active.route.kind == CallKind::Streaming
        && !active.route.models.is_empty()
        && active.attempts == 0
        && active.last_event.is_none()
}
