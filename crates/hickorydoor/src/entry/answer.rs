//! How an entry handles what agents and the rating service send.

use bytes::Bytes;
use compact_str::CompactString;

use crate::billing::usage::Usage;
use crate::entry::Entry;
use crate::entry::effect::EntryEffect;
use crate::entry::effect::ResponseHead;
use crate::entry::event::RatingFault;
use crate::entry::request_state::Attempt;
use crate::entry::resume::after_unknown;
use crate::id::AttemptId;
use crate::id::CallerId;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::Serial;
use crate::message::AgentMessage;
use crate::message::AgentRefusal;
use crate::message::AttemptFault;
use crate::message::EntryMessage;
use crate::observation::Observation;
use crate::observation::RequestOutcome;
use crate::quantity::ByteCount;
use crate::quantity::Tokens;
use crate::refusal::RefusalReason;
use crate::refusal::RunState;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Answers up to this size are held until they are complete, so that a failed attempt can be
/// repeated without the caller noticing.
const MAX_HELD_BYTES: ByteCount = ByteCount::new(8 << 20);

impl Entry {
    pub(crate) fn on_message(&mut self, agent: &HostId, message: AgentMessage, now: TimeMs) {
        self.record_contact(agent, now);
        match message {
            AgentMessage::Refused { attempt, reason, retry_after_ms } => {
                self.on_refused(agent, &attempt, reason, retry_after_ms, now);
            }
            AgentMessage::Started { attempt, status, content_type } => {
                self.on_started(agent, &attempt, status, content_type);
            }
            AgentMessage::Chunk { attempt, offset, tokens, data } => {
                self.on_chunk(agent, &attempt, offset, tokens, &data, now);
            }
            AgentMessage::Ended { attempt, length, usage } => {
                self.on_ended(agent, &attempt, length, usage, now);
            }
            AgentMessage::Failed { attempt, fault, usage } => {
                self.on_failed(agent, &attempt, fault, usage, now);
            }
            AgentMessage::Hello(hello) => self.on_hello(agent, hello, now),
            AgentMessage::Load(report) => self.on_load(agent, *report, now),
            AgentMessage::Evidence(counters) => self.on_evidence(agent, &counters),
            AgentMessage::Draining => self.on_draining(agent),
            AgentMessage::IncarnationClosed { incarnation } => {
                self.on_incarnation_closed(incarnation, now);
            }
            AgentMessage::ConfigNotice { revision } => self.on_peer_revision(agent, revision, now),
            AgentMessage::ConfigPull { current } => self.on_config_pull(agent, current),
            AgentMessage::ConfigUpdate(update) => self.on_config_update(update, now),
            AgentMessage::PinReply { key, pin, known } => {
                self.on_pin_reply(agent, key, pin, known, now);
            }
        }
    }

    /// The request whose current attempt this is; late messages of other attempts find none.
    fn current(&mut self, agent: &HostId, attempt: &AttemptId) -> Option<Serial> {
        let request = &attempt.request;
        // Requests keep the incarnation under which they arrived.
        let state = self.requests.get(&request.serial).filter(|state| state.id == *request)?;
        let current = state.attempt.as_ref()?;
        let same = current.ordinal == attempt.ordinal && current.agent == *agent;
        let matches = same && !current.complete;
        matches.then_some(request.serial)
    }

    fn attempt_mut(&mut self, serial: Serial) -> Option<&mut Attempt> {
        self.requests.get_mut(&serial)?.attempt.as_mut()
    }

    fn on_refused(
        &mut self,
        agent: &HostId,
        attempt: &AttemptId,
        reason: AgentRefusal,
        retry_after_ms: DurationMs,
        now: TimeMs,
    ) {
        let Some(serial) = self.current(agent, attempt) else {
            return;
        };
        self.release_attempt(serial);
        if reason == AgentRefusal::AtLimit {
            if let Some(member) = self.members.get_mut(agent) {
                member.record_limit_refusal();
            }
        } else if let Some(state) = self.requests.get_mut(&serial) {
            state.excluded.push(agent.clone());
        }
        self.record(Observation::AttemptRefused {
            attempt: attempt.clone(),
            agent: agent.clone(),
            reason,
        });
        if reason == AgentRefusal::AtLimit {
            self.enqueue_again(serial, now);
            return;
        }
        if reason == AgentRefusal::StoreUnavailable {
            // Other agents need the same key-value service.
            let reason = RefusalReason::StoreUnavailable;
            self.refuse(serial, reason, Some(retry_after_ms), now);
            return;
        }
        self.dispatch(serial, now);
    }

