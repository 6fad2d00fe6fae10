//! Engines that end under one part of prompts with many parts.
//!
//! A head of 16 KB holds 1,500 parts. The bounds are the stated targets: at most three requests with
//! the part reach an engine later than the time of contact after the fifth end, and from twice that
//! time on sound requests are served at half of their rate or more.

mod gateway;
mod property;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::Prompt;
use hickorydoor::gateway::call::PromptPart;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::ResponseFault;
use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::quarantine::EngineEnd;
use hickorydoor::gateway::quarantine::PartId;
use hickorydoor::gateway::quarantine::QuarantineReport;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::crash_fleet::Course;
use crate::gateway::crash_fleet::CrashFleet;
use crate::gateway::crash_fleet::End;
use crate::gateway::crash_fleet::Play;

const CONTACT_MS: u64 = 3_000;
const MAX_LATE: usize = 3;
const MIN_SERVED_SHARE: f64 = 0.5;
/// The longest a sound request may run, whose result is still unknown at the end.
const TAIL_MS: u64 = 4_000;
/// Number of parts that a head of 16 KB holds.
const MAX_PARTS: u64 = 1_500;

fn small() -> Play {
    Play {
        gateways: 3,
        engines: 8,
        sound_per_s: 8.0,
        crashing_per_s: 0.7,
        for_s: 30,
        ..Play::default()
    }
}

fn assert_known(course: &Course, since_ms: u64, until_ms: u64, case: &str) {
    let late = course.late_since(since_ms);
    let fifth_ms = course.ends.get(4).copied().unwrap_or(0);
    let settled_ms = since_ms.max(fifth_ms) + 2 * CONTACT_MS;
    let served = course.served_share(settled_ms, until_ms - TAIL_MS);
    println!("{case}: {} ends, {late} late, {served:.2} served", course.ends.len());
    assert!(late <= MAX_LATE, "{case}: {late} requests came late, {:?}", course.ends);
    assert!(served >= MIN_SERVED_SHARE, "{case}: {served:.2} of the sound requests served");
}

fn check(play: Play, case: &str) {
    let mut fleet = CrashFleet::new(play);
    fleet.run(play.for_s * 1_000, |_fleet| {});
    assert_known(&fleet.course, 0, play.for_s * 1_000, case);
}

/// Guards against a part that is in no end of an engine, since other parts came before it.
#[test]
fn part_is_found_behind_many_others() {
    for common_parts in [20, 68, 300, MAX_PARTS - 3] {
        check(Play { common_parts, ..small() }, &format!("{common_parts} common parts"));
    }
}

/// Guards against a limit that counts the parts of all attempts at an engine together.
#[test]
fn part_is_found_among_many_prompts_at_one_engine() {
    for (engines, own_parts, sound_per_s) in [(4, 20, 50.0), (4, 150, 10.0)] {
        let play = Play { engines, own_parts, sound_per_s, for_s: 24, ..small() };
        check(play, &format!("{own_parts} own parts, {sound_per_s} a second"));
    }
}

/// Guards against limits of the reports, by which the gateways know different parts of an end.
#[test]
fn part_is_found_behind_many_others_by_fleets_of_each_size() {
    for (gateways, engines) in [(3, 2), (12, 18), (60, 40)] {
        let for_s = if gateways > 20 { 20 } else { 30 };
        let play = Play { gateways, engines, common_parts: 72, for_s, ..small() };
        check(play, &format!("{gateways} gateways, {engines} engines"));
    }
}

/// Guards against sound parts that stay suspected, since nothing is known of them.
#[test]
fn part_is_found_behind_many_others_after_all_gateways_are_lost() {
    for (common_parts, end) in [(72, End::Closed), (300, End::Closed), (72, End::Silent)] {
        let play = Play { common_parts, end, for_s: 40, ..small() };
        let mut fleet = CrashFleet::new(play);
        fleet.run(12_000, |_fleet| {});
        fleet.play.sound_first_ms = 0;
        for gateway in 0..play.gateways {
            fleet.restart(gateway);
        }
        fleet.run(28_000, |_fleet| {});
        assert_known(&fleet.course, 12_000, 40_000, &format!("{common_parts} parts, {end:?}"));
    }
}

/// The rate of sound requests decides how soon the other parts are proven sound.
#[test]
fn part_is_found_behind_many_others_beside_few_and_many_sound_requests() {
    for sound_per_s in [2.0, 50.0] {
        let play = Play { common_parts: 200, sound_per_s, for_s: 25, ..small() };
        check(play, &format!("{sound_per_s} sound requests a second"));
    }
}

/// Bound of docs/CAPACITY.md on what a gateway holds as evidence, at 8 bytes a part.
const MAX_EVIDENCE_BYTES: usize = 2_600_000;
/// Maximum length of a datagram between gateways.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

fn end_of(engine: u64, parts: u64, random: &mut Pcg64Mcg) -> EngineEnd {
    EngineEnd {
        upstream: format!("e-{engine}").parse().unwrap(),
        started_unix_ms: 0,
        service: ENGINES.parse().unwrap(),
        version: "v1".into(),
        is_confirmed: false,
        is_closed: true,
        parts: (0..parts).map(|_| PartId::new(random.random())).collect(),
        tried: (0..parts / 4).map(|_| PartId::new(random.random())).collect(),
    }
}

fn digest_of(host: u64, sequence: u64, ends: Vec<(EngineEnd, DurationMs)>) -> PeerDigest {
    PeerDigest {
        host: format!("gw-{host}").parse().unwrap(),
        incarnation: 1,
        sequence,
        loads: Vec::new(),
        evidence: Vec::new(),
        prefills: Vec::new(),
        quarantine: QuarantineReport { ends, ..QuarantineReport::default() },
        notices: Vec::new(),
        demands: Vec::new(),
        store_answering_ms: None,
    }
}

proptest! {
    #![proptest_config(property::config(61, 2))]

    /// Guards against evidence that grows with ends, parts and gateways, and reports that fit into no
    /// datagram.
    #[test]
    fn evidence_and_reports_are_bounded_at_60_gateways(
        seed in any::<u64>(),
        engines in 2_u64..40,
        ends in 1_u64..16,
        parts in 1_u64..MAX_PARTS,
    ) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut rig = Rig::with_upstreams("gw-own", 12, 0);
        for step in 1..=2_u64 {
            for host in 0..60 {
                let age_ms = |index: u64| DurationMs::new(index * 4_000 % 50_000);
                let ends = (0..ends)
                    .map(|index| (end_of(index % engines, parts, &mut random), age_ms(index)));
                let digest = digest_of(host, step, ends.collect());
                rig.apply(GatewayEvent::Digest(Box::new(digest)));
            }
            for number in 0..6 {
                let mut sent = call("/draft/1", &format!("r-{step}-{number}"));
                let ids = (0..=parts).map(|_| random.random());
                let parts: Vec<PromptPart> = ids.map(|id| PromptPart { id, tokens: 4 }).collect();
                sent.prompt = Prompt {
                    tokens: parts.iter().map(|part| part.tokens).sum(),
                    max_answer_tokens: 60,
                    parts: parts.into_iter().collect(),
                };
                let (id, _) = rig.send(sent);
                let closed = AttemptOutcome::Unknown(ResponseFault::Closed);
                rig.end_attempt_after(id, closed, None);
                rig.advance(50);
            }
            rig.advance(4_000);
            prop_assert!(rig.gateway.evidence_parts() * 8 <= MAX_EVIDENCE_BYTES);
            let datagram = rig.gateway.digest(rig.now).encode();
            prop_assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{} bytes", datagram.len());
        }
    }
}
