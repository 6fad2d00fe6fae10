//! Gateways that lose what they know of a part under which engines end: they learn it again, and
//! serve sound requests meanwhile.
//!
//! The bounds are the stated targets: later than the time of contact after the fifth end and after
//! the last loss, at most three requests with the part reach an engine, and from twice that time on
//! sound requests are served at half of their rate or more.

mod gateway;

use crate::gateway::crash_fleet::Course;
use crate::gateway::crash_fleet::CrashFleet;
use crate::gateway::crash_fleet::Place;
use crate::gateway::crash_fleet::Play;

const CONTACT_MS: u64 = 3_000;
const MAX_LATE: usize = 3;
const MIN_SERVED_SHARE: f64 = 0.5;
/// The longest a sound request may run, whose result is still unknown at the end.
const TAIL_MS: u64 = 4_000;

/// Restarts gateways at these times, and checks what follows the last of them.
fn check(play: Play, losses: &[(u64, std::ops::Range<usize>)], case: &str) -> Course {
    let mut fleet = CrashFleet::new(play);
    let until_ms = play.for_s * 1_000;
    let mut bounds: Vec<u64> = losses.iter().map(|(at_ms, _)| *at_ms).collect();
    bounds.push(until_ms);
    fleet.run(bounds[0], |_fleet| {});
    fleet.play.sound_first_ms = 0;
    for (index, (_, lost)) in losses.iter().enumerate() {
        for gateway in lost.clone() {
            fleet.restart(gateway);
        }
        fleet.run(bounds[index + 1] - bounds[index], |_fleet| {});
    }
    let since_ms = losses.last().map_or(0, |(at_ms, _)| *at_ms);
    let course = fleet.course;
    let late = course.late_since(since_ms);
    let ends = course.ends.len();
    let fifth_ms = course.ends.get(4).copied().unwrap_or(0);
    let settled_ms = since_ms.max(fifth_ms) + 2 * CONTACT_MS;
    let served = course.served_share(settled_ms, until_ms - TAIL_MS);
    println!("{case}: {ends} ends, {late} late, {served:.2} served");
    assert!(late <= MAX_LATE, "{case}: {late} requests came late, {:?}", course.ends);
    assert!(served >= MIN_SERVED_SHARE, "{case}: {served:.2} of the sound requests served");
    course
}

/// The load of the users' smaller deployments.
fn small() -> Play {
    Play {
        gateways: 3,
        engines: 6,
        sound_per_s: 10.0,
        crashing_per_s: 2.0,
        for_s: 40,
        ..Play::default()
    }
}

#[test]
fn part_is_learned_again_after_all_gateways_are_lost() {
    for seed in 1..=6 {
        check(Play { seed, ..small() }, &[(15_000, 0..3)], &format!("known, seed {seed}"));
    }
}

#[test]
fn part_is_learned_again_whenever_the_gateways_are_lost() {
    for seed in 1..=4 {
        for at_ms in [2_500, 3_300, 3_700, 4_500, 6_000] {
            let case = format!("lost at {at_ms}, seed {seed}");
            check(Play { seed, ..small() }, &[(at_ms, 0..3)], &case);
        }
        let twice = [(15_000, 0..3), (18_000, 0..3)];
        check(Play { seed, ..small() }, &twice, &format!("twice, seed {seed}"));
        let in_turn = [(12_000, 0..1), (14_000, 1..2), (16_000, 2..3)];
        check(Play { seed, ..small() }, &in_turn, &format!("in turn, seed {seed}"));
        check(Play { seed, ..small() }, &[(12_000, 0..2)], &format!("all but one, seed {seed}"));
    }
}

#[test]
fn part_that_comes_with_the_first_request_is_learned() {
    for seed in 1..=4 {
        for place in [Place::First, Place::Middle, Place::Last] {
            for (sound_per_s, crashing_per_s) in [(2.0, 1.4), (10.0, 2.0), (4.0, 3.3), (25.0, 2.0)]
            {
                let play =
                    Play { sound_per_s, crashing_per_s, sound_first_ms: 0, place, seed, ..small() };
                let case = format!("{place:?}, {sound_per_s} and {crashing_per_s}, seed {seed}");
                check(play, &[(1, 0..0)], &case);
            }
        }
    }
}

#[test]
fn part_is_learned_again_by_few_and_many_gateways_and_engines() {
    for (gateways, engines) in [(3, 2), (3, 4), (5, 18), (20, 40), (60, 40)] {
        let for_s = if gateways > 20 { 26 } else { 40 };
        let play = Play { gateways, engines, for_s, ..small() };
        let case = format!("{gateways} gateways, {engines} engines");
        check(play, &[(12_000, 0..gateways)], &case);
    }
}

#[test]
fn two_parts_at_once_are_learned_again() {
    for (gateways, engines) in [(3, 6), (5, 18), (20, 40)] {
        let play = Play { gateways, engines, crashing_parts: 2, ..small() };
        let case = format!("{gateways} gateways, {engines} engines");
        check(play, &[(12_000, 0..gateways)], &case);
    }
}

/// Hardly any request survives, as both engines are away most of the time.
#[test]
fn two_parts_at_once_are_learned_again_on_two_engines() {
    let play = Play { engines: 2, crashing_parts: 2, ..small() };
    check(play, &[(12_000, 0..3)], "two parts, two engines");
}

/// Guards against requests that are sent to learn whether an engine goes on, and end it again.
#[test]
fn part_is_learned_again_on_two_engines_with_each_seed() {
    for seed in 1..=4 {
        let play = Play { engines: 2, seed, ..small() };
        check(play, &[(12_000, 0..3)], &format!("two engines, seed {seed}"));
    }
}

#[test]
fn part_is_learned_again_while_engines_end_for_other_causes() {
    for seed in 1..=3 {
        let play = Play { gateways: 5, engines: 18, killed: 4, seed, ..small() };
        check(play, &[(15_000, 0..5)], &format!("seed {seed}"));
    }
}
