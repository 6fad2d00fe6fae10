//! Orders of rollouts.

use compact_str::CompactString;

use crate::gateway::rollout::ExposureBudget;
use crate::gateway::store_position::StorePosition;
use crate::id::ServiceName;
use crate::time::DurationMs;

/// An operator's order to move a service to a new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service to roll out.
    pub service: ServiceName,
    /// Version to move to.
    pub target: CompactString,
    /// Time from the order to the deadline of the rollout.
    pub duration_ms: DurationMs,
    /// Requests that a faulty version may get until the deadline.
    pub exposure: ExposureBudget,
    /// Store position of the order; a later order replaces earlier ones.
    pub position: StorePosition,
}

impl RolloutOrder {
    /// Returns whether two orders ask for the same rollout, wherever they stand in the store.
    pub fn is_same_rollout(&self, other: &Self) -> bool {
        Self { position: self.position, ..other.clone() } == *self
    }
}
