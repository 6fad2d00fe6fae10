//! The load that other gateways report, by gateway.
//!
//! A report replaces the one before of its sender, and counts for [`PEER_LOAD_TTL_MS`]. What changes
//! is told as differences, so that the work for a report depends on its own length and not on the
//! number of gateways.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::gateway::upstreams::PeerLoad;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long the reported load of a gateway is used after its last digest.
const PEER_LOAD_TTL_MS: DurationMs = DurationMs::from_secs(2);

/// Latest load report of one gateway.
#[derive(Clone, Debug)]
struct PeerReport {
    at: TimeMs,
    loads: Vec<(UpstreamId, PeerLoad)>,
}

/// Latest load reports of all gateways.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    reports: BTreeMap<HostId, PeerReport>,
    /// The gateways, by the time of their reports.
    by_time: BTreeSet<(TimeMs, HostId)>,
}

impl PeerReports {
    /// Replaces the report of a gateway; returns the loads of the one before.
    pub fn replace(
        &mut self,
        peer: HostId,
        loads: Vec<(UpstreamId, PeerLoad)>,
        now: TimeMs,
    ) -> Vec<(UpstreamId, PeerLoad)> {
        let before = self.reports.insert(peer.clone(), PeerReport { at: now, loads });
        if let Some(before) = &before {
            self.by_time.remove(&(before.at, peer.clone()));
        }
        self.by_time.insert((now, peer));
        before.map(|before| before.loads).unwrap_or_default()
    }

    /// Removes an outdated report and returns its loads; `None` if there is none.
    pub fn pop_outdated(&mut self, now: TimeMs) -> Option<Vec<(UpstreamId, PeerLoad)>> {
        let (at, _) = self.by_time.first()?;
        if now.since(*at) <= PEER_LOAD_TTL_MS {
            return None;
        }
        let (_, peer) = self.by_time.pop_first()?;
        self.reports.remove(&peer).map(|report| report.loads)
    }

    /// Returns the load of all gateways at one upstream.
    pub fn total(&self, upstream: &UpstreamId) -> PeerLoad {
        let loads = self.reports.values().flat_map(|report| &report.loads);
        let mut total = PeerLoad::default();
        for (_, load) in loads.filter(|(id, _)| id == upstream) {
            total.add(*load);
        }
        total
    }

    /// Returns the number of reports.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
