//! Changes of the limit of an upstream, for logs and metrics.

use crate::gateway::rate_limits::RequestRate;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::time::DurationMs;

/// A limit that was first named, changed or dropped.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Upstream whose limit has changed.
    pub upstream: UpstreamId,
    /// Limit in force; `None` if the upstream has none any more.
    pub rate: Option<RequestRate>,
    /// Limit before.
    pub previous: Option<RequestRate>,
    /// Gateway that received the answer.
    pub source: HostId,
    /// Age of the answer.
    pub age_ms: DurationMs,
}
