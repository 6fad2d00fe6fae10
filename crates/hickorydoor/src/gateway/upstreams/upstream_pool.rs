//! The upstreams that a gateway knows, with the load that other gateways report.

use std::collections::BTreeMap;

use crate::gateway::peer_reports::PeerReports;
use crate::gateway::upstreams::DepartedRooms;
use crate::gateway::upstreams::PeerLoad;
use crate::gateway::upstreams::Registration;
use crate::gateway::upstreams::Upstream;
use crate::gateway::upstreams::UpstreamRoom;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long the last registration of a removed upstream is remembered.
const DEPARTURE_TTL_MS: DurationMs = DurationMs::from_secs(60);
/// How long the reported load of a gateway is used after its last digest.
const PEER_LOAD_TTL_MS: DurationMs = DurationMs::from_secs(2);

/// Last registration of an upstream that was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Start of the upstream process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Sequence number of its last known registration.
    pub sequence: u64,
    /// When it was removed.
    pub at: TimeMs,
}

/// Upstreams by id.
#[derive(Clone, Debug)]
pub struct UpstreamPool {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    departures: BTreeMap<UpstreamId, Departure>,
    departed_rooms: DepartedRooms,
    reports: PeerReports<(UpstreamId, PeerLoad)>,
    visited_loads: u64,
}

impl Default for UpstreamPool {
    fn default() -> Self {
        Self {
            upstreams: BTreeMap::new(),
            departures: BTreeMap::new(),
            departed_rooms: DepartedRooms::default(),
            reports: PeerReports::new(PEER_LOAD_TTL_MS),
            visited_loads: 0,
        }
    }
}

impl UpstreamPool {
    /// Applies a registration.
    pub fn register(&mut self, registration: Registration, now: TimeMs) {
        let id = registration.upstream.clone();
        let started_unix_ms = registration.started_unix_ms;
        let is_new = self
            .upstreams
            .get(&id)
            .is_none_or(|known| known.registration.started_unix_ms != started_unix_ms);
        if let Some(known) = self.upstreams.get_mut(&id) {
            known.update(registration, now);
        } else {
            self.departures.remove(&id);
            self.upstreams.insert(id.clone(), Upstream::new(registration, now));
        }
        if let Some(known) = self.upstreams.get_mut(&id)
            && let Some(room) = self.departed_rooms.take(&id, known.registration.started_unix_ms)
        {
            known.room = room;
        }
        if is_new && let Some(known) = self.upstreams.get_mut(&id) {
            known.peer_load = total_load(&self.reports, &id);
        }
    }

    /// Applies a registration that an older copy of the store contains. One that preceded the
    /// removal of its upstream is ignored.
    pub fn register_from_copy(&mut self, registration: Registration, now: TimeMs) {
        let departure = self.departures.get(&registration.upstream);
        let received = (registration.started_unix_ms, registration.sequence);
        if departure.is_some_and(|gone| received <= (gone.started_unix_ms, gone.sequence)) {
            return;
        }
        self.register(registration, now);
    }

    /// Removes an upstream whose departure another gateway knows, unless it has registered since.
    pub fn depart(&mut self, upstream: &UpstreamId, departure: Departure, now: TimeMs) {
        let gone = (departure.started_unix_ms, departure.sequence);
        let known = self.upstreams.get(upstream).map(|known| &known.registration);
        if known.is_some_and(|known| (known.started_unix_ms, known.sequence) > gone) {
            return;
        }
        self.take_out(upstream, now);
        self.departures.insert(upstream.clone(), departure);
    }

    /// Forgets upstreams that were removed long ago.
    pub fn expire_departed(&mut self, now: TimeMs) {
        self.departures.retain(|_, gone| now.since(gone.at) <= DEPARTURE_TTL_MS);
        self.departed_rooms.expire(now);
    }

    /// Removes an upstream, but keeps what it has said.
    fn take_out(&mut self, upstream: &UpstreamId, now: TimeMs) -> Option<Registration> {
        let Upstream { registration, room, .. } = self.upstreams.remove(upstream)?;
        self.departed_rooms.keep(upstream.clone(), registration.started_unix_ms, room, now);
        Some(registration)
    }

    /// Iterates over the removed upstreams that are still remembered.
    pub fn departures(&self) -> impl Iterator<Item = (&UpstreamId, &Departure)> {
        self.departures.iter()
    }

    /// Removes an upstream whose registration was removed. While the store is unstable, it is kept
    /// until [`UpstreamPool::drop_missing`], unless it was draining.
    pub fn deregister(&mut self, upstream: &UpstreamId, store_unstable: bool, now: TimeMs) {
        match self.upstreams.get_mut(upstream) {
            Some(known) if store_unstable && !known.registration.draining => {
                known.missing_since.get_or_insert(now);
            }
            _ => self.remove(upstream, now),
        }
    }

    fn remove(&mut self, upstream: &UpstreamId, now: TimeMs) {
        let Some(registration) = self.take_out(upstream, now) else {
            return;
        };
        let Registration { started_unix_ms, sequence, .. } = registration;
        let departure = Departure { started_unix_ms, sequence, at: now };
        self.departures.insert(upstream.clone(), departure);
    }

