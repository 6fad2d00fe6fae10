//! Evidence about prompt parts under which engines end, and the requests that hold such parts.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::gateway::active_call::ActiveCall;
use crate::gateway::active_call::Attempt;
use crate::gateway::active_call::Cancellation;
use crate::gateway::call::CallId;
use crate::gateway::effect::GatewayEffect;
use crate::gateway::event::AttemptOutcome;
use crate::gateway::event::NotRun;
use crate::gateway::event::ResponseFault;
use crate::gateway::quarantine::EngineEnd;
use crate::gateway::quarantine::PROVEN_AFTER_MS;
use crate::gateway::quarantine::PartId;
use crate::gateway::quarantine::PartKey;
use crate::gateway::quarantine::QuarantineChange;
use crate::gateway::quarantine::QuarantineRecord;
use crate::gateway::quarantine::QuarantineStep;
use crate::gateway::quarantine::TrialSlot;
use crate::gateway::quarantine::Verdict;
use crate::gateway::quarantine::part_selection::is_subset;
use crate::gateway::quarantine::part_selection::shares_any;
use crate::gateway::reducer::Gateway;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::TimeMs;

impl Gateway {
    /// Decides whether a request may be sent, as far as the parts of its prompt are concerned.
    pub(super) fn verdict(&self, active: &ActiveCall, now: TimeMs) -> Verdict {
        if self.quarantine.is_clear() {
            return Verdict::Allowed;
        }
        let parts = active.shared_parts();
        let verdict = self.quarantine.verdict(
            &active.service,
            &parts,
            |suspected| self.is_any_unproven(&active.service, suspected),
            self.trial_slot(&active.service),
            now,
        );
        let is_new = active.executed_attempts == 0;
        match verdict {
            Verdict::Allowed
                if is_new && self.quarantine.is_paused(&active.service, &parts, now) =>
            {
                Verdict::Held
            }
            _ => verdict,
        }
    }

    fn trial_slot(&self, service: &ServiceName) -> TrialSlot {
        let known = self.trial_slots.get(service).copied();
        known.unwrap_or_else(|| TrialSlot::new(service, &self.settings.host, &self.gateways))
    }

    /// Computes the turns of this gateway for the services of all queued requests.
    pub(super) fn update_trial_slots(&mut self) {
        if self.quarantine.is_clear() {
            return;
        }
        let queued = self.waiting.keys().filter_map(|id| self.calls.get(&id));
        let unknown: Vec<ServiceName> = queued
            .filter(|active| !self.trial_slots.contains_key(&active.service))
            .map(|active| active.service.clone())
            .collect();
        for service in unknown {
            let slot = self.trial_slot(&service);
            self.trial_slots.insert(service, slot);
        }
    }

    /// Returns an engine whose end under a part of a held request is not certain, unless this gateway
    /// asks it already. It refuses the connection if it has ended, else its response shows that it
    /// has not. One such attempt a request is enough: only engines that have ended turn it away.
    pub(super) fn engine_to_check(&self, id: CallId, now: TimeMs) -> Option<UpstreamId> {
        let active = self.calls.get(&id)?;
        if active.attempts > active.executed_attempts {
            return None;
        }
        let parts = active.shared_parts();
        let mut undecided = self.quarantine.undecided_engines(&active.service, &parts, now);
        let is_asked = |engine: &UpstreamId, ended_at: TimeMs| {
            let attempts = self.calls.values().filter_map(|active| active.attempt.as_ref());
            attempts.into_iter().any(|known| known.upstream == *engine && known.sent_at > ended_at)
        };
        let engine = undecided.find(|(engine, ended_at)| {
            !active.attempted_upstreams.contains(engine) && !is_asked(engine, *ended_at)
        });
        engine.map(|(engine, _)| engine.clone())
    }

    /// Returns the suspected parts of a request's prompt.
    pub(super) fn suspected_parts(&self, active: &ActiveCall) -> SmallVec<[PartId; 2]> {
        if self.quarantine.is_clear() {
            return SmallVec::new();
        }
        let parts = active.shared_parts();
        let suspected = self.quarantine.suspected_among(&active.service, &parts);
        suspected.into_iter().map(|key| key.part).collect()
    }

