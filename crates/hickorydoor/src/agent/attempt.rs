//! Admission, forwarding and completion of attempts.
//!
//! An attempt is forwarded to the upstream at most once. Response bytes stay buffered until the
//! entry credits them, so that the response can resume after a lost link; the flow-control window
//! bounds the buffer.

use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;

use crate::agent::Agent;
use crate::agent::attempt_state::AttemptOutcome;
use crate::agent::attempt_state::AttemptState;
use crate::agent::attempt_state::Chunk;
use crate::agent::claim::MAX_RESPONSE_BYTES;
use crate::agent::claim::StoredResponse;
use crate::agent::dispatch_fence::FenceState;
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

/// Delay after which an entry may retry a refused attempt.
pub(crate) const RETRY_AFTER_MS: DurationMs = DurationMs::new(200);
/// Weight of a new sample in the exponential moving average of the time to first token.
const FIRST_TOKEN_SAMPLE_WEIGHT: f64 = 0.2;

impl Agent {
    pub(crate) const fn admission_limit(&self) -> u32 {
        self.admission.limit()
    }

    pub(crate) fn is_running_version(&self, version: &VersionId) -> bool {
        let running = self.attempts.values().filter(|state| !state.is_over());
        running.into_iter().any(|state| state.version.as_ref() == Some(version))
    }

    pub(crate) fn on_dispatch(&mut self, entry: &HostId, dispatch: &Dispatch, now: TimeMs) {
        if let Some(link) = self.links.get_mut(entry) {
            link.received_attempts += 1;
        }
        if self.attempts.contains_key(&dispatch.attempt) {
            return;
        }
        match self.fence.state(&dispatch.attempt) {
            Some(FenceState::Forwarded) => return,
            Some(FenceState::NotRun) => {
                self.refuse(entry, &dispatch.attempt, AgentRefusal::Fenced);
                return;
            }
            Some(FenceState::IncarnationClosed) => {
                self.refuse(entry, &dispatch.attempt, AgentRefusal::IncarnationClosed);
                return;
            }
            None => {}
        }
        if let Err(reason) = self.check_dispatch(dispatch, now) {
            self.refuse(entry, &dispatch.attempt, reason);
            return;
        }
        if let Err((reason, after_ms)) = self.take_room(now) {
            self.refuse_with_retry_after(entry, &dispatch.attempt, reason, after_ms);
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
            && !self.is_version_allowed(&dispatch.customer, &call.version)
        {
            return Err(AgentRefusal::VersionNotServed);
        }
        if !self.admission.admits(self.running()) {
            return Err(AgentRefusal::AtLimit);
        }
        Ok(())
    }

    /// Checks permission and version state again, because the agent's configuration may be newer
    /// than the entry's.
    fn is_version_allowed(&self, customer: &CustomerId, version: &VersionId) -> bool {
        let configuration = self.config.current();
        let Some((model, configured)) = configuration.version(version) else {
            return false;
        };
        let allowed = configuration
            .customers
            .get(customer)
            .is_some_and(|customer| customer.allows_version(model, configured));
        allowed && configured.state.serves_sessions() && self.versions().contains(version)
    }

    /// Refuses an attempt and makes sure that it is never forwarded later.
    pub(crate) fn refuse(&mut self, entry: &HostId, attempt: &AttemptId, reason: AgentRefusal) {
        self.refuse_with_retry_after(entry, attempt, reason, RETRY_AFTER_MS);
    }

    /// Like [`Self::refuse`], with the delay after which a new attempt may succeed.
    pub(crate) fn refuse_with_retry_after(
        &mut self,
        entry: &HostId,
        attempt: &AttemptId,
        reason: AgentRefusal,
        retry_after_ms: DurationMs,
    ) {
        self.fence.record(attempt, FenceState::NotRun);
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
            response_head: None,
            first_token_at_ms: None,
            last_chunk_at_ms: now,
            uncredited_chunks: VecDeque::new(),
            sent_bytes: ByteCount::default(),
            credited_bytes: ByteCount::default(),
            answer_tokens: Tokens::default(),
            outcome: None,
            pending_call: Some(dispatch.call.clone()),
            claimed_body: Vec::new(),
            link_lost_at_ms: None,
        };
        if self.running() == 0 {
            self.admission.restart_output_timer(now);
        }
        self.attempts.insert(dispatch.attempt.clone(), state);
        if !self.request_claim(dispatch, now) {
            self.forward_attempt(&dispatch.attempt, now);
        }
    }

