//! Records of quarantined prompt parts, which gateways exchange.

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_selection::is_subset;
use crate::id::ServiceName;

/// What applies to the parts of a record. Of two changes at the same time, the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuarantineState {
    /// Requests with the parts are sent.
    Released,
    /// One request at a time is sent, and decides.
    Probation,
    /// Requests with the parts are refused.
    Quarantined,
}

/// State of prompt parts under which engines ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// Service that the requests are sent to.
    pub service: ServiceName,
    /// The parts, in order. Requests that hold all of them are concerned; there is more than one if
    /// they were always seen together.
    pub parts: SmallVec<[PartId; 2]>,
    /// What applies.
    pub state: QuarantineState,
    /// Number of the change; the record with the highest one is in force.
    pub change: u64,
    /// Quarantines so far without a release in between.
    pub quarantines: u32,
    /// Versions of the engines that ended.
    pub versions: SmallVec<[CompactString; 2]>,
}

impl QuarantineRecord {
    /// Returns whether a request with these parts is concerned.
    pub fn concerns(&self, service: &ServiceName, parts: &[PartId]) -> bool {
        self.service == *service && !self.parts.is_empty() && is_subset(&self.parts, parts)
    }

    /// Returns whether two records are about the same parts.
    pub fn is_same_subject(&self, other: &Self) -> bool {
        self.service == other.service && self.parts == other.parts
    }

    /// Returns whether this record replaces the other one.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.change, self.state) > (other.change, other.state)
    }
}