    /// Iterates over the requests at work that have not proven the parts of their prompts sound.
    fn unproven_calls(&self) -> impl Iterator<Item = &ActiveCall> {
        self.calls.values().filter(|active| {
            active.attempt.as_ref().is_some_and(|attempt| {
                !attempt.proven && attempt.cancelled != Some(Cancellation::PromptPart)
            })
        })
    }

    /// Returns whether an attempt in flight has not proven one of these parts sound, which are in
    /// order.
    fn is_any_unproven(&self, service: &ServiceName, parts: &[PartId]) -> bool {
        !parts.is_empty()
            && self.unproven_calls().any(|active| {
                let mut held = active.shared_parts.iter();
                active.service == *service && held.any(|part| parts.binary_search(part).is_ok())
            })
    }

    /// Counts the attempts in flight that have not proven a suspected part sound.
    pub(super) fn unproven_attempts(&self) -> HashMap<PartKey, u32> {
        let mut counts = HashMap::new();
        if self.quarantine.is_clear() {
            return counts;
        }
        for active in self.unproven_calls() {
            for key in self.quarantine.suspected_among(&active.service, &active.shared_parts) {
                *counts.entry(key).or_default() += 1;
            }
        }
        counts
    }

    /// Records that the engine of a stream has survived the beginning of its answer.
    pub(super) fn on_progressed(&mut self, id: CallId, now: TimeMs) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        if let Some(attempt) = &mut active.attempt {
            attempt.proven = true;
            if let Some(upstream) = self.pool.get_mut(&attempt.upstream) {
                upstream.last_alive_at = Some(now);
            }
            let parts = active.shared_parts();
            self.quarantine.record_survival(&active.service, &parts, now);
        }
    }

    /// Records what the end of an attempt says about the parts of its prompt. `outcome` is `None` if
    /// the gateway itself has ended the attempt.
    pub(super) fn record_end_under_parts(
        &mut self,
        service: &ServiceName,
        attempt: &Attempt,
        parts: &[PartId],
        outcome: Option<AttemptOutcome>,
        now: TimeMs,
    ) {
        let unproven = if attempt.proven { &[] } else { parts };
        let wrote_for_long =
            attempt.first_event_at.is_some_and(|at| now.since(at) >= PROVEN_AFTER_MS);
        let is_confirmed = outcome == Some(AttemptOutcome::NotRun(NotRun::Unreachable));
        let seen = |parts: &[PartId]| EngineEnd {
            upstream: attempt.upstream.clone(),
            started_unix_ms: attempt.started_unix_ms,
            service: service.clone(),
            version: attempt.version.clone(),
            is_confirmed,
            is_closed: outcome == Some(AttemptOutcome::Unknown(ResponseFault::Closed)),
            parts: SmallVec::from_slice(parts),
            tried: if parts.is_empty() { SmallVec::new() } else { attempt.tried_parts.clone() },
        };
        match outcome {
            Some(AttemptOutcome::Served) => {
                self.quarantine.record_survival(service, parts, now);
            }
            None | Some(AttemptOutcome::Weak) => {
                self.quarantine.record_departure(seen(unproven), now);
            }
            Some(AttemptOutcome::Unknown(ResponseFault::Closed)) => {
                let suspects = if wrote_for_long { &[] } else { unproven };
                self.quarantine.record_cut_off(seen(suspects), now);
            }
            Some(AttemptOutcome::Unknown(ResponseFault::Silent | ResponseFault::TimedOut)) => {
                if attempt.stalled || self.is_silent(attempt) {
                    self.quarantine.record_cut_off(seen(unproven), now);
                }
            }
            Some(AttemptOutcome::NotRun(NotRun::Unreachable)) => {
                self.quarantine.record_unreachable(seen(&[]), now);
            }
            Some(
                AttemptOutcome::Failed { .. }
                | AttemptOutcome::NotRun(NotRun::Refused | NotRun::OtherInstance | NotRun::Expired)
                | AttemptOutcome::Unknown(ResponseFault::Garbled),
            ) => {}
        }
    }

    /// Returns whether the upstream of an attempt has started no response to any gateway since it was
    /// sent.
    fn is_silent(&self, attempt: &Attempt) -> bool {
        let upstream = self.pool.get(&attempt.upstream);
        upstream
            .is_none_or(|known| known.started_response_at().is_none_or(|at| at < attempt.sent_at))
    }

    /// Assesses the evidence about prompt parts, and ends states that have expired.
    pub(super) fn assess_quarantine(&mut self, now: TimeMs) {
        let pool = &self.pool;
        let is_replaced = |record: &QuarantineRecord| {
            let of_service = pool.iter().map(|upstream| &upstream.registration);
            let mut of_service = of_service.filter(|known| known.service == record.service);
            let mut has_upstreams = false;
            let is_left = of_service.any(|known| {
                has_upstreams = true;
                record.versions.contains(&known.version)
            });
            has_upstreams && !is_left
        };
        let alive_at = |upstream: &UpstreamId| pool.get(upstream)?.heard_at();
        self.quarantine.assess(is_replaced, alive_at, now);
    }

    /// Has the store hold what is known of prompt parts. Gateways take turns.
    pub(super) fn write_part_items(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        let Some(era) = self.era.filter(|_| self.is_store_answering(now)) else {
            return;
        };
        let is_due = !self.is_reading_copy && self.quarantine.begin_comparison(now);
        if !is_due {
            return;
        }
        let wait_ms = self.turn_wait_ms();
        let writes = self.quarantine.due_writes(era, wait_ms, now);
        if !writes.is_empty() {
            effects.push(GatewayEffect::WritePartItems(writes));
        }
    }

    /// Acts on new evidence: cancels attempts with parts that have become suspected or quarantined,
    /// before they end another engine. What other gateways report is assessed at the next tick, or
    /// before a request is sent.
    pub(super) fn contain(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        let may_send = !self.waiting.is_empty();
        if self.quarantine.is_stale() || (may_send && self.quarantine.has_news()) {
            self.assess_quarantine(now);
        }
        self.act_on_changes(now, effects);
    }

    /// Acts on what other gateways have decided.
    pub(super) fn act_on_changes(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        for change in self.quarantine.take_changes() {
            self.withdraw_attempts(&change, now, effects);
            effects.push(GatewayEffect::Quarantine(Box::new(change)));
        }
        if self.quarantine.take_urgency() {
            effects.push(GatewayEffect::SendDigest);
        }
    }

    fn withdraw_attempts(
        &mut self,
        change: &QuarantineChange,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let must_end = match change.step {
            QuarantineStep::Suspected => false,
            QuarantineStep::Quarantined => true,
            QuarantineStep::Probation | QuarantineStep::Released => return,
        };
        let concerned = |active: &ActiveCall| {
            let parts = active.shared_parts();
            active.service == change.service
                && if must_end {
                    is_subset(&change.parts, &parts)
                } else {
                    shares_any(&change.parts, &parts)
                }
        };
        // An engine that has begun to write the answer ends, or does not, whether the answer is wanted
        // or not. What the caller has a part of goes on while there is only a suspicion.
        let may_end = |active: &ActiveCall| {
            let has_part = active.delivered || active.last_event.is_some();
            let is_before_answer = active.attempt.as_ref().is_some_and(|attempt| {
                attempt.first_event_at.is_none() && attempt.cancelled.is_none()
            });
            is_before_answer && (must_end || !has_part)
        };
        let calls = self.calls.iter().filter(|(_, active)| may_end(active) && concerned(active));
        let calls: Vec<CallId> = calls.map(|(id, _)| *id).collect();
        for id in calls {
            if !must_end && !self.can_retry(id, now) {
                continue;
            }
            let attempt = self.calls.get_mut(&id).and_then(|active| active.attempt.as_mut());
            if let Some(attempt) = attempt {
                attempt.cancelled = Some(Cancellation::PromptPart);
                effects.push(GatewayEffect::Abandon { call: id });
            }
        }
    }
}
