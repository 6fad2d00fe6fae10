//! All gateways are lost again and again while engines end under a part. What they have learned of it
//! outlasts them in the store, and what is wrong or over does not last.
//!
//! The bounds are the stated targets: later than the time of contact after the fifth end, at most
//! three requests with the part reach an engine from gateways in touch, and from twice that time on
//! sound requests are served at half of their rate or more.

mod gateway;
mod property;

use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::quarantine::PartId;
use hickorydoor::gateway::quarantine::PartItem;
use hickorydoor::gateway::quarantine::PartKey;
use hickorydoor::gateway::quarantine::QuarantineState;

use crate::gateway::ENGINES;
use crate::gateway::crash_fleet::CRASHING;
use crate::gateway::crash_fleet::Course;
use crate::gateway::crash_fleet::CrashFleet;
use crate::gateway::crash_fleet::Play;
use crate::property::config;

const CONTACT_MS: u64 = 3_000;
const MAX_LATE: usize = 3;
const MIN_SERVED_SHARE: f64 = 0.5;
/// The longest a sound request may run, whose result is still unknown at the end.
const TAIL_MS: u64 = 4_000;

/// Loses all gateways at these times.
fn lose_all(play: Play, losses_ms: &[u64]) -> CrashFleet {
    let mut fleet = CrashFleet::new(Play { stores_items: true, ..play });
    for at_ms in losses_ms {
        fleet.run(at_ms - fleet.now_ms, |_fleet| {});
        fleet.play.sound_first_ms = 0;
        for gateway in 0..play.gateways {
            fleet.restart(gateway);
        }
    }
    fleet.run(play.for_s * 1_000 - fleet.now_ms, |_fleet| {});
    fleet
}

/// Returns what breaks a bound.
fn fault(course: &Course, play: &Play, losses_ms: &[u64]) -> Option<String> {
    let late = course.late_in_touch(losses_ms);
    let last_ms = losses_ms.last().copied().unwrap_or_default();
    let fifth_ms = course.ends.get(4).copied().unwrap_or_default();
    let settled_ms = last_ms.max(fifth_ms) + 2 * CONTACT_MS;
    let served = course.served_share(settled_ms, play.for_s * 1_000 - TAIL_MS);
    let ends = course.ends.len();
    (late > MAX_LATE || served < MIN_SERVED_SHARE)
        .then(|| format!("{ends} ends, {late} late, {served:.2} served"))
}

/// The load of review/15.
fn quiet() -> Play {
    Play {
        gateways: 3,
        engines: 4,
        sound_per_s: 8.0,
        crashing_per_s: 0.3,
        sound_first_ms: 12_000,
        for_s: 110,
        ..Play::default()
    }
}

/// One seed, or one for every 200 cases that are asked for.
fn seeds() -> std::ops::RangeInclusive<u64> {
    1..=config(1, 200).cases.div_ceil(200).into()
}

fn every(interval_ms: usize, from_ms: u64, until_ms: u64) -> Vec<u64> {
    (from_ms..until_ms).step_by(interval_ms).collect()
}

