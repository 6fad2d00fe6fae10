//! Bounds for all gateways together hold without messages between them.

mod gateway;
mod property;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::retry_budget::RetryBound;
use hickorydoor::gateway::retry_budget::RetryBudget;
use hickorydoor::gateway::upstreams::cold_share;
use hickorydoor::id::HostId;
use hickorydoor::id::UpstreamId;
use proptest::prelude::*;

use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::dispatch;
use crate::gateway::member;
use crate::gateway::registration;

const BOUND: RetryBound =
    RetryBound { ratio: 0.9, extra: 58.0, window_ms: DurationMs::from_secs(10) };

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|index| format!("gw-{index}").parse().unwrap()).collect()
}

proptest! {
    #![proptest_config(property::config(1, 200))]

    /// Each gateway observes only its own requests.
    #[test]
    fn repeats_of_all_gateways_stay_within_the_bound(
        gateways in 1_usize..40,
        events in proptest::collection::vec((0_usize..40, 0_u64..40, any::<bool>()), 1..600),
    ) {
        let mut retry_budgets = vec![RetryBudget::default(); gateways];
        let mut now = TimeMs::new(1_000);
        let (mut first_attempts, mut retries): (Vec<TimeMs>, Vec<TimeMs>) =
            (Vec::new(), Vec::new());
        for (gateway, passed_ms, is_first) in events {
            now = now + DurationMs::new(passed_ms);
            let budget = &mut retry_budgets[gateway % gateways];
            if is_first {
                budget.record_first_attempt(&BOUND, now);
                first_attempts.push(now);
            } else if budget.try_spend(&BOUND, gateways, now) {
                retries.push(now);
            }
            let recent = |times: &[TimeMs]| {
                times.iter().filter(|time| now.since(**time) <= BOUND.window_ms).count() as f64
            };
            let allowed = recent(&first_attempts) * BOUND.ratio + BOUND.extra;
            prop_assert!(recent(&retries) <= allowed);
        }
    }

    /// Gateways that all know each other never exceed the rate bound of a cold upstream.
    #[test]
    fn shares_of_a_cold_upstream_add_up_to_its_bound(
        gateways in 1_usize..200,
        cold_per_s in 0.0_f64..40.0,
        upstream in 0_u32..1_000,
    ) {
        let hosts = hosts(gateways);
        let upstream: UpstreamId = format!("e-{upstream}").parse().unwrap();
        let shares = hosts.iter().map(|host| cold_share(&upstream, host, &hosts, cold_per_s));
        let sum: usize = shares.sum();
        prop_assert!(sum as f64 <= cold_per_s);
        prop_assert!(sum as f64 >= cold_per_s.floor() / 2.0);
    }
}

#[test]
fn cold_upstream_gets_no_more_than_its_share_in_any_second() {
    let mut rig = Rig::new("gw-0");
    for host in hosts(4) {
        rig.apply(GatewayEvent::GatewayJoined(member(host.as_str(), "dc-1", 1_000)));
    }
    let mut cold = registration("e-0", ENGINES);
    cold.cold_ms = DurationMs::from_secs(3);
    rig.register(cold);
    let mut sent = Vec::new();
    for index in 0..150 {
        let (_, mut effects) = rig.send(call("/draft/1", &format!("r-{index}")));
        effects.extend(rig.advance(20));
        // From then on the upstream is warm.
        if rig.now.since(TimeMs::new(100_000)) >= DurationMs::from_secs(3) {
            break;
        }
        if dispatch(&effects).is_some() {
            sent.push(rig.now);
        }
    }
    // The bound of 7.3 per second with a margin of a fifth, divided among four gateways.
    let share = (7.3_f64 * 1.2 / 4.0).floor() as usize;
    for from in &sent {
        let second =
            sent.iter().filter(|at| **at >= *from && at.since(*from) < DurationMs::from_secs(1));
        assert!(second.count() <= share, "{sent:?}");
    }
    assert!(!sent.is_empty());
}

#[test]
fn registrations_removed_while_the_store_is_unreachable_are_kept_until_it_recovers() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 1);
    rig.apply(GatewayEvent::StoreUnreachable);
    rig.apply(GatewayEvent::Deregistered("p-0".parse().unwrap()));
    let (_, effects) = rig.send(call("/look/1", "a"));
    assert!(dispatch(&effects).is_some(), "kept while the store is unreachable");
    rig.advance(1_500);
    let (_, effects) = rig.send(call("/look/1", "b"));
    assert!(dispatch(&effects).is_some(), "kept during the grace period");
    rig.advance(1_500);
    let (_, effects) = rig.send(call("/look/1", "c"));
    assert!(dispatch(&effects).is_none(), "dropped after the grace period");
}

#[test]
fn registration_removed_while_the_store_is_reachable_is_dropped_at_once() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 1);
    rig.apply(GatewayEvent::Deregistered("p-0".parse().unwrap()));
    let (_, effects) = rig.send(call("/look/1", "a"));
    assert!(dispatch(&effects).is_none());
}

#[test]
fn older_registrations_are_ignored_and_a_restart_is_a_new_upstream() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 1);
    let mut newer = registration("p-0", gateway::PLAIN);
    newer.sequence = 5;
    newer.draining = true;
    rig.register(newer);
    rig.register(registration("p-0", gateway::PLAIN));
    let (_, effects) = rig.send(call("/look/1", "a"));
    assert!(dispatch(&effects).is_none(), "an older registration does not undo the draining");
    let mut restarted = registration("p-0", gateway::PLAIN);
    restarted.started_unix_ms = 2;
    rig.register(restarted);
    let (_, effects) = rig.send(call("/look/1", "b"));
    assert!(dispatch(&effects).is_some());
}
