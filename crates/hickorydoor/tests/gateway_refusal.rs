//! Requests that cannot start in time are refused on arrival, and only those.
//!
//! Guards against requests that wait at engines until their deadline and use the room of those that
//! could be in time, and against refusals while there is room.

mod gateway;

use std::collections::BTreeMap;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::load_control::LoadControl;
use hickorydoor::gateway::refusal::CallRefusal;
use hickorydoor::gateway::refusal::RefusalReason;
use hickorydoor::gateway::route::CallKind;
use hickorydoor::gateway::route::Route;
use hickorydoor::gateway::start_estimate::StartDecision;
use hickorydoor::gateway::start_estimate::StartInputs;
use hickorydoor::gateway::start_estimate::decide;
use hickorydoor::gateway::upstreams::PeerLoad;

use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::dispatch;
use crate::gateway::fleet::Fleet;
use crate::gateway::fleet::Load;
use crate::gateway::fleet::Outcome;
use crate::gateway::fleet::Request;
use crate::gateway::route;

/// Kinds of requests with their ranks and objectives.
const KINDS: [(&str, u8, u64); 3] =
    [("chat", 0, 2_500), ("summary", 1, 4_000), ("draft", 2, 10_000)];
/// Slots of each engine.
const SLOTS: u32 = 64;
/// Interval of the ticks on which requests that wait are looked at.
const TICK_MS: u64 = 50;
/// Minimum share of the most urgent requests in time, relative to a run without the others.
const MIN_URGENT_SHARE: f64 = 0.8;
const MAX_FAILED: f64 = 0.05;
const MIN_REFUSED_ON_ARRIVAL: f64 = 0.95;

fn routes() -> Vec<Route> {
    let of_kind = |(kind, rank, objective_ms): &(&str, u8, u64)| Route {
        priority: *rank,
        objective_ms: DurationMs::new(*objective_ms),
        ..route(&format!("/{kind}/"), CallKind::Streaming, ENGINES)
    };
    KINDS.iter().map(of_kind).collect()
}

fn objective_ms(kind: &str) -> u64 {
    KINDS.iter().find(|known| known.0 == kind).map_or(0, |known| known.2)
}

/// Five gateways in front of engines that are slower than usual by a factor.
fn fleet(engines: usize, slowness: f64) -> Fleet {
    let load_control = LoadControl { refuses_late_starts: true, ..LoadControl::default() };
    let mut fleet = Fleet::with_load_control(5, engines, SLOTS, load_control);
    fleet.configure_routes(&routes());
    fleet.slowness = slowness;
    fleet.deadline_ms = Some(15_000);
    fleet
}

fn load(load: Load) -> Vec<Request> {
    let mut requests = load.requests();
    for request in &mut requests {
        request.objective_ms = objective_ms(request.kind);
    }
    requests
}

/// Middle-sized models would take five times as long as the engines have for this load.
fn overload() -> Vec<Request> {
    load(Load { for_ms: 30_000, factor: 2.0, ..Load::default() })
}

/// Returns the requests that were refused as not run, with the time until then.
fn refusals(fleet: &Fleet) -> Vec<(&Request, u64, CallRefusal)> {
    let refused = fleet.requests.iter().zip(&fleet.refusals).filter_map(|(request, refusal)| {
        refusal.map(|(at_ms, refusal)| (request, at_ms - request.at_ms, refusal))
    });
    refused.filter(|(_, _, refusal)| refusal.reason.status() == 503).collect()
}

fn no_room(fleet: &Fleet) -> usize {
    let is_no_room = |refusal: &CallRefusal| refusal.reason == RefusalReason::NoRoomInTime;
    refusals(fleet).iter().filter(|(_, _, refusal)| is_no_room(refusal)).count()
}

fn is_chat(request: &Request) -> bool {
    request.kind == "chat"
}

#[test]
fn most_urgent_are_served_and_the_rest_refused_on_arrival_if_capacity_is_short() {
    let mut alone = fleet(4, 5.0);
    alone.run(overload().into_iter().filter(is_chat).collect());
    let possible = alone.share(Outcome::InTime, is_chat);
    let mut fleet = fleet(4, 5.0);
    fleet.run(overload());
    let in_time = fleet.share(Outcome::InTime, is_chat);
    assert!(in_time >= possible * MIN_URGENT_SHARE, "{in_time} in time, {possible} possible");
    let failed = fleet.share(Outcome::Failed, |_| true);
    assert!(failed <= MAX_FAILED, "{failed} failed");
    let refused = refusals(&fleet);
    let on_arrival = refused.iter().filter(|(_, waited_ms, _)| *waited_ms < TICK_MS / 2).count();
    let on_arrival = on_arrival as f64 / refused.len() as f64;
    assert!(on_arrival >= MIN_REFUSED_ON_ARRIVAL, "{on_arrival} refused on arrival");
    for (request, waited_ms, _) in refused {
        assert!(waited_ms <= request.objective_ms / 2 + TICK_MS, "{request:?} held {waited_ms} ms");
    }
}

