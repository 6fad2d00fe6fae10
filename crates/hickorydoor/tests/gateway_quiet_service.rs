//! Engines that end under one part of a prompt at a service with so little traffic that hardly any
//! attempt without the part is there to compare with.

mod gateway;

use hickorydoor::gateway::refusal::CallRefusal;
use hickorydoor::gateway::refusal::RefusalReason;

use crate::gateway::crash_fleet::Course;
use crate::gateway::crash_fleet::End;
use crate::gateway::crash_fleet::Place;
use crate::gateway::crash_fleet::Play;
use crate::gateway::crash_fleet::play;

/// Requests with the part that may reach an engine after it has to be known.
const MAX_LATE: usize = 3;

fn quiet() -> Play {
    Play {
        gateways: 3,
        engines: 3,
        sound_per_s: 0.1,
        crashing_per_s: 0.33,
        for_s: 90,
        sound_first_ms: 10_000,
        ..Play::default()
    }
}

fn assert_known(course: &Course, case: &str) {
    let late = course.late();
    let ends = course.ends.len();
    assert!(
        late <= MAX_LATE,
        "{case}: {late} requests with the part came late, {ends} engines ended"
    );
}

/// Guards against a part that is never refused since nothing sound runs beside it.
#[test]
fn part_is_refused_though_hardly_anything_runs_beside_it() {
    for seed in 1..=6 {
        for (sound_per_s, keeps_id) in
            [(0.0, false), (0.1, true), (0.1, false), (0.3, true), (0.3, false)]
        {
            let course = play(Play { sound_per_s, keeps_id, seed, ..quiet() });
            assert_known(&course, &format!("seed {seed}, {sound_per_s} sound requests a second"));
        }
    }
}

/// The same wherever the part stands, with more gateways and engines, and with repeats by callers.
#[test]
fn part_is_refused_at_a_quiet_service_of_any_size() {
    let places = [Place::First, Place::Middle, Place::Last];
    for (gateways, engines, places) in
        [(3, 2, &places[..]), (5, 6, &places), (24, 12, &places[1..2])]
    {
        for place in places.iter().copied() {
            let course = play(Play { gateways, engines, place, repeats: true, seed: 3, ..quiet() });
            assert_known(&course, &format!("{gateways} gateways, {engines} engines, {place:?}"));
        }
    }
}

/// Engines that fall silent and refuse new connections are noticed later.
#[test]
fn part_is_refused_at_a_quiet_service_whose_engines_fall_silent() {
    for seed in 1..=3 {
        let course = play(Play { end: End::Silent, seed, ..quiet() });
        assert_known(&course, &format!("seed {seed}"));
    }
}

/// Guards against a part that is blamed for the only engine, which may end or break off its responses for
/// any cause.
#[test]
fn no_part_is_refused_because_one_engine_fails() {
    let course = play(Play { engines: 1, keeps_id: true, for_s: 60, ..quiet() });
    let is_blamed = |refusal: &CallRefusal| refusal.reason == RefusalReason::QuarantinedPrompt;
    assert!(!course.refusals.iter().any(is_blamed), "{:?}", course.refusals);
}

/// Guards against sound parts that are blamed for engines that end for another cause.
#[test]
fn no_part_is_refused_at_a_quiet_service_whose_engines_are_killed() {
    for sound_per_s in [0.1, 0.5, 2.0] {
        for (engines, killed) in [(3, 1), (6, 2), (12, 4)] {
            for seed in 1..=4 {
                let sound = Play { engines, sound_per_s, killed, seed, ..quiet() };
                let course = play(Play { crashing_per_s: 0.0, ..sound });
                let case = format!("seed {seed}, {engines} engines, {sound_per_s} a second");
                assert_eq!(course.sound.refused, 0, "{case}: {:?}", course.sound);
            }
        }
    }
}
