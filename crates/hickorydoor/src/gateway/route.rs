//! Routes: which requests go to which service, with their limits.

use compact_str::CompactString;

use crate::id::ModelId;
use crate::id::RegionId;
use crate::id::ServiceName;
use crate::time::DurationMs;

/// Whether and how a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May execute more than once.
    Idempotent,
    /// Executes at most once per client attempt.
    NonIdempotent,
    /// Answers with a stream of numbered events.
    Streaming,
}

/// A service that a route sends to, with its share of the traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Service that gets the requests.
    pub service: ServiceName,
    /// Share of the traffic relative to the other backends of the route.
    pub weight: u32,
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name given by the operator, for metrics and logs.
    pub name: CompactString,
    /// Host name in lower case.
    pub host: CompactString,
    /// Prefix of the paths of this route; starts and ends with a slash.
    pub prefix: CompactString,
    /// Whether and how requests may be retried.
    pub kind: CallKind,
    /// Maximum time until the response is complete; 0 selects a default.
    pub timeout_ms: DurationMs,
    /// Maximum time until a response, or the first event of a stream, that is on time.
    pub objective_ms: DurationMs,
    /// Longest gap between events of a stream that is on time; 0 sets no limit but the deadline.
    pub pause_ms: DurationMs,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of upstreams on which one client attempt may execute.
    pub max_attempts: u32,
    /// Whether a stream may be resumed on another upstream after its last event.
    pub resumable: bool,
    /// Whether requests need no API key.
    pub public: bool,
    /// Regions that may serve the requests; empty allows all.
    pub regions: Vec<RegionId>,
    /// Services with their shares; never empty.
    pub backends: Vec<Backend>,
    /// Models that may answer, from smallest to largest; empty for plain services.
    pub models: Vec<ModelId>,
}

impl Route {
    /// Returns whether a request that may have executed may be sent to another upstream.
    pub const fn is_retryable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Streaming => self.resumable,
        }
    }

    /// Selects the service for a request whose uniformly distributed hash is `hash`.
    pub fn backend(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        if total == 0 {
            return self.backends.first().map(|backend| &backend.service);
        }
        let mut rest = hash % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if rest < weight {
                return Some(&backend.service);
            }
            rest -= weight;
        }
        None
    }
}