    fn on_started(
        &mut self,
        agent: &HostId,
        attempt: &AttemptId,
        status: u16,
        content_type: CompactString,
    ) {
        let Some(serial) = self.current(agent, attempt) else {
            return;
        };
        if let Some(current) = self.attempt_mut(serial) {
            current.started = Some((status, content_type));
        }
        if let Some(state) = self.requests.get_mut(&serial) {
            state.run = RunState::Unknown;
        }
    }

    fn on_chunk(
        &mut self,
        agent: &HostId,
        attempt: &AttemptId,
        offset: ByteCount,
        tokens: Tokens,
        data: &Bytes,
        now: TimeMs,
    ) {
        let Some(serial) = self.current(agent, attempt) else {
            return;
        };
        let Some(current) = self.attempt_mut(serial) else {
            return;
        };
        if current.started.is_none() {
            // The head was lost with a link. It is asked for once, since every answer to that
            // repeats all pieces.
            if !std::mem::replace(&mut current.head_asked, true) {
                let offset = current.received;
                self.send(agent, EntryMessage::Resume { attempt: attempt.clone(), offset });
            }
            return;
        }
        if offset > current.received {
            // Bytes are missing in between; ask for them again.
            let offset = current.received;
            self.send(agent, EntryMessage::Resume { attempt: attempt.clone(), offset });
            return;
        }
        let known = current.received.saturating_sub(offset).get() as usize;
        if known >= data.len() {
            return;
        }
        let data = data.slice(known..);
        let length = ByteCount::new(data.len() as u64);
        current.received += length;
        if known == 0 {
            current.tokens += tokens;
        }
        if let Some(state) = self.requests.get_mut(&serial) {
            state.first_token_at_ms.get_or_insert(now);
        }
        self.append_to_sample(serial, &data);
        self.deliver(serial, attempt, data, length, now);
    }

    fn deliver(
        &mut self,
        serial: Serial,
        attempt: &AttemptId,
        data: Bytes,
        length: ByteCount,
        now: TimeMs,
    ) {
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        if state.streams() || state.head_sent {
            let caller = state.caller;
            self.send_head(serial);
            self.push(EntryEffect::Body { caller, data });
            return;
        }
        state.buffered.push(data);
        state.buffered_bytes += length;
        if state.buffered_bytes > MAX_HELD_BYTES {
            // An answer that is too long to be judged is not released.
            if self.escalate(serial, now) {
                return;
            }
            self.release_held(serial);
        }
        let Some(current) = self.attempt_mut(serial) else {
            return;
        };
        current.credited += length;
        let read_bytes = current.credited;
        let agent = current.agent.clone();
        self.send(&agent, EntryMessage::Credit { attempt: attempt.clone(), read_bytes });
    }

    fn send_head(&mut self, serial: Serial) {
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        if state.head_sent {
            return;
        }
        let Some(attempt) = &state.attempt else {
            return;
        };
        let Some((status, content_type)) = attempt.started.clone() else {
            return;
        };
        state.head_sent = true;
        let head = ResponseHead {
            request: state.id.clone(),
            status,
            content_type,
            version: attempt.version.clone(),
            session_moved: state.session_moved,
            stream: state.wants_stream(),
        };
        let caller = state.caller;
        self.push(EntryEffect::Respond { caller, head });
    }

    fn release_held(&mut self, serial: Serial) {
        self.send_head(serial);
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        let caller = state.caller;
        state.buffered_bytes = ByteCount::default();
        let pieces = std::mem::take(&mut state.buffered);
        for data in pieces {
            self.push(EntryEffect::Body { caller, data });
        }
    }

    fn on_ended(
        &mut self,
        agent: &HostId,
        attempt: &AttemptId,
        length: ByteCount,
        usage: Usage,
        now: TimeMs,
    ) {
        let Some(serial) = self.current(agent, attempt) else {
            return;
        };
        let Some(current) = self.attempt_mut(serial) else {
            return;
        };
        if current.received < length {
            let offset = current.received;
            self.send(agent, EntryMessage::Resume { attempt: attempt.clone(), offset });
            return;
        }
        current.complete = true;
        self.acknowledge(agent, attempt, length);
        let Some(current) = self.attempt_mut(serial) else {
            return;
        };
        let version = current.version.clone();
        if let Some(state) = self.requests.get(&serial).filter(|_| version.is_some()) {
            self.placement.lengths.learn(&state.customer, state.class, usage.answer_tokens);
        }
        self.count_own_attempt(serial, version.as_ref(), None);
        self.add_usage(serial, version, usage);
        if !self.on_step_complete(serial, now) {
            self.record_cascade(serial, None);
            self.release_answer(serial, now);
        }
    }

