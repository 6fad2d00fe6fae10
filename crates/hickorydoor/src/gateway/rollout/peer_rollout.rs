//! What a digest of another gateway says about a rollout.

use crate::rollouts::outcome_table::OutcomeTable;
use crate::time::DurationMs;

/// What a digest of another gateway says about a rollout.
#[derive(Clone, Copy, Debug)]
pub struct PeerRollout<'a> {
    /// Outcomes that the gateway counted.
    pub outcomes: &'a OutcomeTable,
    /// Whether the outcomes known to the gateway speak against the new version.
    pub objects: bool,
    /// Time since the order, if the gateway knows it.
    pub age_ms: Option<DurationMs>,
    /// Hashes of the sessions that the gateway pins to the old version.
    pub pinned_sessions: &'a [u64],
}
