//! Measures what each kind of event costs a gateway, by the size of the fleet and by the number of
//! engines that have ended lately.
//!
//! Prints a line for each size: processor time and allocations of an event, averaged. The digests are
//! what gateways send that have a few requests at some engines each, and that have all seen the same
//! ends and suspect half as many parts.

#[path = "support/counting_allocator.rs"]
mod counting_allocator;
#[path = "../tests/gateway/mod.rs"]
mod gateway;

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::quarantine::EngineEnd;
use hickorydoor::gateway::quarantine::PartId;
use hickorydoor::gateway::quarantine::PartKey;
use hickorydoor::gateway::quarantine::QuarantineReport;
use hickorydoor::gateway::quarantine::SuspectLoad;
use hickorydoor::gateway::upstreams::PeerLoad;

use crate::counting_allocator::allocations;
use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::dispatch;
use crate::gateway::member;

/// Engines at which one gateway has requests.
const LOADED_ENGINES: usize = 12;
/// Parts of the requests that the end of an engine cuts off at one gateway.
const PARTS_OF_END: usize = 3;
/// Different parts that requests share.
const SUBJECTS: usize = 56;
/// Rounds of digests of all gateways over which is averaged.
const ROUNDS: u64 = 8;
/// Time between two digests of a gateway.
const DIGEST_INTERVAL_MS: u64 = 400;

/// Cost of events of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    events: u64,
    took: Duration,
    allocations: u64,
}

impl Cost {
    fn measure<T>(&mut self, run: impl FnOnce() -> T) -> T {
        let before = allocations();
        let started = Instant::now();
        let result = black_box(run());
        self.took += started.elapsed();
        self.allocations += allocations() - before;
        self.events += 1;
        result
    }
}

impl std::fmt::Display for Cost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let events = self.events.max(1);
        let took_us = self.took.as_secs_f64() * 1e6 / events as f64;
        write!(f, "{took_us:>9.1} {:>8}", self.allocations / events)
    }
}

/// Numbers of gateways, of engines and of those that have ended lately.
#[derive(Clone, Copy, Debug)]
struct Size {
    gateways: usize,
    engines: usize,
    ends: usize,
}

/// Costs by kind of event.
#[derive(Clone, Copy, Debug, Default)]
struct Costs {
    decode: Cost,
    digest: Cost,
    tick: Cost,
    request: Cost,
    build: Cost,
}

/// Requests that wait while an upstream gets a free slot.
const WAITING: usize = 100;
/// Engines of the deployment in which they wait.
const WAITING_ENGINES: usize = 46;

fn main() {
    print_dispatch();
    println!("cost of an event in us, and its allocations");
    println!(
        "{:>8} {:>7} {:>4} {:>18} {:>18} {:>18} {:>18} {:>18}",
        "gateways", "engines", "ends", "decode", "digest", "tick", "request", "own digest"
    );
    for (gateways, engines) in [(8, 78), (68, 78), (300, 1_000), (560, 1_000), (560, 12_000)] {
        for ends in [0, 10, 48] {
            let size = Size { gateways, engines, ends };
            let Costs { decode, digest, tick, request, build } = measure(size);
            println!(
                "{gateways:>8} {engines:>7} {ends:>4} {decode} {digest} {tick} {request} {build}"
            );
        }
    }
}

/// Prints the cost of an event after which one of the waiting requests is sent, and of one after
/// which none can be.
fn print_dispatch() {
    let (mut sent, mut unsent) = (Cost::default(), Cost::default());
    for _ in 0..ROUNDS {
        measure_dispatch(&mut sent, &mut unsent);
    }
    println!("cost of an event in us, and its allocations, with {WAITING} requests waiting");
    println!("{:>8} {:>18} {:>18}", "engines", "one is sent", "none is sent");
    println!("{WAITING_ENGINES:>8} {sent} {unsent}");
}

