//! A gateway that the store does not answer for a while, alone or together with all others.

mod gateway;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::store_position::StoreEra;
use hickorydoor::id::UpstreamId;

use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::registration;

/// Length of the play before the store falls silent.
const CALM_MS: u64 = 6_000;
/// Time for which it is silent.
const SILENCE_MS: u64 = 8_000;

fn upstream() -> UpstreamId {
    "e-0".parse().unwrap()
}

/// Passes time in which the store does not answer.
fn be_silent(rig: &mut Rig, for_ms: u64) {
    for _ in 0..for_ms / 50 {
        rig.now = rig.now + DurationMs::new(50);
        rig.apply(GatewayEvent::StoreUnreachable);
        rig.apply(GatewayEvent::Tick);
    }
}

/// A gateway that was cut off while an upstream was deregistered, and reads so as the store answers
/// again.
fn rig_after_silence() -> Rig {
    let mut rig = Rig::new("gw-1");
    rig.register(registration("e-0", ENGINES));
    rig.advance(CALM_MS);
    be_silent(&mut rig, SILENCE_MS);
    rig.apply(GatewayEvent::Deregistered(upstream()));
    rig.sync_store();
    assert!(rig.gateway.is_in_use(&upstream()), "kept until the others have told what they saw");
    rig
}

/// What another gateway says that the store has answered for so long.
fn digest_of_peer(rig: &Rig, answered_ms: u64) -> PeerDigest {
    let mut peer = Rig::new("gw-2");
    peer.now = rig.now;
    PeerDigest {
        store_answering_ms: Some(DurationMs::new(answered_ms)),
        ..peer.gateway.digest(peer.now)
    }
}

/// Guards against requests to upstreams that left while this gateway alone was cut off.
#[test]
fn upstream_that_left_during_a_cut_is_dropped_once_another_gateway_knows_the_store_was_up() {
    let mut rig = rig_after_silence();
    let digest = digest_of_peer(&rig, SILENCE_MS + 1_000);
    rig.apply(GatewayEvent::Digest(Box::new(digest)));
    rig.advance(50);
    assert!(!rig.gateway.is_in_use(&upstream()));
}

/// Guards against upstreams that are dropped although their registrations lapsed as the store was away.
#[test]
fn upstream_is_kept_for_the_grace_if_the_store_was_away_for_all() {
    let mut rig = rig_after_silence();
    let digest = digest_of_peer(&rig, SILENCE_MS - 1_000);
    rig.apply(GatewayEvent::Digest(Box::new(digest)));
    rig.advance(2_100);
    assert!(rig.gateway.is_in_use(&upstream()));
    rig.advance(200);
    assert!(!rig.gateway.is_in_use(&upstream()));
}

/// A store that was put back meanwhile may lack registrations, whoever it answered before.
#[test]
fn upstream_is_kept_if_the_store_was_put_back() {
    let mut rig = rig_after_silence();
    rig.apply(GatewayEvent::StoreRestored { era: StoreEra::new(2) });
    let digest = digest_of_peer(&rig, SILENCE_MS + 1_000);
    rig.apply(GatewayEvent::Digest(Box::new(digest)));
    rig.advance(50);
    assert!(rig.gateway.is_in_use(&upstream()));
}

/// A gateway states how long the store has answered it, and says nothing once it does not.
#[test]
fn gateway_states_since_when_the_store_answers_it() {
    let mut rig = Rig::new("gw-1");
    rig.advance(CALM_MS);
    let answering_ms = |rig: &mut Rig| rig.gateway.digest(rig.now).store_answering_ms;
    assert_eq!(answering_ms(&mut rig), Some(DurationMs::new(CALM_MS)));
    be_silent(&mut rig, 100);
    assert_eq!(answering_ms(&mut rig), None);
    rig.sync_store();
    assert_eq!(answering_ms(&mut rig), Some(DurationMs::new(0)));
    // A process that does not run gets no answer, so it cannot know whether the store was up.
    rig.now = rig.now + DurationMs::from_secs(5);
    assert_eq!(answering_ms(&mut rig), None);
    rig.sync_store();
    assert_eq!(answering_ms(&mut rig), Some(DurationMs::new(0)));
}
