//! A request in flight at an entry.

use bytes::Bytes;
use compact_str::CompactString;
use smallvec::SmallVec;

use crate::billing::bill::BillLine;
use crate::class::Class;
use crate::entry::caller_request::CallerRequest;
use crate::entry::caller_request::RequestPayload;
use crate::id::AttemptId;
use crate::id::CallerId;
use crate::id::CascadeId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::ModelId;
use crate::id::RequestId;
use crate::id::VersionId;
use crate::quantity::ByteCount;
use crate::quantity::Tokens;
use crate::refusal::RunState;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// The attempt of a request that runs now.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Number of the attempt.
    pub ordinal: u32,
    /// The agent that it was sent to.
    pub agent: HostId,
    /// The incarnation of that agent.
    pub agent_incarnation: Incarnation,
    /// When it was sent.
    pub sent_at_ms: TimeMs,
    /// Expected time from then to the first token.
    pub expected_first_token_ms: DurationMs,
    /// The version; absent for plain services.
    pub version: Option<VersionId>,
    /// Status and content type, once the upstream began to answer.
    pub started: Option<(u16, CompactString)>,
    /// Bytes of the answer that have arrived.
    pub received: ByteCount,
    /// Bytes of the answer that the caller has read.
    pub credited: ByteCount,
    /// Bytes that the caller has read; less than `credited` while an answer is held.
    pub read: ByteCount,
    /// Tokens of the answer that have arrived.
    pub tokens: Tokens,
    /// When the link was lost, if it is.
    pub link_lost_at_ms: Option<TimeMs>,
    /// Whether a head that was lost has been asked for.
    pub head_asked: bool,
    /// Set when the whole answer has arrived and waits for its rating.
    pub complete: bool,
    /// When the rating of the held answer was asked for.
    pub rating_requested_at_ms: Option<TimeMs>,
    /// Copies of the answer's pieces, if it is rated after its delivery.
    pub sample: Option<Vec<Bytes>>,
}

/// What a request wants to run.
#[derive(Clone, Debug)]
pub(crate) enum Plan {
    /// Models in the order in which they are tried.
    Models {
        /// The models; a plain request has one.
        steps: Vec<ModelId>,
        /// Index of the current step.
        step: usize,
        /// Lowest rating that releases an answer, for cascades.
        release_score: Option<f64>,
        /// The cascade.
        cascade: Option<CascadeId>,
        /// Whether the current step is rated; otherwise its learned pass rate decides.
        rated: bool,
    },
    /// A plain service.
    Service {
        /// Whether the call may be repeated.
        repeatable: bool,
    },
}

/// A request in flight.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    /// The request.
    pub id: RequestId,
    /// The HTTP exchange.
    pub caller: CallerId,
    /// What the caller sent.
    pub request: CallerRequest,
    /// The customer.
    pub customer: CustomerId,
    /// The class.
    pub class: Class,
    /// What to run.
    pub plan: Plan,
    /// When the request arrived.
    pub accepted_at_ms: TimeMs,
    /// When it must be done.
    pub deadline_at_ms: TimeMs,
    /// Attempts made so far.
    pub attempts: u32,
    /// The attempt that runs.
    pub attempt: Option<Attempt>,
    /// Agents that refused or failed this request.
    pub excluded: SmallVec<[HostId; 4]>,
    /// Agents that were sent an attempt; they may hold copies of its usage.
    pub agents: SmallVec<[HostId; 2]>,
    /// Tokens that were counted against the customer's limit in advance.
    pub limited_tokens: u64,
    /// The queue in which it waits for an upstream.
    pub queue: Option<CompactString>,
    /// What is known about whether it was run.
    pub run: RunState,
    /// Usage of finished attempts.
    pub bill_lines: Vec<BillLine>,
    /// Whether the head was sent to the caller.
    pub head_sent: bool,
    /// Pieces of an answer that is held until it is complete.
    pub buffered: Vec<Bytes>,
    /// Bytes in `held`.
    pub buffered_bytes: ByteCount,
    /// When the first attempt was sent.
    pub first_dispatch_at_ms: Option<TimeMs>,
    /// When the first byte arrived.
    pub first_token_at_ms: Option<TimeMs>,
    /// Set when the session had to leave its version.
    pub session_moved: bool,
    /// When the current cascade step began.
    pub step_started_at_ms: TimeMs,
    /// Attempts made before the current cascade step.
    pub step_first_attempt: u32,
    /// Set when an attempt of the current step failed.
    pub step_failed: bool,
}

impl RequestState {
    /// The id of the attempt with this number.
    pub fn attempt_id(&self, ordinal: u32) -> AttemptId {
        AttemptId { request: self.id.clone(), ordinal }
    }

    /// Whether the caller asked for a stream.
    pub fn wants_stream(&self) -> bool {
        match &self.request.payload {
            RequestPayload::Chat(chat) => chat.stream,
            RequestPayload::Service(_) => false,
        }
    }

    /// Whether the answer is streamed to the caller as it arrives; judged answers are held.
    pub fn streams(&self) -> bool {
        self.wants_stream() && self.required_score().is_none()
    }

    /// The attempt, if it still runs on this agent.
    pub fn running_on(&mut self, agent: &HostId) -> Option<&mut Attempt> {
        self.attempt.as_mut().filter(|attempt| attempt.agent == *agent && !attempt.complete)
    }

    /// The cascade's release score, if a dearer step is left after the current one.
    pub fn required_score(&self) -> Option<f64> {
        match &self.plan {
            Plan::Models { steps, step, release_score, .. } if step + 1 < steps.len() => {
                *release_score
            }
            _ => None,
        }
    }

    /// Whether the request may run again when its outcome is not known.
    pub const fn is_repeatable(&self) -> bool {
        match self.plan {
            Plan::Models { .. } => true,
            Plan::Service { repeatable } => repeatable,
        }
    }
}
