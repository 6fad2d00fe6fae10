//! Progress of rollouts for logs and metrics.

use compact_str::CompactString;

use crate::gateway::rollout::RolloutPhase;
use crate::id::ServiceName;
use crate::rollouts::outcome_table::OutcomeCounts;
use crate::rollouts::version_comparison::VersionComparison;
use crate::time::DurationMs;

/// What one gateway knows about the course of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutProgress {
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Version to move to.
    pub target: CompactString,
    /// Phase in force; `None` before the first record.
    pub phase: Option<RolloutPhase>,
    /// Time since the order as this gateway knows it.
    pub since_order_ms: DurationMs,
    /// Number of gateways whose outcomes are known, including this one.
    pub gateways: usize,
    /// Attempts that were sent to the new version since the order.
    pub sent_to_target: u64,
    /// Attempts that were sent to both versions since the order.
    pub sent: u64,
    /// Outcomes of the new version.
    pub target_counts: OutcomeCounts,
    /// Outcomes of the old version.
    pub baseline_counts: OutcomeCounts,
    /// What the outcomes show.
    pub comparison: VersionComparison,
}
