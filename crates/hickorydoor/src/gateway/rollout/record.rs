//! Records of rollouts in the store.

use compact_str::CompactString;

use crate::gateway::rollout::RolloutPhase;
use crate::gateway::store_position::StorePosition;
use crate::id::ServiceName;
use crate::quantity::Share;
use crate::time::DurationMs;

/// The record of a rollout in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Version that the order names.
    pub target: CompactString,
    /// Store position of the order that the record belongs to.
    pub order: StorePosition,
    /// Phase that the record puts in force.
    pub phase: RolloutPhase,
    /// Share of the sessions on the new version while the phase is a partial one. It is part of the
    /// record so that all gateways choose the same sessions.
    pub share: Share,
    /// Time since the order, when the record was written or, with a clock that may be wrong, when
    /// it was read; `None` if it is not known.
    pub order_age_ms: Option<DurationMs>,
    /// Store position of the record itself; the first one in a record that is not written yet.
    pub position: StorePosition,
}

impl RolloutRecord {
    /// Returns whether the record belongs to the order at this position. An order and its record
    /// keep their revisions in a copy of the store, while the era of the order grows.
    pub fn is_of_order(&self, order: StorePosition) -> bool {
        self.order.revision == order.revision && self.order.era <= order.era
    }
}

/// A record to write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStep {
    /// Record to write.
    pub record: RolloutRecord,
    /// Store position of the record to replace, for the compare-and-swap; with the revision 0 if
    /// there is none. The write is valid in this era only.
    pub replaces: StorePosition,
}
