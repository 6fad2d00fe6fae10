//! Scarce room is divided among gateways by what waits at them.

mod gateway;
mod property;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::headroom::Assignment;
use hickorydoor::gateway::headroom::Assignments;
use hickorydoor::gateway::headroom::Claim;
use hickorydoor::gateway::headroom::FreeRoom;
use hickorydoor::gateway::headroom::Grants;
use hickorydoor::gateway::headroom::ServiceDemand;
use hickorydoor::gateway::headroom::assign;
use hickorydoor::gateway::headroom::even_part;
use hickorydoor::gateway::load_control::LoadControl;
use hickorydoor::gateway::upstreams::PeerLoad;
use hickorydoor::id::HostId;
use proptest::prelude::*;

use crate::gateway::PLAIN;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::dispatch;
use crate::gateway::member;
use crate::gateway::room_fleet::Play;
use crate::gateway::room_fleet::Results;
use crate::gateway::room_fleet::RoomFleet;
use crate::property::config;

/// Longest time for which a share may leave a slot unused.
const MAX_UNUSED_MS: u64 = 300;

/// Least share of urgent requests that are sent where they need six tenths of the capacity.
const MIN_URGENT_SENT_PERCENT: u32 = 95;
/// Largest share of requests that are sent while a more urgent one has waited for long elsewhere.
const MAX_OVERTAKING_PERCENT: u32 = 5;
/// Largest share of requests that are sent to an upstream without room.
const MAX_OVER_CAPACITY_PERCENT: u32 = 15;

fn host(index: usize) -> HostId {
    format!("gw-{index}").parse().unwrap()
}

fn hosts() -> Vec<HostId> {
    (0..30).map(host).collect()
}

fn rooms(free: &[u32]) -> Vec<FreeRoom> {
    let room = |(index, free): (usize, &u32)| FreeRoom {
        upstream: format!("p-{index}").parse().unwrap(),
        free: *free,
    };
    free.iter().enumerate().map(room).collect()
}

/// Claims of up to 30 gateways in three ranks, each gateway and rank once.
fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let waiting = (1..6_u32, 0..2_000_u64);
    let entries = prop::collection::btree_map((0..30_usize, 0..3_u8), waiting, 0..50);
    let in_flight = prop::collection::vec(0..4_u32, 30);
    (entries, in_flight).prop_map(|(entries, in_flight)| {
        let claim = |((index, rank), (requests, waited_ms)): ((usize, u8), (u32, u64))| Claim {
            host: host(index),
            rank,
            requests,
            in_flight: in_flight[index],
            waited_ms: DurationMs::new(waited_ms),
        };
        entries.into_iter().map(claim).collect()
    })
}

/// Returns the number of assignments that match.
fn count(assignments: &[Assignment], matches: impl Fn(&Assignment) -> bool) -> u32 {
    assignments.iter().filter(|assignment| matches(assignment)).count() as u32
}

proptest! {
    #![proptest_config(config(3, 1_000))]

    /// Guards against gateways that together send more than an upstream has room for, against a lesser
    /// rank that gets a slot for which a more urgent request waits anywhere, and against a gateway
    /// that is passed over.
    #[test]
    fn room_is_assigned_once_by_rank_and_to_each_gateway_in_turn(
        free in prop::collection::vec(0..12_u32, 1..6),
        claims in claims(),
    ) {
        let rooms = rooms(&free);
        let assignments = assign(&rooms, &claims);
        for room in &rooms {
            let used = count(&assignments, |known| known.upstream == room.upstream);
            prop_assert!(used <= room.free);
        }
        let mut left: u32 = free.iter().sum();
        for rank in 0..3_u8 {
            let of_rank = claims.iter().filter(|claim| claim.rank == rank);
            let wanted: u32 = of_rank.map(|claim| claim.requests).sum();
            let got = count(&assignments, |known| known.rank == rank);
            prop_assert_eq!(got, wanted.min(left));
            left -= got;
        }
        let most_urgent = claims.iter().map(|claim| claim.rank).min();
        let part = |claim: &Claim| {
            count(&assignments, |known| known.host == claim.host && known.rank == claim.rank)
        };
        let first = claims.iter().filter(|claim| Some(claim.rank) == most_urgent);
        for one in first.clone().filter(|one| part(one) > 0) {
            for other in first.clone().filter(|other| part(other) < other.requests) {
                let before_last = one.in_flight + part(one) - 1;
                prop_assert!(before_last <= other.in_flight + part(other));
            }
        }
    }

    /// Guards against gateways that derive different divisions from the same digests, and against
    /// assignments that exceed the room while digests arrive one by one or are lost.
    #[test]
    fn assignments_stay_within_the_room_whatever_digests_arrive(
        steps in prop::collection::vec(
            (prop::collection::vec(0..12_u32, 3), claims(), 0..30_usize),
            1..6,
        ),
    ) {
        let mut known = Assignments::default();
        for (free, mut claims, reporting) in steps {
            let rooms = rooms(&free);
            known.clear(&host(reporting));
            let mut other = known.clone();
            known.update(&rooms, &claims);
            claims.reverse();
            other.update(&rooms, &claims);
            let wanted: u32 = claims.iter().map(|claim| claim.requests).sum();
            prop_assert_eq!(known.len() as u32, wanted.min(free.iter().sum()));
            for room in &rooms {
                prop_assert!(known.slots(&room.upstream) <= room.free);
                let spare = room.free - known.slots(&room.upstream);
                let parts = |host| even_part(&host, &hosts(), &room.upstream, spare);
                prop_assert_eq!(hosts().into_iter().map(parts).sum::<u32>(), spare);
                for host in hosts() {
                    let grants = known.grants(&host, &room.upstream);
                    let slots = |grants: &Grants| grants.iter().map(|grant| grant.slots).sum::<u32>();
                    let same = other.grants(&host, &room.upstream);
                    prop_assert_eq!(slots(&grants), slots(&same));
                }
            }
        }
    }

    /// Guards against slots that nobody has after a gateway has left, or after its digests are lost
    /// and its demand has expired.
    #[test]
    fn slots_of_a_gateway_that_left_go_to_the_others(
        free in prop::collection::vec(0..12_u32, 1..6),
        claims in claims(),
        gone in 0..30_usize,
    ) {
        let rooms = rooms(&free);
        let mut known = Assignments::default();
        known.update(&rooms, &claims);
        let mut left = claims;
        left.retain(|claim| claim.host != host(gone));
        known.update(&rooms, &left);
        let wanted: u32 = left.iter().map(|claim| claim.requests).sum();
        prop_assert_eq!(known.len() as u32, wanted.min(free.iter().sum()));
    }

    /// Guards against gateways that hear no one and each use all of an upstream.
    #[test]
    fn isolated_gateways_stay_within_the_slots(gateways in 1..60_usize, slots in 0..100_u32) {
        let hosts: Vec<HostId> = (0..gateways).map(host).collect();
        let upstream = "p-0".parse().unwrap();
        let parts = hosts.iter().map(|own| even_part(own, &hosts, &upstream, slots));
        prop_assert_eq!(parts.sum::<u32>(), slots);
    }
}