    /// Forwards an attempt to the upstream. Returns `false` if the attempt was removed or forwarded
    /// before.
    pub(crate) fn forward_attempt(&mut self, attempt: &AttemptId, now: TimeMs) -> bool {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return false;
        };
        let Some(call) = state.pending_call.take() else {
            return false;
        };
        let timeout_ms = state.deadline_ms.since(now);
        self.fence.record(attempt, FenceState::Forwarded);
        self.push(AgentEffect::CallUpstream {
            attempt: attempt.clone(),
            call,
            timeout_ms,
            read_bytes: self.settings.window_bytes,
        });
        true
    }

    pub(crate) fn entry_of(&self, attempt: &AttemptId) -> Option<HostId> {
        self.attempts.get(attempt).map(|state| state.entry.clone())
    }

    /// Fails an attempt that was not forwarded.
    pub(crate) fn fail_attempt(&mut self, attempt: &AttemptId, fault: AttemptFault) {
        self.end_attempt(attempt, AttemptOutcome::Failed(fault, Usage::default()));
    }

    pub(crate) fn on_cancel(&mut self, attempt: &AttemptId, now: TimeMs) {
        if self.claims.is_waiting(attempt) {
            self.claims.release(attempt, now);
            self.fence.record(attempt, FenceState::NotRun);
            self.attempts.remove(attempt);
            return;
        }
        if self.claims.is_running(attempt) {
            // A claimed call keeps running, so that a retry can receive its response.
            return;
        }
        let Some(state) = self.attempts.get(attempt) else {
            if self.fence.state(attempt).is_none() {
                // The cancel arrived on a newer connection before its dispatch.
                self.fence.record(attempt, FenceState::NotRun);
            }
            return;
        };
        if !state.is_over() {
            let usage = state.usage_so_far();
            self.record_usage(attempt, usage);
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
        state.response_head = Some((status, content_type.clone()));
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
        let gap_ms = now.since(state.last_chunk_at_ms);
        state.last_chunk_at_ms = now;
        state.first_token_at_ms.get_or_insert(now);
        let offset = state.sent_bytes;
        state.sent_bytes += ByteCount::new(data.len() as u64);
        state.answer_tokens += tokens;
        if self.claims.is_running(attempt) && state.claimed_body.len() <= MAX_RESPONSE_BYTES {
            state.claimed_body.extend_from_slice(&data);
        }
        state.uncredited_chunks.push_back(Chunk { offset, tokens, data: data.clone() });
        let entry = state.entry.clone();
        let attempt = attempt.clone();
        self.send(&entry, AgentMessage::Chunk { attempt, offset, tokens, data });
        if first {
            let step = FIRST_TOKEN_SAMPLE_WEIGHT * (first_token_ms.as_f64() - self.first_token_ms);
            self.first_token_ms += step;
            self.record_first_token(first_token_ms, now);
        } else {
            self.record_output(tokens, gap_ms, now);
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
            let (status, content_type) = state.response_head.clone().unwrap_or_default();
            let response = StoredResponse::new(status, content_type, &state.claimed_body);
            self.claims.finish(attempt, response, now);
        }
        self.end_attempt(attempt, AttemptOutcome::Complete(usage));
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
                self.reset_admission(now);
                self.claims.release(attempt, now);
                self.attempts.remove(attempt);
                self.refuse(&entry, attempt, AgentRefusal::UpstreamDown);
            }
            UpstreamFault::ServerError => {
                self.admission.on_call_ended(false, now);
                self.claims.finish(attempt, None, now);
                self.end_attempt(
                    attempt,
                    AttemptOutcome::Failed(AttemptFault::UpstreamError, usage),
                );
            }
            UpstreamFault::ConnectionLost => {
                self.reset_admission(now);
                self.claims.finish(attempt, None, now);
                self.end_attempt(
                    attempt,
                    AttemptOutcome::Failed(AttemptFault::ConnectionLost, usage),
                );
            }
        }
    }

    fn end_attempt(&mut self, attempt: &AttemptId, outcome: AttemptOutcome) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        state.outcome = Some(outcome);
        let entry = state.entry.clone();
        let length = state.sent_bytes;
        let first_token_ms = state.first_token_at_ms.map(|at| at.since(state.admitted_at_ms));
        let (version, class) = (state.version.clone(), state.class);
        let fault = match outcome {
            AttemptOutcome::Complete(_) => None,
            AttemptOutcome::Failed(fault, _) => Some(fault),
        };
        self.record_attempt(version.as_ref(), class, first_token_ms, fault);
        let (AttemptOutcome::Complete(usage) | AttemptOutcome::Failed(_, usage)) = outcome;
        self.record_usage(attempt, usage);
        self.send(&entry, outcome.message(attempt, length));
    }

    fn record_usage(&mut self, attempt: &AttemptId, usage: Usage) {
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

    /// Ends attempts whose deadline has passed or whose entry was out of contact for the resume
    /// window.
    pub(crate) fn expire_attempts(&mut self, now: TimeMs) {
        let window_ms = self.settings.resume_window_ms;
        let mut overdue = Vec::new();
        let mut orphaned = Vec::new();
        for (attempt, state) in &self.attempts {
            let out_of_contact = self
                .links
                .get(&state.entry)
                .is_none_or(|link| now >= link.last_contact_at_ms + window_ms);
            // A claimed call keeps running without its entry, so that a retry can receive its
            // response.
            let keeps_running = self.claims.is_running(attempt);
            if !keeps_running
                && (out_of_contact || state.link_lost_at_ms.is_some_and(|at| now >= at + window_ms))
            {
                orphaned.push(attempt.clone());
            } else if now >= state.deadline_ms {
                overdue.push(attempt.clone());
            }
        }
        orphaned.sort_unstable();
        overdue.sort_unstable();
        for attempt in orphaned {
            self.on_resume_window_expired(&attempt, now);
        }
        for attempt in overdue {
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
        self.end_attempt(attempt, AttemptOutcome::Failed(AttemptFault::DeadlineExceeded, usage));
        self.attempts.remove(attempt);
    }
}
