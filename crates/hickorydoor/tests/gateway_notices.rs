//! Notices of upstreams in their answers: what leaves or wants a pause gets no requests.

mod gateway;
mod property;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::NotRun;
use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::rate_limits::LimitNotice;
use hickorydoor::gateway::refusal::RefusalReason;
use hickorydoor::gateway::upstreams::DepartedRooms;
use hickorydoor::gateway::upstreams::RoomState;
use hickorydoor::gateway::upstreams::UpstreamNotice;
use hickorydoor::gateway::upstreams::UpstreamRoom;
use hickorydoor::gateway::upstreams::parse_pause;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::strategy::Just;

use crate::gateway::PLAIN;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::dispatch;
use crate::gateway::refusal;
use crate::gateway::registration;

const LEAVING: UpstreamNotice =
    UpstreamNotice { is_leaving: true, pause_ms: None, limit: LimitNotice::Silent };

const fn pause(pause_ms: u64) -> UpstreamNotice {
    UpstreamNotice {
        is_leaving: false,
        pause_ms: Some(DurationMs::new(pause_ms)),
        limit: LimitNotice::Silent,
    }
}

fn rig(upstreams: usize) -> Rig {
    let mut rig = Rig::new("gw-1");
    for index in 0..upstreams {
        rig.register(registration(&format!("p-{index}"), PLAIN));
    }
    rig
}

/// Sends a request; returns the upstream that it is sent to, which answers at once with a notice.
fn send(rig: &mut Rig, number: usize, notice: impl Fn(&str) -> UpstreamNotice) -> Option<String> {
    let (id, effects) = rig.send(call("/look/1", &format!("r-{number}")));
    let Some(upstream) = dispatch(&effects).map(|sent| sent.upstream.to_string()) else {
        rig.apply(GatewayEvent::CallerGone { call: id });
        return None;
    };
    let notice = notice(&upstream);
    if !notice.is_empty() {
        rig.apply(GatewayEvent::UpstreamNoticed { call: id, notice });
    }
    let outcome = match notice.pause_ms {
        Some(_) => AttemptOutcome::NotRun(NotRun::Refused),
        None => AttemptOutcome::Served,
    };
    rig.end_attempt(id, outcome);
    rig.apply(GatewayEvent::CallerGone { call: id });
    Some(upstream)
}

#[test]
fn pauses_of_all_upstreams_refuse_at_once_and_say_when_there_is_room() {
    for asking in [1, 3] {
        let mut rig = rig(3);
        let says = |upstream: &str| {
            let index: usize = upstream[2..].parse().unwrap();
            if index < asking { pause(4_000) } else { UpstreamNotice::default() }
        };
        for number in 0..20 {
            send(&mut rig, number, says);
        }
        let (_, effects) = rig.send(call("/look/1", "late"));
        if asking < 3 {
            assert!(dispatch(&effects).is_some_and(|sent| sent.upstream.as_str() != "p-0"));
            continue;
        }
        let refused = *refusal(&effects).unwrap();
        let retry_after_ms = refused.retry_after_ms.unwrap().get();
        assert_eq!(refused.reason, RefusalReason::UpstreamsPaused);
        assert!((4_000..4_500).contains(&retry_after_ms), "{retry_after_ms}");
        rig.advance(4_000);
        assert!(dispatch(&rig.send(call("/look/1", "back")).1).is_some());
    }
}

#[test]
fn upstream_that_leaves_is_used_again_after_it_has_started_anew() {
    let mut rig = rig(1);
    send(&mut rig, 0, |_| LEAVING);
    rig.advance(1_000);
    let (_, effects) = rig.send(call("/look/1", "late"));
    assert!(dispatch(&effects).is_none());
    let mut again = registration("p-0", PLAIN);
    again.sequence += 1;
    rig.register(again.clone());
    assert!(dispatch(&rig.send(call("/look/1", "same")).1).is_none());
    again.started_unix_ms += 1;
    rig.register(again);
    assert!(dispatch(&rig.send(call("/look/1", "again")).1).is_some());
}

