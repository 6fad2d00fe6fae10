//! The end of an engine, as one gateway has seen it.

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::gateway::quarantine::part_id::PartId;
use crate::id::ServiceName;
use crate::id::UpstreamId;

/// End of an engine, with the parts that may have caused it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEnd {
    /// Engine that ended.
    pub upstream: UpstreamId,
    /// Start of the engine, in Unix ms, as it says itself; 0 if that is not known.
    pub started_unix_ms: u64,
    /// Service of the engine.
    pub service: ServiceName,
    /// Version of the engine's software.
    pub version: CompactString,
    /// Whether the engine accepted no connection afterwards.
    pub is_confirmed: bool,
    /// Whether the engine closed a connection, so that a request shows at once whether it goes on.
    pub is_closed: bool,
    /// Parts of the attempts that may have caused the end, and have not been proven sound since.
    pub parts: SmallVec<[PartId; 8]>,
    /// Those of the parts that were suspected and tried by one of the attempts.
    pub tried: SmallVec<[PartId; 2]>,
}
