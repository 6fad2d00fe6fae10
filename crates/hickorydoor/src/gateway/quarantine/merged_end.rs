//! The end of an engine, as all gateways together know it.

use std::collections::BTreeSet;

use compact_str::CompactString;

use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::part_id::PartId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::TimeMs;

/// An end, with all that gateways know about it.
#[derive(Clone, Debug)]
pub struct MergedEnd {
    pub upstream: UpstreamId,
    pub started_unix_ms: u64,
    pub service: ServiceName,
    pub version: CompactString,
    pub at: TimeMs,
    pub parts: BTreeSet<PartId>,
    pub tried: BTreeSet<PartId>,
    pub cut_off: u32,
    pub is_confirmed: bool,
    /// Whether the engine closed a connection.
    pub is_closed: bool,
}

impl MergedEnd {
    /// Returns an end as one gateway, or the store, knows it.
    pub fn new(end: &EngineEnd, at: TimeMs) -> Self {
        Self {
            upstream: end.upstream.clone(),
            started_unix_ms: end.started_unix_ms,
            service: end.service.clone(),
            version: end.version.clone(),
            at,
            parts: end.parts.iter().copied().collect(),
            tried: end.tried.iter().copied().collect(),
            cut_off: 0,
            is_confirmed: end.is_confirmed,
            is_closed: end.is_closed,
        }
    }

    /// Returns whether nothing but silence speaks for the end.
    pub const fn is_silent(&self) -> bool {
        !self.is_closed && !self.is_confirmed
    }
}
