//! What an attempt shows of the version that it ran on.

use crate::rollouts::outcome_table::OutcomeKey;
use crate::rollouts::outcome_table::OutcomeTable;
use crate::rollouts::outcome_table::Slowdown;

/// An observation of an attempt. One attempt may give several.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutOutcome {
    /// The attempt has ended with an answer.
    Answered,
    /// The attempt has ended with an error answer, or the upstream failed.
    Failed,
    /// The answer was broken off after it had been counted.
    Broken,
    /// There was no answer in time.
    Unanswered,
    /// A stream of an engine has ended.
    Paced {
        /// Whether it had the full pace of its model.
        is_full: bool,
    },
    /// Time of the answer, relative to the usual one.
    Timed(Slowdown),
}

impl RolloutOutcome {
    /// Counts the observation.
    pub(super) fn count(self, table: &mut OutcomeTable, key: OutcomeKey) {
        match self {
            Self::Answered => table.record_answer(key, false),
            Self::Failed => table.record_answer(key, true),
            Self::Broken => table.record_broken(key),
            Self::Unanswered => table.record_unanswered(key),
            Self::Paced { is_full } => table.record_pace(key, is_full),
            Self::Timed(slowdown) => table.record_slowdown(key, slowdown),
        }
    }
}
