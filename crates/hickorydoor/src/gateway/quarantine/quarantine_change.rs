//! Changes of what is believed about prompt parts, for logs and metrics.

use smallvec::SmallVec;

use crate::gateway::quarantine::part_id::PartId;
use crate::id::ServiceName;
use crate::id::UpstreamId;

/// What has changed for prompt parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStep {
    /// One request at a time is sent, and decides.
    Suspected,
    /// Requests with the parts are refused.
    Quarantined,
    /// A request is tried after a quarantine.
    Probation,
    /// Requests with the parts are sent again.
    Released,
}

/// A change, with the evidence for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// What has changed.
    pub step: QuarantineStep,
    /// Service that the requests are sent to.
    pub service: ServiceName,
    /// The parts; more than one if they were always seen together.
    pub parts: SmallVec<[PartId; 2]>,
    /// Engines that ended under the parts since they were last proven sound.
    pub engines: Vec<UpstreamId>,
    /// Number of ends at which a quarantine begins.
    pub quarantine_ends: usize,
}