fn measure_dispatch(sent: &mut Cost, unsent: &mut Cost) {
    let mut rig = Rig::with_upstreams("gw-0", WAITING_ENGINES, 0);
    let mut running = Vec::new();
    let mut waiting = 0;
    while waiting < WAITING {
        let (id, effects) = rig.send(call("/draft/1", &format!("r-{}", running.len() + waiting)));
        match dispatch(&effects) {
            Some(_) => running.push(id),
            None => waiting += 1,
        }
    }
    for id in running.into_iter().take(WAITING / 2) {
        unsent.measure(|| rig.apply(GatewayEvent::FirstEvent { call: id }));
        let effects = sent.measure(|| rig.end_attempt(id, AttemptOutcome::Served));
        assert!(dispatch(&effects).is_some(), "a waiting request is sent");
        // Another one waits in its place.
        rig.send(call("/draft/1", &format!("again-{id}")));
    }
}

fn measure(size: Size) -> Costs {
    let mut rig = Rig::with_upstreams("gw-0", size.engines, 0);
    for index in 0..size.gateways {
        rig.apply(GatewayEvent::GatewayJoined(member(&gateway_name(index), "dc-1", 1_000)));
    }
    let mut costs = Costs::default();
    for round in 0..ROUNDS {
        for peer in 1..size.gateways {
            let bytes = digest(size, peer, round).encode();
            let decoded = costs.decode.measure(|| PeerDigest::decode(&bytes));
            let event = GatewayEvent::Digest(Box::new(decoded.expect("a valid digest")));
            costs.digest.measure(|| rig.apply(event));
        }
        for step in 0..DIGEST_INTERVAL_MS / 50 {
            rig.now = rig.now + DurationMs::new(50);
            rig.sync_store();
            costs.tick.measure(|| rig.apply(GatewayEvent::Tick));
            let request = call("/draft/1", &format!("r-{round}-{step}"));
            costs.request.measure(|| rig.send(request));
        }
        let now = rig.now;
        costs.build.measure(|| rig.gateway.digest(now).encode());
    }
    costs
}

fn gateway_name(index: usize) -> String {
    format!("gw-{index}")
}

/// Returns the digest of a gateway that has seen all ends, which are some time old at the first
/// round.
fn digest(size: Size, peer: usize, round: u64) -> PeerDigest {
    let load = |index: usize| {
        let engine = (peer * 7 + index * 5) % size.engines;
        let load =
            PeerLoad { in_flight: 1 + (index % 3) as u32, prefill_ms: 20.0, response_age_ms: None };
        (format!("e-{engine}").parse().expect("a valid id"), load)
    };
    let end = |index: usize| {
        let part =
            |part: usize| PartId::new((peer * 11 + index * 3 + part) as u64 % SUBJECTS as u64);
        let end = EngineEnd {
            upstream: format!("e-{}", index * size.engines / size.ends.max(1))
                .parse()
                .expect("a valid id"),
            started_unix_ms: 0,
            service: ENGINES.parse().expect("a valid name"),
            version: "v1".into(),
            is_confirmed: true,
            is_closed: true,
            parts: (0..PARTS_OF_END).map(part).collect(),
            tried: [].into_iter().collect(),
        };
        let age_ms = 500 + index as u64 % 4 * 4_000 + round * DIGEST_INTERVAL_MS;
        (end, DurationMs::new(age_ms))
    };
    let suspect = |index: usize| SuspectLoad {
        part: PartKey {
            service: ENGINES.parse().expect("a valid name"),
            part: PartId::new(index as u64),
        },
        unproven: 0,
        survived_without: 4,
    };
    PeerDigest {
        host: gateway_name(peer).parse().expect("a valid id"),
        incarnation: 1,
        sequence: round + 1,
        loads: (0..LOADED_ENGINES).map(load).collect(),
        evidence: Vec::new(),
        prefills: Vec::new(),
        quarantine: QuarantineReport {
            ends: (0..size.ends).map(end).collect(),
            suspects: (0..size.ends / 2).map(suspect).collect(),
            ..QuarantineReport::default()
        },
        notices: Vec::new(),
        demands: Vec::new(),
        store_answering_ms: None,
    }
}
