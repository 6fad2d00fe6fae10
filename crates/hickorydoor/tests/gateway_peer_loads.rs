//! The load that other gateways report is the sum of their latest reports, however they arrive.

mod gateway;
mod property;

use std::collections::BTreeMap;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::upstreams::PeerLoad;
use hickorydoor::gateway::upstreams::UpstreamPool;
use hickorydoor::id::UpstreamId;
use proptest::prelude::*;

use crate::gateway::ENGINES;
use crate::gateway::registration;
use crate::property::config;

/// How long a report counts.
const TTL_MS: u64 = 2_000;

#[derive(Clone, Debug)]
enum Step {
    Register { upstream: u8, started: u64 },
    Deregister { upstream: u8 },
    Report { peer: u8, loads: Vec<(u8, u8)> },
    Advance { ms: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6_u8, 1..4_u64).prop_map(|(upstream, started)| Step::Register { upstream, started }),
        (0..6_u8).prop_map(|upstream| Step::Deregister { upstream }),
        (0..5_u8, prop::collection::btree_map(0..6_u8, 1..9_u8, 0..5))
            .prop_map(|(peer, loads)| Step::Report { peer, loads: loads.into_iter().collect() }),
        (0..1_500_u16).prop_map(|ms| Step::Advance { ms }),
    ]
}

fn upstream(index: u8) -> UpstreamId {
    format!("e-{index}").parse().unwrap()
}

fn load(in_flight: u8) -> PeerLoad {
    PeerLoad {
        in_flight: in_flight.into(),
        prefill_ms: 10.0 * f64::from(in_flight),
        response_age_ms: None,
    }
}

proptest! {
    #![proptest_config(config(48, 256))]

    #[test]
    fn peer_load_is_the_sum_of_the_latest_reports(steps in prop::collection::vec(step(), 1..80)) {
        let mut pool = UpstreamPool::default();
        let mut now = TimeMs::new(100_000);
        let mut reports: BTreeMap<u8, (TimeMs, Vec<(u8, u8)>)> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Register { upstream, started } => {
                    let mut entry = registration(&format!("e-{upstream}"), ENGINES);
                    entry.started_unix_ms = started;
                    pool.register(entry, now);
                }
                Step::Deregister { upstream: index } => {
                    pool.deregister(&upstream(index), false, now);
                }
                Step::Report { peer, loads } => {
                    let entries = loads.iter().map(|(index, count)| (upstream(*index), load(*count)));
                    let host = format!("gw-{peer}").parse().unwrap();
                    pool.set_peer_load(host, entries.collect(), now);
                    reports.insert(peer, (now, loads));
                }
                Step::Advance { ms } => now = now + DurationMs::new(ms.into()),
            }
            pool.expire_peer_loads(now);
            reports.retain(|_, (at, _)| now.since(*at) <= DurationMs::new(TTL_MS));
            for known in pool.iter() {
                let all = reports.values().flat_map(|(_, loads)| loads);
                let mut expected = PeerLoad::default();
                for (_, count) in all.filter(|(id, _)| upstream(*id) == known.registration.upstream) {
                    expected.in_flight += u32::from(*count);
                    expected.prefill_ms += load(*count).prefill_ms;
                }
                prop_assert_eq!(known.peer_load, expected);
            }
        }
    }
}

/// Guards against a report whose cost grows with the number of gateways.
#[test]
fn report_is_applied_without_a_look_at_those_of_other_gateways() {
    let mut pool = UpstreamPool::default();
    for index in 0..40 {
        pool.register(registration(&format!("e-{index}"), ENGINES), TimeMs::new(1));
    }
    let mut most = 0;
    for round in 0..3_u64 {
        for peer in 0..560 {
            let before = pool.visited_loads();
            let loads = (0..12).map(|index| (upstream(index), load(1))).collect();
            let now = TimeMs::new(1 + 1_000 * round);
            pool.set_peer_load(format!("gw-{peer}").parse().unwrap(), loads, now);
            pool.expire_peer_loads(now);
            most = most.max(pool.visited_loads() - before);
        }
    }
    assert_eq!(most, 24);
}