/// Guards against a part that is learned anew, at the cost of engines, after each loss of all gateways.
#[test]
fn part_is_learned_once_however_often_all_gateways_are_lost() {
    let mut faults = Vec::new();
    for seed in seeds() {
        for interval_ms in [6_000, 8_000, 11_000, 16_000] {
            for crashing_per_s in [0.3, 10.0] {
                let play = Play { crashing_per_s, seed, ..quiet() };
                let losses_ms = every(interval_ms, 20_000, 95_000);
                let fleet = lose_all(play, &losses_ms);
                if let Some(fault) = fault(&fleet.course, &play, &losses_ms) {
                    faults.push(format!(
                        "every {interval_ms} ms, {crashing_per_s}, seed {seed}: {fault}"
                    ));
                }
            }
        }
    }
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

/// The same with few and many gateways, engines and parts.
#[test]
fn part_is_learned_once_by_few_and_many_gateways_and_engines() {
    let mut faults = Vec::new();
    for (gateways, engines, common_parts) in [(3, 2, 0), (5, 18, 38), (3, 4, 398), (20, 40, 0)] {
        let for_s = 50;
        let crashing_per_s = 1.0;
        let play = Play { gateways, engines, crashing_per_s, for_s, common_parts, ..quiet() };
        let losses_ms = every(9_000, 16_000, for_s * 1_000 - 12_000);
        let fleet = lose_all(play, &losses_ms);
        if let Some(fault) = fault(&fleet.course, &play, &losses_ms) {
            faults.push(format!(
                "{gateways} gateways, {engines} engines, {common_parts} parts: {fault}"
            ));
        }
    }
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

/// Guards against evidence that is lost because the store did not take it at the moment of a loss.
#[test]
fn part_is_learned_though_the_store_is_away_before_each_loss() {
    for seed in seeds() {
        let play = Play { stores_items: true, seed, ..quiet() };
        let losses_ms = every(9_000, 20_000, 95_000);
        let mut fleet = CrashFleet::new(play);
        for at_ms in &losses_ms {
            fleet.run(at_ms - 2_000 - fleet.now_ms, |_fleet| {});
            fleet.play.stores_items = false;
            fleet.run(2_000, |_fleet| {});
            fleet.play.stores_items = true;
            fleet.play.sound_first_ms = 0;
            for gateway in 0..play.gateways {
                fleet.restart(gateway);
            }
        }
        fleet.run(play.for_s * 1_000 - fleet.now_ms, |_fleet| {});
        assert_eq!(fault(&fleet.course, &play, &losses_ms), None, "seed {seed}");
    }
}

/// Guards against a copy of the store that is put back before a loss, and lacks what was learned.
#[test]
fn part_is_learned_though_the_store_comes_back_from_a_copy_before_each_loss() {
    for seed in seeds() {
        let play = Play { stores_items: true, seed, ..quiet() };
        let losses_ms = every(9_000, 20_000, 95_000);
        let mut fleet = CrashFleet::new(play);
        for at_ms in &losses_ms {
            fleet.run(at_ms - 6_000 - fleet.now_ms, |_fleet| {});
            let copy = fleet.store.clone();
            fleet.run(3_000, |_fleet| {});
            fleet.put_back(copy);
            fleet.run(3_000, |_fleet| {});
            fleet.play.sound_first_ms = 0;
            for gateway in 0..play.gateways {
                fleet.restart(gateway);
            }
        }
        fleet.run(play.for_s * 1_000 - fleet.now_ms, |_fleet| {});
        assert_eq!(fault(&fleet.course, &play, &losses_ms), None, "seed {seed}");
    }
}

/// Guards against a part that is refused again after a loss of all gateways although the operator
/// allows it, and against an old copy of the store that brings the refusal back.
#[test]
fn allowed_part_stays_allowed_after_losses_and_an_old_copy() {
    let play = Play { stores_items: true, crashing_per_s: 2.0, sound_first_ms: 0, ..quiet() };
    let mut fleet = CrashFleet::new(play);
    fleet.run(15_000, |_fleet| {});
    assert!(!fleet.course.refusals.is_empty(), "the part is refused");
    let copy = fleet.store.clone();
    fleet.play.harmless_from_ms = fleet.now_ms;
    let part = PartKey { service: ENGINES.parse().unwrap(), part: PartId::new(CRASHING) };
    let allowed = GatewayEvent::PartAllowed(part);
    fleet.tell_all(std::slice::from_ref(&allowed));
    let allowed_ms = fleet.now_ms;
    for round in 0..3 {
        for gateway in 0..play.gateways {
            fleet.restart(gateway);
        }
        fleet.tell_all(std::slice::from_ref(&allowed));
        fleet.run(2_000, |_fleet| {});
        if round == 1 {
            fleet.put_back(copy.clone());
            fleet.tell_all(std::slice::from_ref(&allowed));
            fleet.run(2_000, |_fleet| {});
        }
    }
    let refused = fleet.course.refused_at.iter().filter(|at| **at > allowed_ms).count();
    assert_eq!(refused, 0);
    let is_quarantined = |item: &PartItem| matches!(item, PartItem::Record { record, .. } if record.state == QuarantineState::Quarantined);
    assert!(!fleet.store.records().iter().any(is_quarantined), "{:?}", fleet.store.records());
}

/// Guards against writes that grow with the number of gateways: what many know is written once.
#[test]
fn writes_do_not_grow_with_the_number_of_gateways() {
    let writes = |gateways: usize| {
        let play = Play { gateways, engines: 18, crashing_per_s: 1.0, for_s: 30, ..quiet() };
        let fleet = lose_all(play, &[]);
        (fleet.store.writes + fleet.store.conflicts, fleet.course.ends.len())
    };
    for gateways in [3, 40] {
        let (calls, ends) = writes(gateways);
        assert!(calls <= 4 * (ends + 1), "{gateways} gateways: {calls} calls for {ends} ends");
    }
}
