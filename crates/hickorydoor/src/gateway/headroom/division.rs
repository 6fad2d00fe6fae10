//! Division of free slots among gateways.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::headroom::ServiceDemand;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::time::DurationMs;

/// Requests of one rank that wait at one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Gateway at which they wait.
    pub host: HostId,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Number of requests.
    pub requests: u32,
    /// Requests of the gateway in flight at the service.
    pub in_flight: u32,
    /// How long the oldest request has waited.
    pub waited_ms: DurationMs,
}

impl Claim {
    /// Returns the claims of one gateway, by rank.
    pub fn of<'a>(
        host: &'a HostId,
        demand: &'a ServiceDemand,
    ) -> impl Iterator<Item = Self> + use<'a> {
        demand.ranks.iter().map(|entry| Self {
            host: host.clone(),
            rank: entry.rank,
            requests: entry.requests,
            in_flight: demand.in_flight,
            waited_ms: entry.waited_ms,
        })
    }
}

/// Free slots of an upstream, including those of its queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreeRoom {
    /// Upstream that has the slots.
    pub upstream: UpstreamId,
    /// Number of slots.
    pub free: u32,
}

/// A slot that a gateway may use for a request of a rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Gateway that may use it.
    pub host: HostId,
    /// Upstream that has it.
    pub upstream: UpstreamId,
    /// Least urgent rank that may use it.
    pub rank: u8,
}

/// Order in which gateways with claims of one rank get a slot; the least comes first: requests in
/// flight, then the longest wait, then a hash.
type Turn = (u32, Reverse<DurationMs>, u64);

/// Assigns free slots to claims, each to one request. Neither more slots than are free are assigned
/// nor more than are claimed.
pub fn assign(rooms: &[FreeRoom], claims: &[Claim]) -> Vec<Assignment> {
    let mut assignments = Vec::new();
    let mut by_free: BinaryHeap<(u32, u64, usize)> = rooms
        .iter()
        .enumerate()
        .filter(|(_, room)| room.free > 0)
        .map(|(index, room)| (room.free, upstream_hash(&room.upstream), index))
        .collect();
    let seed = by_free.iter().fold(0, |seed, (_, hash, _)| seed ^ hash);
    let mut by_rank: BTreeMap<u8, Vec<&Claim>> = BTreeMap::new();
    for claim in claims.iter().filter(|claim| claim.requests > 0) {
        by_rank.entry(claim.rank).or_default().push(claim);
    }
    let mut served: BTreeMap<&HostId, u32> = BTreeMap::new();
    for (rank, claims) in by_rank {
        let mut left: Vec<u32> = claims.iter().map(|claim| claim.requests).collect();
        let turn = |claim: &Claim, in_flight: u32| -> Turn {
            (in_flight, Reverse(claim.waited_ms), host_hash(&claim.host, seed))
        };
        let first_turn = |(index, claim): (usize, &&Claim)| {
            let in_flight = served.get(&claim.host).copied().unwrap_or(claim.in_flight);
            Reverse((turn(claim, in_flight), index))
        };
        let mut turns: BinaryHeap<Reverse<(Turn, usize)>> =
            claims.iter().enumerate().map(first_turn).collect();
        while let Some(Reverse((_, index))) = turns.pop() {
            let Some((slots, hash, room)) = by_free.pop() else {
                return assignments;
            };
            if slots > 1 {
                by_free.push((slots - 1, hash, room));
            }
            let claim = claims[index];
            let upstream = rooms[room].upstream.clone();
            assignments.push(Assignment { host: claim.host.clone(), upstream, rank });
            let in_flight = served.entry(&claim.host).or_insert(claim.in_flight);
            *in_flight += 1;
            left[index] -= 1;
            if left[index] > 0 {
                turns.push(Reverse((turn(claim, *in_flight), index)));
            }
        }
    }
    assignments
}

/// Returns the slots of `service_slots` in all that one gateway may occupy beside the others with
/// claims, rounded up.
pub fn fair_part(own: &HostId, service_slots: u32, claims: &[Claim]) -> u32 {
    let hosts: BTreeSet<&HostId> = claims.iter().map(|claim| &claim.host).chain([own]).collect();
    service_slots.div_ceil(u32::try_from(hosts.len()).unwrap_or(u32::MAX))
}

/// Returns one of the even parts of an upstream's slots, which differ by one at most. The parts of all
/// gateways add up to the slots.
pub fn even_part(own: &HostId, gateways: &[HostId], upstream: &UpstreamId, slots: u32) -> u32 {
    let seed = upstream_hash(upstream);
    let own_hash = host_hash(own, seed);
    let position = gateways.iter().filter(|host| host_hash(host, seed) < own_hash).count() as u64;
    let count = gateways.len().max(1) as u64;
    let slots = u64::from(slots);
    (slots / count + u64::from(position < slots % count)) as u32
}

fn upstream_hash(upstream: &UpstreamId) -> u64 {
    xxh3_64(upstream.as_str().as_bytes())
}

fn host_hash(host: &HostId, seed: u64) -> u64 {
    xxh3_64_with_seed(host.as_str().as_bytes(), seed)
}
