//! How an agent runs attempts on its upstream.
//!
//! An attempt is passed on at most once. Bytes that the entry has not credited stay buffered, so
//! that an answer can resume after a lost link; the window bounds the buffer.

use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;

use crate::agent::Agent;
use crate::agent_effect::AgentEffect;
use crate::agent_event::UpstreamFault;
use crate::class::Class;
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
use crate::usage::Usage;
use crate::usage_store::UsageCopy;

/// When an entry may try again after a refusal at the limit.
const RETRY_AFTER_MS: DurationMs = DurationMs::new(200);
/// How long a fenced attempt is remembered; longer than any frame can stay in a connection.
const FENCE_MS: DurationMs = DurationMs::from_secs(120);
/// Weight of the newest sample in the moving average of the first-token time.
const FIRST_TOKEN_WEIGHT: f64 = 0.2;

/// A piece of an answer that the entry has not credited.
#[derive(Clone, Debug)]
struct Piece {
    offset: ByteCount,
    tokens: Tokens,
    data: Bytes,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Complete(Usage),
    Failed(AttemptFault, Usage),
}

/// An attempt at an agent.
#[derive(Clone, Debug)]
pub(crate) struct AttemptState {
    entry: HostId,
    customer: CustomerId,
    class: Class,
    version: Option<VersionId>,
    prompt_tokens: Tokens,
    admitted_at_ms: TimeMs,
    deadline_ms: TimeMs,
    started: Option<(u16, CompactString)>,
    first_token_at_ms: Option<TimeMs>,
    pieces: VecDeque<Piece>,
    sent: ByteCount,
    credited: ByteCount,
    tokens: Tokens,
    ending: Option<Ending>,
}

impl AttemptState {
    /// Whether the upstream is done with the attempt.
    pub(crate) const fn is_over(&self) -> bool {
        self.ending.is_some()
    }

    const fn usage_so_far(&self) -> Usage {
        let prompt_tokens = match self.tokens.get() {
            0 => Tokens::new(0),
            _ => self.prompt_tokens,
        };
        Usage { prompt_tokens, answer_tokens: self.tokens }
    }
}

impl Agent {
    /// Attempts that the agent admits at the same time.
    pub(crate) const fn admission_limit(&self) -> u32 {
        self.settings.warm_limit
    }

    pub(crate) fn on_dispatch(&mut self, entry: &HostId, dispatch: Dispatch, now: TimeMs) {
        if let Some(link) = self.links.get_mut(entry) {
            link.received += 1;
        }
        if self.attempts.contains_key(&dispatch.attempt) {
            return;
        }
        if let Err(reason) = self.check_dispatch(&dispatch) {
            self.refuse(entry, &dispatch.attempt, reason);
            return;
        }
        self.admit(entry, dispatch, now);
    }

    fn check_dispatch(&self, dispatch: &Dispatch) -> Result<(), AgentRefusal> {
        if self.fenced.contains_key(&dispatch.attempt) {
            return Err(AgentRefusal::Fenced);
        }
        if self.draining {
            return Err(AgentRefusal::Draining);
        }
        let configuration = self.config.current();
        if configuration.is_out(&self.settings.data_centre) {
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
        if self.running() >= self.admission_limit() as usize {
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

    fn refuse(&mut self, entry: &HostId, attempt: &AttemptId, reason: AgentRefusal) {
        let message = AgentMessage::Refused {
            attempt: attempt.clone(),
            reason,
            retry_after_ms: RETRY_AFTER_MS,
        };
        self.send(entry, message);
    }

    fn admit(&mut self, entry: &HostId, dispatch: Dispatch, now: TimeMs) {
        let (version, prompt_tokens) = match &dispatch.call {
            Call::Model(call) => (Some(call.version.clone()), call.prompt_tokens),
            Call::Service(_) => (None, Tokens::default()),
        };
        let state = AttemptState {
            entry: entry.clone(),
            customer: dispatch.customer,
            class: dispatch.class,
            version,
            prompt_tokens,
            admitted_at_ms: now,
            deadline_ms: now + dispatch.time_left_ms,
            started: None,
            first_token_at_ms: None,
            pieces: VecDeque::new(),
            sent: ByteCount::default(),
            credited: ByteCount::default(),
            tokens: Tokens::default(),
            ending: None,
        };
        self.attempts.insert(dispatch.attempt.clone(), state);
        self.push(AgentEffect::CallUpstream {
            attempt: dispatch.attempt,
            call: dispatch.call,
            timeout_ms: dispatch.time_left_ms,
            read_bytes: self.settings.window_bytes,
        });
    }

    pub(crate) fn on_cancel(&mut self, attempt: &AttemptId) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        if !state.is_over() {
            let usage = state.usage_so_far();
            self.keep_usage(attempt, usage);
            self.push(AgentEffect::CancelUpstream { attempt: attempt.clone() });
        }
        self.attempts.remove(attempt);
    }

    pub(crate) fn on_credit(&mut self, attempt: &AttemptId, bytes: ByteCount) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        state.credited += bytes;
        let credited = state.credited;
        let end = |piece: &Piece| piece.offset + ByteCount::new(piece.data.len() as u64);
        while state.pieces.front().is_some_and(|piece| end(piece) <= credited) {
            state.pieces.pop_front();
        }
        if !state.is_over() {
            self.push(AgentEffect::AllowRead { attempt: attempt.clone(), bytes });
        }
        self.forget_if_done(attempt);
    }

    pub(crate) fn on_resume(
        &mut self,
        entry: &HostId,
        attempt: &AttemptId,
        offset: ByteCount,
        now: TimeMs,
    ) {
        let Some(state) = self.attempts.get(attempt) else {
            // A dispatch that is still under way must not run after this answer.
            self.fenced.insert(attempt.clone(), now + FENCE_MS);
            if offset == ByteCount::default() && !self.usage.contains(attempt) {
                self.refuse(entry, attempt, AgentRefusal::Fenced);
            } else {
                let fault = AttemptFault::NotResumable;
                let usage = Usage::default();
                self.send(entry, AgentMessage::Failed { attempt: attempt.clone(), fault, usage });
            }
            return;
        };
        let mut messages = Vec::new();
        if let Some((status, content_type)) = state.started.clone() {
            messages.push(AgentMessage::Started { attempt: attempt.clone(), status, content_type });
        }
        for piece in &state.pieces {
            messages.push(AgentMessage::Chunk {
                attempt: attempt.clone(),
                offset: piece.offset,
                tokens: piece.tokens,
                data: piece.data.clone(),
            });
        }
        if let Some(ending) = state.ending {
            messages.push(ending_message(attempt, ending, state.sent));
        }
        for message in messages {
            self.send(entry, message);
        }
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
        state.first_token_at_ms.get_or_insert(now);
        let offset = state.sent;
        state.sent += ByteCount::new(data.len() as u64);
        state.tokens += tokens;
        state.pieces.push_back(Piece { offset, tokens, data: data.clone() });
        let entry = state.entry.clone();
        let attempt = attempt.clone();
        self.send(&entry, AgentMessage::Chunk { attempt, offset, tokens, data });
        if first {
            let step = FIRST_TOKEN_WEIGHT * (first_token_ms.as_f64() - self.first_token_ms);
            self.first_token_ms += step;
        }
    }

    pub(crate) fn on_upstream_ended(
        &mut self,
        attempt: &AttemptId,
        usage: Option<Usage>,
        _now: TimeMs,
    ) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        let usage = usage.unwrap_or_else(|| state.usage_so_far());
        self.end_attempt(attempt, Ending::Complete(usage));
    }

