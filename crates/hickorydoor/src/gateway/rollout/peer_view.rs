//! What another gateway says about a rollout.

use std::collections::BTreeMap;

use crate::rollouts::outcome_table::OutcomeTable;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time without a digest after which another gateway neither objects nor writes steps.
const HEARD_TTL_MS: DurationMs = DurationMs::new(1_000);

/// Maximum number of incarnations whose outcomes are told apart.
const MAX_INCARNATIONS: usize = 4;

/// Latest digest of another gateway about one rollout, and what its earlier incarnations counted.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Outcomes by incarnation, of the latest ones.
    tables: BTreeMap<u64, OutcomeTable>,
    /// Sum of the outcomes of earlier incarnations; they stay valid, since the attempts were made.
    earlier: OutcomeTable,
    objects: bool,
    heard_at: TimeMs,
}

impl PeerView {
    /// Replaces what the gateway says.
    pub fn update(&mut self, incarnation: u64, table: OutcomeTable, objects: bool, now: TimeMs) {
        let is_full = self.tables.len() == MAX_INCARNATIONS;
        if is_full && self.tables.first_key_value().is_some_and(|(first, _)| incarnation < *first) {
            // Its outcomes are in the sum already.
            return;
        }
        self.tables.insert(incarnation, table);
        if self.tables.len() > MAX_INCARNATIONS
            && let Some((_, first)) = self.tables.pop_first()
        {
            self.earlier.merge(&first);
        }
        self.objects = objects;
        self.heard_at = now;
    }

    /// Iterates over the outcomes that the gateway counted.
    pub fn tables(&self) -> impl Iterator<Item = &OutcomeTable> {
        self.tables.values().chain(std::iter::once(&self.earlier))
    }

    /// Returns the number of incarnations whose outcomes are told apart.
    pub fn incarnations(&self) -> usize {
        self.tables.len()
    }

    /// Returns whether the gateway was heard lately.
    pub fn is_heard(&self, now: TimeMs) -> bool {
        now.since(self.heard_at) <= HEARD_TTL_MS
    }

    /// Returns whether the gateway objects to the new version.
    pub fn objects(&self, now: TimeMs) -> bool {
        self.objects && self.is_heard(now)
    }
}
