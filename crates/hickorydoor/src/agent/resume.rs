//! How an agent keeps answers through lost links.
//!
//! Pieces stay until the entry credits them, so an answer can go on from any byte that the entry
//! lacks. An attempt whose entry stays away for the resume window is cancelled.

use crate::agent::Agent;
use crate::agent::attempt_state::Piece;
use crate::agent::dispatch_fence::Seen;
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
        let more = read_bytes.saturating_sub(state.credited);
        state.credited += more;
        let credited = state.credited;
        let end = |piece: &Piece| piece.offset + ByteCount::new(piece.data.len() as u64);
        while state.pieces.front().is_some_and(|piece| end(piece) <= credited) {
            state.pieces.pop_front();
        }
        if state.is_over() {
            self.forget_if_done(attempt);
        } else if more > ByteCount::default() {
            self.push(AgentEffect::AllowRead { attempt: attempt.clone(), bytes: more });
        }
    }

    pub(crate) fn on_resume(&mut self, entry: &HostId, attempt: &AttemptId, offset: ByteCount) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            self.on_resume_unknown(entry, attempt, offset);
            return;
        };
        state.lost_at_ms = None;
        let mut messages = Vec::new();
        if let Some((status, content_type)) = state.started.clone() {
            messages.push(AgentMessage::Started { attempt: attempt.clone(), status, content_type });
        }
        let end = |piece: &Piece| piece.offset + ByteCount::new(piece.data.len() as u64);
        for piece in state.pieces.iter().filter(|piece| end(piece) > offset) {
            messages.push(AgentMessage::Chunk {
                attempt: attempt.clone(),
                offset: piece.offset,
                tokens: piece.tokens,
                data: piece.data.clone(),
            });
        }
        if let Some(ending) = state.ending {
            messages.push(ending.message(attempt, state.sent));
        }
        for message in messages {
            self.send(entry, message);
        }
    }

    fn on_resume_unknown(&mut self, entry: &HostId, attempt: &AttemptId, offset: ByteCount) {
        let seen = self.fence.seen(attempt);
        let not_run = matches!(seen, None | Some(Seen::NotRun)) && offset == ByteCount::default();
        if not_run {
            // A dispatch that is still under way must not run after this answer.
            self.refuse(entry, attempt, AgentRefusal::Fenced);
            return;
        }
        let fault = AttemptFault::NotResumable;
        let usage = Usage::default();
        self.send(entry, AgentMessage::Failed { attempt: attempt.clone(), fault, usage });
    }

    /// Forgets an attempt once it is over and the entry has credited every byte. An entry always
    /// acknowledges the end of an attempt with a last credit or a cancel.
    fn forget_if_done(&mut self, attempt: &AttemptId) {
        let done = self
            .attempts
            .get(attempt)
            .is_some_and(|state| state.is_over() && state.credited >= state.sent);
        if done {
            self.attempts.remove(attempt);
        }
    }

    /// Notes that the link of an entry's attempts is lost.
    pub(crate) fn lose_attempts_of(&mut self, entry: &HostId, now: TimeMs) {
        for state in self.attempts.values_mut().filter(|state| state.entry == *entry) {
            state.lost_at_ms.get_or_insert(now);
        }
    }

    /// Cancels an attempt whose entry is away; a paused entry finds the failure when it resumes.
    pub(crate) fn on_orphaned(&mut self, attempt: &AttemptId, now: TimeMs) {
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
