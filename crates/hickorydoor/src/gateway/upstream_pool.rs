//! All upstreams that a gateway knows.

use std::collections::BTreeMap;

use crate::gateway::upstream::PeerLoad;
use crate::gateway::upstream::Registration;
use crate::gateway::upstream::Upstream;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time after which what a silent gateway reported is dropped.
const PEER_LOAD_KEPT_MS: DurationMs = DurationMs::from_secs(2);

/// What one gateway reported last.
#[derive(Clone, Debug)]
struct PeerReport {
    at: TimeMs,
    loads: Vec<(UpstreamId, PeerLoad)>,
}

/// Upstreams by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPool {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    reports: BTreeMap<HostId, PeerReport>,
}

impl UpstreamPool {
    /// Takes in a registration.
    pub fn register(&mut self, registration: Registration, now: TimeMs) {
        if let Some(known) = self.upstreams.get_mut(&registration.upstream) {
            return known.update(registration, now);
        }
        let id = registration.upstream.clone();
        self.upstreams.insert(id, Upstream::new(registration, now));
    }

    /// Takes in that a registration has gone. While the store is unsettled the upstream is kept
    /// until [`UpstreamPool::drop_missing`].
    pub fn deregister(&mut self, upstream: &UpstreamId, unsettled: bool, now: TimeMs) {
        match self.upstreams.get_mut(upstream) {
            Some(known) if unsettled && !known.registration.draining => {
                known.missing_since.get_or_insert(now);
            }
            _ => {
                self.upstreams.remove(upstream);
            }
        }
    }

    /// Marks all upstreams that are not among `present` as gone.
    pub fn retain(&mut self, present: &dyn Fn(&UpstreamId) -> bool, unsettled: bool, now: TimeMs) {
        let absent: Vec<UpstreamId> =
            self.upstreams.keys().filter(|id| !present(id)).cloned().collect();
        for upstream in absent {
            self.deregister(&upstream, unsettled, now);
        }
    }

    /// Drops upstreams whose registration did not come back.
    pub fn drop_missing(&mut self) {
        self.upstreams.retain(|_, upstream| upstream.missing_since.is_none());
    }

    /// Whether some upstream is kept without a registration.
    pub fn has_missing(&self) -> bool {
        self.upstreams.values().any(|upstream| upstream.missing_since.is_some())
    }

    /// An upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// An upstream, to be changed.
    pub fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Upstreams of a service, to be changed.
    pub fn of_service_mut<'a>(
        &'a mut self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a mut Upstream> {
        self.upstreams.values_mut().filter(move |known| known.registration.service == *service)
    }

    /// Treats the upstreams of a data centre as cold for a while.
    pub fn suspect_data_centre(&mut self, id: &DataCentreId, for_ms: DurationMs, now: TimeMs) {
        for upstream in self.upstreams.values_mut() {
            if upstream.registration.data_centre == *id {
                upstream.suspect(for_ms, now);
            }
        }
    }

    /// Takes in the load that another gateway reports.
    pub fn set_peer(&mut self, peer: HostId, loads: Vec<(UpstreamId, PeerLoad)>, now: TimeMs) {
        self.reports.insert(peer, PeerReport { at: now, loads });
        self.sum_peers(now);
    }

    /// Drops what silent gateways reported.
    pub fn sum_peers(&mut self, now: TimeMs) {
        self.reports.retain(|_, report| now.since(report.at) <= PEER_LOAD_KEPT_MS);
        for upstream in self.upstreams.values_mut() {
            upstream.peers = PeerLoad::default();
        }
        for (id, load) in self.reports.values().flat_map(|report| &report.loads) {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.peers.in_flight += load.in_flight;
                upstream.peers.reading_ms += load.reading_ms;
            }
        }
    }

    /// Own load at all upstreams that have some.
    pub fn own_loads(&self) -> Vec<(UpstreamId, PeerLoad)> {
        let loaded = self.upstreams.iter().filter(|(_, upstream)| upstream.in_flight > 0);
        let load = |upstream: &Upstream| PeerLoad {
            in_flight: upstream.in_flight,
            reading_ms: upstream.reading_ms,
        };
        loaded.map(|(id, upstream)| (id.clone(), load(upstream))).collect()
    }
}
