//! Outcomes of attempts as evidence about the version under rollout.
//!
//! Not every failure is one of the version. Some requests fail on every version, and some are meant
//! to take longer than their deadline allows. So an error answer counts once it is known that the
//! old version can answer the request, or that this will not be tried, and a request without an
//! answer in time is counted apart.

use compact_str::CompactString;

use crate::gateway::active_call::Attempt;
use crate::gateway::attempt_end::is_failure_of_upstream;
use crate::gateway::call::CallId;
use crate::gateway::event::AttemptOutcome;
use crate::gateway::event::ResponseFault;
use crate::gateway::reducer::Gateway;
use crate::gateway::rollout::RolloutOutcome;
use crate::id::ServiceName;
use crate::rollouts::outcome_table::Slowdown;
use crate::time::TimeMs;

/// Status with which an upstream says that the deadline of a request has passed.
const TIMEOUT_STATUS: u16 = 504;

/// What the outcome of an attempt says about the version that it ran on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// The version answered.
    Answer,
    /// The version, or the request itself, failed.
    ErrorAnswer,
    /// The connection failed.
    BrokenConnection,
    /// There was no answer in time.
    Unanswered,
    /// The attempt did not run.
    Nothing,
}

impl From<AttemptOutcome> for Evidence {
    fn from(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::NotRun(_) => Self::Nothing,
            AttemptOutcome::Failed { status: TIMEOUT_STATUS }
            | AttemptOutcome::Unknown(ResponseFault::Silent | ResponseFault::TimedOut) => {
                Self::Unanswered
            }
            AttemptOutcome::Unknown(ResponseFault::Closed | ResponseFault::Garbled) => {
                Self::BrokenConnection
            }
            AttemptOutcome::Failed { status } if is_failure_of_upstream(status) => {
                Self::ErrorAnswer
            }
            AttemptOutcome::Served | AttemptOutcome::Weak | AttemptOutcome::Failed { .. } => {
                Self::Answer
            }
        }
    }
}

impl Gateway {
    /// Records the outcome of an attempt that has ended.
    pub(super) fn record_rollout_outcome(
        &mut self,
        id: CallId,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        now: TimeMs,
    ) {
        let evidence = Evidence::from(outcome);
        if evidence == Evidence::Nothing || self.is_explained_by_part(id, evidence) {
            return;
        }
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let may_be_repeated = active.route.is_retryable()
            && active.executed_attempts + 1 < active.route.max_attempts
            && active.has_time(now);
        let earlier_failure = active.unexplained_failure.take();
        let (service, route) = (active.service.clone(), active.route.name.clone());
        if let Some(failure) = &earlier_failure
            && evidence == Evidence::ErrorAnswer
            && !(self.is_on_target(&service, failure) && self.is_on_target(&service, attempt))
        {
            // The request fails on the old version too, or on both.
            return;
        }
        if let Some(failure) = &earlier_failure {
            self.record_outcome(&service, &route, failure, RolloutOutcome::Failed);
        }
        match evidence {
            Evidence::ErrorAnswer if may_be_repeated => {
                if let Some(active) = self.calls.get_mut(&id) {
                    active.unexplained_failure = Some(attempt.clone());
                }
            }
            Evidence::BrokenConnection if attempt.trial.is_counted => {
                self.record_outcome(&service, &route, attempt, RolloutOutcome::Broken);
            }
            Evidence::Unanswered => {
                self.record_outcome(&service, &route, attempt, RolloutOutcome::Unanswered);
            }
            Evidence::Answer if attempt.trial.is_counted => {}
            Evidence::Nothing => {}
            Evidence::Answer => {
                self.record_outcome(&service, &route, attempt, RolloutOutcome::Answered);
            }
            Evidence::ErrorAnswer | Evidence::BrokenConnection => {
                self.record_outcome(&service, &route, attempt, RolloutOutcome::Failed);
            }
        }
        if evidence == Evidence::Answer && !attempt.trial.is_counted {
            let slowdown = self.slowdown(&route, attempt, outcome, now);
            self.record_slowdown(&service, &route, attempt, slowdown);
        }
    }

