//! Rollouts complete in time, and a faulty version gets a bounded share of the requests.

mod gateway;

use std::collections::BTreeSet;

use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::rollout::RolloutPhase;
use hickorydoor::gateway::rollout::RolloutRecord;
use hickorydoor::quantity::Share;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::dispatch;
use crate::gateway::order;
use crate::gateway::position;
use crate::gateway::registration;

/// Store revision of the order.
const ORDER_REVISION: u64 = 10;

fn rig() -> Rig {
    let mut rig = Rig::with_upstreams("gw-1", 4, 0);
    for index in 0..4 {
        let mut new = registration(&format!("n-{index}"), ENGINES);
        new.version = "v2".into();
        rig.register(new);
    }
    rig.apply(GatewayEvent::RolloutOrdered { order: order(ORDER_REVISION), age_ms: None });
    rig
}

fn steps(effects: &[GatewayEffect]) -> Vec<RolloutPhase> {
    let step = |effect: &GatewayEffect| match effect {
        GatewayEffect::WriteRollout(step) => Some(step.record.phase),
        _ => None,
    };
    effects.iter().filter_map(step).collect()
}

fn record(rig: &mut Rig, phase: RolloutPhase, revision: u64) {
    rig.apply(GatewayEvent::RolloutRecorded(RolloutRecord {
        service: ENGINES.parse().unwrap(),
        target: "v2".into(),
        order: position(1, ORDER_REVISION),
        phase,
        share: Share::from_percent(7),
        order_age_ms: None,
        position: position(1, revision),
    }));
}

/// Runs a rollout with 30 requests per second. Writes take effect at once, except those for which
/// `is_lost` returns true. Returns the number of requests on the old and the new version, and the
/// phases with their times in ms.
fn run_rollout(
    rig: &mut Rig,
    is_faulty: impl Fn(&str, u64) -> bool,
    is_lost: impl Fn(usize) -> bool,
) -> ((u64, u64), Vec<(u64, RolloutPhase)>) {
    let (mut old, mut new, mut revision, mut writes) = (0, 0, ORDER_REVISION, 0);
    let mut phases = Vec::new();
    for tick in 0..24 * 20_u64 {
        let effects = rig.advance(50);
        for phase in steps(&effects) {
            writes += 1;
            if is_lost(writes) {
                continue;
            }
            revision += 1;
            record(rig, phase, revision);
            phases.push((tick * 50, phase));
        }
        for number in 0..=(tick % 2) {
            let (id, effects) = rig.send(call("/draft/1", &format!("r-{tick}-{number}")));
            let Some(version) = dispatch(&effects).map(|dispatch| dispatch.version.clone()) else {
                continue;
            };
            if version == "v2" {
                new += 1;
            } else {
                old += 1;
            }
            rig.apply(GatewayEvent::FirstEvent { call: id });
            let outcome = if is_faulty(&version, tick) {
                AttemptOutcome::Failed { status: 500 }
            } else {
                AttemptOutcome::Served
            };
            rig.end_attempt(id, outcome);
            rig.apply(GatewayEvent::CallerGone { call: id });
        }
    }
    ((old, new), phases)
}

#[test]
fn good_version_is_completed_in_time() {
    let mut rig = rig();
    let (_, phases) = run_rollout(&mut rig, |_, _| false, |_| false);
    let wanted =
        [RolloutPhase::Canary, RolloutPhase::Widened, RolloutPhase::Full, RolloutPhase::Completed];
    assert_eq!(phases.iter().map(|(_, phase)| *phase).collect::<Vec<_>>(), wanted);
    assert!(phases[3].0 < 24_000);
}

#[test]
fn version_that_never_shows_that_it_is_bad_stays_within_its_share() {
    let mut rig = rig();
    let ((old, new), _) = run_rollout(&mut rig, |_, _| false, |_| false);
    // 15% of all requests and 30 more.
    assert!(new * 100 <= (old + new) * 15 + 3_000, "{new} of {}", old + new);
}

