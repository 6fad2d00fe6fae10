//! A route: which calls go to which service, and what may be done with them.

use compact_str::CompactString;

use crate::id::ModelId;
use crate::id::RegionId;
use crate::id::ServiceName;
use crate::time::DurationMs;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each client attempt.
    NonIdempotent,
    /// Answers with a stream of numbered events.
    Streaming,
}

/// A service that a route sends to, with its share of the traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,
    /// Share relative to the other backends of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name given by the operator.
    pub name: CompactString,
    /// Host name in lower case.
    pub host: CompactString,
    /// Beginning of the paths of this route; begins and ends with a slash.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a request may be kept waiting.
    pub timeout_ms: DurationMs,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub objective_ms: DurationMs,
    /// Longest pause between events of a stream that is on time.
    pub pause_ms: DurationMs,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Upstreams on which one client attempt may run at most.
    pub max_attempts: u32,
    /// Whether a stream may go on at another upstream after its last event.
    pub resumable: bool,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions to which requests may go; empty means all.
    pub regions: Vec<RegionId>,
    /// Services with their shares; never empty.
    pub backends: Vec<Backend>,
    /// Models that may answer, smallest first; empty for plain services.
    pub models: Vec<ModelId>,
}

impl Route {
    /// Whether a request may run again elsewhere after it may have run.
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Streaming => self.resumable,
        }
    }

    /// The service for a request whose uniformly distributed hash is `hash`.
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
