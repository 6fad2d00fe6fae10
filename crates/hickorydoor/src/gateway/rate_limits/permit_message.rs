//! Messages between a gateway that wants to send a request and the one that issues permits.

use crate::gateway::rate_limits::RequestRate;
use crate::id::UpstreamId;
use crate::time::DurationMs;

/// Number of a request for a permit, unique within one incarnation of the requesting gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PermitId(pub u64);

/// A limit with the age of the answer that named it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgedLimit {
    /// Limit; `None` if the upstream has none any more.
    pub rate: Option<RequestRate>,
    /// Time since the answer.
    pub age_ms: DurationMs,
}

/// What a gateway says about a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitStep {
    /// It wants to send one request.
    Request {
        /// Longest time until the permit becomes valid; a later permit is not wanted.
        max_wait_ms: DurationMs,
    },
    /// It has not used the permit.
    Return,
    /// A permit that becomes valid after this time.
    Granted {
        /// Time until the permit becomes valid.
        after_ms: DurationMs,
    },
    /// There is no permit within the wanted time.
    Denied {
        /// Time until the next permit would become valid.
        after_ms: DurationMs,
    },
}

/// A message about a permit for one request to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitMessage {
    /// Request for a permit that the message belongs to.
    pub id: PermitId,
    /// Upstream that the request is to be sent to.
    pub upstream: UpstreamId,
    /// Start of the upstream process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Limit that the sender knows; `None` if it knows of none.
    pub limit: Option<AgedLimit>,
    /// What is said.
    pub step: PermitStep,
}