#[test]
fn failing_version_is_rolled_back_soon() {
    let mut rig = rig();
    let ((_, new), phases) =
        run_rollout(&mut rig, |version, tick| version == "v2" && tick % 2 == 0, |_| false);
    assert!(phases.iter().any(|(_, phase)| *phase == RolloutPhase::RolledBack), "{phases:?}");
    assert!(!phases.iter().any(|(_, phase)| *phase == RolloutPhase::Completed));
    assert!(new <= 50, "{new} requests on the faulty version");
}

#[test]
fn failures_of_both_versions_do_not_roll_back() {
    let mut rig = rig();
    let (_, phases) = run_rollout(&mut rig, |_, tick| tick % 5 == 0, |_| false);
    assert!(phases.iter().any(|(_, phase)| *phase == RolloutPhase::Completed), "{phases:?}");
}

#[test]
fn lost_writes_are_written_again() {
    let mut rig = rig();
    let (_, phases) = run_rollout(&mut rig, |_, _| false, |write| write % 2 == 1);
    assert!(phases.iter().any(|(_, phase)| *phase == RolloutPhase::Completed), "{phases:?}");
}

#[test]
fn gateway_started_during_a_rollout_follows_the_recorded_phase() {
    let mut rig = rig();
    record(&mut rig, RolloutPhase::RolledBack, 20);
    for index in 0..50 {
        let (id, effects) = rig.send(call("/draft/1", &format!("r-{index}")));
        assert_eq!(dispatch(&effects).unwrap().version, "v1");
        rig.apply(GatewayEvent::CallerGone { call: id });
    }
}

#[test]
fn record_of_an_earlier_order_is_replaced() {
    let mut rig = Rig::with_upstreams("gw-1", 2, 0);
    rig.apply(GatewayEvent::RolloutOrdered { order: order(ORDER_REVISION), age_ms: None });
    record(&mut rig, RolloutPhase::Completed, 12);
    let mut next = order(30);
    next.target = "v3".into();
    rig.apply(GatewayEvent::RolloutOrdered { order: next, age_ms: None });
    let effects = rig.advance(100);
    let step = effects.iter().find_map(|effect| match effect {
        GatewayEffect::WriteRollout(step) => Some(step.clone()),
        _ => None,
    });
    let step = step.expect("the new rollout has started");
    assert_eq!((step.replaces, step.record.order), (position(1, 12), position(1, 30)));
}

#[test]
fn old_version_gets_nothing_once_the_rollout_is_completed() {
    let mut rig = rig();
    record(&mut rig, RolloutPhase::Completed, 20);
    for index in 0..50 {
        let (id, effects) = rig.send(call("/draft/1", &format!("r-{index}")));
        assert_eq!(dispatch(&effects).unwrap().version, "v2");
        rig.apply(GatewayEvent::CallerGone { call: id });
    }
}

/// Guards against a session of the new version that finds only a part of the old version's upstreams
/// when it falls back to them.
#[test]
fn session_that_falls_back_may_use_every_upstream_of_the_old_version() {
    let mut rig = Rig::with_upstreams("gw-1", 12, 0);
    rig.apply(GatewayEvent::RolloutOrdered { order: order(ORDER_REVISION), age_ms: None });
    record(&mut rig, RolloutPhase::Canary, 11);
    let mut used = BTreeSet::new();
    // No upstream of the new version is registered, and each request stays open.
    let canary = Share::from_percent(7);
    let sessions = (0..3_000).map(|number| format!("s-{number}"));
    for session in sessions.filter(|session| canary.contains_hash(xxh3_64(session.as_bytes()))) {
        let mut request = call("/draft/1", &format!("r-{session}"));
        request.session = Some(session.into());
        let (_, effects) = rig.send(request);
        if let Some(sent) = dispatch(&effects) {
            used.insert(sent.upstream.clone());
        }
    }
    assert_eq!(used.len(), 12, "{used:?}");
}

#[test]
fn rollout_of_a_service_without_requests_is_completed_in_time() {
    let mut rig = rig();
    let mut phases = Vec::new();
    for tick in 0..24 * 20_u64 {
        let effects = rig.advance(50);
        for phase in steps(&effects) {
            record(&mut rig, phase, ORDER_REVISION + 1 + tick);
            phases.push(phase);
        }
    }
    assert_eq!(phases.last(), Some(&RolloutPhase::Completed), "{phases:?}");
}
