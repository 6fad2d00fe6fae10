//! Engines that end under one part of a prompt: few are lost, and sound requests go on being
//! served.
//!
//! The bounds are the stated targets: fewer than five engines end, at most three requests with the
//! part reach an engine later than the time of contact after the fifth end, and what sound requests
//! lose stays below one in fifty. Where gateways notice an end only by silence, or know little of
//! each other, only the second and the third hold.

mod gateway;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::Call;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::call::PromptPart;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::ResponseFault;
use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::quarantine::PartKey;
use hickorydoor::gateway::quarantine::QuarantineState;
use hickorydoor::gateway::quarantine::QuarantineStep;
use hickorydoor::gateway::refusal::RefusalReason;

use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::crash_fleet::CRASHING;
use crate::gateway::crash_fleet::Course;
use crate::gateway::crash_fleet::CrashFleet;
use crate::gateway::crash_fleet::End;
use crate::gateway::crash_fleet::Place;
use crate::gateway::crash_fleet::Play;
use crate::gateway::crash_fleet::play;
use crate::gateway::dispatch;
use crate::gateway::refusal;
use crate::gateway::registration;

/// Number of engines below which losses under one part have to stay.
const MAX_ENDS: usize = 5;
/// Requests with the part that may reach an engine after it has to be known.
const MAX_LATE: usize = 3;
/// Sound requests that may be refused or broken off, in percent.
const MAX_SOUND_LOST_PERCENT: f64 = 2.0;

fn assert_contained(course: &Course, case: &str) {
    let ends = course.ends.len();
    assert!(ends < MAX_ENDS, "{case}: {ends} engines ended at {:?}", course.ends);
    assert_known(course, case);
}

fn assert_known(course: &Course, case: &str) {
    let late = course.late();
    let lost = course.sound_lost_percent();
    assert!(late <= MAX_LATE, "{case}: {late} requests with the part came late");
    assert!(lost <= MAX_SOUND_LOST_PERCENT, "{case}: {lost:.1}% of the sound requests were lost");
}

#[test]
fn part_under_which_engines_end_is_kept_from_the_others() {
    for seed in 1..=8 {
        let course = play(Play { seed, ..Play::default() });
        assert_contained(&course, &format!("seed {seed}"));
    }
}

#[test]
fn part_is_found_wherever_it_stands() {
    for place in [Place::First, Place::Middle, Place::Last] {
        let course = play(Play { place, for_s: 12, seed: 2, ..Play::default() });
        assert_contained(&course, &format!("{place:?}"));
    }
}

#[test]
fn part_that_comes_rarely_or_often_is_found() {
    for crashing_per_s in [0.2, 12.0] {
        let course = play(Play { crashing_per_s, for_s: 12, seed: 3, ..Play::default() });
        assert_contained(&course, &format!("{crashing_per_s} a second"));
    }
}

#[test]
fn part_is_found_while_engines_end_for_other_causes() {
    for keeps_id in [false, true] {
        let course = play(Play { killed: 4, keeps_id, seed: 3, ..Play::default() });
        assert_contained(&course, &format!("keeps its id: {keeps_id}"));
    }
}

#[test]
fn part_is_found_by_engines_that_go_silent() {
    for seed in 1..=4 {
        let course = play(Play { end: End::Silent, for_s: 16, seed, ..Play::default() });
        assert_known(&course, &format!("seed {seed}"));
    }
}

#[test]
fn part_is_found_by_many_gateways_with_lost_digests() {
    for (gateways, digest_loss) in [(5, 0.3), (12, 0.0)] {
        let course = play(Play { gateways, digest_loss, for_s: 12, seed: 3, ..Play::default() });
        assert_known(&course, &format!("{gateways} gateways"));
    }
}

#[test]
fn repeats_by_callers_do_not_count_as_new() {
    let course = play(Play { repeats: true, seed: 2, ..Play::default() });
    assert_contained(&course, "with repeats");
}

