//! Execution of cascades: ordered lists of models that a request escalates through.
//!
//! The answer of every step except the last is buffered, in the format that the client requested,
//! until it is rated or the learned pass rate decides. If it is not released, the request escalates
//! to the next step. The answer of the last step is delivered unrated, like that of a plain model.

use smallvec::SmallVec;

use crate::billing::usage::Usage;
use crate::cascades::policy::CascadeRequest;
use crate::cascades::policy::StepChoice;
use crate::cascades::policy::StepKey;
use crate::entry::Entry;
use crate::entry::caller_request::ChatRequest;
use crate::entry::caller_request::RequestPayload;
use crate::entry::effect::EntryEffect;
use crate::entry::event::RatingFault;
use crate::entry::request_state::Plan;
use crate::entry::request_state::RequestState;
use crate::id::CascadeId;
use crate::id::RequestId;
use crate::id::Serial;
use crate::observation::CascadeRecord;
use crate::observation::Observation;
use crate::quantity::ByteCount;
use crate::quantity::CostMicros;
use crate::quantity::Tokens;
use crate::refusal::RefusalReason;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Timeout for the rating of a buffered answer. The client waits for the rating too, so it is
/// short.
const RATING_TIMEOUT_MS: DurationMs = DurationMs::from_secs(2);

impl Entry {
    /// Selects and starts the first step of a cascade.
    pub(crate) fn start_cascade(&mut self, serial: Serial, now: TimeMs) {
        self.start_step(serial, 0, now);
    }

    /// Cancels the current step and dispatches a later one. Returns `false` if the request is not a
    /// cascade, has no later step or has already sent its response head.
    pub(crate) fn escalate(&mut self, serial: Serial, now: TimeMs) -> bool {
        let Some(state) = self.requests.get(&serial) else {
            return false;
        };
        let Plan::Models { steps, step, cascade: Some(_), .. } = &state.plan else {
            return false;
        };
        let next = step + 1;
        if state.head_sent || next >= steps.len() {
            return false;
        }
        self.cancel_attempt(serial);
        self.start_step(serial, next, now);
        self.dispatch(serial, now);
        true
    }

    /// Escalates a request that would otherwise be refused for `reason`. Returns `false` if the
    /// reason does not allow it or [`escalate`](Self::escalate) does.
    pub(crate) fn try_escalate(
        &mut self,
        serial: Serial,
        reason: &RefusalReason,
        now: TimeMs,
    ) -> bool {
        let can_escalate =
            matches!(reason, RefusalReason::NoUpstream | RefusalReason::UpstreamFailed);
        can_escalate && self.escalate(serial, now)
    }

    fn start_step(&mut self, serial: Serial, from: usize, now: TimeMs) {
        let Some(choice) = self.choose_step(serial, from, now) else {
            return;
        };
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        if let Plan::Models { step, rated, .. } = &mut state.plan {
            *step = choice.step;
            *rated = choice.rated;
        }
        state.step_started_at_ms = now;
        state.step_first_attempt = state.attempts;
        state.step_failed = false;
        state.excluded.clear();
        state.buffered.clear();
        state.buffered_bytes = ByteCount::default();
    }

    fn choose_step(&mut self, serial: Serial, from: usize, now: TimeMs) -> Option<StepChoice> {
        let state = self.requests.get(&serial)?;
        let (cascade, chat) = cascade_of(state)?;
        let request = cascade_request(state, cascade, chat);
        let Plan::Models { steps, .. } = &state.plan else {
            return None;
        };
        let configuration = self.config.current();
        let expected = Tokens::new(configuration.defaults.expected_answer_tokens);
        let answer_tokens = chat.max_tokens.unwrap_or(expected).min(expected);
        let usage = Usage { prompt_tokens: chat.prompt_tokens, answer_tokens };
        let cost = |model| {
            let model = configuration.models.get(model);
            model.map_or(0.0, |model| model.cost(&usage).get() as f64)
        };
        let costs: SmallVec<[f64; 4]> = steps.iter().map(cost).collect();
        let remaining_ms = state.deadline_at_ms.since(now);
        Some(self.cascades.choose_step(request, from, &costs, remaining_ms, now, &mut self.rng))
    }

    /// Handles the complete answer of a step. Returns whether the answer was handled here: it
    /// awaits a rating, has been released, or the request has escalated. Otherwise it is still to
    /// be delivered.
    pub(crate) fn on_step_complete(&mut self, serial: Serial, now: TimeMs) -> bool {
        let Some(key) = self.step_key(serial) else {
            return false;
        };
        let Some(state) = self.requests.get_mut(&serial) else {
            return false;
        };
        self.cascades.record_step_time(key, now.since(state.step_started_at_ms));
        let needs_rating = state.required_score().is_some() && !state.head_sent;
        if !needs_rating {
            return false;
        }
        if matches!(state.plan, Plan::Models { rated: false, .. }) {
            self.end_step(serial, self.cascades.releases_unrated(key), None, now);
            return true;
        }
        self.request_rating(serial, now)
    }

