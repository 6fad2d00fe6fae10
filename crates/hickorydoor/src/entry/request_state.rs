//! State of a request in flight and of its current attempt.

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

/// The current attempt to run a request on an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Number of the attempt within its request, starting at 0.
    pub ordinal: u32,
    pub agent: HostId,
    /// Incarnation of the agent when the attempt was sent; another one has lost the attempt.
    pub agent_incarnation: Incarnation,
    pub sent_at_ms: TimeMs,
    /// Expected time from the dispatch to the first token.
    pub expected_first_token_ms: DurationMs,
    /// The model version; `None` for plain services.
    pub version: Option<VersionId>,
    /// Status and content type, once the upstream has started to respond.
    pub response_head: Option<(u16, CompactString)>,
    /// Response bytes that have arrived.
    pub received: ByteCount,
    /// Total flow-control credit granted to the agent: bytes that the caller has read or that were
    /// buffered.
    pub credited: ByteCount,
    /// Bytes that the caller has read; less than `credited` while the response is buffered.
    pub read: ByteCount,
    /// Answer tokens that have arrived.
    pub tokens: Tokens,
    /// When the link to the agent was lost; `None` while it is up.
    pub link_lost_at_ms: Option<TimeMs>,
    /// Whether a lost response head has been requested again.
    pub head_requested: bool,
    /// Set when the whole response has arrived; it may still wait for its rating.
    pub complete: bool,
    /// When a rating of the buffered response was requested.
    pub rating_requested_at_ms: Option<TimeMs>,
    /// Copies of the response chunks, if the response is rated after its delivery.
    pub sample: Option<Vec<Bytes>>,
}

/// The models or the service that a request runs on.
#[derive(Clone, Debug)]
pub(crate) enum Plan {
    /// Models in the order of the cascade.
    Models {
        /// One model for each cascade step; a request that names a model has one step.
        steps: Vec<ModelId>,
        step: usize,
        /// Lowest rating with which a response is delivered, for cascades.
        release_score: Option<f64>,
        cascade: Option<CascadeId>,
        /// Whether the response of the current step is rated. Otherwise the estimated pass rate of
        /// the step decides whether it is delivered.
        rated: bool,
    },
    /// A plain service.
    Service {
        /// Whether the request may be retried when its outcome is unknown.
        repeatable: bool,
    },
}

/// A request in flight.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub id: RequestId,
    /// The HTTP exchange that waits for the response.
    pub caller: CallerId,
    pub request: CallerRequest,
    pub customer: CustomerId,
    pub class: Class,
    pub plan: Plan,
    pub accepted_at_ms: TimeMs,
    pub deadline_at_ms: TimeMs,
    /// Attempts sent so far, including refused ones.
    pub attempts: u32,
    /// The current attempt; `None` while the request waits or is placed.
    pub attempt: Option<Attempt>,
    /// Agents that refused or failed this request, except refusals at the admission limit.
    pub excluded: SmallVec<[HostId; 4]>,
    /// Agent of the last attempt; `None` if none was sent.
    pub last_agent: Option<HostId>,
    /// Agents to which an attempt was sent; they may hold copies of its usage.
    pub dispatched_agents: SmallVec<[HostId; 2]>,
    /// Expected tokens that were charged to the customer's limit on admission.
    pub reserved_tokens: u64,
    /// Name of the queue in which the request waits for capacity.
    pub queue: Option<CompactString>,
    /// Whether the request was run by an upstream, as far as is known.
    pub run: RunState,
    /// Usage of finished attempts.
    pub bill_lines: Vec<BillLine>,
    /// Whether the response head was sent to the caller.
    pub head_sent: bool,
    /// Chunks of a response that is buffered until it is complete.
    pub buffered: Vec<Bytes>,
    /// Total size of `buffered`.
    pub buffered_bytes: ByteCount,
    /// When the first attempt was sent.
    pub first_dispatch_at_ms: Option<TimeMs>,
    /// When the first response bytes arrived.
    pub first_token_at_ms: Option<TimeMs>,
    /// Whether the session was moved to another version, because its own could not serve it.
    pub session_moved: bool,
    pub step_started_at_ms: TimeMs,
    /// Attempts sent before the current cascade step.
    pub step_first_attempt: u32,
    /// Whether an attempt of the current cascade step failed.
    pub step_failed: bool,
}

impl RequestState {
    pub fn attempt_id(&self, ordinal: u32) -> AttemptId {
        AttemptId { request: self.id.clone(), ordinal }
    }

    /// Returns whether the caller requested a stream; always `false` for plain services.
    pub fn wants_stream(&self) -> bool {
        match &self.request.payload {
            RequestPayload::Chat(chat) => chat.stream,
            RequestPayload::Service(_) => false,
        }
    }

    /// Returns whether chunks are forwarded to the caller as they arrive. Responses that may have to
    /// be rated first are buffered.
    pub fn is_streamed(&self) -> bool {
        self.wants_stream() && self.required_score().is_none()
    }

    /// Returns the current attempt if it runs on this agent and is not complete.
    pub fn running_on(&mut self, agent: &HostId) -> Option<&mut Attempt> {
        self.attempt.as_mut().filter(|attempt| attempt.agent == *agent && !attempt.complete)
    }

    /// Returns the rating that the response must reach to be delivered, or `None` if no later
    /// cascade step is left.
    pub fn required_score(&self) -> Option<f64> {
        match &self.plan {
            Plan::Models { steps, step, release_score, .. } if step + 1 < steps.len() => {
                *release_score
            }
            _ => None,
        }
    }

    /// Returns whether the request may be retried when its outcome is unknown.
    pub const fn is_repeatable(&self) -> bool {
        match self.plan {
            Plan::Models { .. } => true,
            Plan::Service { repeatable } => repeatable,
        }
    }
}
