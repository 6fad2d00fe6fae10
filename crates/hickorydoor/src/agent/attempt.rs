//! How an agent runs attempts on its upstream.
//!
//! An attempt is passed on at most once. Bytes that the entry has not credited stay buffered, so
//! that an answer can resume after a lost link; the window bounds the buffer.

use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;

use crate::agent::Agent;
use crate::agent::attempt_state::AttemptState;
use crate::agent::attempt_state::Ending;
use crate::agent::attempt_state::Piece;
use crate::agent::claim::MAX_RESPONSE_BYTES;
use crate::agent::claim::StoredResponse;
use crate::agent::dispatch_fence::Seen;
use crate::agent::effect::AgentEffect;
use crate::agent::event::UpstreamFault;
use crate::agent::usage_store::UsageCopy;
use crate::billing::usage::Usage;
use crate::id::AttemptId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::VersionId;
use crate::message::AgentMessage;
use crate::message::AgentRefusal;
use crate::message::AttemptFault;
use crate::message::Call;
use crate::message::Dispatch;
use crate::quantity::ByteCount;
use crate::quantity::Tokens;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// When an entry may try again after a refusal at the limit.
const RETRY_AFTER_MS: DurationMs = DurationMs::new(200);
/// Weight of the newest sample in the moving average of the first-token time.
const FIRST_TOKEN_WEIGHT: f64 = 0.2;

impl Agent {
    /// Attempts that the agent admits at the same time.
    pub(crate) const fn admission_limit(&self) -> u32 {
        self.admission.limit()
    }

    /// Whether an attempt of this version runs.
    pub(crate) fn runs(&self, version: &VersionId) -> bool {
        let running = self.attempts.values().filter(|state| !state.is_over());
        running.into_iter().any(|state| state.version.as_ref() == Some(version))
    }

    pub(crate) fn on_dispatch(&mut self, entry: &HostId, dispatch: &Dispatch, now: TimeMs) {
        if let Some(link) = self.links.get_mut(entry) {
            link.received += 1;
        }
        if self.attempts.contains_key(&dispatch.attempt) {
            return;
        }
        match self.fence.seen(&dispatch.attempt) {
            Some(Seen::PassedOn) => return,
            Some(Seen::NotRun) => {
                self.refuse(entry, &dispatch.attempt, AgentRefusal::Fenced);
                return;
            }
            Some(Seen::Closed) => {
                self.refuse(entry, &dispatch.attempt, AgentRefusal::IncarnationClosed);
                return;
            }
            None => {}
        }
        if let Err(reason) = self.check_dispatch(dispatch, now) {
            self.refuse(entry, &dispatch.attempt, reason);
            return;
        }
        self.admit(entry, dispatch, now);
    }

    fn check_dispatch(&self, dispatch: &Dispatch, now: TimeMs) -> Result<(), AgentRefusal> {
        if self.is_leaving() {
            return Err(AgentRefusal::Draining);
        }
        if now < self.stale_until_ms {
            return Err(AgentRefusal::AtLimit);
        }
        let configuration = self.config.current();
        if configuration.is_data_centre_out(&self.settings.data_centre) {
            return Err(AgentRefusal::DataCentreOut);
        }
        if !self.upstream_up {
            return Err(AgentRefusal::UpstreamDown);
        }
        if dispatch.time_left_ms == DurationMs::default() {
            return Err(AgentRefusal::DeadlineExceeded);
        }
        if let Call::Model(call) = &dispatch.call
            && !self.may_run(&dispatch.customer, &call.version)
        {
            return Err(AgentRefusal::VersionNotServed);
        }
        if !self.admission.admits(self.running()) {
            return Err(AgentRefusal::AtLimit);
        }
        Ok(())
    }

    /// The agent checks permission and state again: its configuration may be newer than the
    /// entry's.
    fn may_run(&self, customer: &CustomerId, version: &VersionId) -> bool {
        let configuration = self.config.current();
        let Some((model, known)) = configuration.version(version) else {
            return false;
        };
        let allowed = configuration
            .customers
            .get(customer)
            .is_some_and(|customer| customer.allows_version(model, known));
        allowed && known.state.serves_sessions() && self.versions().contains(version)
    }

    /// Refuses an attempt, which from then on is never passed on.
    pub(crate) fn refuse(&mut self, entry: &HostId, attempt: &AttemptId, reason: AgentRefusal) {
        self.refuse_until(entry, attempt, reason, RETRY_AFTER_MS);
    }

    /// Refuses an attempt and names the time after which a new one may succeed.
    pub(crate) fn refuse_until(
        &mut self,
        entry: &HostId,
        attempt: &AttemptId,
        reason: AgentRefusal,
        retry_after_ms: DurationMs,
    ) {
        self.fence.note(attempt, Seen::NotRun);
        let attempt = attempt.clone();
        self.send(entry, AgentMessage::Refused { attempt, reason, retry_after_ms });
    }

