//! What a gateway does.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::gateway::call::CallId;
use crate::gateway::refusal::CallRefusal;
use crate::gateway::rollout::RolloutStep;
use crate::id::CustomerId;
use crate::id::ModelId;
use crate::id::UpstreamId;
use crate::time::DurationMs;

/// One attempt to run a request on an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Counts the attempts of the request from 1.
    pub attempt: u32,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The customer, if the request has one.
    pub customer: Option<CustomerId>,
    /// The model that is to answer, if the gateway chose it.
    pub model: Option<ModelId>,
    /// Engine from which kept parts of the prompt are to be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time left for the request.
    pub remaining_ms: DurationMs,
    /// Time for the connection.
    pub connect_timeout_ms: DurationMs,
    /// Time between events of a stream.
    pub pause_timeout_ms: DurationMs,
    /// Opinion of the model of its answer, from 0 to 100, below which the answer is dropped.
    pub min_confidence: Option<u8>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Expected time to the first event.
    pub expected_ms: DurationMs,
    /// Version of the upstream.
    pub version: CompactString,
}

/// Figures about the first event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstEventStats {
    /// Name of the route.
    pub route: CompactString,
    /// The customer, if the request has one.
    pub customer: Option<CustomerId>,
    /// Time since the request arrived.
    pub since_arrival_ms: DurationMs,
    /// Time since the attempt was sent.
    pub since_dispatch_ms: DurationMs,
    /// Time that was expected.
    pub expected_ms: DurationMs,
    /// Prompts that the engine had to read before.
    pub backlog_ms: DurationMs,
    /// Tokens that the engine was taken to read.
    pub uncached_tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Requests that the engine worked on.
    pub in_flight: u32,
}

/// Figures about a request that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallStats {
    /// Name of the route.
    pub route: CompactString,
    /// The customer, if the request has one.
    pub customer: Option<CustomerId>,
    /// Time since the request arrived.
    pub took_ms: DurationMs,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEffect {
    /// Send a request to an upstream.
    Dispatch {
        /// The request.
        call: CallId,
        /// The attempt.
        dispatch: Box<Dispatch>,
    },
    /// ResponseFault off the attempt of a request, whose upstream is silent.
    Abandon {
        /// The request.
        call: CallId,
    },
    /// Answer a request without an upstream.
    Refuse {
        /// The request.
        call: CallId,
        /// The answer.
        refusal: CallRefusal,
    },
    /// Pass on the upstream's answer that the last attempt brought.
    Deliver {
        /// The request.
        call: CallId,
    },
    /// ResponseFault off the answer that the caller is receiving.
    Abort {
        /// The request.
        call: CallId,
    },
    /// Record that a stream has begun.
    FirstEvent {
        /// The request.
        call: CallId,
        /// Its stats.
        stats: Box<FirstEventStats>,
    },
    /// Record that a request has ended.
    Ended {
        /// Its stats.
        stats: Box<CallStats>,
    },
    /// Write the record of a rollout.
    WriteRollout(RolloutStep),
}