#[test]
fn no_part_is_refused_because_engines_are_killed_together() {
    for seed in 1..=4 {
        let course = play(Play { crashing_per_s: 0.0, killed: 4, seed, ..Play::default() });
        assert_eq!(course.sound.refused, 0, "seed {seed}");
    }
}

#[test]
fn gateway_that_restarts_learns_the_part_from_the_others() {
    let play = Play { seed: 2, ..Play::default() };
    let mut fleet = CrashFleet::new(play);
    fleet.run(10_000, |_fleet| {});
    for gateway in 0..play.gateways {
        fleet.restart(gateway);
        fleet.run(2_000, |_fleet| {});
    }
    assert_contained(&fleet.course, "after restarts");
}

/// Guards against sound answers that callers lose midway by a suspicion that is soon refuted.
#[test]
fn answer_that_has_begun_goes_on_while_its_part_is_suspected() {
    let mut rig = rig_in_use();
    let (running, _) = rig.send(request("running", &[7, 500]));
    rig.apply(GatewayEvent::FirstEvent { call: running });
    let others = ["one", "two"].map(|name| rig.send(request(name, &[7, 500])).0);
    let mut effects = Vec::new();
    for _ in 0..2 {
        for other in others {
            let closed = AttemptOutcome::Unknown(ResponseFault::Closed);
            effects.extend(rig.end_attempt_after(other, closed, None));
        }
        effects.extend(rig.advance(100));
    }
    let is_suspicion = |effect: &GatewayEffect| matches!(effect, GatewayEffect::Quarantine(change) if change.step == QuarantineStep::Suspected);
    assert!(effects.iter().any(is_suspicion), "{effects:?}");
    let is_end = |effect: &GatewayEffect| matches!(effect, GatewayEffect::Abandon { call } if *call == running);
    assert!(!effects.iter().any(is_end), "{effects:?}");
}

/// A gateway with engines and enough sound requests that were answered.
fn rig_in_use() -> Rig {
    rig_of("gw-1")
}

fn rig_of(host: &str) -> Rig {
    let mut rig = Rig::with_upstreams(host, 12, 0);
    serve_sound(&mut rig);
    rig
}

fn serve_sound(rig: &mut Rig) {
    for index in 0..20 {
        let (id, _) = rig.send(request(&format!("sound-{index}"), &[7, 100 + index]));
        rig.apply(GatewayEvent::FirstEvent { call: id });
        rig.end_attempt_after(id, AttemptOutcome::Served, Some(30));
        rig.advance(100);
    }
}

fn request(attempt: &str, shared: &[u64]) -> Call {
    let mut request = call("/draft/1", attempt);
    let part = |id: &u64| PromptPart { id: *id, tokens: 300 };
    request.prompt.parts = shared.iter().map(part).chain([part(&u64::MAX)]).collect();
    request
}

/// Sends requests with a part, and ends the engine under each, until one is refused.
fn quarantine(rig: &mut Rig, part: u64) -> usize {
    for index in 0..10_u64 {
        let (id, mut effects) = rig.send(request(&format!("r-{index}"), &[7, part, 900 + index]));
        if refusal(&effects).is_some() {
            return index as usize;
        }
        for _ in 0..100 {
            if dispatch(&effects).is_some() {
                rig.advance(200);
                effects = rig.end_attempt(id, closed());
            } else if refusal(&effects).is_some() {
                break;
            } else {
                effects = rig.advance(50);
            }
        }
    }
    panic!("the part is not quarantined");
}

const fn closed() -> AttemptOutcome {
    AttemptOutcome::Unknown(ResponseFault::Closed)
}

#[test]
fn refused_request_has_not_run_and_is_told_when_to_come_back() {
    let mut rig = rig_in_use();
    quarantine(&mut rig, CRASHING);
    let (_, effects) = rig.send(request("late", &[CRASHING, 7]));
    let refusal = refusal(&effects).unwrap();
    assert_eq!(refusal.reason, RefusalReason::QuarantinedPrompt);
    assert_eq!(refusal.reason.status(), 503);
    assert!(refusal.retry_after_ms.unwrap() > DurationMs::from_secs(60));
    let (_, effects) = rig.send(request("sound", &[7, 101]));
    assert!(dispatch(&effects).is_some());
}