    fn admit(&mut self, entry: &HostId, dispatch: &Dispatch, now: TimeMs) {
        let (version, prompt_tokens) = match &dispatch.call {
            Call::Model(call) => (Some(call.version.clone()), call.prompt_tokens),
            Call::Service(_) => (None, Tokens::default()),
        };
        let state = AttemptState {
            entry: entry.clone(),
            customer: dispatch.customer.clone(),
            class: dispatch.class,
            version,
            prompt_tokens,
            admitted_at_ms: now,
            deadline_ms: now + dispatch.time_left_ms,
            started: None,
            first_token_at_ms: None,
            last_piece_at_ms: now,
            pieces: VecDeque::new(),
            sent: ByteCount::default(),
            credited: ByteCount::default(),
            tokens: Tokens::default(),
            ending: None,
            call: Some(dispatch.call.clone()),
            claimed_body: Vec::new(),
            lost_at_ms: None,
        };
        if self.running() == 0 {
            self.admission.start_silence(now);
        }
        self.attempts.insert(dispatch.attempt.clone(), state);
        if !self.claim(dispatch, now) {
            self.pass_on(&dispatch.attempt, now);
        }
    }

    /// Passes an attempt on to the upstream, unless it is gone.
    pub(crate) fn pass_on(&mut self, attempt: &AttemptId, now: TimeMs) -> bool {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return false;
        };
        let Some(call) = state.call.take() else {
            return false;
        };
        let timeout_ms = state.deadline_ms.since(now);
        self.fence.note(attempt, Seen::PassedOn);
        self.push(AgentEffect::CallUpstream {
            attempt: attempt.clone(),
            call,
            timeout_ms,
            read_bytes: self.settings.window_bytes,
        });
        true
    }

    /// The entry that sent an attempt.
    pub(crate) fn entry_of(&self, attempt: &AttemptId) -> Option<HostId> {
        self.attempts.get(attempt).map(|state| state.entry.clone())
    }

    /// Ends an attempt that could not be passed on.
    pub(crate) fn fail_attempt(&mut self, attempt: &AttemptId, fault: AttemptFault) {
        self.end_attempt(attempt, Ending::Failed(fault, Usage::default()));
    }

    pub(crate) fn on_cancel(&mut self, attempt: &AttemptId, now: TimeMs) {
        if self.claims.is_waiting(attempt) {
            self.claims.release(attempt, now);
            self.fence.note(attempt, Seen::NotRun);
            self.attempts.remove(attempt);
            return;
        }
        if self.claims.is_running(attempt) {
            // A claimed call runs on, so that a retry can receive its response.
            return;
        }
        let Some(state) = self.attempts.get(attempt) else {
            if self.fence.seen(attempt).is_none() {
                // The cancel overtook its dispatch on a newer connection.
                self.fence.note(attempt, Seen::NotRun);
            }
            return;
        };
        if !state.is_over() {
            let usage = state.usage_so_far();
            self.keep_usage(attempt, usage);
            self.push(AgentEffect::CancelUpstream { attempt: attempt.clone() });
        }
        self.attempts.remove(attempt);
    }

    pub(crate) fn on_upstream_started(
        &mut self,
        attempt: &AttemptId,
        status: u16,
        content_type: CompactString,
        _now: TimeMs,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        state.started = Some((status, content_type.clone()));
        let entry = state.entry.clone();
        let attempt = attempt.clone();
        self.send(&entry, AgentMessage::Started { attempt, status, content_type });
    }

    pub(crate) fn on_upstream_chunk(
        &mut self,
        attempt: &AttemptId,
        tokens: Tokens,
        data: Bytes,
        now: TimeMs,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        let first = state.first_token_at_ms.is_none();
        let first_token_ms = now.since(state.admitted_at_ms);
        let gap_ms = now.since(state.last_piece_at_ms);
        state.last_piece_at_ms = now;
        state.first_token_at_ms.get_or_insert(now);
        let offset = state.sent;
        state.sent += ByteCount::new(data.len() as u64);
        state.tokens += tokens;
        if self.claims.is_running(attempt) && state.claimed_body.len() <= MAX_RESPONSE_BYTES {
            state.claimed_body.extend_from_slice(&data);
        }
        state.pieces.push_back(Piece { offset, tokens, data: data.clone() });
        let entry = state.entry.clone();
        let attempt = attempt.clone();
        self.send(&entry, AgentMessage::Chunk { attempt, offset, tokens, data });
        if first {
            let step = FIRST_TOKEN_WEIGHT * (first_token_ms.as_f64() - self.first_token_ms);
            self.first_token_ms += step;
            self.admit_more_after(first_token_ms, now);
        } else {
            self.judge_output(tokens, gap_ms, now);
        }
    }

    pub(crate) fn on_upstream_ended(
        &mut self,
        attempt: &AttemptId,
        usage: Option<Usage>,
        now: TimeMs,
    ) {
        let Some(state) = self.attempts.get(attempt).filter(|state| !state.is_over()) else {
            return;
        };
        let usage = usage.unwrap_or_else(|| state.usage_so_far());
        self.admission.on_call_ended(true, now);
        if self.claims.is_running(attempt) {
            let (status, content_type) = state.started.clone().unwrap_or_default();
            let response = StoredResponse::new(status, content_type, &state.claimed_body);
            self.claims.finish(attempt, response, now);
        }
        self.end_attempt(attempt, Ending::Complete(usage));
    }

    pub(crate) fn on_upstream_failed(
        &mut self,
        attempt: &AttemptId,
        fault: UpstreamFault,
        now: TimeMs,
    ) {
        let Some(state) = self.attempts.get(attempt).filter(|state| !state.is_over()) else {
            return;
        };
        let usage = state.usage_so_far();
        let entry = state.entry.clone();
        match fault {
            UpstreamFault::NotSent => {
                self.restart_admission(now);
                self.claims.release(attempt, now);
                self.attempts.remove(attempt);
                self.refuse(&entry, attempt, AgentRefusal::UpstreamDown);
            }
            UpstreamFault::ServerError => {
                self.admission.on_call_ended(false, now);
                self.claims.finish(attempt, None, now);
                self.end_attempt(attempt, Ending::Failed(AttemptFault::UpstreamError, usage));
            }
            UpstreamFault::ConnectionLost => {
                self.restart_admission(now);
                self.claims.finish(attempt, None, now);
                self.end_attempt(attempt, Ending::Failed(AttemptFault::ConnectionLost, usage));
            }
        }
    }

    fn end_attempt(&mut self, attempt: &AttemptId, ending: Ending) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        state.ending = Some(ending);
        let entry = state.entry.clone();
        let length = state.sent;
        let first_token_ms = state.first_token_at_ms.map(|at| at.since(state.admitted_at_ms));
        let (version, class) = (state.version.clone(), state.class);
        let fault = match ending {
            Ending::Complete(_) => None,
            Ending::Failed(fault, _) => Some(fault),
        };
        self.count_attempt(version.as_ref(), class, first_token_ms, fault);
        let (Ending::Complete(usage) | Ending::Failed(_, usage)) = ending;
        self.keep_usage(attempt, usage);
        self.send(&entry, ending.message(attempt, length));
    }

    fn keep_usage(&mut self, attempt: &AttemptId, usage: Usage) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        let copy = UsageCopy {
            customer: state.customer.clone(),
            class: state.class,
            version: state.version.clone(),
            usage,
        };
        self.usage.insert(attempt, copy);
    }

    /// Ends attempts whose deadline passed or whose entry stayed away for the resume window.
    pub(crate) fn expire_attempts(&mut self, now: TimeMs) {
        let window_ms = self.settings.resume_window_ms;
        let mut late = Vec::new();
        let mut orphaned = Vec::new();
        for (attempt, state) in &self.attempts {
            let silent = self
                .links
                .get(&state.entry)
                .is_none_or(|link| now >= link.last_heard_at_ms + window_ms);
            // A claimed call runs on without its entry, so that a retry can receive its response.
            let runs_on = self.claims.is_running(attempt);
            if !runs_on && (silent || state.lost_at_ms.is_some_and(|at| now >= at + window_ms)) {
                orphaned.push(attempt.clone());
            } else if now >= state.deadline_ms {
                late.push(attempt.clone());
            }
        }
        orphaned.sort_unstable();
        late.sort_unstable();
        for attempt in orphaned {
            self.on_orphaned(&attempt, now);
        }
        for attempt in late {
            self.on_deadline(&attempt, now);
        }
    }

    fn on_deadline(&mut self, attempt: &AttemptId, now: TimeMs) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        if state.is_over() {
            self.attempts.remove(attempt);
            return;
        }
        if self.claims.is_waiting(attempt) {
            let entry = state.entry.clone();
            self.claims.release(attempt, now);
            self.attempts.remove(attempt);
            self.refuse(&entry, attempt, AgentRefusal::DeadlineExceeded);
            return;
        }
        self.claims.finish(attempt, None, now);
        let usage = state.usage_so_far();
        self.push(AgentEffect::CancelUpstream { attempt: attempt.clone() });
        self.end_attempt(attempt, Ending::Failed(AttemptFault::DeadlineExceeded, usage));
        self.attempts.remove(attempt);
    }
}