/// Callers that come back at the same time would meet the same shortage again.
#[test]
fn retry_hints_are_spread_and_earlier_for_more_urgent_requests() {
    let mut fleet = fleet(4, 5.0);
    fleet.run(overload());
    let mut hints: BTreeMap<u8, Vec<u64>> = BTreeMap::new();
    for (_, _, refusal) in refusals(&fleet) {
        if let (Some(estimate), Some(after_ms)) = (refusal.estimate, refusal.retry_after_ms) {
            hints.entry(estimate.rank).or_default().push(after_ms.get());
        }
    }
    let means = hints.values().map(|hints| hints.iter().sum::<u64>() / hints.len() as u64);
    let means: Vec<u64> = means.collect();
    assert_eq!(means.len(), 3);
    assert!(means.is_sorted(), "{means:?}");
    for hints in hints.values() {
        let (min_ms, max_ms) = (hints.iter().min().unwrap(), hints.iter().max().unwrap());
        assert!(max_ms - min_ms >= 300, "from {min_ms} to {max_ms} ms");
    }
}

#[test]
fn nothing_is_refused_at_the_usual_load_or_in_a_burst() {
    for seed in [7, 11] {
        let mut fleet = fleet(12, 1.0);
        let usual = Load { seed, ..Load::default() };
        let mut requests = load(Load { for_ms: 8_000, ..usual });
        requests.extend(load(Load { from_ms: 8_000, for_ms: 6_000, factor: 1.7, ..usual }));
        requests.extend(load(Load { from_ms: 14_000, for_ms: 8_000, ..usual }));
        fleet.run(requests);
        assert_eq!(refusals(&fleet).len(), 0);
        assert!(!fleet.outcomes.contains(&Some(Outcome::Failed)));
    }
}

/// Without digests a gateway knows a part of the backlog only, and must not refuse more for it.
#[test]
fn less_is_refused_if_digests_are_lost() {
    let mut usual = fleet(12, 1.0);
    usual.are_digests_lost = true;
    usual.run(load(Load::default()));
    assert_eq!(no_room(&usual), 0);
    let mut informed = fleet(4, 5.0);
    informed.run(overload());
    let mut uninformed = fleet(4, 5.0);
    uninformed.are_digests_lost = true;
    uninformed.run(overload());
    let (with, without) = (no_room(&informed), no_room(&uninformed));
    assert!(without < with, "{without} refused without digests, {with} with them");
}

/// A gateway that has observed nothing cannot know whether its estimates are right.
#[test]
fn gateway_that_has_just_started_refuses_nothing() {
    let mut peer = Rig::with_upstreams("gw-2", 2, 0);
    let mut digest = peer.gateway.digest(peer.now);
    let load = PeerLoad { in_flight: 60, prefill_ms: 60_000.0, response_age_ms: None };
    digest.loads = (0..2).map(|index| (format!("e-{index}").parse().unwrap(), load)).collect();
    let load_control = LoadControl { refuses_late_starts: true, ..LoadControl::default() };
    let mut rig = Rig::with_load_control("gw-1", load_control).configured().registered(2, 0);
    rig.apply(GatewayEvent::Digest(Box::new(digest)));
    for index in 0..8 {
        let (_, effects) = rig.send(call("/draft/1", &format!("r-{index}")));
        assert!(dispatch(&effects).is_some(), "{effects:?}");
    }
}

fn inputs() -> StartInputs {
    StartInputs {
        expected_ms: Some(2_000.0),
        shortage_ms: None,
        usual_ms: 500.0,
        work_ahead_ms: 0.0,
        served: Some(1.0),
        shrinkage: 0.0,
        correction: Some(1.0),
        objective_left_ms: 2_500.0,
        wait_left_ms: 1_250.0,
        deadline_left_ms: 15_000.0,
        is_new: true,
        more_urgent_ranks: 0,
        hash: 12_345,
    }
}

#[test]
fn request_is_sent_if_its_corrected_start_is_in_time() {
    let now = TimeMs::new(1_000);
    let is_refused = |inputs| matches!(decide(&inputs, now), StartDecision::Refuse(_));
    assert_eq!(decide(&inputs(), now), StartDecision::Send);
    assert!(is_refused(StartInputs { correction: Some(0.5), ..inputs() }));
    assert!(is_refused(StartInputs { expected_ms: Some(3_000.0), ..inputs() }));
    assert!(is_refused(StartInputs { shortage_ms: Some(f64::INFINITY), ..inputs() }));
    let unknown = StartInputs { expected_ms: Some(60_000.0), correction: None, ..inputs() };
    assert_eq!(decide(&unknown, now), StartDecision::Send);
    let shrinking = StartInputs { expected_ms: Some(3_000.0), shrinkage: 2.0, ..inputs() };
    assert_eq!(decide(&shrinking, now), StartDecision::Wait(TimeMs::new(1_500)));
}

#[test]
fn request_that_no_upstream_takes_waits_only_if_its_turn_comes_in_time() {
    let now = TimeMs::new(1_000);
    let queued = StartInputs { expected_ms: None, work_ahead_ms: 500.0, ..inputs() };
    assert_eq!(decide(&queued, now), StartDecision::Wait(TimeMs::new(2_250)));
    let late = StartInputs { work_ahead_ms: 2_000.0, ..queued };
    assert!(matches!(decide(&late, now), StartDecision::Refuse(_)));
    // One that waits already is refused only if its turn cannot come in time.
    let waiting = StartInputs { is_new: false, ..late };
    assert!(matches!(decide(&waiting, now), StartDecision::Wait(_)));
    let unknown = StartInputs { served: None, ..late };
    assert!(matches!(decide(&unknown, now), StartDecision::Wait(_)));
}