    pub(crate) fn on_upstream_failed(
        &mut self,
        attempt: &AttemptId,
        fault: UpstreamFault,
        _now: TimeMs,
    ) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        let usage = state.usage_so_far();
        match fault {
            UpstreamFault::NotSent => {
                let entry = state.entry.clone();
                self.attempts.remove(attempt);
                self.refuse(&entry, attempt, AgentRefusal::UpstreamDown);
            }
            UpstreamFault::ServerError => {
                self.end_attempt(attempt, Ending::Failed(AttemptFault::UpstreamError, usage));
            }
            UpstreamFault::ConnectionLost => {
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
        self.send(&entry, ending_message(attempt, ending, length));
        self.forget_if_done(attempt);
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
        self.usage.keep(attempt.clone(), copy);
    }

    /// Forgets an attempt once it is over and the entry has credited every byte.
    fn forget_if_done(&mut self, attempt: &AttemptId) {
        let done = self
            .attempts
            .get(attempt)
            .is_some_and(|state| state.is_over() && state.credited >= state.sent);
        if done {
            self.attempts.remove(attempt);
        }
    }

    /// Ends attempts whose deadline passed or whose entry stayed away for the resume window.
    pub(crate) fn expire_attempts(&mut self, now: TimeMs) {
        self.fenced.retain(|_, until| now < *until);
        let window_ms = self.settings.resume_window_ms;
        let mut late = Vec::new();
        let mut orphaned = Vec::new();
        for (attempt, state) in &self.attempts {
            let lost_at_ms = self.links.get(&state.entry).and_then(|link| link.lost_at_ms);
            if lost_at_ms.is_some_and(|at| now >= at + window_ms) {
                orphaned.push(attempt.clone());
            } else if now >= state.deadline_ms {
                late.push(attempt.clone());
            }
        }
        orphaned.sort_unstable();
        late.sort_unstable();
        for attempt in orphaned {
            self.on_cancel(&attempt);
        }
        for attempt in late {
            self.on_deadline(&attempt);
        }
    }

    fn on_deadline(&mut self, attempt: &AttemptId) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        if state.is_over() {
            self.attempts.remove(attempt);
            return;
        }
        let usage = state.usage_so_far();
        self.push(AgentEffect::CancelUpstream { attempt: attempt.clone() });
        self.end_attempt(attempt, Ending::Failed(AttemptFault::DeadlineExceeded, usage));
        self.attempts.remove(attempt);
    }
}

fn ending_message(attempt: &AttemptId, ending: Ending, length: ByteCount) -> AgentMessage {
    let attempt = attempt.clone();
    match ending {
        Ending::Complete(usage) => AgentMessage::Ended { attempt, length, usage },
        Ending::Failed(fault, usage) => AgentMessage::Failed { attempt, fault, usage },
    }
}
