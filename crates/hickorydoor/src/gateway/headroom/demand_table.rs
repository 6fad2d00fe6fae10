//! Latest demand of each other gateway.

use crate::gateway::headroom::Claim;
use crate::gateway::headroom::ServiceDemand;
use crate::gateway::peer_reports::PeerReports;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long a demand counts after the last digest of its gateway, as long as its load does.
const DEMAND_TTL_MS: DurationMs = DurationMs::from_secs(2);

/// Demands that other gateways have reported.
#[derive(Clone, Debug)]
pub struct DemandTable {
    reports: PeerReports<(HostId, ServiceDemand, TimeMs)>,
}

impl Default for DemandTable {
    fn default() -> Self {
        Self { reports: PeerReports::new(DEMAND_TTL_MS) }
    }
}

impl DemandTable {
    /// Replaces the demand of a gateway.
    pub fn set(&mut self, peer: &HostId, demands: Vec<ServiceDemand>, now: TimeMs) {
        if demands.is_empty() {
            self.reports.remove(peer);
            return;
        }
        let entries = demands.into_iter().map(|demand| (peer.clone(), demand, now)).collect();
        self.reports.replace(peer.clone(), entries, now);
    }

    /// Removes the demand of gateways that are not present any more.
    pub fn remove(&mut self, peer: &HostId) {
        self.reports.remove(peer);
    }

    /// Drops outdated demands.
    pub fn expire(&mut self, now: TimeMs) {
        while self.reports.pop_outdated(now).is_some() {}
    }

    /// Returns the claims of the other gateways to upstreams of a service. Their requests have gone on
    /// waiting since they were reported.
    pub fn claims(&self, service: &ServiceName, now: TimeMs) -> Vec<Claim> {
        let mut claims = Vec::new();
        for (host, demand, reported_at) in self.reports.entries() {
            if demand.service != *service {
                continue;
            }
            for mut claim in Claim::of(host, demand) {
                claim.waited_ms = claim.waited_ms + now.since(*reported_at);
                claims.push(claim);
            }
        }
        claims
    }

    /// Returns the number of requests that wait for upstreams of a service.
    pub fn waiting(&self, service: &ServiceName) -> u32 {
        let of_service = self.reports.entries().filter(|(_, demand, _)| demand.service == *service);
        of_service.flat_map(|(_, demand, _)| &demand.ranks).map(|entry| entry.requests).sum()
    }

    /// Returns the number of gateways with a demand.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