fn show(name: &str, results: &Results) {
    println!(
        "{name}: {} sent, {} over capacity, {} of them while another had room, {} overtaking, \
         longest unused {} ms",
        results.sent,
        results.over_capacity,
        results.misplaced,
        results.overtaking,
        results.longest_unused_ms
    );
    for (rank, known) in &results.by_rank {
        println!(
            "  rank {rank}: {} arrived, {} sent, {} in time, mean wait {} ms",
            known.arrived,
            known.sent,
            known.answered_in_time,
            known.waited_ms / u64::from(known.sent.max(1))
        );
    }
}

/// Plays a load, and checks what holds whatever is lost: urgent requests are sent although lesser ones
/// fill the upstreams, and no slot stays free for long.
fn run(name: &str, play: Play) -> Results {
    let results = RoomFleet::run(play);
    show(name, &results);
    let urgent = results.by_rank[&0];
    assert!(urgent.sent * 100 >= urgent.arrived * MIN_URGENT_SENT_PERCENT, "{urgent:?}");
    assert!(results.longest_unused_ms <= MAX_UNUSED_MS, "{} ms", results.longest_unused_ms);
    assert!(results.overtaking * 100 <= results.sent * MAX_OVERTAKING_PERCENT);
    results
}

/// Guards against gateways that send to the same free slot at the same time, and against lesser
/// requests that keep urgent ones at other gateways from the upstreams.
#[test]
fn gateways_share_few_slots_under_twice_their_capacity() {
    let results = run("twice the capacity", Play::default());
    assert!(results.over_capacity * 100 <= results.sent * MAX_OVER_CAPACITY_PERCENT);
}

#[test]
fn load_at_capacity_leaves_no_slot_unused() {
    run("at capacity", Play { factor: 1.0, ..Play::default() });
}

/// Guards against slots that stay assigned to a gateway that has been lost.
#[test]
fn slots_of_a_lost_gateway_are_used_by_the_others() {
    run("gateway lost", Play { stops_at: Some(3_000), ..Play::default() });
}

/// Guards against slots that are kept for requests of gateways whose digests do not arrive.
#[test]
fn gateways_that_are_not_heard_do_not_keep_urgent_requests_waiting() {
    run("three gateways not heard", Play { is_lost: |from, _, _| from < 3, ..Play::default() });
    let is_lost = |from: usize, to: usize, at_ms: u64| {
        (from * 7 + to * 3 + at_ms as usize / 100).is_multiple_of(5)
    };
    run("a fifth of the digests lost", Play { is_lost, ..Play::default() });
}

/// Guards against a request with a short wait that is refused beside a free slot, because the gateway
/// to which the slot is assigned does not use it.
#[test]
fn request_with_a_short_wait_borrows_a_slot_before_it_is_refused() {
    let load_control = LoadControl { divides_room: true, ..LoadControl::default() };
    let mut rig = Rig::with_load_control("gw-0", load_control).configured().registered(0, 1);
    for index in 0..2 {
        rig.apply(GatewayEvent::GatewayJoined(member(&format!("gw-{index}"), "dc-1", 1_000)));
    }
    let mut peer = Rig::with_upstreams("gw-1", 0, 1);
    let mut digest = peer.gateway.digest(peer.now);
    let load = PeerLoad { in_flight: 7, prefill_ms: 0.0, response_age_ms: None };
    digest.loads = vec![("p-0".parse().unwrap(), load)];
    let mut demand = ServiceDemand::new(PLAIN.parse().unwrap(), 7);
    demand.add(0, 0.0, DurationMs::new(10));
    digest.demands = vec![demand];
    rig.apply(GatewayEvent::Digest(Box::new(digest)));
    let (_, effects) = rig.send(call("/look/1", "a"));
    assert!(dispatch(&effects).is_none(), "the slot is assigned to the other gateway");
    let waits = |effect: &GatewayEffect| matches!(effect, GatewayEffect::ShareAwaited { .. });
    assert!(effects.iter().any(waits));
    let effects = rig.advance(50);
    assert!(dispatch(&effects).is_some());
}