    /// Returns the time of a whole answer relative to the usual one of its route, or of the first
    /// event of a stream relative to the expected one; `None` if neither is known.
    fn slowdown(
        &mut self,
        route: &CompactString,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        now: TimeMs,
    ) -> Option<Slowdown> {
        if attempt.model.is_some() {
            let answered_at = attempt.first_event_at.unwrap_or(now);
            let took_ms = answered_at.since(attempt.sent_at).as_f64();
            return Slowdown::of(took_ms.max(1.0), attempt.expected_ms.max(1.0));
        }
        if outcome != AttemptOutcome::Served {
            return None;
        }
        let took_ms = now.since(attempt.sent_at).as_f64().max(1.0);
        Slowdown::of(took_ms, self.typical_times.observe(route, took_ms))
    }

    /// Returns whether a failure is explained by a prompt part that is suspected: the end of an
    /// engine under a part says nothing about the engine's version.
    fn is_explained_by_part(&self, id: CallId, evidence: Evidence) -> bool {
        let has_failed = matches!(evidence, Evidence::ErrorAnswer | Evidence::BrokenConnection);
        let active = self.calls.get(&id).filter(|_| has_failed);
        active.is_some_and(|active| {
            let parts = active.shared_parts();
            self.quarantine.is_any_suspected(&active.service, &parts)
        })
    }

    /// Counts an answer at its first event: an error answer has none, and a stream that is broken
    /// off later counts as failed then.
    pub(super) fn record_started_answer(&mut self, id: CallId, now: TimeMs) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let (service, route) = (active.service.clone(), active.route.name.clone());
        let Some(attempt) = active.attempt.as_mut().filter(|attempt| !attempt.trial.is_counted)
        else {
            return;
        };
        attempt.trial.is_counted = true;
        let attempt = attempt.clone();
        if let Some(failure) = active.unexplained_failure.take() {
            self.record_outcome(&service, &route, &failure, RolloutOutcome::Failed);
        }
        self.record_outcome(&service, &route, &attempt, RolloutOutcome::Answered);
        let slowdown = self.slowdown(&route, &attempt, AttemptOutcome::Weak, now);
        self.record_slowdown(&service, &route, &attempt, slowdown);
    }

    /// Compares the pace of a stream with the full pace of its model.
    pub(super) fn on_stream_paced(&mut self, id: CallId, gap_us: u64) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = &active.attempt else {
            return;
        };
        let (attempt, service) = (attempt.clone(), active.service.clone());
        let route = active.route.name.clone();
        let Some(model) = &attempt.model else {
            return;
        };
        let is_full = self.model_table.observe_gap(model, gap_us as f64 / 1_000.0);
        if attempt.trial.compares_times {
            self.record_outcome(&service, &route, &attempt, RolloutOutcome::Paced { is_full });
        }
    }

    /// Returns whether an attempt ran on the version that a rollout of the service moves to.
    fn is_on_target(&self, service: &ServiceName, attempt: &Attempt) -> bool {
        let rollout = self.rollouts.get(service);
        rollout.is_some_and(|rollout| rollout.order().target == attempt.version)
    }

    /// Counts what an attempt shows of the version that it ran on.
    pub(super) fn record_outcome(
        &mut self,
        service: &ServiceName,
        route: &CompactString,
        attempt: &Attempt,
        outcome: RolloutOutcome,
    ) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.record_outcome(&attempt.version, &attempt.upstream, route, outcome);
        }
    }

    fn record_slowdown(
        &mut self,
        service: &ServiceName,
        route: &CompactString,
        attempt: &Attempt,
        slowdown: Option<Slowdown>,
    ) {
        if let Some(slowdown) = slowdown.filter(|_| attempt.trial.compares_times) {
            self.record_outcome(service, route, attempt, RolloutOutcome::Timed(slowdown));
        }
    }
}