    /// Delivers the rest of a complete answer and ends the request.
    pub(crate) fn release_answer(&mut self, serial: Serial, now: TimeMs) {
        self.release_held(serial);
        if let Some(state) = self.requests.get(&serial) {
            let caller = state.caller;
            self.push(EntryEffect::End { caller });
        }
        self.rate_sample(serial, now);
        self.release_attempt(serial);
        self.finish(serial, RequestOutcome::Served, now);
    }

    pub(crate) fn on_rated(
        &mut self,
        request: &RequestId,
        ordinal: u32,
        rating: Result<f64, RatingFault>,
        now: TimeMs,
    ) {
        if self.on_sample_rated(request, ordinal, rating) {
            return;
        }
        self.on_step_rated(request, ordinal, rating, now);
    }

    fn on_failed(
        &mut self,
        agent: &HostId,
        attempt: &AttemptId,
        fault: AttemptFault,
        usage: Usage,
        now: TimeMs,
    ) {
        let Some(serial) = self.current(agent, attempt) else {
            return;
        };
        self.record(Observation::AttemptFailed {
            attempt: attempt.clone(),
            agent: agent.clone(),
            fault,
        });
        // The cancel acknowledges the failure, so that the agent may forget the attempt.
        self.send(agent, EntryMessage::Cancel { attempt: attempt.clone() });
        let version = self.release_attempt(serial).and_then(|attempt| attempt.version);
        self.count_own_attempt(serial, version.as_ref(), Some(fault));
        self.add_usage(serial, version, usage);
        self.after_failure(serial, agent, fault, now);
    }

    /// The attempt's link stayed down for the whole resume window.
    pub(crate) fn on_attempt_lost(&mut self, serial: Serial, now: TimeMs) {
        let Some(attempt) = self.requests.get(&serial).and_then(|state| state.attempt.as_ref())
        else {
            return;
        };
        let agent = attempt.agent.clone();
        self.cancel_attempt(serial);
        self.after_failure(serial, &agent, AttemptFault::ConnectionLost, now);
    }

    fn after_failure(&mut self, serial: Serial, agent: &HostId, fault: AttemptFault, now: TimeMs) {
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        state.excluded.push(agent.clone());
        state.step_failed = true;
        if fault != AttemptFault::KeyReused {
            state.run = after_unknown(state.run);
        }
        let passing = matches!(
            fault,
            AttemptFault::UpstreamError | AttemptFault::ConnectionLost | AttemptFault::NotResumable
        );
        let repeatable = state.is_repeatable();
        let may_move = passing && !state.head_sent && repeatable;
        if may_move && self.may_retry(serial) {
            if let Some(state) = self.requests.get_mut(&serial) {
                state.buffered.clear();
                state.buffered_bytes = ByteCount::default();
            }
            self.dispatch(serial, now);
            return;
        }
        let reason = match fault {
            AttemptFault::DeadlineExceeded => RefusalReason::DeadlineExceeded,
            AttemptFault::DuplicateInProgress => RefusalReason::DuplicateInProgress,
            AttemptFault::KeyReused => RefusalReason::KeyReused,
            AttemptFault::OutcomeUnknown => RefusalReason::OutcomeUnknown,
            _ if repeatable => RefusalReason::UpstreamFailed,
            _ => RefusalReason::OutcomeUnknown,
        };
        self.refuse(serial, reason, None, now);
    }

    pub(crate) fn on_caller_read(&mut self, caller: CallerId, bytes: ByteCount) {
        let Some(state) = self.callers.get(&caller).and_then(|serial| self.requests.get(serial))
        else {
            return;
        };
        let request = state.id.clone();
        let Some(attempt) = self.attempt_mut(request.serial) else {
            return;
        };
        attempt.read += bytes;
        if attempt.read <= attempt.credited {
            // Held bytes were credited when they arrived.
            return;
        }
        attempt.credited = attempt.read;
        let read_bytes = attempt.credited;
        let agent = attempt.agent.clone();
        let attempt = AttemptId { request, ordinal: attempt.ordinal };
        self.send(&agent, EntryMessage::Credit { attempt, read_bytes });
    }

    pub(crate) fn on_caller_gone(&mut self, caller: CallerId, now: TimeMs) {
        if let Some(serial) = self.callers.get(&caller).copied() {
            self.cancel_attempt(serial);
            self.finish(serial, RequestOutcome::CallerGone, now);
        }
    }
}
