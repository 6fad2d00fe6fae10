//! State of an entry's rollout leases and of the halts that it writes.

use crate::id::ModelId;
use crate::id::VersionId;
use crate::time::TimeMs;

/// The key-value lease that an entry's rollout leases are attached to, and the schedule of further
/// leases and halts.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutLease {
    pub(super) lease: Option<u64>,
    pub(super) next_acquire_at_ms: Option<TimeMs>,
    pub(super) next_keep_alive_at_ms: TimeMs,
    pub(super) next_halt_at_ms: TimeMs,
    /// The model whose rollout lease is being acquired.
    pub(super) acquiring_model: Option<ModelId>,
    /// The version whose halt is being read or written.
    pub(super) halting_version: Option<VersionId>,
    /// Halts attempted by this process; makes the ids of its changes unique.
    pub(super) halt_count: u64,
}
