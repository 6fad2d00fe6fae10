//! Keeps attempts alive when the link to their agent is lost.
//!
//! An attempt that has delivered nothing and may be retried moves to another agent at once. Any
//! other attempt waits during the resume window for its agent to reconnect. It then continues at
//! the first byte that the entry does not have, or ends with an explicit error.

use crate::entry::Entry;
use crate::entry::request_state::RequestState;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Serial;
use crate::message::AttemptFault;
use crate::message::EntryMessage;
use crate::observation::Observation;
use crate::quantity::ByteCount;
use crate::refusal::RunState;
use crate::time::TimeMs;

impl Entry {
    /// Starts the resume windows of the attempts on an agent and moves those attempts that can run
    /// elsewhere.
    pub(crate) fn start_resume_windows(&mut self, agent: &HostId, now: TimeMs) {
        let mut movable = Vec::new();
        for (serial, state) in &mut self.requests {
            if let Some(attempt) = state.running_on(agent) {
                attempt.link_lost_at_ms.get_or_insert(now);
                if can_move(state) {
                    movable.push(*serial);
                }
            }
        }
        movable.sort_unstable();
        for serial in movable {
            self.move_attempt(serial, agent, now);
        }
    }

    /// Moves an attempt to another agent. If no other agent can run it or the retry budget is
    /// exhausted, the attempt stays where it is.
    pub(crate) fn move_attempt(&mut self, serial: Serial, agent: &HostId, now: TimeMs) {
        let Some(state) = self.requests.get_mut(&serial) else {
            return;
        };
        if state.excluded.len() >= self.settings.max_attempts as usize {
            return;
        }
        let excluded_before = state.excluded.len();
        state.excluded.push(agent.clone());
        if self.place(serial, now).is_none() {
            if let Some(state) = self.requests.get_mut(&serial) {
                state.excluded.truncate(excluded_before);
            }
            return;
        }
        if !self.try_take_retry(serial) {
            if let Some(state) = self.requests.get_mut(&serial) {
                state.excluded.truncate(excluded_before);
            }
            return;
        }
        self.record_lost(serial, agent);
        self.cancel_attempt(serial);
        self.dispatch(serial, now);
    }

    fn record_lost(&mut self, serial: Serial, agent: &HostId) {
        let Some(state) = self.requests.get(&serial) else {
            return;
        };
        let Some(attempt) = &state.attempt else {
            return;
        };
        let id = state.attempt_id(attempt.ordinal);
        let fault = AttemptFault::ConnectionLost;
        self.record(Observation::AttemptFailed { attempt: id, agent: agent.clone(), fault });
    }

    /// Resumes the attempts on an agent that has reconnected. Attempts that an earlier incarnation
    /// of the agent ran are lost.
    pub(crate) fn resume_attempts(
        &mut self,
        agent: &HostId,
        incarnation: Incarnation,
        now: TimeMs,
    ) {
        self.send_pending_cancels(agent, incarnation);
        let mut resumes = Vec::new();
        let mut lost = Vec::new();
        for (serial, state) in &mut self.requests {
            let request = state.id.clone();
            let Some(attempt) = state.running_on(agent) else {
                continue;
            };
            if attempt.agent_incarnation == incarnation {
                attempt.link_lost_at_ms = None;
                let id = AttemptId { request, ordinal: attempt.ordinal };
                resumes.push((id, attempt.received, attempt.credited));
            } else {
                lost.push(*serial);
            }
        }
        resumes.sort_unstable();
        lost.sort_unstable();
        for (attempt, offset, read_bytes) in resumes {
            let resume = EntryMessage::Resume { attempt: attempt.clone(), offset };
            self.send(agent, resume);
            self.send(agent, EntryMessage::Credit { attempt, read_bytes });
        }
        for serial in lost {
            self.on_attempt_lost(serial, now);
        }
    }

    /// Ends the resume windows of the attempts on an agent that was unresponsive and has sent a
    /// message again.
    pub(crate) fn end_resume_windows(&mut self, agent: &HostId) {
        for state in self.requests.values_mut() {
            if let Some(attempt) = state.running_on(agent) {
                attempt.link_lost_at_ms = None;
            }
        }
    }

    /// Sends the cancels that could not be sent while the link was down.
    fn send_pending_cancels(&mut self, agent: &HostId, incarnation: Incarnation) {
        let Some(member) = self.members.get_mut(agent) else {
            return;
        };
        let cancels = std::mem::take(&mut member.pending_cancels);
        for (target, attempt) in cancels {
            if target == incarnation {
                self.send(agent, EntryMessage::Cancel { attempt });
            }
        }
    }

    /// Sends a cancel, or stores it until the link is up again.
    pub(crate) fn send_cancel(
        &mut self,
        agent: &HostId,
        incarnation: Incarnation,
        attempt: AttemptId,
    ) {
        match self.members.get_mut(agent) {
            Some(member) if !member.connected => {
                member.pending_cancels.push((incarnation, attempt));
            }
            _ => self.send(agent, EntryMessage::Cancel { attempt }),
        }
    }

    /// Acknowledges that the whole response has arrived, so that the agent can discard it.
    pub(crate) fn acknowledge(&mut self, agent: &HostId, attempt: &AttemptId, length: ByteCount) {
        let attempt = attempt.clone();
        self.send(agent, EntryMessage::Credit { attempt, read_bytes: length });
    }
}

/// Returns whether an attempt can run on another agent without the caller noticing.
fn can_move(state: &RequestState) -> bool {
    let delivered = state.head_sent || state.buffered_bytes > ByteCount::default();
    let received = state.attempt.as_ref().is_some_and(|a| a.received > ByteCount::default());
    state.is_repeatable() && !delivered && !received
}

/// Returns the run state after an attempt whose outcome remains unknown to the entry.
pub(crate) const fn after_unknown_outcome(run: RunState) -> RunState {
    match run {
        RunState::Run => RunState::Run,
        RunState::NotRun | RunState::Unknown => RunState::Unknown,
    }
}
