//! The work of a gateway is bounded by what changes, not by the size of the fleet. Counted, not timed.

mod gateway;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::digest_pace::regular_interval_ms;
use hickorydoor::gateway::digest_pace::urgent_interval_ms;
use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::quarantine::EngineEnd;
use hickorydoor::gateway::quarantine::PartId;
use hickorydoor::gateway::quarantine::QuarantineReport;

use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::member;

const PLAY_MS: u64 = 2_000;
const TICK_MS: u64 = 50;
/// Assessments that a gateway may make in a second, in any fleet.
const MAX_ASSESSMENTS_PER_S: u64 = 100;
/// Digests that a gateway may receive in a second if all others have something urgent to say.
const MAX_URGENT_DIGESTS_PER_S: u64 = 500;

/// A digest that reports one more end than the one before of its gateway.
fn digest(peer: usize, sequence: u64) -> PeerDigest {
    let end = |index: u64| EngineEnd {
        upstream: format!("e-{}", (peer as u64 + index) % 70).parse().unwrap(),
        started_unix_ms: 0,
        service: ENGINES.parse().unwrap(),
        version: "v1".into(),
        is_confirmed: true,
        is_closed: true,
        parts: (0..3).map(|part| PartId::new(index + part)).collect(),
        tried: [].into_iter().collect(),
    };
    let ends = (0..sequence).map(|index| (end(index), DurationMs::new(100 + index)));
    PeerDigest {
        host: format!("gw-{peer}").parse().unwrap(),
        incarnation: 1,
        sequence,
        loads: Vec::new(),
        evidence: Vec::new(),
        prefills: Vec::new(),
        quarantine: QuarantineReport { ends: ends.collect(), ..QuarantineReport::default() },
        notices: Vec::new(),
        demands: Vec::new(),
        store_answering_ms: None,
    }
}

/// Plays a fleet in which each digest brings evidence; returns the assessments of one gateway.
fn assessments(gateways: usize) -> u64 {
    let mut rig = Rig::with_upstreams("gw-0", 78, 0);
    for index in 0..gateways {
        rig.apply(GatewayEvent::GatewayJoined(member(&format!("gw-{index}"), "dc-1", 1_000)));
    }
    let peers = gateways - 1;
    let interval_ms = regular_interval_ms(DurationMs::new(100), peers).get();
    let before = rig.gateway.assessments();
    for at_ms in 0..PLAY_MS {
        rig.now = rig.now + DurationMs::new(1);
        let due = (1..gateways)
            .filter(|peer| *peer as u64 * interval_ms / gateways as u64 == at_ms % interval_ms);
        for peer in due {
            let digest = digest(peer, 1 + at_ms / interval_ms);
            rig.apply(GatewayEvent::Digest(Box::new(digest)));
        }
        if at_ms % TICK_MS == 0 {
            rig.sync_store();
            rig.apply(GatewayEvent::Tick);
        }
    }
    rig.gateway.assessments() - before
}

/// Guards against time-outs that wait for the assessments of what other gateways report.
#[test]
fn assessments_do_not_grow_with_the_number_of_digests() {
    for gateways in [8, 68, 300, 560] {
        let assessments = assessments(gateways);
        let most = MAX_ASSESSMENTS_PER_S * PLAY_MS / 1_000;
        assert!(assessments <= most, "{gateways} gateways: {assessments} assessments");
    }
}

/// Guards against a fleet in which evidence at all gateways makes each send to all others at once.
#[test]
fn urgent_digests_do_not_grow_with_the_fleet() {
    for peers in [1, 7, 67, 299, 559] {
        let per_s = peers as u64 * 1_000 / urgent_interval_ms(peers).get();
        assert!(per_s <= MAX_URGENT_DIGESTS_PER_S, "{peers} peers: {per_s} digests a second");
        assert!(urgent_interval_ms(peers) <= regular_interval_ms(DurationMs::new(100), peers));
    }
}
