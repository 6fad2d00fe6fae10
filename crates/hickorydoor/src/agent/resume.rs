//! Flow-control credit and resumption of responses after a lost link.
//!
//! Chunks stay buffered until the entry credits them, so a response can continue from any byte that
//! the entry has not received. An attempt whose entry does not resume it within the resume window
//! is cancelled.

use crate::agent::Agent;
use crate::agent::attempt_state::Chunk;
use crate::agent::dispatch_fence::FenceState;
use crate::agent::effect::AgentEffect;
use crate::billing::usage::Usage;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::message::AgentMessage;
use crate::message::AgentRefusal;
use crate::message::AttemptFault;
use crate::quantity::ByteCount;
use crate::time::TimeMs;

impl Agent {
    pub(crate) fn on_credit(&mut self, attempt: &AttemptId, read_bytes: ByteCount) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        let newly_read = read_bytes.saturating_sub(state.credited_bytes);
        state.credited_bytes += newly_read;
        let credited = state.credited_bytes;
        let end = |chunk: &Chunk| chunk.offset + ByteCount::new(chunk.data.len() as u64);
        while state.uncredited_chunks.front().is_some_and(|chunk| end(chunk) <= credited) {
            state.uncredited_chunks.pop_front();
        }
        if state.is_over() {
            self.remove_if_acknowledged(attempt);
        } else if newly_read > ByteCount::default() {
            self.push(AgentEffect::AllowRead { attempt: attempt.clone(), bytes: newly_read });
        }
    }

    pub(crate) fn on_resume(&mut self, entry: &HostId, attempt: &AttemptId, offset: ByteCount) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            self.on_resume_unknown(entry, attempt, offset);
            return;
        };
        state.link_lost_at_ms = None;
        let mut messages = Vec::new();
        if let Some((status, content_type)) = state.response_head.clone() {
            messages.push(AgentMessage::Started { attempt: attempt.clone(), status, content_type });
        }
        let end = |chunk: &Chunk| chunk.offset + ByteCount::new(chunk.data.len() as u64);
        for chunk in state.uncredited_chunks.iter().filter(|chunk| end(chunk) > offset) {
            messages.push(AgentMessage::Chunk {
                attempt: attempt.clone(),
                offset: chunk.offset,
                tokens: chunk.tokens,
                data: chunk.data.clone(),
            });
        }
        if let Some(outcome) = state.outcome {
            messages.push(outcome.message(attempt, state.sent_bytes));
        }
        for message in messages {
            self.send(entry, message);
        }
    }

    fn on_resume_unknown(&mut self, entry: &HostId, attempt: &AttemptId, offset: ByteCount) {
        let state = self.fence.state(attempt);
        let not_run =
            matches!(state, None | Some(FenceState::NotRun)) && offset == ByteCount::default();
        if not_run {
            // A dispatch that is still in flight must not run after this refusal.
            self.refuse(entry, attempt, AgentRefusal::Fenced);
            return;
        }
        let fault = AttemptFault::NotResumable;
        let usage = Usage::default();
        self.send(entry, AgentMessage::Failed { attempt: attempt.clone(), fault, usage });
    }

    /// Removes an attempt that has ended and whose bytes are all credited. An entry always
    /// acknowledges the end of an attempt with a final credit or a cancel.
    fn remove_if_acknowledged(&mut self, attempt: &AttemptId) {
        let is_acknowledged = self
            .attempts
            .get(attempt)
            .is_some_and(|state| state.is_over() && state.credited_bytes >= state.sent_bytes);
        if is_acknowledged {
            self.attempts.remove(attempt);
        }
    }

    /// Starts the resume window of all attempts of an entry whose link was lost.
    pub(crate) fn mark_link_lost(&mut self, entry: &HostId, now: TimeMs) {
        for state in self.attempts.values_mut().filter(|state| state.entry == *entry) {
            state.link_lost_at_ms.get_or_insert(now);
        }
    }

    /// Cancels an attempt whose resume window has expired. The entry may only be paused, so it is
    /// sent the failure as well.
    pub(crate) fn on_resume_window_expired(&mut self, attempt: &AttemptId, now: TimeMs) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        let entry = state.entry.clone();
        let usage = state.usage_so_far();
        self.on_cancel(attempt, now);
        let fault = AttemptFault::NotResumable;
        self.send(&entry, AgentMessage::Failed { attempt: attempt.clone(), fault, usage });
    }
}