    fn request_rating(&mut self, serial: Serial, now: TimeMs) -> bool {
        let Some(state) = self.requests.get_mut(&serial) else {
            return false;
        };
        let (Some(attempt), RequestPayload::Chat(chat)) =
            (&mut state.attempt, &state.request.payload)
        else {
            return false;
        };
        let Some(version) = attempt.version.clone() else {
            return false;
        };
        attempt.rating_requested_at_ms = Some(now);
        let effect = EntryEffect::Rate {
            request: state.id.clone(),
            ordinal: attempt.ordinal,
            version,
            prompt: chat.body.clone(),
            answer: state.buffered.concat().into(),
        };
        self.push(effect);
        true
    }

    /// Handles the rating of a buffered answer, or the reason why there is none. Ignores ratings of
    /// requests or attempts that have ended.
    pub(crate) fn on_step_rated(
        &mut self,
        request: &RequestId,
        ordinal: u32,
        rating: Result<f64, RatingFault>,
        now: TimeMs,
    ) {
        let serial = request.serial;
        let Some(state) = self.requests.get(&serial).filter(|state| state.id == *request) else {
            return;
        };
        let Some(attempt) = state.attempt.as_ref().filter(|attempt| attempt.ordinal == ordinal)
        else {
            return;
        };
        let (Some(requested_at_ms), Some(release_score), Some(key), Some((cascade, _))) = (
            attempt.rating_requested_at_ms,
            state.required_score(),
            self.step_key(serial),
            cascade_of(state),
        ) else {
            return;
        };
        let (agent, version) = (attempt.agent.clone(), attempt.version.clone());
        let released = match rating {
            Ok(score) => {
                let cascade = cascade.clone();
                self.cascades.ratings.on_rating(now.since(requested_at_ms));
                if let Some(version) = version {
                    self.report_rating(&agent, &version, score);
                }
                self.cascades.on_rating(key, &cascade, score, release_score)
            }
            Err(_fault) => {
                self.cascades.ratings.on_fault(now);
                self.cascades.releases_unrated(key)
            }
        };
        self.end_step(serial, released, rating.ok(), now);
    }

    fn end_step(&mut self, serial: Serial, released: bool, rating: Option<f64>, now: TimeMs) {
        if released {
            self.record_cascade(serial, rating);
            self.release_answer(serial, now);
            return;
        }
        // The upstream has completed the attempt, so no cancel is sent.
        self.release_attempt(serial);
        self.escalate(serial, now);
    }

    /// Handles ratings that exceed [`RATING_TIMEOUT_MS`] as failed.
    pub(crate) fn tick_cascades(&mut self, now: TimeMs) {
        let mut overdue = Vec::new();
        for state in self.requests.values() {
            let requested = state.attempt.as_ref().and_then(|attempt| {
                attempt.rating_requested_at_ms.map(|requested| (attempt.ordinal, requested))
            });
            if let Some((ordinal, requested_at_ms)) = requested
                && now >= requested_at_ms + RATING_TIMEOUT_MS
            {
                overdue.push((state.id.clone(), ordinal));
            }
        }
        overdue.sort_unstable();
        for (request, ordinal) in overdue {
            self.on_step_rated(&request, ordinal, Err(RatingFault::Timeout), now);
        }
    }

    fn step_key(&self, serial: Serial) -> Option<StepKey> {
        let state = self.requests.get(&serial)?;
        let (cascade, chat) = cascade_of(state)?;
        let Plan::Models { step, .. } = &state.plan else {
            return None;
        };
        Some(cascade_request(state, cascade, chat).step(*step))
    }

    /// Records the cost of a cascade's answer next to the cost of the most expensive step alone.
    pub(crate) fn record_cascade(&mut self, serial: Serial, rating: Option<f64>) {
        let Some(state) = self.requests.get(&serial) else {
            return;
        };
        let Some((cascade, _)) = cascade_of(state) else {
            return;
        };
        let Plan::Models { steps, step, release_score, .. } = &state.plan else {
            return;
        };
        let usage = state.bill_lines.last().map(|line| line.usage).unwrap_or_default();
        let most_expensive = steps.last().and_then(|model| self.config.current().models.get(model));
        let cost_micros: CostMicros = state.bill_lines.iter().map(|line| line.cost_micros).sum();
        let record = CascadeRecord {
            request: state.id.clone(),
            cascade: cascade.clone(),
            step: *step,
            rating,
            release_score: release_score.unwrap_or_default(),
            cost_micros,
            dearest_cost_micros: most_expensive.map(|model| model.cost(&usage)).unwrap_or_default(),
        };
        self.record(Observation::Cascade(Box::new(record)));
    }
}

pub(crate) fn cascade_of(state: &RequestState) -> Option<(&CascadeId, &ChatRequest)> {
    match (&state.plan, &state.request.payload) {
        (Plan::Models { cascade: Some(cascade), .. }, RequestPayload::Chat(chat)) => {
            Some((cascade, chat))
        }
        _ => None,
    }
}

const fn cascade_request<'a>(
    state: &'a RequestState,
    cascade: &'a CascadeId,
    chat: &ChatRequest,
) -> CascadeRequest<'a> {
    CascadeRequest {
        customer: &state.customer,
        class: state.class,
        cascade,
        prompt_tokens: chat.prompt_tokens,
    }
}