#[test]
fn request_that_waits_or_runs_is_refused_once_its_part_is_known() {
    let mut one = rig_in_use();
    let mut two = rig_of("gw-2");
    let (running, effects) = two.send(request("running", &[7, CRASHING, 55]));
    assert!(dispatch(&effects).is_some());
    quarantine(&mut one, CRASHING);
    two.now = one.now;
    let digest = one.gateway.digest(one.now);
    let effects = two.apply(GatewayEvent::Digest(Box::new(digest)));
    let is_cancelled = |effect: &GatewayEffect| *effect == GatewayEffect::Abandon { call: running };
    assert!(effects.iter().any(is_cancelled), "{effects:?}");
    let silent = AttemptOutcome::Unknown(ResponseFault::Silent);
    let effects = two.end_attempt(running, silent);
    assert_eq!(refusal(&effects).map(|refusal| refusal.reason.status()), Some(502));
}

#[test]
fn request_is_tried_again_once_engines_of_another_version_have_come() {
    let mut rig = rig_in_use();
    quarantine(&mut rig, CRASHING);
    for index in 0..12 {
        let mut mended = registration(&format!("e-{index}"), ENGINES);
        mended.version = "v2".into();
        mended.started_unix_ms = 2;
        rig.register(mended);
    }
    rig.advance(2_000);
    let (id, effects) = rig.send(request("trial", &[7, CRASHING]));
    assert!(dispatch(&effects).is_some(), "{effects:?}");
    let (_, effects) = rig.send(request("second", &[7, CRASHING]));
    assert!(dispatch(&effects).is_none() && refusal(&effects).is_none(), "only one is tried");
    rig.apply(GatewayEvent::FirstEvent { call: id });
    let effects = rig.end_attempt_after(id, AttemptOutcome::Served, Some(30));
    assert!(dispatch(&effects).is_some(), "the second one is sent after the trial");
    rig.advance(100);
    let (_, effects) = rig.send(request("third", &[7, CRASHING]));
    assert!(dispatch(&effects).is_some());
}

#[test]
fn part_is_tried_again_after_a_while_and_refused_for_longer_if_an_engine_ends() {
    let mut rig = rig_in_use();
    quarantine(&mut rig, CRASHING);
    let first_ms = retry_after_ms(&mut rig);
    rig.now = rig.now + first_ms;
    rig.advance(3_000);
    let (id, effects) = rig.send(request("trial", &[7, CRASHING, 77]));
    assert!(dispatch(&effects).is_some(), "{effects:?}");
    for index in 0..12 {
        let (id, _) = rig.send(request(&format!("again-{index}"), &[7, 101]));
        rig.apply(GatewayEvent::FirstEvent { call: id });
        rig.end_attempt_after(id, AttemptOutcome::Served, Some(30));
    }
    rig.end_attempt(id, closed());
    rig.advance(500);
    assert!(retry_after_ms(&mut rig) > first_ms);
}

fn retry_after_ms(rig: &mut Rig) -> DurationMs {
    let (_, effects) = rig.send(request("refused", &[7, CRASHING]));
    refusal(&effects).and_then(|refusal| refusal.retry_after_ms).unwrap()
}

#[test]
fn operator_allows_a_part_and_takes_that_back() {
    let mut rig = rig_in_use();
    quarantine(&mut rig, CRASHING);
    let part: PartKey = format!("{ENGINES}/{CRASHING:x}").parse().unwrap();
    rig.apply(GatewayEvent::PartAllowed(part.clone()));
    for index in 0..4 {
        let (id, effects) = rig.send(request(&format!("r-{index}"), &[7, CRASHING]));
        assert!(dispatch(&effects).is_some(), "request {index}");
        rig.end_attempt(id, closed());
        rig.apply(GatewayEvent::CallerGone { call: id });
        rig.advance(200);
    }
    rig.apply(GatewayEvent::PartNotAllowed(part));
    serve_sound(&mut rig);
    quarantine(&mut rig, CRASHING);
}

