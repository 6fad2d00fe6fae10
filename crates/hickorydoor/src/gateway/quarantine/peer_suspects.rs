//! What other gateways report of their attempts with suspected parts.

use std::collections::HashMap;

use crate::gateway::peer_reports::PeerReports;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::quarantine_report::SuspectLoad;
use crate::id::HostId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long the report of another gateway about its attempts is used.
const PEER_SUSPECT_TTL_MS: DurationMs = DurationMs::from_secs(2);

/// Sums over the gateways that suspect a part.
#[derive(Clone, Copy, Debug, Default)]
struct PartTotals {
    gateways: usize,
    unproven: u32,
    survived_without: u64,
}

/// Attempts of other gateways with suspected parts.
#[derive(Clone, Debug)]
pub(super) struct PeerSuspects {
    reports: PeerReports<SuspectLoad>,
    by_part: HashMap<PartKey, PartTotals>,
}

impl PeerSuspects {
    /// Replaces what a gateway reports.
    pub(super) fn replace(&mut self, host: &HostId, loads: Vec<SuspectLoad>, now: TimeMs) {
        for load in &loads {
            let totals = self.by_part.entry(load.part.clone()).or_default();
            totals.gateways += 1;
            totals.unproven += load.unproven;
            totals.survived_without += u64::from(load.survived_without);
        }
        let before = if loads.is_empty() {
            self.reports.remove(host)
        } else {
            self.reports.replace(host.clone(), loads, now)
        };
        self.remove(&before);
    }

    /// Drops outdated reports.
    pub(super) fn expire(&mut self, now: TimeMs) {
        while let Some(outdated) = self.reports.pop_outdated(now) {
            self.remove(&outdated);
        }
    }

    fn remove(&mut self, loads: &[SuspectLoad]) {
        for load in loads {
            let Some(totals) = self.by_part.get_mut(&load.part) else {
                continue;
            };
            totals.gateways -= 1;
            totals.unproven -= load.unproven;
            totals.survived_without -= u64::from(load.survived_without);
            if totals.gateways == 0 {
                self.by_part.remove(&load.part);
            }
        }
    }

    /// Returns whether another gateway suspects a part.
    pub(super) fn contains(&self, part: &PartKey) -> bool {
        self.by_part.contains_key(part)
    }

    /// Returns the attempts of other gateways that have not proven a part sound.
    pub(super) fn unproven(&self, part: &PartKey) -> u32 {
        self.by_part.get(part).map_or(0, |totals| totals.unproven)
    }

    /// Returns the recent attempts of other gateways without a part that survived.
    pub(super) fn survived_without(&self, part: &PartKey) -> f64 {
        self.by_part.get(part).map_or(0.0, |totals| totals.survived_without as f64)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}

impl Default for PeerSuspects {
    fn default() -> Self {
        Self { reports: PeerReports::new(PEER_SUSPECT_TTL_MS), by_part: HashMap::new() }
    }
}
