//! What a gateway tells the others about prompt parts, as a part of its digest.

use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::quarantine_record::QuarantineRecord;
use crate::id::UpstreamId;
use crate::time::DurationMs;

/// Attempts of a gateway with a suspected part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectLoad {
    /// The suspected part.
    pub part: PartKey,
    /// Attempts in flight that have not proven it sound.
    pub unproven: u32,
    /// Recent attempts at the same service, without the part, that survived.
    pub survived_without: u32,
}

/// Evidence and records of one gateway. Times are stated as ages, since clocks differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineReport {
    /// Engines whose end the gateway has seen, with its age, unless all their parts were proven
    /// sound since.
    pub ends: Vec<(EngineEnd, DurationMs)>,
    /// Engines that have responded to the gateway although their end is reported, with the age of the
    /// response.
    pub alive: Vec<(UpstreamId, DurationMs)>,
    /// How long ago attempts of the gateway proved parts sound that others have reported.
    pub survivals: Vec<(PartKey, DurationMs)>,
    /// Suspected parts.
    pub suspects: Vec<SuspectLoad>,
    /// Records of quarantined parts, with the time left in their state.
    pub records: Vec<(QuarantineRecord, DurationMs)>,
}