#[test]
fn callers_that_leave_make_no_part_suspected() {
    let mut rig = rig_in_use();
    for index in 0..50 {
        let (id, effects) = rig.send(request(&format!("r-{index}"), &[7, 555]));
        assert!(dispatch(&effects).is_some(), "request {index}");
        rig.apply(GatewayEvent::CallerGone { call: id });
        rig.advance(100);
    }
}

#[test]
fn shared_part_of_others_is_not_refused_with_the_one_that_ends_engines() {
    let mut rig = rig_in_use();
    quarantine(&mut rig, CRASHING);
    for index in 0..20 {
        let (id, effects) = rig.send(request(&format!("s-{index}"), &[7, 900 + index % 4]));
        let sent = dispatch(&effects).is_some() || dispatch(&rig.advance(1_400)).is_some();
        assert!(sent, "request {index}");
        rig.apply(GatewayEvent::FirstEvent { call: id });
        rig.end_attempt_after(id, AttemptOutcome::Served, Some(30));
    }
}

#[test]
fn thousands_of_parts_that_come_once_do_not_grow_the_digest() {
    let mut rig = rig_in_use();
    for index in 0..600 {
        let parts: Vec<u64> = (0..8).map(|part| 10_000 + index * 8 + part).collect();
        let (id, effects) = rig.send(request(&format!("r-{index}"), &parts));
        if dispatch(&effects).is_some() {
            rig.end_attempt(id, closed());
        }
        rig.apply(GatewayEvent::CallerGone { call: id });
        rig.advance(50);
    }
    let bytes = rig.gateway.digest(rig.now).encode().len();
    assert!(bytes < 60 << 10, "{bytes} bytes do not fit into a datagram");
}

#[test]
fn evidence_about_parts_survives_the_encoding_of_a_digest() {
    let mut rig = rig_in_use();
    quarantine(&mut rig, CRASHING);
    let digest = rig.gateway.digest(rig.now);
    let states = digest.quarantine.records.iter().map(|(record, _)| record.state);
    assert!(states.collect::<Vec<_>>().contains(&QuarantineState::Quarantined));
    assert!(!digest.quarantine.ends.is_empty());
    let decoded = PeerDigest::decode(&digest.encode()).unwrap();
    assert_eq!(decoded.quarantine, digest.quarantine);
}

#[test]
fn answers_that_engines_lose_while_they_run_on_blame_no_part() {
    let mut rig = rig_in_use();
    let mut running = Vec::new();
    for index in 0..80 {
        let (id, effects) = rig.send(request(&format!("o-{index}"), &[7, 200 + index]));
        running.push((id, dispatch(&effects).map(|sent| sent.upstream.clone())));
    }
    for index in 0..6 {
        let (id, effects) = rig.send(request(&format!("r-{index}"), &[7, 555]));
        let lost_at = dispatch(&effects).map(|sent| sent.upstream.clone());
        assert!(lost_at.is_some(), "request {index}: {effects:?}");
        rig.advance(100);
        rig.end_attempt(id, closed());
        rig.apply(GatewayEvent::CallerGone { call: id });
        rig.advance(150);
        let other = running.iter().position(|(_, upstream)| *upstream == lost_at).unwrap();
        let (id, _) = running.swap_remove(other);
        rig.apply(GatewayEvent::FirstEvent { call: id });
        rig.advance(600);
    }
}

#[test]
fn first_answers_of_a_fleet_that_loses_engines_at_once_blame_no_part() {
    let mut rig = Rig::with_upstreams("gw-1", 12, 0);
    let sent: Vec<CallId> = (0..12)
        .map(|index| rig.send(request(&format!("r-{index}"), &[7, 100 + index])).0)
        .collect();
    rig.advance(200);
    for id in sent {
        rig.end_attempt(id, closed());
    }
    rig.advance(1_000);
    let (_, effects) = rig.send(request("next", &[7, 200]));
    assert!(refusal(&effects).is_none(), "{effects:?}");
}
