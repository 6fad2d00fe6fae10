//! State of an attempt, kept until the entry has received the whole response.

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

/// Part of a response that the entry has not fully credited.
#[derive(Clone, Debug)]
pub(crate) struct Chunk {
    /// Position of the first byte in the response.
    pub offset: ByteCount,
    pub tokens: Tokens,
    pub data: Bytes,
}

/// Outcome of an attempt, with the usage to bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    Complete(Usage),
    Failed(AttemptFault, Usage),
}

impl AttemptOutcome {
    /// Message that reports the outcome to the entry. `length` is that of the whole response.
    pub(crate) fn message(self, attempt: &AttemptId, length: ByteCount) -> AgentMessage {
        let attempt = attempt.clone();
        match self {
            Self::Complete(usage) => AgentMessage::Ended { attempt, length, usage },
            Self::Failed(fault, usage) => AgentMessage::Failed { attempt, fault, usage },
        }
    }
}

/// An admitted attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptState {
    pub entry: HostId,
    pub(super) customer: CustomerId,
    pub(crate) class: Class,
    pub(super) version: Option<VersionId>,
    pub(super) prompt_tokens: Tokens,
    pub(crate) admitted_at_ms: TimeMs,
    pub(super) deadline_ms: TimeMs,
    /// Status and content type, once the upstream has sent its response head.
    pub response_head: Option<(u16, CompactString)>,
    pub(crate) first_token_at_ms: Option<TimeMs>,
    pub(super) last_chunk_at_ms: TimeMs,
    /// Chunks to send again if the entry resumes the attempt.
    pub uncredited_chunks: VecDeque<Chunk>,
    /// Response bytes sent to the entry.
    pub sent_bytes: ByteCount,
    /// Response bytes that the caller has read.
    pub credited_bytes: ByteCount,
    pub(super) answer_tokens: Tokens,
    /// `None` while the attempt is in progress.
    pub outcome: Option<AttemptOutcome>,
    /// The call, until it is forwarded to the upstream.
    pub(super) pending_call: Option<Call>,
    /// Response body of a claimed call. It grows to just above the size that a claim can store, so
    /// that an oversized body is recognised.
    pub(super) claimed_body: Vec<u8>,
    /// When the link to the entry was lost; `None` again once the entry resumes the attempt.
    pub link_lost_at_ms: Option<TimeMs>,
}

impl AttemptState {
    /// Extends the resume window by a pause of this process.
    pub(crate) fn exclude_pause(&mut self, gap_ms: DurationMs) {
        self.link_lost_at_ms = self.link_lost_at_ms.map(|at| at + gap_ms);
    }

    /// Whether the attempt has ended; its response may still wait for credit.
    pub(crate) const fn is_over(&self) -> bool {
        self.outcome.is_some()
    }

    /// Usage up to now. Prompt tokens count only once the upstream has produced output.
    pub(crate) const fn usage_so_far(&self) -> Usage {
        let prompt_tokens = match self.answer_tokens.get() {
            0 => Tokens::new(0),
            _ => self.prompt_tokens,
        };
        Usage { prompt_tokens, answer_tokens: self.answer_tokens }
    }
}
