//! An attempt as its agent keeps it until the entry has the whole answer.

use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;

use crate::billing::usage::Usage;
use crate::class::Class;
use crate::id::AttemptId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::VersionId;
use crate::message::AgentMessage;
use crate::message::AttemptFault;
use crate::message::Call;
use crate::quantity::ByteCount;
use crate::quantity::Tokens;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// A piece of an answer that the entry has not credited.
#[derive(Clone, Debug)]
pub(crate) struct Piece {
    /// Position of the first byte.
    pub offset: ByteCount,
    /// Tokens in it.
    pub tokens: Tokens,
    /// The bytes.
    pub data: Bytes,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The answer is complete.
    Complete(Usage),
    /// The attempt failed.
    Failed(AttemptFault, Usage),
}

impl Ending {
    /// The message that tells the entry.
    pub(crate) fn message(self, attempt: &AttemptId, length: ByteCount) -> AgentMessage {
        let attempt = attempt.clone();
        match self {
            Self::Complete(usage) => AgentMessage::Ended { attempt, length, usage },
            Self::Failed(fault, usage) => AgentMessage::Failed { attempt, fault, usage },
        }
    }
}

/// An attempt at an agent.
#[derive(Clone, Debug)]
pub(crate) struct AttemptState {
    /// The entry that sent it.
    pub entry: HostId,
    pub(super) customer: CustomerId,
    pub(crate) class: Class,
    pub(super) version: Option<VersionId>,
    pub(super) prompt_tokens: Tokens,
    pub(crate) admitted_at_ms: TimeMs,
    pub(super) deadline_ms: TimeMs,
    /// Status and content type, once the upstream began to answer.
    pub started: Option<(u16, CompactString)>,
    pub(crate) first_token_at_ms: Option<TimeMs>,
    pub(super) last_piece_at_ms: TimeMs,
    /// Pieces that the entry has not credited.
    pub pieces: VecDeque<Piece>,
    /// Bytes sent to the entry.
    pub sent: ByteCount,
    /// Bytes that the caller has read.
    pub credited: ByteCount,
    pub(super) tokens: Tokens,
    /// How it ended.
    pub ending: Option<Ending>,
    /// The call, until it is passed on.
    pub(super) call: Option<Call>,
    /// Body of the answer to a claimed call, as far as a claim can hold it.
    pub(super) claimed_body: Vec<u8>,
    /// When the link was lost, until the entry resumes the attempt.
    pub lost_at_ms: Option<TimeMs>,
}

impl AttemptState {
    /// Shifts the resume window by a pause of this process.
    pub(crate) fn exclude_pause(&mut self, gap_ms: DurationMs) {
        self.lost_at_ms = self.lost_at_ms.map(|at| at + gap_ms);
    }

    /// Whether the upstream is done with the attempt.
    pub(crate) const fn is_over(&self) -> bool {
        self.ending.is_some()
    }

    /// Tokens of the answer so far, with those of the prompt once it began.
    pub(crate) const fn usage_so_far(&self) -> Usage {
        let prompt_tokens = match self.tokens.get() {
            0 => Tokens::new(0),
            _ => self.prompt_tokens,
        };
        Usage { prompt_tokens, answer_tokens: self.tokens }
    }
}
