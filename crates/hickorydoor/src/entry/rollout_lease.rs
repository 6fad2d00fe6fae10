//! The lease under which one entry judges the rollouts of a model.

use crate::id::ModelId;
use crate::id::VersionId;
use crate::time::TimeMs;

/// Lease of an entry and its next steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutLease {
    pub(super) lease: Option<u64>,
    pub(super) next_claim_at_ms: Option<TimeMs>,
    pub(super) next_keep_alive_at_ms: TimeMs,
    pub(super) next_halt_at_ms: TimeMs,
    /// The model whose lease is asked for.
    pub(super) claiming: Option<ModelId>,
    /// The version whose halt is under way.
    pub(super) halting: Option<VersionId>,
    pub(super) halts: u64,
}