/// Guards against requests to an upstream in its pause, or that leaves, after its registration has
/// lapsed and come back while the upstream ran on.
#[test]
fn notices_outlive_a_registration_that_lapses() {
    let mut again = registration("p-0", PLAIN);
    again.sequence += 1;
    for (notice, is_said_after) in
        [(pause(12_000), false), (pause(12_000), true), (LEAVING, false), (LEAVING, true)]
    {
        let mut rig = rig(1);
        let (id, effects) = rig.send(call("/look/1", "first"));
        assert!(dispatch(&effects).is_some());
        if is_said_after {
            rig.apply(GatewayEvent::Deregistered(again.upstream.clone()));
        }
        rig.apply(GatewayEvent::UpstreamNoticed { call: id, notice });
        rig.apply(GatewayEvent::CallerGone { call: id });
        rig.apply(GatewayEvent::Deregistered(again.upstream.clone()));
        rig.advance(2_500);
        rig.register(again.clone());
        let (_, effects) = rig.send(call("/look/1", "same"));
        assert!(dispatch(&effects).is_none(), "{notice:?}, said after the lapse: {is_said_after}");
        let mut started = again.clone();
        started.started_unix_ms += 1;
        rig.register(started);
        assert!(dispatch(&rig.send(call("/look/1", "again")).1).is_some());
    }
}

/// Guards against what many departed upstreams have said being kept without a bound.
#[test]
fn notices_of_departed_upstreams_are_bounded() {
    let mut rooms = DepartedRooms::default();
    let mut now = TimeMs::new(0);
    let keep = |rooms: &mut DepartedRooms, index: u32, now| {
        let upstream = format!("p-{index}").parse().unwrap();
        rooms.keep(upstream, 1, UpstreamRoom::default(), now);
    };
    for index in 0..3_000 {
        keep(&mut rooms, index, now);
        now = now + DurationMs::new(100);
    }
    assert_eq!(rooms.len(), 1_024);
    assert!(rooms.take(&"p-1000".parse().unwrap(), 1).is_none(), "the oldest are dropped");
    assert!(rooms.take(&"p-2999".parse().unwrap(), 1).is_some());
    rooms.expire(now + DurationMs::from_secs(601));
    assert!(rooms.is_empty());
}

/// Returns how many of some requests are sent to the first upstream.
fn sent_to_first(rig: &mut Rig, name: &str) -> usize {
    let sent = (0..12).filter_map(|number| {
        let (id, effects) = rig.send(call("/look/1", &format!("{name}-{number}")));
        let upstream = dispatch(&effects).map(|sent| sent.upstream.to_string());
        rig.end_attempt(id, AttemptOutcome::Served);
        upstream
    });
    sent.filter(|upstream| upstream == "p-0").count()
}

#[test]
fn other_gateways_spare_an_upstream_that_leaves_while_there_is_another() {
    for upstreams in [1, 3] {
        let (mut told, mut other) = (rig(upstreams), Rig::new("gw-2"));
        for index in 0..upstreams {
            other.register(registration(&format!("p-{index}"), PLAIN));
        }
        let notice = |upstream: &str| {
            if upstream == "p-0" { LEAVING } else { UpstreamNotice::default() }
        };
        for number in 0..12 {
            send(&mut told, number, notice);
        }
        let digest = PeerDigest::decode(&told.gateway.digest(told.now).encode()).unwrap();
        other.apply(GatewayEvent::Digest(Box::new(digest)));
        let sent = sent_to_first(&mut other, "told");
        assert_eq!(sent, if upstreams == 1 { 12 } else { 0 });
        if upstreams == 1 {
            continue;
        }
        let mut again = registration("p-0", PLAIN);
        again.started_unix_ms += 1;
        other.register(again);
        assert!(sent_to_first(&mut other, "again") > 0, "it has started again");
    }
}

#[test]
fn word_of_another_gateway_takes_no_upstream_out_for_good() {
    let (mut told, mut other) = (rig(1), Rig::new("gw-2"));
    for index in 0..2 {
        other.register(registration(&format!("p-{index}"), PLAIN));
    }
    send(&mut told, 0, |_| LEAVING);
    let digest = told.gateway.digest(told.now);
    other.apply(GatewayEvent::Digest(Box::new(digest)));
    assert_eq!(sent_to_first(&mut other, "told"), 0);
    other.advance(10_050);
    assert!(sent_to_first(&mut other, "later") > 0);
}

