//! Effects of the gateway's reducer, for the process to carry out.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::admission_queue::Rank;
use crate::gateway::call::CallId;
use crate::gateway::headroom::ScarcityChange;
use crate::gateway::quarantine::PartWrite;
use crate::gateway::quarantine::QuarantineChange;
use crate::gateway::rate_limits::LimitChange;
use crate::gateway::rate_limits::PermitMessage;
use crate::gateway::rate_limits::RequestRate;
use crate::gateway::refusal::CallRefusal;
use crate::gateway::rollout::RolloutProgress;
use crate::gateway::rollout::RolloutStep;
use crate::gateway::store_position::StoreEra;
use crate::gateway::upstreams::RoomChange;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::ModelId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Attempts are not sent with less than this time left before the deadline.
pub const MIN_ATTEMPT_MS: DurationMs = DurationMs::new(20);

/// One attempt to run a request on an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Number of the attempt within the request, from 1.
    pub attempt: u32,
    /// Upstream that placement chose.
    pub upstream: UpstreamId,
    /// Address at which the upstream accepts connections.
    pub address: SocketAddr,
    /// Customer that sent the request; `None` for requests without a key.
    pub customer: Option<CustomerId>,
    /// Model that should answer; `None` if the caller or the upstream chooses it.
    pub model: Option<ModelId>,
    /// Engine from which to fetch cached parts of the prompt; `None` to prefill them.
    pub fetch_from: Option<SocketAddr>,
    /// Urgency that the upstream is told; 0 is the most urgent.
    pub priority: u8,
    /// Claim of the route on the capacity of the engines, relative to the mean route.
    pub claim: f64,
    /// When the attempt has to have ended.
    pub deadline_at: TimeMs,
    /// Time left until the deadline when the attempt was decided.
    pub remaining_ms: DurationMs,
    /// Maximum time to connect to the upstream.
    pub connect_timeout_ms: DurationMs,
    /// Gap between events of a stream after which it is reported as stalled.
    pub pause_timeout_ms: DurationMs,
    /// Confidence score, from 0 to 100, below which the answer is discarded; `None` accepts any
    /// answer.
    pub min_confidence: Option<u8>,
    /// Number of the last event that the caller has received; the stream resumes after it.
    pub last_event: Option<u64>,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// Expected time to the first event.
    pub expected_ms: DurationMs,
    /// Version of the upstream's software.
    pub version: CompactString,
    /// Limit of the upstream within which the request is sent; `None` if it has none.
    pub limit: Option<RequestRate>,
}

impl Dispatch {
    /// Returns the time left for the attempt; `None` if it is too short to send it. An attempt may be
    /// sent some time after it was decided.
    pub fn time_left(&self, now: TimeMs) -> Option<DurationMs> {
        Some(self.deadline_at.since(now)).filter(|left_ms| *left_ms >= MIN_ATTEMPT_MS)
    }
}

/// Measurements at the first event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstEventStats {
    /// Name of the route, for metrics and logs.
    pub route: CompactString,
    /// Customer that sent the request; `None` for requests without a key.
    pub customer: Option<CustomerId>,
    /// Time from the arrival of the request to the first event.
    pub since_arrival_ms: DurationMs,
    /// Time from the dispatch of the attempt to the first event.
    pub since_dispatch_ms: DurationMs,
    /// Time from dispatch to the first event that placement expected.
    pub expected_ms: DurationMs,
    /// Prefill time queued at the engine at dispatch.
    pub backlog_ms: DurationMs,
    /// Prompt tokens that the engine was expected to prefill.
    pub uncached_tokens: u32,
    /// Total length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Requests in flight at the engine at dispatch.
    pub in_flight: u32,
    /// Whether the expected time was wrong by more than a factor of 2.
    pub is_estimate_wrong: bool,
}

/// Measurements at the end of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallStats {
    /// Name of the route, for metrics.
    pub route: CompactString,
    /// Customer that sent the request; `None` for requests without a key.
    pub customer: Option<CustomerId>,
    /// Time from the arrival of the request to its end.
    pub took_ms: DurationMs,
}

/// A request that is sent before more urgent ones, because its rank had less than its guaranteed
/// share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EarlyTurn {
    /// Service of the request.
    pub service: ServiceName,
    /// Customer that sent the request; `None` for requests without a key.
    pub customer: Option<CustomerId>,
    /// Rank of the request.
    pub rank: Rank,
    /// Time since the request arrived.
    pub waited_ms: DurationMs,
    /// Number of requests that wait for the service.
    pub queued: usize,
}

/// An effect to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEffect {
    /// Send a request to an upstream.
    Dispatch {
        /// Request to send.
        call: CallId,
        /// Upstream, model and limits of the attempt.
        dispatch: Box<Dispatch>,
    },
    /// Cancel the current attempt, whose upstream is unresponsive. The process reports its end as
    /// usual.
    Abandon {
        /// Request whose attempt is cancelled.
        call: CallId,
    },
    /// Reject a request without an upstream's response.
    Refuse {
        /// Request that is rejected; it has ended.
        call: CallId,
        /// Reason and retry hint for the caller.
        refusal: CallRefusal,
    },
    /// Forward the upstream's response to the last attempt.
    Deliver {
        /// Request that is answered; it has ended.
        call: CallId,
    },
    /// Abort the response that the caller is receiving.
    Abort {
        /// Request whose response is truncated; it has ended.
        call: CallId,
    },
    /// Record measurements at the first event of a stream.
    FirstEvent {
        /// Request whose stream has started.
        call: CallId,
        /// Measurements for metrics and logs.
        stats: Box<FirstEventStats>,
    },
    /// Record measurements at the end of a request.
    Ended {
        /// Measurements for metrics.
        stats: Box<CallStats>,
    },
    /// Record that a request is sent before more urgent ones; follows its dispatch.
    SentEarly {
        /// Request that is sent.
        call: CallId,
        /// What it was based on.
        turn: Box<EarlyTurn>,
    },
    /// Record the progress of a rollout.
    RolloutProgress(Box<RolloutProgress>),
    /// Write a rollout record to the store with a compare-and-swap.
    WriteRollout(RolloutStep),
    /// Note in the store that its current era is known, and what a copy lacked was written again.
    NoteStoreEra(StoreEra),
    /// Write items about prompt parts to the store, each with a compare-and-swap.
    WritePartItems(Vec<PartWrite>),
    /// Record what has changed for prompt parts under which engines end.
    Quarantine(Box<QuarantineChange>),
    /// Record that an upstream has named, changed or dropped a limit.
    LimitChanged(Box<LimitChange>),
    /// Record that an upstream is spared because of what it says, or is not any more.
    RoomChanged(Box<RoomChange>),
    /// Record that the upstreams of a service have all become scarce, or are not any more.
    ScarcityChanged(Box<ScarcityChange>),
    /// Record that a request waits because another gateway may use the free slots.
    ShareAwaited {
        /// Request that waits.
        call: CallId,
        /// Service of the request.
        service: ServiceName,
        /// Priority of the request.
        rank: u8,
    },
    /// Send a message about a permit to another gateway.
    SendPermit {
        /// Gateway that the message is for.
        host: HostId,
        /// What it says.
        message: Box<PermitMessage>,
    },
    /// Send the next digest soon, as it holds something that the other gateways have to learn.
    SendDigest,
}
