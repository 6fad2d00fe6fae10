//! Rollouts under load: faulty versions are stopped within the bounds, good ones are completed.
//!
//! The bounds are the users' targets: a bad version gets at most 15% of the requests until the
//! deadline and 30 more, and none later than 5 s after its 50th bad answer.

mod gateway;

use hickorydoor::gateway::rollout::RolloutPhase;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::gateway::rollout_fleet::Answer;
use crate::gateway::rollout_fleet::Course;
use crate::gateway::rollout_fleet::Play;
use crate::gateway::rollout_fleet::RolloutFleet;
use crate::gateway::rollout_fleet::Sent;
use crate::gateway::rollout_fleet::play;

const SEEDS: u64 = 8;

/// Plays a rollout with several seeds.
fn play_all(wanted: Play, answer: &dyn Fn(Sent<'_>, &mut Pcg64Mcg) -> Answer) -> Vec<Course> {
    (1..=SEEDS).map(|seed| play(Play { seed, ..wanted }, answer)).collect()
}

fn assert_stopped(courses: &[Course]) {
    let faults: Vec<String> = courses.iter().filter_map(Course::excess).collect();
    assert!(faults.is_empty(), "{faults:?}");
}

#[test]
fn version_that_fails_one_answer_in_ten_is_not_completed_by_the_clock() {
    let wanted = Play { duration_s: 10, ..Play::ENGINES };
    let courses = play_all(wanted, &|sent, random| {
        let fails = sent.is_target && random.random_bool(0.1);
        if fails { Answer::FAILED } else { Answer::GOOD }
    });
    assert_stopped(&courses);
}

#[test]
fn version_that_fails_from_its_sixth_second_on_is_not_completed_by_the_clock() {
    let wanted = Play { duration_s: 14, ..Play::ENGINES };
    let courses = play_all(wanted, &|sent, random| {
        let fails = sent.is_target && sent.at_ms > 6_000 && random.random_bool(0.1);
        if fails { Answer::FAILED } else { Answer::GOOD }
    });
    assert_stopped(&courses);
}

#[test]
fn slow_version_is_stopped_while_its_first_streams_still_run() {
    let wanted = Play { duration_s: 30, ..Play::ENGINES };
    let courses = play_all(wanted, &|sent, _random| {
        if sent.is_target { Answer::slow(2.4) } else { Answer::GOOD }
    });
    assert_stopped(&courses);
}

#[test]
fn plain_service_whose_new_version_answers_slowly_is_not_completed() {
    let wanted = Play { duration_s: 10, ..Play::PLAIN };
    let courses = play_all(wanted, &|sent, random| {
        let is_slow = sent.is_target && random.random_bool(0.3);
        if is_slow { Answer::slow(8.0) } else { Answer::GOOD }
    });
    assert_stopped(&courses);
}

#[test]
fn new_version_that_fails_on_one_route_is_not_hidden_by_the_usual_failures_of_another() {
    let wanted = Play { duration_s: 10, ..Play::PLAIN };
    let courses = play_all(wanted, &|sent, random| {
        let usual = if sent.path.starts_with("/look") { 0.14 } else { 0.004 };
        let added = if sent.is_target && sent.path.starts_with("/book") { 0.3 } else { 0.0 };
        if random.random_bool(usual + added) { Answer::FAILED } else { Answer::GOOD }
    });
    assert_stopped(&courses);
}

#[test]
fn faulty_version_is_not_forgotten_when_gateways_restart_one_after_another() {
    let wanted = Play { duration_s: 14, ..Play::ENGINES };
    let answer = |sent: Sent<'_>, random: &mut Pcg64Mcg| {
        let fails = sent.is_target && random.random_bool(0.1);
        if fails { Answer::FAILED } else { Answer::GOOD }
    };
    let courses: Vec<Course> = (1..=SEEDS)
        .map(|seed| {
            let mut fleet = RolloutFleet::new(Play { seed, ..wanted }, &answer);
            fleet.run(29_000, |fleet, now_ms| {
                let restarts = [(4_000, 0), (7_000, 1), (10_000, 2), (13_000, 3)];
                for (at_ms, gateway) in restarts {
                    if now_ms == at_ms {
                        fleet.restart(gateway);
                    }
                }
            });
            fleet.into_course()
        })
        .collect();
    assert_stopped(&courses);
}

#[test]
fn slow_engines_that_begin_to_answer_in_time_are_stopped() {
    let wanted = Play { duration_s: 20, ..Play::ENGINES };
    let courses = play_all(wanted, &|sent, _random| {
        if sent.is_target { Answer::slow(1.7) } else { Answer::GOOD }
    });
    assert_stopped(&courses);
}

#[test]
fn slow_engines_under_much_load_are_stopped_soon() {
    let wanted = Play { duration_s: 17, requests_per_s: 150.0, upstreams: 20, ..Play::ENGINES };
    let courses = play_all(wanted, &|sent, _random| {
        if sent.is_target { Answer::slow(1.5) } else { Answer::GOOD }
    });
    assert_stopped(&courses);
}

#[test]
fn good_version_is_completed_in_time() {
    for wanted in [Play { duration_s: 24, ..Play::ENGINES }, Play { duration_s: 24, ..Play::PLAIN }]
    {
        let courses = play_all(wanted, &|_sent, _random| Answer::GOOD);
        assert!(courses.iter().all(Course::is_completed_in_time), "{:?}", phases(&courses));
    }
}

#[test]
fn good_version_of_a_service_with_one_failing_upstream_is_completed_in_time() {
    let courses = play_all(Play { duration_s: 24, ..Play::PLAIN }, &|sent, random| {
        let fails = sent.upstream == "n-1" && sent.at_ms < 6_000 && random.random_bool(0.5);
        if fails { Answer::FAILED } else { Answer::GOOD }
    });
    let in_time = courses.iter().filter(|course| course.is_completed_in_time()).count();
    assert_eq!(in_time, courses.len(), "{:?}", phases(&courses));
}

fn phases(courses: &[Course]) -> Vec<&[(u64, RolloutPhase)]> {
    courses.iter().map(|course| course.phases.as_slice()).collect()
}
