//! Handlers for messages from agents and for ratings.
//!
//! Response bytes are forwarded to the caller as they arrive if it requested a stream and the
//! response needs no rating first. Otherwise they are buffered until the response is complete. As
//! long as nothing has reached the caller, a failed attempt can be retried on another upstream
//! without the caller noticing.

use bytes::Bytes;
use compact_str::CompactString;

use crate::billing::usage::Usage;
use crate::entry::Entry;
use crate::entry::effect::EntryEffect;
use crate::entry::effect::ResponseHead;
use crate::entry::event::RatingFault;
use crate::entry::request_state::Attempt;
use crate::entry::resume::after_unknown_outcome;
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

/// Responses up to this size are buffered until they are complete, so that a failed attempt can be
/// retried without the caller noticing. Longer ones are forwarded from then on.
const MAX_BUFFERED_BYTES: ByteCount = ByteCount::new(8 << 20);

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

    /// Returns the request whose current attempt this is, or `None` for late messages of other
    /// attempts.
    fn serial_of_attempt(&mut self, agent: &HostId, attempt: &AttemptId) -> Option<Serial> {
        let request = &attempt.request;
        // A request keeps the incarnation under which it was accepted.
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
        let Some(serial) = self.serial_of_attempt(agent, attempt) else {
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
            self.requeue(serial, now);
            return;
        }
        if reason == AgentRefusal::StoreUnavailable {
            // All agents depend on the same key-value service, so a retry elsewhere cannot help.
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
        let Some(serial) = self.serial_of_attempt(agent, attempt) else {
            return;
        };
        if let Some(current) = self.attempt_mut(serial) {
            current.response_head = Some((status, content_type));
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
        let Some(serial) = self.serial_of_attempt(agent, attempt) else {
            return;
        };
        let Some(current) = self.attempt_mut(serial) else {
            return;
        };
        if current.response_head.is_none() {
            // The response head was lost together with a link. It is requested only once, because
            // each resume makes the agent send all chunks again.
            if !std::mem::replace(&mut current.head_requested, true) {
                let offset = current.received;
                self.send(agent, EntryMessage::Resume { attempt: attempt.clone(), offset });
            }
            return;
        }
        if offset > current.received {
            // There is a gap before this chunk; request the missing bytes again.
            let offset = current.received;
            self.send(agent, EntryMessage::Resume { attempt: attempt.clone(), offset });
            return;
        }
        let duplicate_bytes = current.received.saturating_sub(offset).get() as usize;
        if duplicate_bytes >= data.len() {
            return;
        }
        let data = data.slice(duplicate_bytes..);
        let length = ByteCount::new(data.len() as u64);
        current.received += length;
        if duplicate_bytes == 0 {
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
        if state.is_streamed() || state.head_sent {
            let caller = state.caller;
            self.send_head(serial);
            self.push(EntryEffect::Body { caller, data });
            return;
        }
        state.buffered.push(data);
        state.buffered_bytes += length;
        if state.buffered_bytes > MAX_BUFFERED_BYTES {
            // A cascade step whose response is too long to be rated is not delivered.
            if self.escalate(serial, now) {
                return;
            }
            self.deliver_buffered(serial);
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
        let Some((status, content_type)) = attempt.response_head.clone() else {
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

    fn deliver_buffered(&mut self, serial: Serial) {
        self.send_head(serial);
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        let caller = state.caller;
        state.buffered_bytes = ByteCount::default();
        let chunks = std::mem::take(&mut state.buffered);
        for data in chunks {
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
        let Some(serial) = self.serial_of_attempt(agent, attempt) else {
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
            self.placement.answer_lengths.record(&state.customer, state.class, usage.answer_tokens);
        }
        self.count_own_attempt(serial, version.as_ref(), None);
        self.add_usage(serial, version, usage);
        if !self.on_step_complete(serial, now) {
            self.record_cascade(serial, None);
            self.release_answer(serial, now);
        }
    }

    /// Delivers the rest of a complete response and ends the request.
    pub(crate) fn release_answer(&mut self, serial: Serial, now: TimeMs) {
        self.deliver_buffered(serial);
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
        let Some(serial) = self.serial_of_attempt(agent, attempt) else {
            return;
        };
        self.record(Observation::AttemptFailed {
            attempt: attempt.clone(),
            agent: agent.clone(),
            fault,
        });
        // The cancel acknowledges the failure, so that the agent can discard the attempt.
        self.send(agent, EntryMessage::Cancel { attempt: attempt.clone() });
        let version = self.release_attempt(serial).and_then(|attempt| attempt.version);
        self.count_own_attempt(serial, version.as_ref(), Some(fault));
        self.add_usage(serial, version, usage);
        self.handle_failure(serial, agent, fault, now);
    }

    /// Fails an attempt that can no longer be resumed, because its link stayed down for the whole
    /// resume window or its agent restarted.
    pub(crate) fn on_attempt_lost(&mut self, serial: Serial, now: TimeMs) {
        let Some(attempt) = self.requests.get(&serial).and_then(|state| state.attempt.as_ref())
        else {
            return;
        };
        let agent = attempt.agent.clone();
        self.cancel_attempt(serial);
        self.handle_failure(serial, &agent, AttemptFault::ConnectionLost, now);
    }

    fn handle_failure(&mut self, serial: Serial, agent: &HostId, fault: AttemptFault, now: TimeMs) {
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        state.excluded.push(agent.clone());
        state.step_failed = true;
        if fault != AttemptFault::KeyReused {
            state.run = after_unknown_outcome(state.run);
        }
        let transient = matches!(
            fault,
            AttemptFault::UpstreamError | AttemptFault::ConnectionLost | AttemptFault::NotResumable
        );
        let repeatable = state.is_repeatable();
        let can_retry = transient && !state.head_sent && repeatable;
        if can_retry && self.try_take_retry(serial) {
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
            // Buffered bytes were credited when they arrived.
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