    /// Removes all upstreams that are not `present`, as [`UpstreamPool::deregister`] does.
    pub fn retain(
        &mut self,
        present: &dyn Fn(&UpstreamId) -> bool,
        store_unstable: bool,
        now: TimeMs,
    ) {
        let absent: Vec<UpstreamId> =
            self.upstreams.keys().filter(|id| !present(id)).cloned().collect();
        for upstream in absent {
            self.deregister(&upstream, store_unstable, now);
        }
    }

    /// Removes the upstreams that were kept and have not registered again.
    pub fn drop_missing(&mut self, now: TimeMs) {
        let missing = self.upstreams.iter().filter(|(_, known)| known.missing_since.is_some());
        let missing: Vec<UpstreamId> = missing.map(|(id, _)| id.clone()).collect();
        for upstream in &missing {
            self.remove(upstream, now);
        }
    }

    /// Returns whether any upstream is kept without a registration.
    pub fn has_missing(&self) -> bool {
        self.upstreams.values().any(|upstream| upstream.missing_since.is_some())
    }

    /// Returns the upstream with this id.
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns the upstream with this id for modification.
    pub fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// Returns the start of the latest incarnation of an upstream and what it has said, registered or
    /// not.
    pub fn room(&self, id: &UpstreamId) -> Option<(u64, &UpstreamRoom)> {
        let known = self.upstreams.get(id);
        let registered = known.map(|known| (known.registration.started_unix_ms, &known.room));
        registered.or_else(|| self.departed_rooms.get(id))
    }

    /// Returns what an incarnation of an upstream has said, registered or not, for modification.
    pub fn room_mut(&mut self, id: &UpstreamId, started_unix_ms: u64) -> Option<&mut UpstreamRoom> {
        match self.upstreams.get_mut(id) {
            Some(known) if known.registration.started_unix_ms == started_unix_ms => {
                Some(&mut known.room)
            }
            _ => self.departed_rooms.get_mut(id, started_unix_ms),
        }
    }

    /// Returns the numbers of upstreams, of removed ones, of those whose notices are kept, and of load
    /// reports.
    pub fn sizes(&self) -> [usize; 4] {
        let Self { upstreams, departures, departed_rooms, reports, .. } = self;
        [upstreams.len(), departures.len(), departed_rooms.len(), reports.len()]
    }

    /// Iterates over all upstreams, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Iterates over all upstreams for modification, by id.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.values_mut()
    }

    /// Iterates over the upstreams of a service for modification, by id.
    pub fn of_service_mut<'a>(
        &'a mut self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a mut Upstream> {
        self.upstreams.values_mut().filter(move |known| known.registration.service == *service)
    }

    /// Treats the upstreams of a data centre as cold for `for_ms`.
    pub fn mark_data_centre_cold(&mut self, id: &DataCentreId, for_ms: DurationMs, now: TimeMs) {
        for upstream in self.upstreams.values_mut() {
            if upstream.registration.data_centre == *id {
                upstream.mark_cold(for_ms, now);
            }
        }
    }

    /// Replaces the load that another gateway reports.
    pub fn set_peer_load(&mut self, peer: HostId, loads: Vec<(UpstreamId, PeerLoad)>, now: TimeMs) {
        self.visited_loads += loads.len() as u64;
        for (id, load) in &loads {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.peer_load.add(*load);
                let responded_at = load.response_age_ms.map(|age_ms| now - age_ms);
                upstream.last_response_at_peers = upstream.last_response_at_peers.max(responded_at);
            }
        }
        let before = self.reports.replace(peer, loads, now);
        self.remove_loads(&before);
    }

    /// Returns whether any other gateway has reported its load lately.
    pub fn hears_others(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Drops outdated load reports.
    pub fn expire_peer_loads(&mut self, now: TimeMs) {
        while let Some(outdated) = self.reports.pop_outdated(now) {
            self.remove_loads(&outdated);
        }
    }

    fn remove_loads(&mut self, loads: &[(UpstreamId, PeerLoad)]) {
        self.visited_loads += loads.len() as u64;
        for (id, load) in loads {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.peer_load.remove(*load);
            }
        }
    }

    /// Returns the number of reported loads that were added or taken away since the start.
    pub const fn visited_loads(&self) -> u64 {
        self.visited_loads
    }

    /// Returns the load of this gateway at the upstreams where it has requests in flight, to be
    /// reported.
    pub fn report_loads(&mut self, now: TimeMs) -> Vec<(UpstreamId, PeerLoad)> {
        for upstream in self.upstreams.values_mut() {
            upstream.reported_in_flight = upstream.in_flight;
            upstream.sent_since_report = 0;
        }
        let loaded = self.upstreams.iter().filter(|(_, upstream)| upstream.in_flight > 0);
        let load = |upstream: &Upstream| PeerLoad {
            in_flight: upstream.in_flight,
            prefill_ms: upstream.prefill_ms,
            response_age_ms: upstream.last_response_at.map(|at| now.since(at)),
        };
        loaded.map(|(id, upstream)| (id.clone(), load(upstream))).collect()
    }
}

fn total_load(reports: &PeerReports<(UpstreamId, PeerLoad)>, upstream: &UpstreamId) -> PeerLoad {
    let mut total = PeerLoad::default();
    for (_, load) in reports.entries().filter(|(id, _)| id == upstream) {
        total.add(*load);
    }
    total
}
