//! Digests survive encoding, invalid ones are rejected, and valid ones influence placement.

mod gateway;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::headroom::ServiceDemand;
use hickorydoor::gateway::peer_digest::PeerDigest;

use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::dispatch;
use crate::gateway::order;

#[test]
fn digest_round_trips_through_its_encoding() {
    let mut rig = Rig::with_upstreams("gw-1", 2, 1);
    rig.apply(GatewayEvent::RolloutOrdered { order: order(10), age_ms: None });
    rig.send(call("/draft/1", "a"));
    rig.send(call("/look/1", "b"));
    let mut digest = rig.gateway.digest(rig.now);
    let mut demand = ServiceDemand::new(ENGINES.parse().unwrap(), 3);
    demand.add(0, 120.0, DurationMs::new(40));
    demand.add(2, 80.0, DurationMs::new(900));
    digest.demands = vec![demand];
    assert!(!digest.loads.is_empty() && !digest.prefills.is_empty() && !digest.evidence.is_empty());
    let mut decoded = PeerDigest::decode(&digest.encode()).unwrap();
    // Times are encoded in whole milliseconds.
    for (known, sent) in decoded.loads.iter_mut().zip(&digest.loads) {
        assert!((known.1.prefill_ms - sent.1.prefill_ms).abs() < 1.0);
        known.1.prefill_ms = sent.1.prefill_ms;
    }
    assert_eq!(decoded, digest);
}

#[test]
fn invalid_bytes_are_rejected() {
    for bytes in [&b"\xff\xff\xff"[..], b"GET / HTTP/1.1\r\n\r\n", &[0x0a, 0x02, b'!', b' ']] {
        assert!(PeerDigest::decode(bytes).is_err(), "{bytes:?}");
    }
}

#[test]
fn load_that_others_report_moves_requests_away() {
    let mut busy = Rig::with_upstreams("gw-1", 2, 0);
    let mut idle = Rig::with_upstreams("gw-2", 2, 0);
    let (_, effects) = busy.send(call("/draft/1", "a"));
    let first = dispatch(&effects).unwrap().upstream.clone();
    for index in 0..20 {
        let mut request = call("/draft/1", &format!("r-{index}"));
        request.prompt = gateway::prompt(100 + index, 13_300, 3_700);
        busy.send(request);
    }
    let mut digest = busy.gateway.digest(busy.now);
    digest.loads.retain(|(upstream, _)| *upstream == first);
    digest.prefills.clear();
    idle.apply(GatewayEvent::Digest(Box::new(digest)));
    let mut request = call("/draft/1", "b");
    request.prompt = gateway::prompt(7, 13_300, 3_700);
    let (_, effects) = idle.send(request);
    assert_ne!(dispatch(&effects).unwrap().upstream, first);
}

#[test]
fn prompt_that_another_gateway_sent_is_sent_to_the_same_engine() {
    let mut one = Rig::with_upstreams("gw-1", 6, 0);
    let mut two = Rig::with_upstreams("gw-2", 6, 0);
    let (id, effects) = one.send(call("/draft/1", "a"));
    let first = dispatch(&effects).unwrap().upstream.clone();
    one.apply(GatewayEvent::FirstEvent { call: id });
    one.apply(GatewayEvent::CallerGone { call: id });
    let digest = one.gateway.digest(one.now);
    two.apply(GatewayEvent::Digest(Box::new(digest)));
    let (_, effects) = two.send(call("/draft/1", "b"));
    assert_eq!(dispatch(&effects).unwrap().upstream, first);
}
