//! A prompt part of the requests to one service.

use std::fmt;

use crate::gateway::quarantine::part_id::PartId;
use crate::id::ServiceName;

/// A prompt part, for one service: what ends the engines of a service says nothing about others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey {
    /// Service that the requests with the part are sent to.
    pub service: ServiceName,
    /// The part.
    pub part: PartId,
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.part)
    }
}