#[test]
fn pause_is_a_number_of_seconds() {
    for (text, wanted_ms) in [("4", 4_000), ("0.25", 250), (" 0 ", 0), ("1e9", 60_000)] {
        assert_eq!(parse_pause(text), Some(DurationMs::new(wanted_ms)), "{text}");
    }
    for text in ["", "-1", "NaN", "inf", "soon", "Sat, 05 Dec 2026 02:00:00 GMT"] {
        assert_eq!(parse_pause(text), None, "{text}");
    }
}

/// What an upstream does when a request reaches it, or between requests.
#[derive(Clone, Copy, Debug)]
enum Step {
    Serves,
    Pauses { pause_ms: u64 },
    Leaves,
    Restarts,
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<(usize, Step)>> {
    let step = prop_oneof![
        Just(Step::Serves),
        (0..6_000_u64).prop_map(|pause_ms| Step::Pauses { pause_ms }),
        Just(Step::Leaves),
        Just(Step::Restarts),
        (10..2_000_u64).prop_map(|ms| Step::Wait { ms }),
    ];
    proptest::collection::vec((0..3_usize, step), 1..80)
}

proptest! {
    #![proptest_config(property::config(31, 64))]

    #[test]
    fn no_upstream_gets_requests_in_its_pause_or_after_its_notice(steps in steps()) {
        let mut rig = rig(3);
        let mut started = [0_u64; 3];
        let mut paused_until = [0_u64; 3];
        let mut leaving_since = [None::<u64>; 3];
        let mut now_ms = 0;
        for (number, (index, step)) in steps.into_iter().enumerate() {
            match step {
                Step::Wait { ms } => {
                    rig.advance(ms);
                    now_ms += ms.next_multiple_of(50);
                    continue;
                }
                Step::Restarts => {
                    started[index] += 1;
                    paused_until[index] = 0;
                    leaving_since[index] = None;
                    let mut again = registration(&format!("p-{index}"), PLAIN);
                    again.started_unix_ms += started[index];
                    rig.register(again);
                    continue;
                }
                _ => {}
            }
            let notice = match step {
                Step::Pauses { pause_ms } => pause(pause_ms),
                Step::Leaves => LEAVING,
                _ => UpstreamNotice::default(),
            };
            let all_sound = (0..3).any(|i| paused_until[i] <= now_ms && leaving_since[i].is_none());
            let sent = send(&mut rig, number, |_| notice);
            prop_assert!(sent.is_some() || !all_sound, "a sound upstream stands idle");
            if let Some(upstream) = sent {
                let i: usize = upstream[2..].parse().unwrap();
                prop_assert!(now_ms >= paused_until[i], "{upstream} is paused");
                prop_assert!(leaving_since[i].is_none_or(|since| now_ms < since + 2_000));
                match notice {
                    UpstreamNotice { is_leaving: true, .. } => {
                        leaving_since[i].get_or_insert(now_ms);
                    }
                    UpstreamNotice { pause_ms: Some(pause_ms), .. } => {
                        paused_until[i] = paused_until[i].max(now_ms + pause_ms.get());
                    }
                    _ => {}
                }
            }
        }
    }
}

/// Guards against on-call engineers who cannot tell when an upstream was taken out, and by which answer.
#[test]
fn changes_of_what_upstreams_say_are_reported_once() {
    let mut rig = rig(2);
    for number in 0..8 {
        let says = |upstream: &str| if upstream == "p-0" { pause(2_000) } else { LEAVING };
        send(&mut rig, number, says);
    }
    let mut states = Vec::new();
    for _ in 0..60 {
        for effect in rig.advance(50) {
            if let GatewayEffect::RoomChanged(change) = effect {
                states.push((change.upstream.to_string(), change.state, change.source.to_string()));
            }
        }
    }
    let change = |upstream: &str, state| (upstream.to_owned(), state, "gw-1".to_owned());
    let expected = [
        change("p-0", RoomState::Paused),
        change("p-1", RoomState::Leaving),
        change("p-0", RoomState::Open),
    ];
    assert_eq!(states, expected);
}
