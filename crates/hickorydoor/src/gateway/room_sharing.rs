//! Shares of scarce room: what this gateway reports, and what it may use.

use crate::gateway::active_call::ActiveCall;
use crate::gateway::call::CallId;
use crate::gateway::effect::GatewayEffect;
use crate::gateway::headroom::Claim;
use crate::gateway::headroom::FreeRoom;
use crate::gateway::headroom::Grant;
use crate::gateway::headroom::Grants;
use crate::gateway::headroom::ScarcityChange;
use crate::gateway::headroom::ServiceDemand;
use crate::gateway::headroom::even_part;
use crate::gateway::headroom::fair_part;
use crate::gateway::headroom::is_scarce;
use crate::gateway::reducer::Gateway;
use crate::gateway::upstreams::Upstream;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Upstreams of a service with waiting requests, as this gateway knows them.
#[derive(Debug, Default)]
struct ServiceRoom {
    /// Scarce upstreams with the slots that are free as far as all gateways know.
    rooms: Vec<FreeRoom>,
    /// Slots of these upstreams, with those of their queues.
    capacity: u32,
    own_in_flight: u32,
    has_enough: bool,
    in_flight: u32,
    slots: u32,
    backlog_ms: f64,
}

impl Gateway {
    /// Returns the requests that wait at this gateway, by service and rank.
    pub(super) fn own_demand(&self, now: TimeMs) -> Vec<ServiceDemand> {
        let mut demands: Vec<ServiceDemand> = Vec::new();
        if !self.settings.load_control.divides_room {
            return demands;
        }
        for active in self.waiting.keys().filter_map(|id| self.calls.get(&id)) {
            let known = demands.iter().position(|demand| demand.service == active.service);
            let index = known.unwrap_or_else(|| {
                demands.push(ServiceDemand::new(active.service.clone(), 0));
                demands.len() - 1
            });
            let prefill_ms = self.uncached_prefill_ms(active);
            demands[index].add(active.urgency(), prefill_ms, now.since(active.arrived_at));
        }
        if demands.is_empty() {
            return demands;
        }
        for upstream in self.pool.iter().filter(|upstream| upstream.in_flight > 0) {
            let service = &upstream.registration.service;
            if let Some(demand) = demands.iter_mut().find(|demand| demand.service == *service) {
                demand.in_flight += upstream.in_flight;
            }
        }
        demands
    }

    fn uncached_prefill_ms(&self, active: &ActiveCall) -> f64 {
        let model = active.route.models.last();
        let token_ms = model.map_or(0.0, |model| self.model_table.token_ms(model));
        f64::from(active.call.prompt.tokens) * token_ms
    }

    /// Updates the shares of the upstreams that waiting requests may be sent to.
    pub(super) fn refresh_shares(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        self.withholding.clear();
        let is_off = !self.settings.load_control.divides_room;
        if is_off || self.waiting.is_empty() || self.gateways.len() < 2 {
            return;
        }
        self.objectives.update(self.catalog.as_ref());
        let demands = self.own_demand(now);
        let mut rooms = self.service_rooms(&demands);
        for (demand, room) in demands.iter().zip(&mut rooms) {
            if room.rooms.is_empty() {
                self.assignments.remove(&demand.service);
                continue;
            }
            self.set_shares(demand, room, now);
            if room.has_enough {
                continue;
            }
            let change = ScarcityChange {
                service: demand.service.clone(),
                is_scarce: true,
                in_flight: room.in_flight,
                slots: room.slots,
                backlog_ms: room.backlog_ms,
                waiting_gateways: self.peer_demand.len(),
            };
            if self.scarcity_log.record_scarce(&change, now) {
                effects.push(GatewayEffect::ScarcityChanged(Box::new(change)));
            }
        }
    }

    /// Lifts the limits of the upstreams with enough room, and returns the room of the scarce ones by
    /// service, in the order of `demands`.
    fn service_rooms(&mut self, demands: &[ServiceDemand]) -> Vec<ServiceRoom> {
        let mut rooms: Vec<ServiceRoom> = demands.iter().map(|_| ServiceRoom::default()).collect();
        let limits: Vec<Option<u32>> = demands
            .iter()
            .map(|demand| Some(self.spec(&demand.service)?.max_connections?.get()))
            .collect();
        let objectives: Vec<Option<DurationMs>> =
            demands.iter().map(|demand| self.objectives.shortest(&demand.service)).collect();
        let awaited_slots: Vec<f64> =
            demands.iter().map(|demand| self.awaited_slots(&demand.service)).collect();
        for upstream in self.pool.iter_mut() {
            let service = &upstream.registration.service;
            let Some(index) = demands.iter().position(|demand| demand.service == *service) else {
                continue;
            };
            let room = &mut rooms[index];
            room.own_in_flight += upstream.in_flight;
            if upstream.registration.draining {
                continue;
            }
            room.in_flight += upstream.total_in_flight();
            room.slots += upstream.registration.slots;
            room.backlog_ms += upstream.backlog_ms();
            if !is_scarce(upstream, objectives[index], awaited_slots[index]) {
                room.has_enough = true;
                upstream.share.lift();
                continue;
            }
            let capacity = upstream.capacity().min(limits[index].unwrap_or(u32::MAX));
            room.capacity += capacity;
            room.rooms.push(FreeRoom {
                upstream: upstream.registration.upstream.clone(),
                free: capacity.saturating_sub(upstream.reported_total()),
            });
        }
        rooms
    }

