//! When a gateway writes the next step of a rollout.

use crate::gateway::rollout::RolloutPhase;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Delay between gateways of consecutive ranks before they write a step, in ms.
const RANK_DELAY_MS: u64 = 150;
/// Time after which a step that is not recorded is written again; doubled with each write.
const WRITE_RETRY_MS: u64 = 200;
/// Number of times by which it is doubled at most.
const MAX_WRITE_RETRY_DOUBLINGS: u32 = 2;

/// Writes of the next step since the last record.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepWrites {
    /// Next phase and since when it is due.
    due_since: Option<(RolloutPhase, TimeMs)>,
    written_at: Option<TimeMs>,
    writes: u32,
}

impl StepWrites {
    /// Records that no step is due.
    pub const fn clear_due(&mut self) {
        self.due_since = None;
    }

    /// Records that the last step is in the store.
    pub const fn set_recorded(&mut self) {
        self.written_at = None;
        self.writes = 0;
    }

    /// Returns whether a gateway of this rank writes the step to `phase` now, and counts the write.
    pub fn begin(&mut self, phase: RolloutPhase, rank: u64, now: TimeMs) -> bool {
        let since = self.due_since.filter(|(known, _)| *known == phase);
        let (_, due_at) = *self.due_since.insert(since.unwrap_or((phase, now)));
        let delay_ms = DurationMs::new(rank * RANK_DELAY_MS);
        if now < due_at + delay_ms || self.awaits_write(now) {
            return false;
        }
        self.written_at = Some(now);
        self.writes += 1;
        true
    }

    /// Returns whether the last write of a step may still take effect.
    fn awaits_write(&self, now: TimeMs) -> bool {
        let doublings = self.writes.saturating_sub(1).min(MAX_WRITE_RETRY_DOUBLINGS);
        let retry_ms = DurationMs::new(WRITE_RETRY_MS << doublings);
        self.written_at.is_some_and(|at| now.since(at) < retry_ms)
    }
}
