//! What another gateway says about a rollout.

use std::collections::BTreeMap;

use crate::rollouts::outcome_table::OutcomeTable;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time without a digest after which another gateway neither objects nor writes steps.
const HEARD_TTL_MS: DurationMs = DurationMs::new(1_000);

/// Latest digest of another gateway about one rollout, and what its earlier incarnations counted.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Outcomes by incarnation. Those of earlier ones stay valid: the attempts were made.
    tables: BTreeMap<u64, OutcomeTable>,
    objects: bool,
    heard_at: TimeMs,
}

impl PeerView {
    /// Replaces what the gateway says.
    pub fn update(&mut self, incarnation: u64, table: OutcomeTable, objects: bool, now: TimeMs) {
        self.tables.insert(incarnation, table);
        self.objects = objects;
        self.heard_at = now;
    }

    /// Iterates over the outcomes that the gateway counted.
    pub fn tables(&self) -> impl Iterator<Item = &OutcomeTable> {
        self.tables.values()
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