    /// Returns the slots of each upstream of a service that requests at other gateways wait for.
    fn awaited_slots(&self, service: &ServiceName) -> f64 {
        let waiting = self.peer_demand.waiting(service);
        if waiting == 0 {
            return 0.0;
        }
        let upstreams = self.pool.iter().map(|upstream| &upstream.registration);
        let open = upstreams.filter(|known| known.service == *service && !known.draining);
        f64::from(waiting) / open.count().max(1) as f64
    }

    fn set_shares(&mut self, demand: &ServiceDemand, room: &ServiceRoom, now: TimeMs) {
        let own = self.settings.host.clone();
        let ServiceRoom { rooms, capacity, own_in_flight, .. } = room;
        let hears_others = self.pool.hears_others();
        let mut claims = self.peer_demand.claims(&demand.service, now);
        claims.extend(self.reported_demand.claims(&demand.service, now));
        let mut unused = fair_part(&own, *capacity, &claims).saturating_sub(*own_in_flight);
        let rank = most_urgent_elsewhere(&own, &claims);
        let assignments = self.assignments.entry(demand.service.clone()).or_default();
        assignments.update(rooms, &claims);
        let mut roomy = Vec::new();
        for room in rooms {
            let Some(upstream) = self.pool.get_mut(&room.upstream) else {
                continue;
            };
            let free = upstream.capacity().saturating_sub(upstream.total_in_flight());
            let mut grants = assignments.grants(&own, &room.upstream);
            if hears_others {
                let spare = room.free.saturating_sub(assignments.slots(&room.upstream));
                let slots = even_part(&own, &self.gateways, &room.upstream, spare);
                grants.push(Grant { rank: u8::MAX, slots });
                let ended = upstream.ended_since_report();
                keep_released(&mut grants, ended, &mut unused, rank);
                take_sent(&mut grants, upstream.sent_since_report);
            } else {
                let slots = free + upstream.total_in_flight();
                let part = even_part(&own, &self.gateways, &room.upstream, slots);
                let slots = part.saturating_sub(upstream.in_flight);
                grants = Grants::from_iter([Grant { rank: u8::MAX, slots }]);
            }
            upstream.share.set(grants, free, &own, &room.upstream, now);
            if free > 0 {
                roomy.push(room.upstream.clone());
            }
        }
        if !roomy.is_empty() {
            self.withholding.insert(demand.service.clone(), roomy);
        }
    }

    /// Records which requests wait although an upstream has room that another gateway may use.
    pub(super) fn record_withheld(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        if self.withholding.is_empty() {
            return;
        }
        let waiting = self.waiting.keys();
        let unrecorded = waiting.filter(|call| !self.scarcity_log.is_withheld(*call));
        let withheld: Vec<CallId> =
            unrecorded.filter(|call| self.waits_for_share(*call, now)).collect();
        for call in withheld {
            self.scarcity_log.record_withheld(call);
            if let Some(active) = self.calls.get(&call) {
                let service = active.service.clone();
                let rank = active.urgency();
                effects.push(GatewayEffect::ShareAwaited { call, service, rank });
            }
        }
    }

    fn waits_for_share(&self, call: CallId, now: TimeMs) -> bool {
        let Some(active) = self.calls.get(&call) else {
            return false;
        };
        let roomy = self.withholding.get(&active.service).into_iter().flatten();
        let mut roomy = roomy.filter_map(|id| self.pool.get(id));
        roomy.any(|upstream| {
            self.has_room(active, upstream, now) && !is_within_share(active, upstream, now)
        })
    }

    /// Drops outdated demands, and reports the services that are not scarce any more.
    pub(super) fn expire_shares(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        self.peer_demand.expire(now);
        self.reported_demand.expire(now);
        let waiting = &self.waiting;
        if waiting.is_empty() {
            self.assignments.clear();
        }
        self.scarcity_log.retain_withheld(|call| waiting.contains(call));
        for change in self.scarcity_log.take_ended(now) {
            effects.push(GatewayEffect::ScarcityChanged(Box::new(change)));
        }
    }
}

/// Returns whether the share of an upstream allows a request now.
pub(super) fn is_within_share(active: &ActiveCall, upstream: &Upstream, now: TimeMs) -> bool {
    let wait_ms = active.wait_until.min(active.deadline_at).since(active.arrived_at);
    upstream.share.allows(active.urgency(), wait_ms, now)
}

/// Returns the most urgent rank that waits at another gateway.
fn most_urgent_elsewhere(own: &HostId, claims: &[Claim]) -> u8 {
    let others = claims.iter().filter(|claim| claim.host != *own && claim.requests > 0);
    others.map(|claim| claim.rank).min().unwrap_or(u8::MAX)
}

/// Grants slots that this gateway has released since its last digest, up to `unused` of them, for
/// requests that are at least as urgent as `rank`. No other gateway knows of them yet.
fn keep_released(grants: &mut Grants, released: u32, unused: &mut u32, rank: u8) {
    let slots = released.min(*unused);
    *unused -= slots;
    if slots > 0 {
        grants.push(Grant { rank, slots });
    }
}

/// Takes away the slots that were used since the last digest.
fn take_sent(grants: &mut Grants, sent: u32) {
    let mut left = sent;
    for grant in grants {
        let taken = left.min(grant.slots);
        grant.slots -= taken;
        left -= taken;
    }
}
